// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math"
	"time"
)

const (
	// backfillDepth is how many tasks of a team are tried behind one that
	// does not fit.
	backfillDepth = 4
	// maxMisfits bounds the demands that a step remembers as not fitting.
	maxMisfits = 8
)

// Step decides what to do at now and appends it to out. Starts are booked
// before they are returned; yields are booked when the caller tells of their
// end with Requeue.
func (c *Cell) Step(now time.Duration, out []Decision) []Decision {
	c.wake(now)
	c.recoverSlow(now)
	for class := int(numClasses) - 1; class >= 0; class-- {
		out = c.stepClass(Class(class), now, out)
	}
	return out
}

// wake moves the tasks whose time has come to the waiting ones.
func (c *Cell) wake(now time.Duration) {
	for len(c.later) > 0 && c.later[0].key <= now {
		h := c.later.pop().handle
		if s := c.slot(h); s != nil && s.state == taskLater {
			c.enqueue(h, s, now)
		}
	}
}

func (c *Cell) stepClass(class Class, now time.Duration, out []Decision) []Decision {
	q := &c.waiting[class]
	if q.live == 0 {
		return out
	}
	c.misfits = c.misfits[:0]
	c.skipped = c.skipped[:0]
	for range q.teams {
		c.skipped = append(c.skipped, false)
	}
	for {
		i := c.next(q)
		if i < 0 {
			return out
		}
		out = c.stepTeam(class, i, now, out)
	}
}

// next returns the position of the active team with the least share that was
// not skipped in this step, or -1.
func (c *Cell) next(q *classQueue) int {
	best := -1
	least := math.Inf(1)
	for i := 0; i < len(q.active); {
		team := q.active[i]
		if len(q.teams[team].heap) == 0 {
			q.drop(i)
			continue
		}
		if share := c.teams[team].share; !c.skipped[team] && share < least {
			best, least = i, share
		}
		i++
	}
	return best
}

// stepTeam starts the first task of a team that fits. When none of the first
// few does, the team is skipped for the rest of the step.
func (c *Cell) stepTeam(class Class, i int, now time.Duration, out []Decision) []Decision {
	q := &c.waiting[class]
	team := q.active[i]
	heap := &q.teams[team].heap
	c.retries = c.retries[:0]
	started := false
	for len(*heap) > 0 && len(c.retries) < backfillDepth && !started {
		e := heap.pop()
		s := c.slot(e.handle)
		if s == nil || s.state != taskWaiting || s.seq != e.seq {
			continue
		}
		if s.StartBy > 0 && now > s.StartBy {
			q.gone(team)
			out = append(out, Decision{Op: OpExpire, Task: e.handle, Ref: s.Ref, Worker: NoWorker})
			c.unhold(s)
			c.release(e.handle)
			continue
		}
		w := c.place(e.handle, s, now)
		if w == NoWorker {
			c.retries = append(c.retries, e)
			continue
		}
		q.gone(team)
		c.run(e.handle, w, now)
		out = append(out, Decision{Op: OpStart, Task: e.handle, Ref: s.Ref, Worker: w})
		started = true
	}
	if !started && len(c.retries) > 0 {
		out = c.makeRoom(c.retries[0].handle, now, out)
	}
	for _, e := range c.retries {
		heap.push(e)
	}
	if !started {
		c.skipped[team] = true
	}
	return out
}

// place returns the worker for a waiting task, or NoWorker.
func (c *Cell) place(h Handle, s *slot, now time.Duration) WorkerID {
	if c.overLimit(&s.Task) {
		return NoWorker
	}
	if s.Rack == AnyRack && c.misfit(&s.Demand) {
		return NoWorker
	}
	q := c.query(&s.Task, h, now)
	w := c.find(&q)
	if w == NoWorker && s.Rack == AnyRack && len(c.misfits) < maxMisfits {
		c.misfits = append(c.misfits, s.Demand)
	}
	return w
}

// misfit reports whether a demand that is no larger already did not fit in
// this step.
func (c *Cell) misfit(d *Vec) bool {
	for i := range c.misfits {
		if d.Covers(&c.misfits[i]) {
			return true
		}
	}
	return false
}
