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

// checkLeaving marks a run for stopping whose worker leaves before it is done,
// if it can go on elsewhere.
func (c *Cell) checkLeaving(r *run, now time.Time) {
	if !r.w.leaving() || r.stopping || r.stage.def.Gang {
		return
	}
	s := r.stage
	left := r.w.leavesIn(now)
	if !s.def.Lasting && r.remaining(now) < left {
		return
	}
	if s.def.Lasting && (s.away() > 0 && s.away() >= s.def.MayMiss) {
		return
	}
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return
	}
	t := &s.tasks[r.index]
	if w, _ := c.choose(s, t, q, now); w == nil {
		s.moving = true
		if !slices.Contains(c.open, s) {
			c.open = append(c.open, s)
		}
		return
	}
	r.stopping = true
	r.stopSent = time.Time{}
}

// away counts the tasks of a lasting step that are not at work.
func (s *stage) away() int {
	n := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskActive || !t.runs[0].atWork() {
			n++
		}
	}
	return n
}

func (r *run) atWork() bool { return !r.confirmed.IsZero() && !r.stopping && r.percent >= 100 }

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
		if t.state != taskActive || len(t.runs) > 1 {
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
