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
	// earlyKept is for how long ends of unknown jobs are kept: several times as long as it
	// takes an owner to find a job that nobody told it of.
	earlyKept = 30 * time.Second
	// earlyMost bounds them.
	earlyMost = 4096
)

// earlyEnd is an end that a worker listed of a job that was not known.
type earlyEnd struct {
	Finished
	worker *worker
	at     time.Time
}

// keepEarly keeps the end of a run of a job that is not known.
func (c *Cell) keepEarly(w *worker, f Finished, now time.Time) {
	c.forgetEarly(now)
	if over := len(c.early) + 1 - earlyMost; over > 0 {
		c.early = slices.Delete(c.early, 0, over)
	}
	c.early = append(c.early, earlyEnd{Finished: f, worker: w, at: now})
}

// forgetEarly forgets the ends of jobs that have not become known for long.
func (c *Cell) forgetEarly(now time.Time) {
	c.early = slices.DeleteFunc(c.early, func(e earlyEnd) bool { return now.Sub(e.at) > earlyKept })
}

// JobsRead says that all jobs are known that the store had at a time. A run starts only once the
// store has its job: an end that was listed before then, of a job that is still not known, is that
// of a job that is over, or of another cell.
func (c *Cell) JobsRead(at time.Time) {
	c.early = slices.DeleteFunc(c.early, func(e earlyEnd) bool { return e.at.Before(at) })
}

// mayForget sets up to which end each worker may be told to forget its ends once all that is dirty
// now is kept: up to the last one that was taken in, or to the one before the first of a job that
// may still become known.
func (c *Cell) mayForget() {
	for _, w := range c.order {
		w.saving = w.seen
	}
	for i := range c.early {
		if e := &c.early[i]; e.decides() {
			e.worker.saving = min(e.worker.saving, e.Number-1)
		}
	}
}

// decides reports whether an end says something of its task that a record keeps.
func (f *Finished) decides() bool { return f.How == flow.EndDone || f.How == flow.EndFailed }

// takeEarly takes in what was listed of a job before it was known.
func (c *Cell) takeEarly(j *job, now time.Time) {
	for _, e := range c.early {
		if e.Task.Job == j.spec.ID {
			c.endOfTask(e.worker, e.Finished, now)
		}
	}
	c.early = slices.DeleteFunc(c.early, func(e earlyEnd) bool { return e.Task.Job == j.spec.ID })
	for _, w := range c.order {
		if w.strays == 0 {
			continue
		}
		for _, r := range w.held {
			if r.stage.stray && r.stage.job.spec.ID == j.spec.ID {
				c.claimStray(r, now)
			}
		}
	}
}

// claimStray gives a run to the step of its job, which is known by now.
func (c *Cell) claimStray(r *run, now time.Time) {
	s := c.stage(flow.StepID{Job: r.stage.job.spec.ID, Time: r.stage.time, Step: r.stage.step})
	if s == nil || r.index >= len(s.tasks) || s.tasks[r.index].state == taskElsewhere {
		return
	}
	r.w.strays--
	r.stage, r.taken = s, s.def.Room()
	r.w.free = r.w.free.Sub(r.taken)
	s.job.charge(s.def.Demand)
	if s.def.Fills {
		r.w.fills++
	}
	s.job.began = true
	c.bind(r, now)
}
