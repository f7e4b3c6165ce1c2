// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// ended takes in the end of a run.
func (c *Cell) ended(w *worker, f Finished, now time.Time) {
	r := w.runs[runKey{f.Task, f.Run}]
	if r != nil {
		r.endTrial(f.How == flow.EndDone)
		c.note(r, RunEndListed)
		c.drop(r)
	}
	if !c.Known(f.Task.Job) {
		c.keepEarly(w, f, now)
		return
	}
	c.endOfTask(w, f, now)
}

// endOfTask takes in the end of a run of a job that is known.
func (c *Cell) endOfTask(w *worker, f Finished, now time.Time) {
	s := c.stage(flow.StepID{Job: f.Task.Job, Time: f.Task.Time, Step: f.Task.Step})
	if s == nil || f.Task.Index >= len(s.tasks) {
		return
	}
	s.job.began = true
	t := &s.tasks[f.Task.Index]
	t.last = max(t.last, f.Run-c.firstRun)
	if f.Saved != "" {
		t.saved = f.Saved
	}
	switch f.How {
	case flow.EndDone:
		c.counts.Done++
		w.health.good(now)
		c.done(s, f.Task.Index, now)
	case flow.EndFailed:
		c.counts.Failed++
		c.failed(s, f, w, now)
	case flow.EndStopped, flow.EndBroken, flow.EndAlone:
		c.counts.Stopped++
	case flow.EndLapsed:
		c.counts.Lapsed++
		s.job.story.Lost++
	}
	c.requeue(s, f.Task.Index, f.Saved, now)
}

// requeue lets a task wait again if it has no run left and is not done.
func (c *Cell) requeue(s *stage, index int, saved string, now time.Time) {
	if s.stray {
		return
	}
	t := &s.tasks[index]
	if saved != "" {
		t.saved = saved
	}
	if t.state != taskActive || len(t.runs) > 0 {
		return
	}
	if s.waiting == 0 {
		s.waitSince = now
		if !slices.Contains(c.open, s) {
			c.open = append(c.open, s)
		}
	}
	s.setWaiting(t, true)
}

// done takes in that a task is done. One member of a gang speaks for all.
func (c *Cell) done(s *stage, index int, now time.Time) {
	if s.def.Lasting || s.left == 0 {
		return
	}
	if s.def.Gang {
		for i := range s.tasks {
			c.oneDone(s, i)
		}
	} else {
		c.oneDone(s, index)
	}
	c.mark(s.job)
	// Copies and members of a gang may run on.
	c.restless = c.restless || s.def.Copies || s.def.Gang
	if s.left == 0 {
		s.doneAt = now
		c.stageDone(s, now)
	}
}

func (c *Cell) oneDone(s *stage, index int) {
	t := &s.tasks[index]
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		s.setWaiting(t, false)
	}
	t.state = taskDone
	t.saved = ""
	s.left--
}

// stageDone opens the steps behind a stage, or ends its job.
func (c *Cell) stageDone(s *stage, now time.Time) {
	j := s.job
	if j.state.Final() {
		return
	}
	for i := range j.spec.Steps {
		next := j.stage(s.time, i)
		if slices.Contains(next.def.After, s.step) {
			next.before--
			if next.before == 0 {
				next.waitSince = now
			}
		}
	}
	j.left--
	if j.left == 0 {
		c.finish(j, flow.Succeeded, now)
	}
}

// failed takes in a failed attempt.
func (c *Cell) failed(s *stage, f Finished, w *worker, now time.Time) {
	t := &s.tasks[f.Task.Index]
	if slices.Contains(t.fails, f.Run) {
		// A former owner has taken note of it.
		return
	}
	w.health.bad(now)
	s.job.story.Failed++
	if !slices.Contains(t.avoid, w.ID) {
		t.avoid = append(t.avoid, w.ID)
	}
	if s.def.Lasting {
		return
	}
	t.fails = append(t.fails, f.Run)
	c.mark(s.job)
	attempts := len(t.fails)
	if s.def.Gang {
		if s.gangFails == nil {
			s.gangFails = make(map[int]bool)
		}
		s.gangFails[f.Run] = true
		attempts = len(s.gangFails)
	}
	if t.state == taskDone || s.job.state.Final() {
		return
	}
	q := c.queues[s.job.spec.Queue]
	if q != nil && attempts >= max(q.MaxAttempts, 1) {
		c.finish(s.job, flow.Failed, now)
	}
}

// Outcome is what became of an order to start a run.
type Outcome uint8

// The outcomes of an order to start a run.
const (
	// Accepted means that the run is there.
	Accepted Outcome = iota
	// Refused means that the run did not begin and never will.
	Refused
	// NoRoom means that the worker had no room.
	NoRoom
	// NoTicket means that the ticket was not good any more.
	NoTicket
	// TooOld means that the number of the run was not above earlier ones.
	TooOld
	// Unhealthy means that the worker does not start anything now.
	Unhealthy
)

// OrderLost says that the answer to an order was lost, as was the worker's hold on it: call Unsure
// as well.
func (c *Cell) OrderLost(worker string, now time.Time) {
	if w := c.workers[worker]; w != nil {
		w.health.orderLost(now)
	}
}

// Started takes in the answer to an order. Where there was none, call Unsure.
func (c *Cell) Started(worker string, task flow.TaskID, n int, o Outcome, now time.Time) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{task, n}]
	if r == nil || !r.confirmed.IsZero() {
		return
	}
	if o == Accepted {
		c.confirm(r, now)
		return
	}
	c.note(r, RunNotBegun)
	c.drop(r)
	switch o {
	case NoRoom:
		// What the worker has is not what is on the books.
		c.Unsure(worker, now)
		w.health.hasNoRoom(now)
	case NoTicket:
		r.stage.advice.forget(w)
	case TooOld:
		r.stage.tasks[r.index].last += runSkip
	case Unhealthy:
		w.health.refuse(now)
	}
	c.requeue(r.stage, r.index, r.saved, now)
}

// runSkip is how many numbers are passed over when a worker has seen a higher
// one than the cell.
const runSkip = 16
