// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"
)

const (
	// stopRetryInterval is the time between orders to stop the same run.
	stopRetryInterval = 600 * time.Millisecond
	// A run is restarted elsewhere when it shows no progress for stallPercent percent of its
	// estimate, but at least minStallTime and at most maxStallTime.
	stallPercent = 40
	minStallTime = 500 * time.Millisecond
	maxStallTime = 2500 * time.Millisecond
	// gangEndGrace is how long the other members of a gang may take to end after the first one.
	gangEndGrace = time.Second
	// moveDuration is the approximate time it takes to move a long-running task: to stop it, start
	// it elsewhere and have it at work.
	moveDuration = time.Second
	// maxStopTime is how long the slowest workers take to stop a task, which may still be done
	// meanwhile.
	maxStopTime = 900 * time.Millisecond
	// finalMoveLead is the latest time before its worker leaves at which a long-running task can be
	// stopped with the stop still being listed.
	finalMoveLead = maxStopTime
	// endListingMargin is how long before its worker leaves a run has to be done. A later end may
	// be listed in an answer that never arrives, as the connection closes with the worker, and the
	// task would run again. The worker is not polled for up to 0.25 s while the ends that it has
	// listed are being written.
	endListingMargin = 250 * time.Millisecond
	// finalStopLead is how long before its worker leaves a run that is not done is stopped, so that
	// it has ended endListingMargin before the worker leaves.
	finalStopLead = maxStopTime + endListingMargin
	// copyDelay is how long a worker is unreachable before a step that allows copies is started
	// elsewhere.
	copyDelay = 400 * time.Millisecond
)

// RunsNeedCheck reports whether there may be runs to stop that the last decision has not
// considered.
func (c *Cell) RunsNeedCheck() bool { return c.runsNeedCheck }

// decideStops stops runs that are no longer wanted, that stall, or that have to move.
func (c *Cell) decideStops(a *Actions, now time.Time) {
	c.stopTrialsInDoubt(now)
	for _, w := range c.sortedWorkers {
		if !w.attached {
			c.requeueForCopies(w, now)
			continue
		}
		for _, r := range w.runList {
			if r.unsent {
				continue
			}
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

// markForStop has an order to stop r sent, for the given reason.
func (c *Cell) markForStop(r *run, why RunEvent) {
	r.stopping, r.stopSent = true, time.Time{}
	c.noteChange(r, why)
}

// unwanted reports whether r should be stopped.
func (r *run) unwanted(now time.Time) bool {
	s := r.stage
	if s.unknown || s.job.state.Final() || r.stopping {
		return true
	}
	t := &s.tasks[r.index]
	if t.state == taskDone {
		// The other members of a gang should end by themselves.
		return !s.def.Gang || now.Sub(s.doneAt) > gangEndGrace
	}
	return len(t.runs) > 1 && !s.def.Speculative && t.runs[0] != r
}

// checkStall marks a stalled run for stopping.
func (c *Cell) checkStall(r *run, now time.Time) {
	if r.confirmedAt.IsZero() || r.percent >= 100 || r.lastListed.Sub(r.lastProgress) < r.stallAfter() {
		return
	}
	c.markForStop(r, RunStalled)
	r.worker.health.runStalled(now)
	r.stage.tasks[r.index].avoidWorkers = append(r.stage.tasks[r.index].avoidWorkers, r.worker.ID)
}

// stallAfter returns how long r may go without progress.
func (r *run) stallAfter() time.Duration {
	if r.stage.def.LongRunning {
		return maxStallTime
	}
	return min(max(r.stage.def.Estimate()*stallPercent/100, minStallTime), maxStallTime)
}

// checkLeaving marks a run for stopping if its worker leaves before the run is certain to be done
// and another worker has room for it, or at the last moment.
func (c *Cell) checkLeaving(r *run, now time.Time) {
	if !r.worker.leaving() || r.stopping {
		return
	}
	s := r.stage
	left := r.worker.timeUntilLeave(now)
	last := r.worker.Draining && !s.def.LongRunning && left <= finalStopLead
	// A gang cannot be moved member by member; it ends with the worker of any member.
	if s.def.Gang && !last {
		return
	}
	if !s.def.LongRunning && !last && r.remaining(now) < left-endListingMargin {
		return
	}
	if s.def.LongRunning && !s.mayMove(r, left, now) {
		return
	}
	if !last && !c.hasPlaceToMove(s, now) {
		return
	}
	c.markForStop(r, RunMoving)
}

// hasPlaceToMove reports whether another worker has room for a task of s that is still running, and
// if none has, lets s wait for one.
func (c *Cell) hasPlaceToMove(s *stage, now time.Time) bool {
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return false
	}
	if c.countPlaces(s, q, now) > s.tasksToPlace() {
		return true
	}
	s.needsMove = true
	c.openStage(s)
	return false
}

// mayMove reports whether a task of a long-running step may be stopped now to be moved from a
// worker that stays for left. If the step says how many of its tasks may be missing, that limit
// includes all tasks that are away. Otherwise as many tasks move at a time as are needed to move
// all in time.
//
// Just before the worker leaves its remaining tasks are moved however many are away: the worker
// ends them in any case, and their end would otherwise be known only when their leases expire.
func (s *stage) mayMove(r *run, left time.Duration, now time.Time) bool {
	if r.worker.Draining && left <= finalMoveLead {
		return true
	}
	if s.def.MaxUnavailable > 0 {
		// The limit is divided equally among the cells that run parts of the step.
		return s.tasksAway() < s.maxAway()
	}
	leaving, moving := 0, 0
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.worker.leaving() {
				leaving++
			}
			if r.stopping || (!r.atWork() && now.Sub(r.decidedAt) < moveDuration) {
				moving++
			}
		}
	}
	return moving < 1+int(time.Duration(leaving)*moveDuration/max(left, moveDuration))
}

// countPlaces counts the tasks of s that would find room now, up to the number of tasks of s.
func (c *Cell) countPlaces(s *stage, q *Queue, now time.Time) int {
	n := 0
	room := s.def.Reservation()
	taking := c.newTaking(s)
	for p := range c.permits(s, q, now) {
		w := p.worker
		if !w.usable() || !w.suits(s, q) || !w.health.allows(len(w.runs), now) || w.underTrial(now) {
			continue
		}
		free := w.free.Sub(w.reserved)
		for more := 0; free.Covers(&room) && (s.def.MaxPerWorker == 0 || s.runsByWorker[w]+more < s.def.MaxPerWorker) && taking.take(w, more); more++ {
			free = free.Sub(room)
			if n++; n >= len(s.tasks) {
				return n
			}
		}
	}
	return n
}

// tasksToPlace counts the tasks of s that need a worker now or will once they have stopped.
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

// maxAway returns how many tasks of a step that limits it may be away in this cell.
func (s *stage) maxAway() int { return s.def.MaxUnavailable / max(s.job.share.Count, 1) }

// tasksAway counts the tasks of a long-running step that are not at work.
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

// mayHaveCrashed reports whether r, on an unreachable worker, may have crashed that worker: r is on
// trial, or the worker disconnected soon after r was started. A copy could crash a second worker
// before the first loss is established.
func (r *run) mayHaveCrashed() bool {
	w := r.worker
	return r.stage.needsTrial(&r.stage.tasks[r.index]) || w.hungUp && w.disconnectSeen && r.age(w.detachedSince) <= youngRunAge
}

// requeueForCopies lets tasks on an unreachable worker wait again if they may run more than once.
func (c *Cell) requeueForCopies(w *worker, now time.Time) {
	if now.Sub(w.detachedSince) < copyDelay {
		return
	}
	for _, r := range w.runList {
		if r.stage.unknown || !r.stage.def.Speculative || r.stage.def.Gang {
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
		c.openStage(r.stage)
	}
}
