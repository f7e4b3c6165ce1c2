// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

var _ = Describe("a job that has ended", func() {
	It("keeps only its state once it is retired, and is then forgotten", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		r.end(r.startAll()[0], flow.EndDone)
		Expect(r.Retire(0, r.now.Add(time.Second))).To(BeEmpty(), "not before its end is stored")
		r.save()
		Expect(r.Retire(0, r.now.Add(time.Second))).To(BeEmpty(), "nor before it is archived")
		Expect(r.Ended()).To(Equal([]EndedJob{{ID: "j", State: flow.Succeeded}}))
		Expect(r.Ended()).To(BeEmpty())
		r.Archived("j")
		Expect(r.Retire(0, r.now.Add(time.Second))).To(Equal([]EndedJob{{ID: "j", State: flow.Succeeded}}))
		s, known := r.State("j")
		Expect(known).To(BeTrue())
		Expect(s).To(Equal(flow.Succeeded))
		Expect(r.Cancel("j", r.now)).To(BeTrue())
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(BeEmpty(), "it does not run again")
		retired := r.now.Add(time.Second)
		Expect(r.Expire(time.Minute, retired.Add(time.Minute))).To(BeEmpty(), "it is kept for the whole time")
		Expect(r.Expire(time.Minute, retired.Add(time.Hour))).To(Equal([]Expired{{ID: "j", Age: time.Hour}}))
		Expect(r.Known("j")).To(BeFalse())
	})

	It("counts as ended since it was restored, not since it arrived, if a former owner ended it", func() {
		done := flow.BitSet{1}
		for _, rec := range []*flow.Record{
			{State: flow.Succeeded},
			{State: flow.Running, Stages: []flow.StageRecord{{Done: done}}},
		} {
			r := newRig(0)
			r.Restore(&flow.Spec{ID: "j", Steps: []flow.Step{{Count: 1}}}, rec, r.now.Add(-time.Hour), r.now)
			Expect(r.Ended()).To(Equal([]EndedJob{{ID: "j", State: flow.Succeeded}}))
			r.Archived("j")
			r.save()
			Expect(r.Retire(time.Second, r.now.Add(time.Second))).To(BeEmpty())
			Expect(r.Retire(time.Second, r.now.Add(2*time.Second))).To(HaveLen(1))
		}
	})
})
