// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// Guards against hiding ends while the store is away. The store did not answer for 5.6 s. Tasks ran
// on and their ends were listed, but clients were told "running" until the store was back: the jobs
// that ended in that time were shown up to 5 s late, and some clients gave up.
var _ = Describe("the end of a job that the store does not write", func() {
	// ended returns a rig with a job whose task has just ended.
	ended := func(how flow.End) *rig {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		r.end(r.startAll()[0], how)
		return r
	}
	state := func(r *rig) flow.State {
		s, _ := r.State("j")
		return s
	}

	It("is reported to other instances when the store takes longer than usual, and shown once one knows", func() {
		r := ended(flow.EndDone)
		Expect(r.UnstoredSuccesses(10, r.now)).To(BeEmpty(), "the store will have it in a moment")
		late := r.now.Add(minUnstoredAge)
		Expect(r.UnstoredSuccesses(10, late)).To(Equal([]string{"j"}))
		Expect(r.UnstoredSuccesses(0, late)).To(BeEmpty())
		Expect(state(r)).To(Equal(flow.Running), "no other instance knows")
		r.SuccessShared([]string{"j", "unknown"})
		Expect(state(r)).To(Equal(flow.Succeeded))
	})

	It("is reported for a while, and longer until an instance knows", func() {
		r := ended(flow.EndDone)
		late := r.now.Add(maxUnstoredAge)
		Expect(r.UnstoredSuccesses(10, late)).To(HaveLen(1))
		r.SuccessShared([]string{"j"})
		Expect(r.UnstoredSuccesses(10, late)).To(BeEmpty())
		Expect(state(r)).To(Equal(flow.Succeeded))
	})

	It("is not reported once the store has it", func() {
		r := ended(flow.EndDone)
		r.save()
		Expect(r.UnstoredSuccesses(10, r.now.Add(minUnstoredAge))).To(BeEmpty())
		Expect(r.unstoredSuccesses).To(BeEmpty())
	})

	It("is not shown early if the job was cancelled", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		r.Cancel("j", r.now)
		Expect(r.UnstoredSuccesses(10, r.now.Add(time.Second))).To(BeEmpty())
		r.SuccessShared([]string{"j"})
		Expect(state(r)).To(Equal(flow.Pending))
	})

	It("keeps the next owner from starting the job again", func() {
		r := newRig(1)
		spec := &flow.Spec{ID: "j", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000), EstimateMS: 100}}}
		r.Restore(spec, &flow.Record{State: flow.Running, Stages: make([]flow.StageRecord, 1)}, r.now, r.now)
		r.Succeeded([]string{"j", "unknown"}, r.now)
		Expect(state(r)).To(Equal(flow.Succeeded))
		Expect(r.startAll()).To(BeEmpty())
		Expect(r.Ended()).To(Equal([]EndedJob{{ID: "j", State: flow.Succeeded}}), "so that it is archived")
	})
})
