// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// A former owner that did not know yet that it is none may have been told of a job and started
// tasks of it, after the present owner read its jobs. The workers then list runs and ends of a job
// that is not known here. They are kept until the job is, and the workers are not told to forget
// them before: the next owner would not hear of them, and start their tasks again.

const (
	// unmatchedEndRetention is for how long ends of unknown jobs are kept: several times as long as it
	// takes an owner to find a job that nobody told it of.
	unmatchedEndRetention = 30 * time.Second
	// maxUnmatchedEnds bounds them.
	maxUnmatchedEnds = 4096
)

// unmatchedEnd is an end that a worker listed of a job that was not known.
type unmatchedEnd struct {
	Finished
	worker *worker
	at     time.Time
}

// addUnmatchedEnd keeps the end of a run of a job that is not known.
func (c *Cell) addUnmatchedEnd(w *worker, f Finished, now time.Time) {
	c.expireUnmatchedEnds(now)
	if over := len(c.unmatchedEnds) + 1 - maxUnmatchedEnds; over > 0 {
		c.unmatchedEnds = slices.Delete(c.unmatchedEnds, 0, over)
	}
	c.unmatchedEnds = append(c.unmatchedEnds, unmatchedEnd{Finished: f, worker: w, at: now})
}

// expireUnmatchedEnds forgets the ends of jobs that have not become known for long.
func (c *Cell) expireUnmatchedEnds(now time.Time) {
	c.unmatchedEnds = slices.DeleteFunc(c.unmatchedEnds, func(e unmatchedEnd) bool { return now.Sub(e.at) > unmatchedEndRetention })
}

// JobsRead says that all jobs are known that the store had at a time. A run starts only once the
// store has its job: an end that was listed before then, of a job that is still not known, is that
// of a job that is over, or of another cell.
func (c *Cell) JobsRead(at time.Time) {
	c.unmatchedEnds = slices.DeleteFunc(c.unmatchedEnds, func(e unmatchedEnd) bool { return e.at.Before(at) })
}

// setSavingEnds sets up to which end each worker may be told to forget its ends once all that is dirty
// now is kept: up to the last one that was taken in, or to the one before the first of a job that
// may still become known.
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

// decides reports whether an end says something of its task that a record keeps.
func (f *Finished) decides() bool { return f.How == flow.EndDone || f.How == flow.EndFailed }

// claimUnmatched takes in what was listed of a job before it was known.
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

// bindUnknownRun gives a run to the step of its job, which is known by now.
func (c *Cell) bindUnknownRun(r *run, now time.Time) {
	s := c.stage(flow.StepID{Job: r.stage.job.spec.ID, Time: r.stage.time, Step: r.stage.step})
	if s == nil || r.index >= len(s.tasks) || s.tasks[r.index].state == taskElsewhere {
		return
	}
	r.worker.unknownRuns--
	r.stage, r.taken = s, s.def.Room()
	r.worker.free = r.worker.free.Sub(r.taken)
	s.job.charge(s.def.Demand)
	if s.def.Fills {
		r.worker.fillerRuns++
	}
	s.job.began = true
	c.bind(r, now)
}
