// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math"
	"time"
)

const (
	// backfillDepth is how many tasks of a team are tried in one go, in queue order, until one
	// fits.
	backfillDepth = 4
	// maxUnplaceable limits the number of demands that are remembered as not fitting while a
	// class is stepped through.
	maxUnplaceable = 8
)

// Step decides what to do at the time now and appends the decisions to out. Started tasks are
// accounted for as running at once. Preempted tasks are accounted for as waiting only when the
// caller reports them with Requeue.
func (c *Cell) Step(now time.Duration, out []Decision) []Decision {
	c.queueDeferred(now)
	c.resetSlow(now)
	for class := int(numClasses) - 1; class >= 0; class-- {
		out = c.stepClass(Class(class), now, out)
	}
	return out
}

// queueDeferred queues the deferred tasks whose NotBefore time has come.
func (c *Cell) queueDeferred(now time.Duration) {
	for len(c.deferred) > 0 && c.deferred[0].key <= now {
		h := c.deferred.pop().handle
		if r := c.record(h); r != nil && r.state == taskDeferred {
			c.enqueue(h, r, now)
		}
	}
}

func (c *Cell) stepClass(class Class, now time.Duration, out []Decision) []Decision {
	q := &c.waiting[class]
	if q.liveCount == 0 {
		return out
	}
	c.unplaceable = c.unplaceable[:0]
	c.skippedTeams = c.skippedTeams[:0]
	for range q.teams {
		c.skippedTeams = append(c.skippedTeams, false)
	}
	for {
		i := c.nextTeam(q)
		if i < 0 {
			return out
		}
		out = c.stepTeam(class, i, now, out)
	}
}

// nextTeam returns the index of the active team with the smallest dominant share that is not
// skipped, or -1.
func (c *Cell) nextTeam(q *classQueue) int {
	best := -1
	least := math.Inf(1)
	for i := 0; i < len(q.active); {
		team := q.active[i]
		if len(q.teams[team].heap) == 0 {
			q.deactivate(i)
			continue
		}
		if share := c.teams[team].share; !c.skippedTeams[team] && share < least {
			best, least = i, share
		}
		i++
	}
	return best
}

// stepTeam starts the first task of a team that fits. If none of the first backfillDepth tasks
// fits, it tries to make room for the first of them, and the team is skipped for the rest of
// the step.
func (c *Cell) stepTeam(class Class, i int, now time.Duration, out []Decision) []Decision {
	q := &c.waiting[class]
	team := q.active[i]
	heap := &q.teams[team].heap
	c.passedOver = c.passedOver[:0]
	started := false
	for len(*heap) > 0 && len(c.passedOver) < backfillDepth && !started {
		e := heap.pop()
		r := c.record(e.handle)
		if r == nil || r.state != taskWaiting || r.seq != e.seq {
			continue
		}
		if r.StartBy > 0 && now > r.StartBy {
			q.removeLive(team)
			out = append(out, Decision{Op: OpExpire, Task: e.handle, Ref: r.Ref, Worker: NoWorker})
			c.releaseHold(r)
			c.freeRecord(e.handle)
			continue
		}
		w := c.findWorker(e.handle, r, now)
		if w == NoWorker {
			c.passedOver = append(c.passedOver, e)
			continue
		}
		q.removeLive(team)
		c.beginRun(e.handle, w, now)
		out = append(out, Decision{Op: OpStart, Task: e.handle, Ref: r.Ref, Worker: w})
		started = true
	}
	if !started && len(c.passedOver) > 0 {
		out = c.makeRoom(c.passedOver[0].handle, now, out)
	}
	for _, e := range c.passedOver {
		heap.push(e)
	}
	if !started {
		c.skippedTeams[team] = true
	}
	return out
}

// findWorker returns a worker for a waiting task, or NoWorker.
func (c *Cell) findWorker(h Handle, r *taskRecord, now time.Duration) WorkerID {
	if c.exceedsQuota(&r.Task) {
		return NoWorker
	}
	if r.Rack == AnyRack && c.knownUnplaceable(&r.Demand) {
		return NoWorker
	}
	q := c.newQuery(&r.Task, h, now)
	w := c.find(&q)
	if w == NoWorker && r.Rack == AnyRack && len(c.unplaceable) < maxUnplaceable {
		c.unplaceable = append(c.unplaceable, r.Demand)
	}
	return w
}

// knownUnplaceable reports whether a demand that is no larger than d already failed to fit
// while this class was stepped through.
func (c *Cell) knownUnplaceable(d *Vec) bool {
	for i := range c.unplaceable {
		if d.Covers(&c.unplaceable[i]) {
			return true
		}
	}
	return false
}
