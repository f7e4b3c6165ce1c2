// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

const (
	// stopAgain spaces the orders to stop one run.
	stopAgain = 600 * time.Millisecond
	// A run that shows no progress for stallShare of its estimate, in hundredths
	// and within the two bounds, is started elsewhere.
	stallShare = 40
	stallLeast = 500 * time.Millisecond
	stallMost  = 2500 * time.Millisecond
	// gangEnds is how long the members of a gang may take to end after the first.
	gangEnds = time.Second
	// moveTakes is about how long it takes to move a task that lasts: a stop, a start and
	// until it is at work.
	moveTakes = time.Second
	// lastMoves is how long before the end of its worker a task has to be stopped at the
	// latest for the stop to be listed: as long as the slowest workers take for one.
	lastMoves = 900 * time.Millisecond
	// lastEnds is how long before the end of its worker a run has to be done: an end that
	// comes later may be listed in an answer that never arrives, as the connection ends with the
	// worker, and its task would run again. The worker is not asked for up to 0.25 s while the
	// ends that it has listed are being written.
	lastEnds = 250 * time.Millisecond
	// copyAfter is how long a worker is out of reach before a step that may
	// have copies is started elsewhere.
	copyAfter = 400 * time.Millisecond
)

// Restless reports whether there are runs to stop that the last decision did not see yet.
func (c *Cell) Restless() bool { return c.restless }

// stops decides which runs to stop: those that nobody wants any more, and those
// that stand still.
func (c *Cell) stops(a *Actions, now time.Time) {
	for _, w := range c.order {
		if !w.attached {
			c.copies(w, now)
			continue
		}
		for _, r := range w.held {
			c.checkTrial(r, now)
			if !r.unwanted(now) {
				c.checkStall(r, now)
				c.checkLeaving(r, now)
			}
			if !r.unwanted(now) || (r.stopping && now.Sub(r.stopSent) < stopAgain) {
				continue
			}
			r.stopping, r.stopSent = true, now
			a.Stops = append(a.Stops, Stop{Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.n})
		}
	}
	c.seekPlaces(now)
}

// unwanted reports whether r should be stopped.
func (r *run) unwanted(now time.Time) bool {
	s := r.stage
	if s.stray || s.job.state.Final() || r.stopping {
		return true
	}
	t := &s.tasks[r.index]
	if t.state == taskDone {
		// The other members of a gang end by themselves.
		return !s.def.Gang || now.Sub(s.doneAt) > gangEnds
	}
	return len(t.runs) > 1 && !s.def.Copies && t.runs[0] != r
}

// checkStall marks a run that stands still for stopping.
func (c *Cell) checkStall(r *run, now time.Time) {
	if r.confirmed.IsZero() || r.percent >= 100 || r.listed.Sub(r.progressed) < r.stallAfter() {
		return
	}
	r.stopping = true
	r.stopSent = time.Time{}
	c.note(r, RunStalled)
	r.w.health.stalled(now)
	r.stage.tasks[r.index].avoid = append(r.stage.tasks[r.index].avoid, r.w.ID)
}

// stallAfter returns how long r may show no progress.
func (r *run) stallAfter() time.Duration {
	if r.stage.def.Lasting {
		return stallMost
	}
	return min(max(r.stage.def.Estimate()*stallShare/100, stallLeast), stallMost)
}

// checkLeaving marks a run for stopping whose worker leaves before it is surely known to be done,
// if it can go on elsewhere, or at the last moment.
func (c *Cell) checkLeaving(r *run, now time.Time) {
	if !r.w.leaving() || r.stopping {
		return
	}
	s := r.stage
	left := r.w.leavesIn(now)
	last := r.w.Draining && !s.def.Lasting && left <= lastEnds
	// A gang cannot be moved one by one; with the worker of a member it ends in any case.
	if s.def.Gang && !last {
		return
	}
	if !s.def.Lasting && r.remaining(now) < left-lastEnds {
		return
	}
	if s.def.Lasting && !s.mayMove(r, left, now) {
		return
	}
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return
	}
	if !last && c.places(s, q, now) <= s.toPlace() {
		s.moving = true
		if !slices.Contains(c.open, s) {
			c.open = append(c.open, s)
		}
		return
	}
	r.stopping = true
	r.stopSent = time.Time{}
	c.note(r, RunMoving)
}

// mayMove reports whether a task of a lasting step may be stopped now to be moved from a worker
// that stays for left. What a step says that it may miss holds for all that are away. Without
// such a word as many move at once as it takes for all to be elsewhere in time.
//
// A worker that ends takes its runs with it in any case, and that they are over is known only
// with their lease: so what is still there just before its end is moved whatever is away.
func (s *stage) mayMove(r *run, left time.Duration, now time.Time) bool {
	if r.w.Draining && left <= lastMoves {
		return true
	}
	if s.def.MayMiss > 0 {
		// Each cell that runs a part of the step has an equal part of that.
		return s.away() < s.def.MayMiss/max(s.job.share.Of, 1)
	}
	leaving, under := 0, 0
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.w.leaving() {
				leaving++
			}
			if r.stopping || (!r.atWork() && now.Sub(r.decided) < moveTakes) {
				under++
			}
		}
	}
	return under < 1+int(time.Duration(leaving)*moveTakes/max(left, moveTakes))
}

// places counts the tasks of s that would find room now. It stops at as many as s has.
func (c *Cell) places(s *stage, q *Queue, now time.Time) int {
	n := 0
	room := s.def.Room()
	for p := range c.allowed(s, q, now) {
		w := p.worker
		if !w.usable() || !w.suits(s, q) || !w.health.allows(len(w.runs), now) || w.underTrial(now) {
			continue
		}
		free := w.free.Sub(w.reserved)
		for more := 0; free.Covers(&room) && (s.def.PerWorker == 0 || s.carried[w]+more < s.def.PerWorker); more++ {
			free = free.Sub(room)
			if n++; n >= len(s.tasks) {
				return n
			}
		}
	}
	return n
}

// toPlace counts the tasks of s that look for a worker, or will once they have stopped.
func (s *stage) toPlace() int {
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

// away counts the tasks of a lasting step that are not at work.
func (s *stage) away() int {
	n := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskElsewhere && t.state != taskGivenUp && (t.state != taskActive || !t.runs[0].atWork()) {
			n++
		}
	}
	return n
}

func (r *run) atWork() bool { return !r.confirmed.IsZero() && !r.stopping && r.percent >= 100 }

// mayHaveCrashed reports whether r, on a worker that is out of reach, may be what ended it: it is on
// trial, or the worker hung up soon after its start. A copy would be the next loss before this
// one is known, and a next owner would learn of one of them alone.
func (r *run) mayHaveCrashed() bool {
	w := r.w
	return r.stage.onTrial(&r.stage.tasks[r.index]) || w.hungUp && w.endSeen && r.age(w.unsureSince) <= soon
}

// copies lets the tasks that may run more than once wait again when their
// worker is out of reach.
func (c *Cell) copies(w *worker, now time.Time) {
	if now.Sub(w.unsureSince) < copyAfter {
		return
	}
	for _, r := range w.held {
		if r.stage.stray || !r.stage.def.Copies || r.stage.def.Gang {
			continue
		}
		t := &r.stage.tasks[r.index]
		if t.state != taskActive || len(t.runs) > 1 || r.mayHaveCrashed() {
			continue
		}
		r.stage.setWaiting(t, true)
		if r.stage.waiting == 1 {
			r.stage.waitSince = now
		}
		if !slices.Contains(c.open, r.stage) {
			c.open = append(c.open, r.stage)
		}
	}
}
