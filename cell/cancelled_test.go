// SPDX-License-Identifier: Apache-2.0

package cell

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// A task of a cancelled job may begin after the cancel: its worker carries out the order seconds
// later, or the owner that gave the order has been replaced by one that does not know the job. Such
// a run has to be stopped whoever started it and whenever it begins.
var _ = Describe("a task that begins after its job was cancelled", func() {
	row := func(s Start) Running { return Running{Task: s.Task, Run: s.Run} }

	It("is stopped when its worker carries out the order late", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		order := r.place().Starts[0]
		// The order is not answered: the worker is attached again and does not list the run.
		r.Detached("w0", r.now)
		r.Attached("w0", Lists{}, r.now)
		Expect(r.Cancel("j", r.now)).To(BeTrue())
		r.save()
		Expect(r.place().Starts).To(BeEmpty())
		r.now = r.now.Add(runCheckInterval)
		r.Listed("w0", Lists{Running: []Running{row(order)}}, r.now, r.now)
		Expect(r.place().Stops).To(ConsistOf(Stop{Worker: "w0", Addr: "w0", Task: order.Task, Run: order.Run}))
	})

	It("is stopped again and again until its end is listed", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		order := r.startAll()[0]
		r.Cancel("j", r.now)
		Expect(r.place().Stops).To(HaveLen(1))
		r.now = r.now.Add(stopRetryInterval)
		r.Listed("w0", Lists{Running: []Running{row(order)}}, r.now, r.now)
		Expect(r.place().Stops).To(HaveLen(1))
		r.end(order, flow.EndStopped)
		r.now = r.now.Add(stopRetryInterval)
		Expect(r.place().Stops).To(BeEmpty())
	})

	It("is stopped by the next owner when the owner that started it has been replaced", func() {
		for _, rec := range []*flow.Record{{State: flow.Canceled, Canceled: true}, {State: flow.Running, Canceled: true}} {
			r := newRig(0)
			spec := &flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
			r.Restore(spec, rec, r.now, r.now)
			r.Cancel("j", r.now)
			r.heard("w0", func(*Worker) {})
			r.Attached("w0", Lists{Running: []Running{{Task: flow.TaskID{Job: "j"}, Run: 1}}}, r.now)
			a := r.place()
			Expect(a.Starts).To(BeEmpty())
			Expect(a.Stops).To(HaveLen(1), "a record in state %s", rec.State)
		}
	})

	It("is stopped by a next owner that no longer knows the job", func() {
		r := newRig(1)
		r.now = r.now.Add(runCheckInterval)
		r.Listed("w0", Lists{Running: []Running{{Task: flow.TaskID{Job: "forgotten"}, Run: 7}}}, r.now, r.now)
		Expect(r.place().Stops).To(HaveLen(1))
	})
})
