// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// While a burst of calls that somebody waits for fills what is left of a cell, or a hall is cut
// off and its work starts again elsewhere, calls wait for room that batch holds. A call that
// takes a second has half of one to spare; batch that saves its work has several. So batch
// yields to a call that has waited for a moment and would still be in time. Nothing is reserved
// for it: what comes free goes to the calls that wait, the most urgent first, as they come
// before all batch. Reservations, tried, kept room idle that other calls could have used.

const (
	// urgentAfter is how long a step waits before others yield to it: about as long as it
	// takes until a task of any kind ends on one of the workers that it may use.
	urgentAfter = 100 * time.Millisecond
	// urgentEvery spaces the looks for what may yield to one step.
	urgentEvery = 50 * time.Millisecond
	// urgentWait is how soon a run must end by itself not to be made to yield.
	urgentWait = 150 * time.Millisecond
	// stopWeight is the weight of what was before in how long stops take, as a divisor.
	stopWeight = 8
)

// stopsTake returns how long it takes until the room of a run that is stopped is free.
func (c *Cell) stopsTake() time.Duration {
	if c.stopTook == 0 {
		return stopTakes
	}
	return c.stopTook
}

// stopped takes in that a run ended that was to be stopped.
func (c *Cell) stopped(r *run, how flow.End, now time.Time) {
	if how != flow.EndStopped || !r.stopping || r.stopSent.IsZero() {
		return
	}
	c.stopTook = c.stopsTake() + (now.Sub(r.stopSent)-c.stopsTake())/stopWeight
}

// urge makes runs of less urgent queues yield to a step that has found no room, as far as it
// still can be in time by that.
func (c *Cell) urge(s *stage, q *Queue, now time.Time) {
	if c.sendShared {
		// The link is what is short: each run that yields costs it two more orders.
		return
	}
	if s.def.Lasting || s.def.Gang || s.rank.late > 0 || s.rank.slack < c.stopsTake()-q.Target {
		return
	}
	if now.Sub(s.waitSince) < urgentAfter || now.Sub(s.urged) < urgentEvery {
		return
	}
	s.urged = now
	left := s.waiting
	workers := c.mayRun(s, q)
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Compare(b.soon(now)[sched.Milli], a.soon(now)[sched.Milli])
	})
	for _, w := range workers {
		if left == 0 {
			return
		}
		if !s.full(w) && w.health.allows(len(w.runs), now) {
			left -= c.urgeOn(w, s, q, left, now)
		}
	}
}

// soon returns what of w is free within a moment and promised to nobody.
func (w *worker) soon(now time.Time) sched.Vec {
	free := w.free.Sub(w.reserved).Sub(w.promised)
	for _, r := range w.held {
		if r.stopping || r.remaining(now) <= urgentWait {
			free = free.Add(r.taken)
		}
	}
	return free
}

// urgeOn makes runs on w yield to tasks of s, and returns for how many there is room then.
func (c *Cell) urgeOn(w *worker, s *stage, q *Queue, most int, now time.Time) int {
	var may []*run
	for _, r := range w.held {
		if !r.stopping && r.remaining(now) > urgentWait && c.mayYield(r, q) {
			may = append(may, r)
		}
	}
	slices.SortStableFunc(may, func(a, b *run) int { return cmp.Compare(b.remaining(now), a.remaining(now)) })
	if s.def.PerWorker > 0 {
		most = min(most, s.def.PerWorker-s.carried[w])
	}
	room, free := s.def.Room(), w.soon(now)
	n := 0
	for n < most {
		var yield []*run
		for !free.Covers(&room) && len(may) > 0 {
			if r := may[0]; helps(&free, &room, &r.taken) {
				free = free.Add(r.taken)
				yield = append(yield, r)
			}
			may = may[1:]
		}
		if !free.Covers(&room) {
			break
		}
		for _, r := range yield {
			c.makeYield(r)
		}
		free = free.Sub(room)
		w.promised = w.promised.Add(room)
		n++
	}
	return n
}

// makeYield has a run stopped that goes on later where it stopped.
func (c *Cell) makeYield(r *run) {
	r.stopping, r.stopSent = true, time.Time{}
	r.stage.tasks[r.index].yields++
	r.stage.job.story.Yields++
	c.restless = true
}
