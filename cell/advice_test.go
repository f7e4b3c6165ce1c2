// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

var _ = Describe("a policy", func() {
	advised := func() *rig {
		r := newRig(2)
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Advice: &Advice{Decide: 10 * time.Millisecond, Valid: time.Second}}})
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		return r
	}

	It("is asked, and only the workers that it permits get the step, with their ticket", func() {
		r := advised()
		a := r.place()
		Expect(a.Starts).To(BeEmpty())
		Expect(a.Asks).To(HaveLen(1))
		r.Advised(a.Asks[0], []Ticket{{Worker: "w1", Text: "t"}}, time.Second, r.now)
		starts := r.startAll()
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Worker).To(Equal("w1"))
		Expect(starts[0].Ticket).To(Equal("t"))
	})

	It("is asked again when its tickets have expired", func() {
		r := advised()
		a := r.place()
		r.Advised(a.Asks[0], []Ticket{{Worker: "w1", Text: "t"}}, time.Second, r.now)
		r.now = r.now.Add(time.Second)
		again := r.place()
		Expect(again.Starts).To(BeEmpty())
		Expect(again.Asks).To(HaveLen(1))
		Expect(again.Asks[0].Workers).To(Equal([]string{"w1"}))
	})
})

var _ = Describe("questions to the policy", func() {
	It("leave some of their limit to short ones, however many long ones wait", func() {
		r := newRig(2)
		r.Configure([]Queue{
			{Name: "long", Pool: "p", Advice: &Advice{Decide: time.Second, Valid: time.Minute}},
			{Name: "short", Pool: "p", Priority: 1, Advice: &Advice{Decide: 10 * time.Millisecond, Valid: time.Minute}},
		})
		submit := func(id, queue string) {
			r.Submit(&flow.Spec{ID: id, Queue: queue, Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}, r.now, r.now)
			r.JobStored(id)
		}
		for i := range 6 {
			submit(fmt.Sprintf("l%d", i), "long")
		}
		long := r.Place(r.now, r.now, 4).Asks
		Expect(long).To(HaveLen(3))
		submit("s", "short")
		Expect(r.Place(r.now, r.now, 4).Asks).To(HaveLen(1))
		r.Unadvised(long[0], r.now)
		submit("t", "short")
		Expect(r.Place(r.now, r.now, 4).Asks[0].Step.Job).To(Equal("l3"), "the next long question")
	})
})

var _ = Describe("a worker that has ended", func() {
	It("is not chosen for a step that the policy permitted it to run", func() {
		r := newRig(1)
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 1, Advice: &Advice{Valid: time.Hour}}})
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		a := r.Place(r.now, r.now, 1)
		r.Advised(a.Asks[0], []Ticket{{Worker: "w0", Text: "t"}}, time.Hour, r.now)
		r.Forget("w0", LossReborn, r.now)
		r.heard("w1", func(*Worker) {})
		r.Attached("w1", Lists{}, r.now)
		Expect(r.place().Starts).To(BeEmpty())
	})
})
