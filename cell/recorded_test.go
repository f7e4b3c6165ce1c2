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
	rec, _ := r.jobs["j"].record(allDetails)
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

// Guards against a record that the store refuses as too long: all tasks of a wide job were lost with a
// hall and started again.
func TestRecordOfAWideJobStaysBelowTheLimitOfARow(t *testing.T) {
	const (
		tasks       = 2000
		maxRowBytes = 65536
	)
	g := NewWithT(t)
	r := newRig(0)
	for _, id := range []string{"a", "b", "c", "d"} {
		r.heard(id, func(w *Worker) { w.Room = vec(1_000_000, 1_000_000) })
		r.Attached(id, Lists{}, r.now)
	}
	r.add("j", flow.Step{Count: tasks, Demand: demand(900)})
	running := make(map[string][]Running)
	for _, s := range r.startAll() {
		running[s.Worker] = append(running[s.Worker], Running{Task: s.Task, Run: s.Run})
	}
	r.now = r.now.Add(2 * time.Second)
	for id, rows := range running {
		r.Listed(id, Lists{Running: rows}, r.now, r.now)
	}
	for _, id := range []string{"a", "b"} {
		r.Detached(id, r.now)
	}
	r.now = r.now.Add(6 * time.Second)
	for _, id := range []string{"a", "b"} {
		r.Forget(id, LossSilent, r.now)
	}
	for _, id := range []string{"c", "d"} {
		r.heard(id, func(w *Worker) { w.Room = vec(4_000_000, 4_000_000) })
	}
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
	lost := len(r.unsent)
	g.Expect(lost).To(BeNumerically(">", 900))
	for _, s := range r.Saves(100) {
		g.Expect(len(flow.Encode(s.Record))).To(BeNumerically("<", maxRowBytes))
		r.Saved([]Save{s}, true)
	}
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(HaveLen(lost))
}

// Guards against a gang that is started in parts: only some of its members were on record, or fitted
// the link.
func TestGangOnRecordIsSentWhole(t *testing.T) {
	g := NewWithT(t)
	const members = maxNamedTasks + 10
	r := newRig(0)
	for _, id := range []string{"a", "b", "c"} {
		r.heard(id, func(w *Worker) { w.Room = vec(1_000_000, 1_000_000) })
		r.Attached(id, Lists{}, r.now)
	}
	r.add("j", flow.Step{Count: members, Demand: demand(2000), Gang: true})
	first := r.startAll()
	g.Expect(first).To(HaveLen(members))
	for _, s := range first[1:] {
		r.end(s, flow.EndGangBroken)
	}
	r.loseWorkerOf(first[0], 10*time.Millisecond)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
	saves := r.Saves(10)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty(), "no member before all are on record")
	r.Saved(saves, true)
	r.SetSendBudget(1, false)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(HaveLen(members))
}

// Guards against a loss held against a task whose first run has failed: the former owner wrote nothing
// of either, and a worker was lost while the owner changed.
func TestFailedFirstStartIsNotCountedAsLost(t *testing.T) {
	g := NewWithT(t)
	r := newRig(2)
	r.Heard(Worker{ID: "old", Hall: "h", Gone: true}, r.now)
	r.Restore(&flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{oneTask}}, nil, r.now, r.now)
	r.Forget("old", LossReborn, r.now)
	failed := Finished{Number: 1, Task: firstOfJobJ, Run: 77, How: flow.EndFailed}
	r.Listed("w0", Lists{Finished: []Finished{failed}}, r.now, r.now)
	g.Expect(r.startAll()).To(HaveLen(1))
	g.Expect(r.jobs["j"].stages[0].tasks[0].crashes).To(BeEmpty())
}
