// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// Running is a run as its worker lists it.
type Running struct {
	Task       flow.TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Tail is the worker's fifth figure of the run: the tail latency in milliseconds of a serving
	// task, otherwise the processor time in use.
	Tail int64
}

// Finished is the end of a run as its worker lists it.
type Finished struct {
	// Number increases by one with each end within one incarnation of a worker.
	Number     int
	Task       flow.TaskID
	Run        int
	How        flow.End
	Checkpoint string
}

// Lists are a worker's lists of its runs and their ends.
type Lists struct {
	// Born identifies the incarnation of the worker: the Unix time in milliseconds at which it
	// began, 0 if it is not given.
	Born     int64
	Running  []Running
	Finished []Finished
	// Truncated means that there may be more ends than the worker lists at once: Finished is not the
	// last page.
	Truncated bool
	// RunsIncomplete means that Running does not name all runs.
	RunsIncomplete bool
}

// Attached updates the cell from the lists of a worker under a newer fencing token. Earlier orders
// that are not in the lists will never be carried out.
func (c *Cell) Attached(id string, l Lists, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w = c.incarnationThatLists(w, &l, now)
	c.takeLists(w, l, now)
	for _, r := range w.runList {
		if r.throttlePercent != w.throttlePercent || r.throttlePercent != 0 {
			// The last order to set its pace may have been lost.
			r.throttlePercent = -1
		}
		r.orderedBefore = !r.unsent
	}
	w.attached, w.everAttached = true, true
	w.hungUp, w.disconnectSeen = false, false
	c.takePage(w, &l, now)
}

// notBegun removes a run of which it is certain that the order to start it had no effect.
func (c *Cell) notBegun(r *run, now time.Time) {
	c.noteChange(r, RunNotBegun)
	c.removeRun(r)
	c.requeue(r.stage, r.index, r.checkpoint, now)
}

// Listed updates the cell from the lists of a worker that were requested at sent. Lists of another
// incarnation are ignored until it is attached, as orders in flight may still reach it.
func (c *Cell) Listed(id string, l Lists, sent, now time.Time) {
	w := c.workers[id]
	if w == nil || w.isOtherIncarnation(l.Born) {
		return
	}
	turn := c.takeLists(w, l, now)
	if w.attached {
		c.takePage(w, &l, now)
	}
	if l.Truncated || l.RunsIncomplete {
		return
	}
	for _, r := range slices.Clone(w.runList) {
		if r.listSeq != turn && !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent) {
			c.lostRuns = append(c.lostRuns, r.lostRun(LossMissing, now))
			c.counts.Lapsed++
			c.noteChange(r, RunMissing)
			c.removeRun(r)
			c.requeue(r.stage, r.index, r.checkpoint, now)
		}
	}
}

// EndsListed updates the cell from the ends in an answer under an earlier fencing token, whose list of
// runs is out of date. An end is final under any fencing token. Ends of another incarnation are
// ignored, as they are numbered anew: those that the earlier incarnation listed were lost with it, and
// those of the new one are listed again when it is attached.
func (c *Cell) EndsListed(id string, l Lists, now time.Time) {
	if w := c.workers[id]; w != nil && !w.isOtherIncarnation(l.Born) {
		c.takeEnds(w, l.Finished, now)
	}
}

// takeLists processes both lists and returns the sequence number that the listed runs now have.
func (c *Cell) takeLists(w *worker, l Lists, now time.Time) int {
	c.takeEnds(w, l.Finished, now)
	c.listSeq++
	for i := range l.Running {
		c.takeRunning(w, &l.Running[i], now)
	}
	return c.listSeq
}

// takeEnds processes the ends that are new. A worker lists its ends in order, from the first one that
// it was not told to discard, so that none is missed.
func (c *Cell) takeEnds(w *worker, ends []Finished, now time.Time) {
	for _, f := range ends {
		if f.Number <= w.seenEnd {
			continue
		}
		w.seenEnd = f.Number
		c.takeEnd(w, f, now)
	}
}

// takeRunning processes one listed run.
func (c *Cell) takeRunning(w *worker, row *Running, now time.Time) {
	r := w.runs[runKey{row.Task, row.Run}]
	if r == nil {
		r = c.adopt(w, row, now)
		c.noteChange(r, RunAdopted)
	}
	r.listSeq = c.listSeq
	if r.confirmedAt.IsZero() {
		c.confirm(r, now)
	}
	r.lastListed, r.tail = now, row.Tail
	if row.Percent != r.percent {
		r.percent = row.Percent
		r.lastProgress = now
	}
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt records a run that another owner started. If the run is not wanted the next check stops it.
func (c *Cell) adopt(w *worker, row *Running, now time.Time) *run {
	s := c.stage(flow.StepID{Job: row.Task.Job, Round: row.Task.Round, Step: row.Task.Step})
	if s == nil || row.Task.Index >= len(s.tasks) || s.tasks[row.Task.Index].state == taskElsewhere {
		s = &stage{job: &job{spec: &flow.Spec{ID: row.Task.Job}, state: flow.Canceled}, time: row.Task.Round, step: row.Task.Step, def: &flow.Step{}, unknown: true}
	}
	r := &run{stage: s, index: row.Task.Index, number: row.Run, worker: w, decidedAt: now, room: s.def.Reservation()}
	w.addRun(r)
	c.runsNeedCheck = true
	if !s.unknown {
		c.bind(r, now)
	}
	return r
}

// bind assigns a run on a worker to its task.
func (c *Cell) bind(r *run, now time.Time) {
	s := r.stage
	t := &s.tasks[r.index]
	if t.state == taskWaiting {
		s.setWaiting(t, false)
		t.state = taskActive
	}
	t.runs, t.accounted = append(t.runs, r), true
	t.lastRun = max(t.lastRun, r.number-c.runBaseOf(s.job))
	s.countRunOn(r.worker, 1)
	c.startTrialIfNeeded(r, now)
}
