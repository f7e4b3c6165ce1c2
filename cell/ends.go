// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// takeEnd processes the end of a run.
func (c *Cell) takeEnd(w *worker, f Finished, now time.Time) {
	r := w.runs[runKey{f.Task, f.Run}]
	if r != nil {
		r.endTrial(f.How == flow.EndDone)
		c.learnSpeed(r, f.How, now)
		c.noteChange(r, RunEndListed)
		c.removeRun(r)
	}
	c.forgetRun(w.previous, runKey{f.Task, f.Run})
	if !c.Known(f.Task.Job) {
		c.addUnmatchedEnd(w, f, now)
		return
	}
	c.takeTaskEnd(w, f, now)
}

// takeTaskEnd processes the end of a run of a known job.
func (c *Cell) takeTaskEnd(w *worker, f Finished, now time.Time) {
	s := c.stage(flow.StepID{Job: f.Task.Job, Round: f.Task.Round, Step: f.Task.Step})
	if s == nil || f.Task.Index >= len(s.tasks) {
		return
	}
	s.job.began = true
	t := &s.tasks[f.Task.Index]
	t.lastRun = max(t.lastRun, f.Run-c.runBaseOf(s.job))
	if f.Checkpoint != "" {
		t.checkpoint = f.Checkpoint
	}
	switch f.How {
	case flow.EndDone:
		c.counts.Done++
		w.health.runDone(now)
		c.completeTask(s, f.Task.Index, now)
	case flow.EndFailed:
		c.counts.Failed++
		c.takeFailure(s, f, w, now)
	case flow.EndStopped, flow.EndGangBroken, flow.EndGangIncomplete:
		c.counts.Stopped++
	case flow.EndLeaseExpired:
		c.counts.Lapsed++
		s.job.history.Lost++
	}
	c.requeue(s, f.Task.Index, f.Checkpoint, now)
}

// requeue lets a task wait again if it has no run left and is not done.
func (c *Cell) requeue(s *stage, index int, checkpoint string, now time.Time) {
	if s.unknown {
		return
	}
	t := &s.tasks[index]
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if t.state != taskActive || len(t.runs) > 0 {
		return
	}
	if s.waiting == 0 {
		s.waitingSince = now
		c.openStage(s)
	}
	s.setWaiting(t, true)
}

// completeTask marks a task as done. If it belongs to a gang all members are done.
func (c *Cell) completeTask(s *stage, index int, now time.Time) {
	if s.def.LongRunning || s.tasksLeft == 0 {
		return
	}
	before := s.tasksLeft
	if s.def.Gang {
		for i := range s.tasks {
			c.markTaskDone(s, i)
		}
	} else {
		c.markTaskDone(s, index)
	}
	c.countCompleted(s, before-s.tasksLeft, now)
	c.markDirty(s.job)
	// Copies and other members of a gang may still be running.
	c.runsNeedCheck = c.runsNeedCheck || s.def.Speculative || s.def.Gang
	if s.tasksLeft == 0 {
		s.doneAt = now
		c.completeStage(s, now)
	}
}

func (c *Cell) markTaskDone(s *stage, index int) {
	t := &s.tasks[index]
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		s.setWaiting(t, false)
	}
	t.state = taskDone
	t.checkpoint = ""
	s.tasksLeft--
}

// completeStage opens the steps that follow a stage, or ends its job.
func (c *Cell) completeStage(s *stage, now time.Time) {
	j := s.job
	if j.state.Final() {
		return
	}
	for i := range j.spec.Steps {
		next := j.stage(s.time, i)
		if slices.Contains(next.def.DependsOn, s.step) {
			next.pendingDeps--
			next.backoff = backoff{}
			if next.pendingDeps == 0 {
				next.waitingSince = now
			}
		}
	}
	j.stagesLeft--
	if j.stagesLeft == 0 {
		c.finish(j, flow.Succeeded, now)
	}
}

// takeFailure processes a failed attempt.
func (c *Cell) takeFailure(s *stage, f Finished, w *worker, now time.Time) {
	t := &s.tasks[f.Task.Index]
	if slices.Contains(t.failedRuns, f.Run) {
		// A former owner has already counted it.
		return
	}
	w.health.runFailed(now)
	s.job.history.Failed++
	if !slices.Contains(t.avoidWorkers, w.ID) {
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
	}
	if s.def.LongRunning {
		return
	}
	t.failedRuns, t.accounted = append(t.failedRuns, f.Run), true
	c.markDirty(s.job)
	if s.def.Gang {
		if s.gangFailedRuns == nil {
			s.gangFailedRuns = make(map[int]bool)
		}
		s.gangFailedRuns[f.Run] = true
	}
	if !s.job.state.Final() && c.attemptsUsedUp(s, f.Task.Index) {
		c.finish(s.job, flow.Failed, now)
	}
}

// attemptsUsedUp reports whether a task, or its gang, has failed as often as its queue allows. A queue
// that is not configured allows nothing and forbids nothing: it may be configured again.
func (c *Cell) attemptsUsedUp(s *stage, index int) bool {
	q, t := c.queues[s.job.spec.Queue], &s.tasks[index]
	if q == nil || s.def.LongRunning || t.state == taskDone {
		return false
	}
	attempts := len(t.failedRuns)
	if s.def.Gang {
		attempts = len(s.gangFailedRuns)
	}
	return attempts >= max(q.MaxAttempts, 1)
}

// endFailedJobs ends the jobs with a waiting task that has failed as often as its queue allows: the
// queue was configured, or its limit was lowered, only after the last failure.
func (c *Cell) endFailedJobs(now time.Time) {
	for _, s := range c.openStages {
		for i := range s.tasks {
			if len(s.tasks[i].failedRuns) > 0 && !s.job.state.Final() && c.attemptsUsedUp(s, i) {
				c.finish(s.job, flow.Failed, now)
			}
		}
	}
}

// Outcome is the outcome of an order to start a run.
type Outcome uint8

// The outcomes of an order to start a run.
const (
	// Accepted means that the worker has the run.
	Accepted Outcome = iota
	// Refused means that the run did not begin and never will.
	Refused
	// NoRoom means that the worker had no room.
	NoRoom
	// NoTicket means that the ticket was not valid any more.
	NoTicket
	// TooOld means that the number of the run was not above earlier ones.
	TooOld
	// Unhealthy means that the worker does not start anything at present.
	Unhealthy
)

// OrderLost reports to the cell that the answer to an order was lost, which counts against the
// worker's health. Detached must be called as well.
func (c *Cell) OrderLost(worker string, now time.Time) {
	if w := c.workers[worker]; w != nil {
		w.health.orderLost(now)
	}
}

// Started processes the answer to an order. If there was no answer, Detached must be called
// instead.
func (c *Cell) Started(worker string, task flow.TaskID, n int, o Outcome, now time.Time) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{task, n}]
	if r == nil || !r.confirmedAt.IsZero() {
		return
	}
	if o == Accepted {
		r.timed = r.checkpoint == ""
		c.confirm(r, now)
		return
	}
	c.notBegun(r, now)
	switch o {
	case NoRoom:
		// The worker's free room is not what this cell has recorded.
		c.Detached(worker, now)
		w.health.noRoom(now)
	case NoTicket:
		r.stage.advice.expireTicket(w)
	case TooOld:
		r.stage.tasks[r.index].lastRun += runNumberSkip
	case Unhealthy:
		w.health.pause(now)
	}
}

// runNumberSkip is how many run numbers are skipped when a worker has seen a higher number than the
// cell.
const runNumberSkip = 16
