// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// A former owner that does not yet know that it has been replaced may accept a job and start its
// tasks after the present owner has read the stored jobs. Workers then list runs and ends of a job
// that is not known here. Such ends are kept until the job is known or all stored jobs have been read,
// however long that takes, and the workers are not told to discard them before: otherwise this owner
// or the next one would start the tasks again.

// maxUnmatchedEnds limits the number of such ends. Those that decide something are kept beyond it:
// workers list a limited number of ends beyond the last one that they may discard.
const maxUnmatchedEnds = 4096

// unmatchedEnd is an end that a worker listed for a job that was not known.
type unmatchedEnd struct {
	Finished
	worker *worker
	at     time.Time
}

// addUnmatchedEnd keeps the end of a run of an unknown job.
func (c *Cell) addUnmatchedEnd(w *worker, f Finished, now time.Time) {
	if f.decides() || len(c.unmatchedEnds) < maxUnmatchedEnds {
		c.unmatchedEnds = append(c.unmatchedEnds, unmatchedEnd{Finished: f, worker: w, at: now})
	}
}

// JobsRead reports to the cell that it knows all jobs that the store had at a time. A run starts
// only after the store has its job, so an end that was listed before that time for a job that is
// still unknown belongs to a retired job or to another cell.
func (c *Cell) JobsRead(at time.Time) {
	c.unmatchedEnds = slices.DeleteFunc(c.unmatchedEnds, func(e unmatchedEnd) bool { return e.at.Before(at) })
}

// HasUnmatchedEnds reports whether there are ends that workers may not be told to discard because
// their jobs may still become known.
func (c *Cell) HasUnmatchedEnds() bool {
	return slices.ContainsFunc(c.unmatchedEnds, func(e unmatchedEnd) bool { return e.decides() })
}

// setSavingEnds sets, for each worker, up to which end it may be told to discard its ends once all
// present changes are stored: the last end taken in, or the one before the first that matters to a
// job that may still become known.
func (c *Cell) setSavingEnds() {
	for _, w := range c.sortedWorkers {
		w.savingEnd = w.seenEnd
	}
	for i := range c.unmatchedEnds {
		if e := &c.unmatchedEnds[i]; e.decides() {
			e.worker.savingEnd = min(e.worker.savingEnd, e.Number-1)
		}
	}
}

// decides reports whether an end changes what the job's record says of its task.
func (f *Finished) decides() bool { return f.How == flow.EndDone || f.How == flow.EndFailed }

// claimUnmatched applies to a job that has become known what workers have already listed of it.
func (c *Cell) claimUnmatched(j *job, now time.Time) {
	for _, e := range c.unmatchedEnds {
		if e.Task.Job == j.spec.ID {
			c.takeTaskEnd(e.worker, e.Finished, now)
		}
	}
	c.unmatchedEnds = slices.DeleteFunc(c.unmatchedEnds, func(e unmatchedEnd) bool { return e.Task.Job == j.spec.ID })
	for _, w := range c.sortedWorkers {
		if w.unknownRuns == 0 {
			continue
		}
		for _, r := range w.runList {
			if r.stage.unknown && r.stage.job.spec.ID == j.spec.ID {
				c.bindUnknownRun(r, now)
			}
		}
	}
}

// bindUnknownRun assigns a run of a formerly unknown job to its step, now that the job is known.
func (c *Cell) bindUnknownRun(r *run, now time.Time) {
	s := c.stage(flow.StepID{Job: r.stage.job.spec.ID, Round: r.stage.time, Step: r.stage.step})
	if s == nil || r.index >= len(s.tasks) || s.tasks[r.index].state == taskElsewhere {
		return
	}
	r.worker.unknownRuns--
	r.stage, r.room = s, s.def.Reservation()
	r.worker.free = r.worker.free.Sub(r.room)
	s.job.charge(s.def.Demand)
	if s.def.IdleCPUOnly {
		r.worker.fillerRuns++
	}
	s.job.began = true
	c.bind(r, now)
}
