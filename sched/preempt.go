// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math"
	"time"
)

// throttleDivisor sets what a throttled task keeps of its processor time: 1/throttleDivisor.
const throttleDivisor = 4

// holdDuration is how long a worker is held for a task before another worker is tried.
const holdDuration = time.Second

// makeRoom chooses the worker on which making room for h loses the least work, holds it for h,
// and preempts tasks there.
func (c *Cell) makeRoom(h Handle, now time.Duration, out []Decision) []Decision {
	r := c.record(h)
	if r == nil || c.exceedsQuota(&r.Task) || now-r.queuedAt < r.preemptionDelay(now) {
		return out
	}
	if r.heldWorker != NoWorker && now-r.heldSince < holdDuration {
		return out
	}
	c.releaseHold(r)
	if r.Class == Bulk && !c.underQuota(r.Team) {
		return out
	}
	w := c.cheapestWorker(r, now)
	if w == NoWorker {
		return out
	}
	c.heldFor[w] = h
	r.heldWorker, r.heldSince = w, now
	return c.preempt(w, r, now, out)
}

// preemptionDelay returns how long r waits for resources to become free before other tasks are
// preempted for it. Urgent tasks, calls and tasks whose deadline is near do not wait.
func (r *taskRecord) preemptionDelay(now time.Duration) time.Duration {
	if r.Class == Urgent || r.Call || r.latestStart() < now+nearDeadlineWindow {
		return 0
	}
	return batchPreemptionDelay
}

const (
	// batchPreemptionDelay makes batch tasks wait a little longer, so that fewer tasks are
	// interrupted; see docs/MEASUREMENTS.md.
	batchPreemptionDelay = 250 * time.Millisecond
	nearDeadlineWindow   = 5 * time.Second
)

func (c *Cell) underQuota(id TeamID) bool {
	t := &c.teams[id]
	return t.quotaSet && t.share < 1
}

// releaseHold ends the hold on a worker for r.
func (c *Cell) releaseHold(r *taskRecord) {
	if r.heldWorker != NoWorker {
		c.heldFor[r.heldWorker] = Handle{}
		r.heldWorker = NoWorker
	}
}

// cheapestWorker returns the open worker on which making room for r loses the least work.
func (c *Cell) cheapestWorker(r *taskRecord, now time.Duration) WorkerID {
	best := NoWorker
	least := time.Duration(math.MaxInt64)
	for w := range c.running {
		if c.closed[w] || c.heldFor[w] != (Handle{}) {
			continue
		}
		if r.Rack != AnyRack && c.rack[w] != r.Rack {
			continue
		}
		if cost, ok := c.preemptionCost(WorkerID(w), r, now); ok && cost < least {
			best, least = WorkerID(w), cost
		}
	}
	return best
}

// preemptionCost returns the work that is lost by making room for r on w, and whether that is
// possible at all.
func (c *Cell) preemptionCost(w WorkerID, r *taskRecord, now time.Duration) (time.Duration, bool) {
	free := c.free[w]
	var lost time.Duration
	for _, i := range c.running[w] {
		if free.Covers(&r.Demand) {
			return lost, true
		}
		v := &c.records[i]
		if !c.mayPreempt(v, r, now) {
			continue
		}
		free = free.Add(v.allocated)
		lost += v.lostWork(now)
	}
	return lost, free.Covers(&r.Demand)
}

// lostWork returns the work that is lost if r is preempted now.
func (r *taskRecord) lostWork(now time.Duration) time.Duration {
	if r.Preemption&MayCheckpoint != 0 {
		return checkpointCost
	}
	return now - r.checkpointedAt
}

// checkpointCost is the assumed cost of saving and loading a task.
const checkpointCost = 500 * time.Millisecond

// mayPreempt reports whether v may be preempted for r.
func (c *Cell) mayPreempt(v, r *taskRecord, now time.Duration) bool {
	if v.Preemption&(MayCheckpoint|MayStop) == 0 || v.preempting {
		return false
	}
	if v.preemptions >= c.maxPreemptions() || now-v.startedAt < c.minRun() {
		return false
	}
	if v.Class < r.Class {
		return true
	}
	return v.Class == r.Class && c.underQuota(r.Team) && c.teams[v.Team].share > 1
}

func (c *Cell) maxPreemptions() uint8 {
	if c.Config.MaxPreemptions == 0 {
		return DefaultMaxPreemptions
	}
	return c.Config.MaxPreemptions
}

func (c *Cell) minRun() time.Duration {
	if c.Config.MinRun == 0 {
		return DefaultMinRun
	}
	return c.Config.MinRun
}

// preempt appends the decisions that preempt tasks on w until r fits. If only processor time is
// short, throttling is tried first.
func (c *Cell) preempt(w WorkerID, r *taskRecord, now time.Duration, out []Decision) []Decision {
	if throttled, ok := c.throttleOnly(w, r, now, out); ok {
		return throttled
	}
	free := c.free[w]
	for _, i := range c.running[w] {
		if free.Covers(&r.Demand) {
			break
		}
		v := &c.records[i]
		if !c.mayPreempt(v, r, now) {
			continue
		}
		free = free.Add(v.allocated)
		v.preempting = true
		v.preemptions++
		op := OpStop
		if v.Preemption&MayCheckpoint != 0 {
			op = OpCheckpoint
		}
		out = append(out, Decision{Op: op, Task: Handle{index: i, gen: v.gen}, Ref: v.Ref, Worker: w})
	}
	return out
}

// throttleOnly makes room for r on w by throttling alone. If that is not enough, it changes
// nothing and returns false.
func (c *Cell) throttleOnly(w WorkerID, r *taskRecord, now time.Duration, out []Decision) ([]Decision, bool) {
	free := c.free[w]
	need := r.Demand
	need[MilliCPU] = 0
	if !free.Covers(&need) {
		return out, false
	}
	first := len(out)
	for _, i := range c.running[w] {
		if free[MilliCPU] >= r.Demand[MilliCPU] {
			break
		}
		v := &c.records[i]
		if v.Preemption&MayThrottle == 0 || v.throttled || v.preempting || v.Class >= r.Class {
			continue
		}
		free[MilliCPU] += v.allocated[MilliCPU] - v.allocated[MilliCPU]/throttleDivisor
		out = append(out, Decision{Op: OpThrottle, Task: Handle{index: i, gen: v.gen}, Ref: v.Ref, Worker: w})
	}
	if free[MilliCPU] < r.Demand[MilliCPU] {
		return out[:first], false
	}
	for _, d := range out[first:] {
		c.records[d.Task.index].preempting = true
	}
	return out, true
}

// RecordThrottled notes that a running task has been throttled, and releases the processor time
// that it gave up.
func (c *Cell) RecordThrottled(h Handle) {
	r := c.record(h)
	if r == nil || r.state != taskRunning || r.throttled {
		return
	}
	r.throttled = true
	r.preempting = false
	less := Vec{}
	less[MilliCPU] = r.allocated[MilliCPU] - r.allocated[MilliCPU]/throttleDivisor
	r.allocated = r.allocated.Sub(less)
	c.Release(r.worker, less)
	c.chargeTeam(r.Team, Vec{}.Sub(less))
}

// RecordPreemptionFailed notes that a task could not be preempted and keeps running.
func (c *Cell) RecordPreemptionFailed(h Handle) {
	if r := c.record(h); r != nil {
		r.preempting = false
	}
}

// ResumeThrottled appends an OpResume for every throttled task whose full processor time is
// free again and for which no task of a higher class waits. The processor time is allocated at
// once.
func (c *Cell) ResumeThrottled(now time.Duration, out []Decision) []Decision {
	for w := range c.running {
		for _, i := range c.running[w] {
			r := &c.records[i]
			if !r.throttled || r.preempting || c.higherClassWaits(r.Class) {
				continue
			}
			more := r.Demand.Sub(r.allocated)
			if c.heldFor[w] != (Handle{}) || !c.free[w].Covers(&more) || !c.leavesReserve(w, &more, now) {
				continue
			}
			r.throttled = false
			r.allocated = r.Demand
			c.Allocate(WorkerID(w), more)
			c.chargeTeam(r.Team, more)
			out = append(out, Decision{Op: OpResume, Task: Handle{index: i, gen: r.gen}, Ref: r.Ref, Worker: WorkerID(w)})
		}
	}
	return out
}

// leavesReserve reports whether w can allocate more without using capacity reserved for calls.
func (c *Cell) leavesReserve(w int, more *Vec, now time.Duration) bool {
	return c.callUnit.IsZero() || c.totalFreeUnits-c.unitsLost(w, more) >= c.callReserve.shortfall(now, c.runningCalls)
}

func (c *Cell) higherClassWaits(class Class) bool {
	for k := class + 1; k < numClasses; k++ {
		if c.waiting[k].liveCount > 0 {
			return true
		}
	}
	return false
}
