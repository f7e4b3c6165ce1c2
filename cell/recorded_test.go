// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// restoredWithStart returns a cell whose former owner had recorded a start of the only task of job j
// on worker "old".
func restoredWithStart(step flow.Step, starts ...flow.RunStart) *rig {
	r := newRig(2)
	r.Heard(Worker{ID: "old", Hall: "h", Gone: true}, r.now)
	rec := &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Starts: map[int][]flow.RunStart{0: starts}}}}
	r.Restore(&flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{step}}, rec, r.now, r.now)
	return r
}

var (
	oneTask     = flow.Step{Count: 1, Demand: demand(1000)}
	startOnOld  = flow.RunStart{Run: 77, Worker: "old"}
	firstOfJobJ = flow.TaskID{Job: "j"}
)

// Guards against a task that never starts again: the worker of its recorded start listed too many
// ends to list all of its runs when it was attached.
func TestRecordedStartThatNeverBeganIsMadeAgain(t *testing.T) {
	for _, truncated := range []bool{false, true} {
		g := NewWithT(t)
		r := restoredWithStart(oneTask, startOnOld)
		r.Attached("old", Lists{Truncated: truncated}, r.now)
		if truncated {
			g.Expect(r.startAll()).To(BeEmpty())
			r.now = r.now.Add(time.Second)
			r.Listed("old", Lists{}, r.now, r.now)
		}
		g.Expect(r.startAll()).To(HaveLen(1))
		g.Expect(r.jobs["j"].stages[0].tasks[0].crashes).To(BeEmpty())
	}
}

// Guards against a second run of a task that still runs under a recorded start, and against a loss
// held against one that has failed.
func TestRecordedStartEndsAsItsWorkerLists(t *testing.T) {
	g := NewWithT(t)
	r := restoredWithStart(oneTask, startOnOld)
	r.Attached("old", Lists{Running: []Running{{Task: firstOfJobJ, Run: 77}}}, r.now)
	g.Expect(r.startAll()).To(BeEmpty())
	failed := Finished{Number: 1, Task: firstOfJobJ, Run: 77, How: flow.EndFailed}
	r.Listed("old", Lists{Finished: []Finished{failed}}, r.now, r.now)
	r.Forget("old", LossReborn, r.now)
	g.Expect(r.startAll()).To(HaveLen(1))
	g.Expect(r.jobs["j"].stages[0].tasks[0].crashes).To(BeEmpty())
}

// Guards against an entry for each owner in a row: a start on record is counted once, however often
// the owner changes before the store has its loss.
func TestRecordedStartIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	r := restoredWithStart(oneTask, startOnOld)
	r.Forget("old", LossReborn, r.now)
	rec := r.jobs["j"].record()
	next := newRig(0)
	next.Restore(r.jobs["j"].spec, rec, next.now, next.now)
	next.Heard(Worker{ID: "other", Hall: "h", Gone: true}, next.now)
	next.Forget("other", LossReborn, next.now)
	next.startAll()
	g.Expect(next.jobs["j"].stages[0].tasks[0].crashes).To(Equal([]flow.Crash{{Run: 77, Blame: flow.BlameUnlikely, Inherited: true}}))
}

// Guards against a start that is sent although its worker, or its job, has gone while the store was
// written, and against room that such a start keeps.
func TestStartThatWaitsForTheStoreIsWithdrawn(t *testing.T) {
	for name, change := range map[string]func(r *rig, worker string){
		"worker lost": func(r *rig, worker string) { r.loseWorkerOf(Start{Worker: worker}, 10*time.Millisecond) },
		"worker leaves": func(r *rig, worker string) {
			r.heard(worker, func(w *Worker) { w.Draining, w.Remaining = true, time.Second })
		},
		"job cancelled":   func(r *rig, _ string) { r.Cancel("j", r.now) },
		"worker detached": func(r *rig, worker string) { r.Detached(worker, r.now) },
	} {
		g := NewWithT(t)
		r := newRig(3)
		r.add("j", oneTask)
		r.loseWorkerOf(r.startAll()[0], 10*time.Millisecond)
		g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
		g.Expect(r.unsent).To(HaveLen(1), name)
		worker := r.unsent[0].worker
		change(r, worker.ID)
		r.save()
		for _, s := range r.startAll() {
			g.Expect(s.Worker).NotTo(Equal(worker.ID), name)
		}
		g.Expect(worker.free).To(Equal(worker.Room), name)
		g.Expect(worker.runList).To(BeEmpty(), name)
	}
}

// Guards against a gang of which a part is started: a member's worker went while the store was
// written.
func TestGangThatWaitsForTheStoreStartsAsAWhole(t *testing.T) {
	g := NewWithT(t)
	r := newRig(3)
	r.add("j", flow.Step{Count: 2, Demand: demand(3000), Gang: true})
	first := r.startAll()
	g.Expect(first).To(HaveLen(2))
	r.end(first[1], flow.EndGangBroken)
	r.loseWorkerOf(first[0], 10*time.Millisecond)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
	g.Expect(r.unsent).To(HaveLen(2))
	saves := r.Saves(10)
	r.Detached(r.unsent[1].worker.ID, r.now)
	r.Saved(saves, true)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
	r.save()
	g.Expect(r.place().Starts).To(BeEmpty(), "there is room for one member only")
}
