// SPDX-License-Identifier: Apache-2.0

package cell

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

var _ = Describe("a change of owner", func() {
	record := func(halls ...string) *flow.Record {
		return &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: halls}}}
	}
	spec := &flow.Spec{ID: "j", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}

	It("adopts the runs there are, and starts nothing twice", func() {
		r := newRig(0)
		r.Restore(spec, record("h"), r.now, r.now)
		r.heard("w0", func(*Worker) {})
		row := Running{Task: flow.TaskID{Job: "j"}, Run: 4097, Percent: 50}
		r.Attached("w0", Lists{Running: []Running{row}}, r.now)
		Expect(r.startAll()).To(BeEmpty())
		r.Listed("w0", Lists{Finished: []Finished{{Number: 9, Task: row.Task, Run: row.Run, How: flow.EndDone}}}, r.now, r.now)
		r.save()
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Succeeded))
	})

	It("holds back a step that was open while a worker may already run it", func() {
		r := newRig(1)
		r.heard("w9", func(*Worker) {})
		r.Restore(spec, record("h"), r.now, r.now)
		Expect(r.startAll()).To(BeEmpty())
		r.WorkerLost("w9", LossSilent, r.now)
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("waits for workers in the job's own hall, and for no others", func() {
		for hall, held := range map[string]bool{"h": true, "other": false, "": true} {
			r := newRig(1)
			r.heard("w9", func(w *Worker) { w.Hall = hall })
			own := *spec
			own.Hall = "h"
			r.Restore(&own, record(), r.now, r.now)
			Expect(r.startAll()).To(HaveLen(map[bool]int{true: 0, false: 1}[held]), "an unsettled worker in hall %q", hall)
		}
	})

	It("does not hold back a job that arrived after it", func() {
		r := newRig(1)
		r.heard("w9", func(*Worker) {})
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("stops runs of unknown jobs", func() {
		r := newRig(0)
		r.heard("w0", func(*Worker) {})
		r.Attached("w0", Lists{Running: []Running{{Task: flow.TaskID{Job: "gone"}, Run: 5}}}, r.now)
		Expect(r.place().Stops).To(HaveLen(1))
	})
})

var _ = Describe("a worker with a run of an unknown job", func() {
	It("is given nothing until the run has ended, as its room is unknown", func() {
		r := newRig(1)
		// All runs were checked a moment ago; a new one is checked at once.
		r.Place(r.now, r.now, 0)
		unknownRun := Running{Task: flow.TaskID{Job: "gone"}, Run: 1 << 12}
		r.Attached("w0", Lists{Running: []Running{unknownRun}}, r.now)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		a := r.place()
		Expect(a.Starts).To(BeEmpty())
		Expect(a.Stops).To(HaveLen(1))
		r.Listed("w0", Lists{Finished: []Finished{{Number: 1, Task: unknownRun.Task, Run: unknownRun.Run, How: flow.EndStopped}}}, r.now, r.now)
		Expect(r.place().Starts).To(HaveLen(1))
	})
})
