// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math"
	"time"
)

// throttledShare is the part of its processors that a throttled task keeps,
// as one in this many.
const throttledShare = 4

// holdTime is how long a worker is held for a task before another one is tried.
const holdTime = time.Second

// makeRoom chooses the worker where the least work is lost by letting h in,
// holds it for h, and asks the tasks there to yield.
func (c *Cell) makeRoom(h Handle, now time.Duration, out []Decision) []Decision {
	s := c.slot(h)
	if s == nil || c.overLimit(&s.Task) || now-s.since < s.patience(now) {
		return out
	}
	if s.hold != NoWorker && now-s.holdSince < holdTime {
		return out
	}
	c.unhold(s)
	if s.Class == Bulk && !c.underQuota(s.Team) {
		return out
	}
	w := c.cheapest(s, now)
	if w == NoWorker {
		return out
	}
	c.held[w] = h
	s.hold, s.holdSince = w, now
	return c.yield(w, s, now, out)
}

// patience is how long s waits for room that comes free by itself before
// others have to yield for it. Urgent work, calls, and work whose deadline is
// near do not wait.
func (s *slot) patience(now time.Duration) time.Duration {
	if s.Class == Urgent || s.Call || s.slack() < now+nearDeadline {
		return 0
	}
	return batchPatience
}

const (
	// batchPatience trades a short wait of batch for tasks that are not
	// interrupted; see docs/MEASUREMENTS.md.
	batchPatience = 250 * time.Millisecond
	nearDeadline  = 5 * time.Second
)

func (c *Cell) underQuota(id TeamID) bool {
	t := &c.teams[id]
	return t.set && t.share < 1
}

// unhold gives up the worker that is held for s.
func (c *Cell) unhold(s *slot) {
	if s.hold != NoWorker {
		c.held[s.hold] = Handle{}
		s.hold = NoWorker
	}
}

// cheapest returns the open worker on which room for s costs the least work.
func (c *Cell) cheapest(s *slot, now time.Duration) WorkerID {
	best := NoWorker
	least := time.Duration(math.MaxInt64)
	for w := range c.running {
		if c.closed[w] || c.held[w] != (Handle{}) {
			continue
		}
		if s.Rack != AnyRack && c.rack[w] != s.Rack {
			continue
		}
		if cost, ok := c.cost(WorkerID(w), s, now); ok && cost < least {
			best, least = WorkerID(w), cost
		}
	}
	return best
}

// cost returns the work lost by making room for s on w, and whether it can be
// made at all.
func (c *Cell) cost(w WorkerID, s *slot, now time.Duration) (time.Duration, bool) {
	free := c.free[w]
	var lost time.Duration
	for _, i := range c.running[w] {
		if free.Covers(&s.Demand) {
			return lost, true
		}
		v := &c.slots[i]
		if !c.yields(v, s, now) {
			continue
		}
		free = free.Add(v.given)
		lost += v.loss(now)
	}
	return lost, free.Covers(&s.Demand)
}

// loss is the work that is lost when s yields now.
func (s *slot) loss(now time.Duration) time.Duration {
	if s.Ladder&MayCheckpoint != 0 {
		return checkpointCost
	}
	return now - s.saved
}

// checkpointCost stands for the time that saving and loading a task takes.
const checkpointCost = 500 * time.Millisecond

// yields reports whether v may be asked to yield to s.
func (c *Cell) yields(v, s *slot, now time.Duration) bool {
	if v.Ladder&(MayCheckpoint|MayStop) == 0 || v.yielding {
		return false
	}
	if v.yields >= c.maxYields() || now-v.started < c.minRun() {
		return false
	}
	if v.Class < s.Class {
		return true
	}
	return v.Class == s.Class && c.underQuota(s.Team) && c.teams[v.Team].share > 1
}

func (c *Cell) maxYields() uint8 {
	if c.Config.MaxYields == 0 {
		return DefaultMaxYields
	}
	return c.Config.MaxYields
}

func (c *Cell) minRun() time.Duration {
	if c.Config.MinRun == 0 {
		return DefaultMinRun
	}
	return c.Config.MinRun
}

// yield asks tasks on w to yield until s fits. When processors alone are
// short, throttling is tried first.
func (c *Cell) yield(w WorkerID, s *slot, now time.Duration, out []Decision) []Decision {
	if throttled, ok := c.throttle(w, s, now, out); ok {
		return throttled
	}
	free := c.free[w]
	for _, i := range c.running[w] {
		if free.Covers(&s.Demand) {
			break
		}
		v := &c.slots[i]
		if !c.yields(v, s, now) {
			continue
		}
		free = free.Add(v.given)
		v.yielding = true
		v.yields++
		op := OpStop
		if v.Ladder&MayCheckpoint != 0 {
			op = OpCheckpoint
		}
		out = append(out, Decision{Op: op, Task: Handle{index: i, gen: v.gen}, Ref: v.Ref, Worker: w})
	}
	return out
}

// throttle makes room by throttling alone, or changes nothing.
func (c *Cell) throttle(w WorkerID, s *slot, now time.Duration, out []Decision) ([]Decision, bool) {
	free := c.free[w]
	need := s.Demand
	need[Milli] = 0
	if !free.Covers(&need) {
		return out, false
	}
	first := len(out)
	for _, i := range c.running[w] {
		if free[Milli] >= s.Demand[Milli] {
			break
		}
		v := &c.slots[i]
		if v.Ladder&MayThrottle == 0 || v.throttled || v.yielding || v.Class >= s.Class {
			continue
		}
		free[Milli] += v.given[Milli] - v.given[Milli]/throttledShare
		out = append(out, Decision{Op: OpThrottle, Task: Handle{index: i, gen: v.gen}, Ref: v.Ref, Worker: w})
	}
	if free[Milli] < s.Demand[Milli] {
		return out[:first], false
	}
	for _, d := range out[first:] {
		c.slots[d.Task.index].yielding = true
	}
	return out, true
}

// Throttled tells that a task now runs with the processors of a throttled one.
func (c *Cell) Throttled(h Handle) {
	s := c.slot(h)
	if s == nil || s.state != taskRunning || s.throttled {
		return
	}
	s.throttled = true
	s.yielding = false
	less := Vec{}
	less[Milli] = s.given[Milli] - s.given[Milli]/throttledShare
	s.given = s.given.Sub(less)
	c.Give(s.worker, less)
	c.charge(s.Team, Vec{}.Sub(less))
}

// Refused tells that a task could not be made to yield and goes on.
func (c *Cell) Refused(h Handle) {
	if s := c.slot(h); s != nil {
		s.yielding = false
	}
}

// Resumable appends a resume for every throttled task whose processors are
// free again and for which no higher class waits. They are booked at once.
func (c *Cell) Resumable(now time.Duration, out []Decision) []Decision {
	for w := range c.running {
		for _, i := range c.running[w] {
			s := &c.slots[i]
			if !s.throttled || s.yielding || c.higherWaits(s.Class) {
				continue
			}
			more := s.Demand.Sub(s.given)
			if c.held[w] != (Handle{}) || !c.free[w].Covers(&more) || !c.spares(w, &more, now) {
				continue
			}
			s.throttled = false
			s.given = s.Demand
			c.Take(WorkerID(w), more)
			c.charge(s.Team, more)
			out = append(out, Decision{Op: OpResume, Task: Handle{index: i, gen: s.gen}, Ref: s.Ref, Worker: WorkerID(w)})
		}
	}
	return out
}

// spares reports whether w can give more away and leave the reserve.
func (c *Cell) spares(w int, more *Vec, now time.Duration) bool {
	return c.unit.IsZero() || c.totalUnits-c.loss(w, more) >= c.reserve.more(now, c.calls)
}

func (c *Cell) higherWaits(class Class) bool {
	for k := class + 1; k < numClasses; k++ {
		if c.waiting[k].live > 0 {
			return true
		}
	}
	return false
}
