// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

const (
	// stopRetryInterval spaces the orders to stop one run.
	stopRetryInterval = 600 * time.Millisecond
	// A run that shows no progress for stallPercent of its estimate, in hundredths
	// and within the two bounds, is started elsewhere.
	stallPercent = 40
	minStallTime = 500 * time.Millisecond
	maxStallTime = 2500 * time.Millisecond
	// gangEndGrace is how long the members of a gang may take to end after the first.
	gangEndGrace = time.Second
	// moveDuration is about how long it takes to move a task that lasts: a stop, a start and
	// until it is at work.
	moveDuration = time.Second
	// finalMoveLead is how long before the end of its worker a task has to be stopped at the
	// latest for the stop to be listed: as long as the slowest workers take for one.
	finalMoveLead = 900 * time.Millisecond
	// endListingMargin is how long before the end of its worker a run has to be done: an end that
	// comes later may be listed in an answer that never arrives, as the connection ends with the
	// worker, and its task would run again. The worker is not asked for up to 0.25 s while the
	// ends that it has listed are being written.
	endListingMargin = 250 * time.Millisecond
	// copyDelay is how long a worker is out of reach before a step that may
	// have copies is started elsewhere.
	copyDelay = 400 * time.Millisecond
)

// Restless reports whether there are runs to stop that the last decision did not see yet.
func (c *Cell) Restless() bool { return c.runsNeedCheck }

// decideStops decides which runs to stop: those that nobody wants any more, and those
// that stand still.
func (c *Cell) decideStops(a *Actions, now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached {
			c.requeueForCopies(w, now)
			continue
		}
		for _, r := range w.runList {
			c.checkTrial(r, now)
			if !r.unwanted(now) {
				c.checkStall(r, now)
				c.checkLeaving(r, now)
			}
			if !r.unwanted(now) || (r.stopping && now.Sub(r.stopSent) < stopRetryInterval) {
				continue
			}
			r.stopping, r.stopSent = true, now
			a.Stops = append(a.Stops, Stop{Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.number})
		}
	}
	c.askBeforeLeaseEnds(now)
}

// unwanted reports whether r should be stopped.
func (r *run) unwanted(now time.Time) bool {
	s := r.stage
	if s.unknown || s.job.state.Final() || r.stopping {
		return true
	}
	t := &s.tasks[r.index]
	if t.state == taskDone {
		// The other members of a gang end by themselves.
		return !s.def.Gang || now.Sub(s.doneAt) > gangEndGrace
	}
	return len(t.runs) > 1 && !s.def.Copies && t.runs[0] != r
}

// checkStall marks a run that stands still for stopping.
func (c *Cell) checkStall(r *run, now time.Time) {
	if r.confirmedAt.IsZero() || r.percent >= 100 || r.lastListed.Sub(r.lastProgress) < r.stallAfter() {
		return
	}
	r.stopping = true
	r.stopSent = time.Time{}
	c.noteChange(r, RunStalled)
	r.worker.health.runStalled(now)
	r.stage.tasks[r.index].avoid = append(r.stage.tasks[r.index].avoid, r.worker.ID)
}

// stallAfter returns how long r may show no progress.
func (r *run) stallAfter() time.Duration {
	if r.stage.def.Lasting {
		return maxStallTime
	}
	return min(max(r.stage.def.Estimate()*stallPercent/100, minStallTime), maxStallTime)
}

// checkLeaving marks a run for stopping whose worker leaves before it is surely known to be done,
// if it can go on elsewhere, or at the last moment.
func (c *Cell) checkLeaving(r *run, now time.Time) {
	if !r.worker.leaving() || r.stopping {
		return
	}
	s := r.stage
	left := r.worker.timeUntilLeave(now)
	last := r.worker.Draining && !s.def.Lasting && left <= endListingMargin
	// A gang cannot be moved one by one; with the worker of a member it ends in any case.
	if s.def.Gang && !last {
		return
	}
	if !s.def.Lasting && r.remaining(now) < left-endListingMargin {
		return
	}
	if s.def.Lasting && !s.mayMove(r, left, now) {
		return
	}
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return
	}
	if !last && c.countPlaces(s, q, now) <= s.tasksToPlace() {
		s.needsMove = true
		if !slices.Contains(c.openStages, s) {
			c.openStages = append(c.openStages, s)
		}
		return
	}
	r.stopping = true
	r.stopSent = time.Time{}
	c.noteChange(r, RunMoving)
}

// mayMove reports whether a task of a lasting step may be stopped now to be moved from a worker
// that stays for left. What a step says that it may miss holds for all that are away. Without
// such a word as many move at once as it takes for all to be elsewhere in time.
//
// A worker that ends takes its runs with it in any case, and that they are over is known only
// with their lease: so what is still there just before its end is moved whatever is away.
func (s *stage) mayMove(r *run, left time.Duration, now time.Time) bool {
	if r.worker.Draining && left <= finalMoveLead {
		return true
	}
	if s.def.MayMiss > 0 {
		// Each cell that runs a part of the step has an equal part of that.
		return s.tasksAway() < s.def.MayMiss/max(s.job.share.Of, 1)
	}
	leaving, under := 0, 0
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.worker.leaving() {
				leaving++
			}
			if r.stopping || (!r.atWork() && now.Sub(r.decidedAt) < moveDuration) {
				under++
			}
		}
	}
	return under < 1+int(time.Duration(leaving)*moveDuration/max(left, moveDuration))
}

// countPlaces counts the tasks of s that would find room now. It stops at as many as s has.
func (c *Cell) countPlaces(s *stage, q *Queue, now time.Time) int {
	n := 0
	room := s.def.Room()
	for p := range c.permits(s, q, now) {
		w := p.worker
		if !w.usable() || !w.suits(s, q) || !w.health.allows(len(w.runs), now) || w.underTrial(now) {
			continue
		}
		free := w.free.Sub(w.reserved)
		for more := 0; free.Covers(&room) && (s.def.PerWorker == 0 || s.runsByWorker[w]+more < s.def.PerWorker); more++ {
			free = free.Sub(room)
			if n++; n >= len(s.tasks) {
				return n
			}
		}
	}
	return n
}

// tasksToPlace counts the tasks of s that look for a worker, or will once they have stopped.
func (s *stage) tasksToPlace() int {
	n := s.waiting
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.stopping {
				n++
			}
		}
	}
	return n
}

// tasksAway counts the tasks of a lasting step that are not at work.
func (s *stage) tasksAway() int {
	n := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskElsewhere && t.state != taskGivenUp && (t.state != taskActive || !t.runs[0].atWork()) {
			n++
		}
	}
	return n
}

func (r *run) atWork() bool { return !r.confirmedAt.IsZero() && !r.stopping && r.percent >= 100 }

// mayHaveCrashed reports whether r, on a worker that is out of reach, may be what ended it: it is on
// trial, or the worker hung up soon after its start. A copy would be the next loss before this
// one is known, and a next owner would learn of one of them alone.
func (r *run) mayHaveCrashed() bool {
	w := r.worker
	return r.stage.needsTrial(&r.stage.tasks[r.index]) || w.hungUp && w.disconnectSeen && r.age(w.detachedSince) <= youngRunAge
}

// requeueForCopies lets the tasks that may run more than once wait again when their
// worker is out of reach.
func (c *Cell) requeueForCopies(w *worker, now time.Time) {
	if now.Sub(w.detachedSince) < copyDelay {
		return
	}
	for _, r := range w.runList {
		if r.stage.unknown || !r.stage.def.Copies || r.stage.def.Gang {
			continue
		}
		t := &r.stage.tasks[r.index]
		if t.state != taskActive || len(t.runs) > 1 || r.mayHaveCrashed() {
			continue
		}
		r.stage.setWaiting(t, true)
		if r.stage.waiting == 1 {
			r.stage.waitingSince = now
		}
		if !slices.Contains(c.openStages, r.stage) {
			c.openStages = append(c.openStages, r.stage)
		}
	}
}
