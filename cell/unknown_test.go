// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

func TestTaskThatEndedBeforeItsJobWasKnownIsNotRestarted(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	task := flow.TaskID{Job: "j"}
	// A former owner that had already been replaced accepted a job and started it at once.
	r.Attached("w0", Lists{Finished: []Finished{{Number: 1, Task: task, Run: 8193, How: flow.EndDone}}}, r.now)
	r.save()
	g.Expect(r.Observed("w0")).To(BeZero(), "the next owner has to learn of it as well")
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty())
	g.Expect(r.Observed("w0")).To(Equal(1), "the worker may discard it")
}

func TestTaskRunningBeforeItsJobWasKnownIsNotStartedTwice(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	r.heard("w1", func(*Worker) {})
	task := flow.TaskID{Job: "j"}
	r.Attached("w0", Lists{Running: []Running{{Task: task, Run: 8193}}}, r.now)
	r.Attached("w1", Lists{}, r.now)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty())
	state, _ := r.State("j")
	g.Expect(state).To(Equal(flow.Running))
	r.Listed("w0", Lists{Finished: []Finished{{Number: 1, Task: task, Run: 8193, How: flow.EndDone}}}, r.now, r.now)
	r.save()
	state, _ = r.State("j")
	g.Expect(state).To(Equal(flow.Succeeded))
}

func TestEndOfAnUnknownJobIsKeptUntilItsRecordIsStored(t *testing.T) {
	for _, how := range []flow.End{flow.EndDone, flow.EndFailed} {
		t.Run(string(how), func(t *testing.T) { checkEndKeptUntilStored(t, how) })
	}
}

func checkEndKeptUntilStored(t *testing.T, how flow.End) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	other := flow.TaskID{Job: "other"}
	task := flow.TaskID{Job: "j"}
	r.Attached("w0", Lists{Finished: []Finished{
		{Number: 1, Task: other, Run: 8193, How: flow.EndStopped},
		{Number: 2, Task: task, Run: 8193, How: how},
		{Number: 3, Task: other, Run: 8194, How: flow.EndStopped},
	}}, r.now)
	r.save()
	g.Expect(r.Observed("w0")).To(Equal(1), "the next owner has to learn of it as well")
	g.Expect(r.Unsaved("w0")).To(BeTrue())
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	saves := r.Saves(100)
	g.Expect(r.Observed("w0")).To(Equal(1))
	r.Saved(saves, false)
	g.Expect(r.Observed("w0")).To(Equal(1), "the store has not written it")
	r.save()
	g.Expect(r.Observed("w0")).To(Equal(3))
}

func TestEndOfARetiredJobIsDroppedOnceTheJobsWereReadAgain(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	listed := r.now
	r.Attached("w0", Lists{Finished: []Finished{{Number: 1, Task: flow.TaskID{Job: "j"}, Run: 8193, How: flow.EndDone}}}, listed)
	for _, read := range []time.Time{listed.Add(-time.Second), listed} {
		r.JobsRead(read)
		r.save()
		g.Expect(r.Observed("w0")).To(BeZero(), "the jobs may have been read before the end")
	}
	r.JobsRead(listed.Add(time.Millisecond))
	r.save()
	g.Expect(r.Observed("w0")).To(Equal(1))
}

func TestEndOfAJobThatNeverBecomesKnownExpires(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	r.Attached("w0", Lists{Finished: []Finished{{Number: 1, Task: flow.TaskID{Job: "j"}, Run: 8193, How: flow.EndDone}}}, r.now)
	r.now = r.now.Add(unmatchedEndRetention + time.Second)
	r.place()
	r.save()
	g.Expect(r.Observed("w0")).To(Equal(1))
}
