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

// run is one start of a task.
type run struct {
	stage  *stage
	index  int
	number int
	worker *worker
	// confirmedAt is when the worker was first known to have it; zero is not yet.
	confirmedAt time.Time
	decidedAt   time.Time
	stopping    bool
	stopSent    time.Time
	percent     int
	// lastProgress is when percent last changed, and lastListed when it was last
	// lastListed.
	lastProgress, lastListed time.Time
	checkpoint               string
	taken                    sched.Vec
	// tail is the worker's figure of how it fares, and withheld how much of its
	// speed it was told to do without, in hundredths; -1 is not known.
	tail            int64
	throttlePercent int
	// listSeq is that of the cell when the run was last listed.
	listSeq int
	// trialUntil is until when it is watched as one that may crash its worker, zero if it
	// is not.
	trialUntil time.Time
}

func (r *run) task() flow.TaskID { return r.stage.taskID(r.index) }

// confirm notes that the worker has the run: its job has begun.
func (c *Cell) confirm(r *run, now time.Time) {
	r.confirmedAt, r.lastProgress = now, now
	r.stage.job.began = true
	r.worker.health.lostOrders, r.worker.health.noRoomRefusals = 0, 0
	c.noteChange(r, RunBegan)
}

// addRun puts a run on the books of a worker.
func (w *worker) addRun(r *run) {
	w.runs[runKey{r.task(), r.number}] = r
	w.runList = append(w.runList, r)
	w.free = w.free.Sub(r.taken)
	r.stage.job.charge(r.stage.def.Demand)
	if r.stage.def.Fills {
		w.fillerRuns++
	}
	if r.stage.unknown {
		w.unknownRuns++
	}
}

// removeRun takes a run off the books.
func (c *Cell) removeRun(r *run) {
	r.endTrial(false)
	delete(r.worker.runs, runKey{r.task(), r.number})
	r.worker.runList = slices.DeleteFunc(r.worker.runList, func(o *run) bool { return o == r })
	r.worker.free = r.worker.free.Add(r.taken)
	r.stage.job.refund(r.stage.def.Demand)
	if r.stage.def.Fills {
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
