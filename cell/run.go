// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

type runKey struct {
	task flow.TaskID
	n    int
}

// run is one attempt to run a task on a worker.
type run struct {
	stage  *stage
	index  int
	number int
	worker *worker
	// confirmedAt is when the worker was first known to have the run, zero if it is not known to
	// have it.
	confirmedAt time.Time
	// timed means that the run began without a checkpoint and that confirmedAt is when its worker
	// answered the order to start it, so that its duration can be measured.
	timed     bool
	decidedAt time.Time
	stopping  bool
	stopSent  time.Time
	percent   int
	// lastProgress is when percent last changed, and lastListed when the worker last listed the
	// run.
	lastProgress, lastListed time.Time
	checkpoint               string
	room                     sched.Vec
	// tail is the figure described at Running.Tail. throttlePercent is the reduction of its speed
	// that the worker was last told, in percent; -1 if that is not known.
	tail            int64
	throttlePercent int
	// recorded means that the run is named in its job's record until it has ended, stored that the
	// store has that record, and unsent that the order to start the run waits for it. leftOut means
	// that the record has no room for it.
	recorded, stored, unsent, leftOut bool
	// inherited means that a former owner recorded the run and that its worker has not listed it.
	inherited bool
	// orderedBefore means that the order to start the run was sent before the worker was last
	// attached: the worker will not execute it any more.
	orderedBefore bool
	// listSeq is the cell's listSeq when the run was last listed.
	listSeq int
	// trialUntil is the end of the period in which the run is watched because it may crash its
	// worker, zero if it is not on trial.
	trialUntil time.Time
	// trialAwaited is until when the job's other trials wait for this one. trialPassed means that it
	// has counted as one that went well.
	trialAwaited time.Time
	trialPassed  bool
	// urgentIn is the pool whose urgent runs include this one, nil if none do.
	urgentIn *poolHeadroom
}

func (r *run) task() flow.TaskID { return r.stage.taskID(r.index) }

// confirm records that the worker has the run, and so that its job has begun.
func (c *Cell) confirm(r *run, now time.Time) {
	r.confirmedAt, r.lastProgress, r.inherited = now, now, false
	r.stage.job.began = true
	r.worker.health.lostOrders, r.worker.health.noRoomRefusals = 0, 0
	c.noteChange(r, RunBegan)
}

// addRun adds a run to a worker and charges its room and its account.
func (w *worker) addRun(r *run) {
	w.runs[runKey{r.task(), r.number}] = r
	w.runList = append(w.runList, r)
	w.free = w.free.Sub(r.room)
	r.countUrgent()
	r.stage.job.charge(r.stage.def.Demand)
	if r.stage.def.IdleCPUOnly {
		w.fillerRuns++
	}
	if r.stage.unknown {
		w.unknownRuns++
	}
}

// removeRun removes a run from its worker and its task and releases its room.
func (c *Cell) removeRun(r *run) {
	r.endTrial(false)
	r.unsent = false
	if (r.recorded || r.stored) && !r.stage.job.state.Final() {
		c.markDirty(r.stage.job)
	}
	delete(r.worker.runs, runKey{r.task(), r.number})
	r.worker.runList = slices.DeleteFunc(r.worker.runList, func(o *run) bool { return o == r })
	r.worker.free = r.worker.free.Add(r.room)
	r.uncountUrgent()
	r.stage.job.refund(r.stage.def.Demand)
	if r.stage.def.IdleCPUOnly {
		r.worker.fillerRuns--
	}
	if r.stage.unknown {
		r.worker.unknownRuns--
		return
	}
	t := &r.stage.tasks[r.index]
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	r.stage.countRunOn(r.worker, -1)
}
