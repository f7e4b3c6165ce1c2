// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"time"

	"dewpass.org/headroom"
	"dewpass.org/sched"
)

// poolHeadroom is the room that a pool keeps free for the tasks of its most urgent queues. Package
// headroom describes the model.
type poolHeadroom struct {
	pool string
	// priority is that of the most urgent queues of the pool, and policies are the names of those
	// among them that have a policy.
	priority int
	policies []string
	tracker  headroom.Tracker
	// running counts the urgent runs, and runningDemand is their demand.
	running       int64
	runningDemand sched.Vec
	// waiting counts, during Place, the urgent tasks that wait, and waitingDemand is their demand.
	waiting       int64
	waitingDemand sched.Vec
	// room holds the units of the workers in the present decision once counted is set. They are
	// counted when the first less urgent step is considered.
	room    headroom.Room
	counted bool
}

// unitBonus is the score of a worker on which a less urgent task costs no unit. It is more than the
// job's affinity and less than the bonuses for being near to data or to other tasks of the step.
const unitBonus = 4.0

// configureHeadroom derives the pools that keep headroom from the queues. A pool keeps its history;
// one whose queues have the same priority keeps no headroom.
func (c *Cell) configureHeadroom() {
	before := c.headrooms
	c.headrooms = nil
	if !c.Headroom && before == nil {
		return
	}
	if c.Headroom {
		c.headrooms = c.newHeadrooms(before)
	}
	for _, j := range c.jobs {
		c.joinHeadroom(j)
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.runList {
			c.joinHeadroom(r.stage.job)
			r.urgentIn = nil
			r.countUrgent()
		}
	}
}

// newHeadrooms returns the pools whose queues differ in priority, with the history of before.
func (c *Cell) newHeadrooms(before map[string]*poolHeadroom) map[string]*poolHeadroom {
	first, last := make(map[string]int), make(map[string]int)
	for _, q := range c.queues {
		if _, known := first[q.Pool]; !known {
			first[q.Pool], last[q.Pool] = q.Priority, q.Priority
		}
		first[q.Pool], last[q.Pool] = min(first[q.Pool], q.Priority), max(last[q.Pool], q.Priority)
	}
	out := make(map[string]*poolHeadroom)
	for pool, priority := range first {
		if priority == last[pool] {
			continue
		}
		h := &poolHeadroom{pool: pool, priority: priority}
		if old := before[pool]; old != nil {
			h.tracker = old.tracker
		}
		out[pool] = h
	}
	for _, q := range c.queues {
		if h := out[q.Pool]; h != nil && q.Priority == h.priority && q.Advice != nil {
			h.policies = append(h.policies, q.Name)
		}
	}
	return out
}

// joinHeadroom sets the headroom that concerns a job.
func (c *Cell) joinHeadroom(j *job) {
	j.headroom, j.urgent = nil, false
	if q := c.queues[j.spec.Queue]; q != nil {
		j.headroom = c.headrooms[q.Pool]
		j.urgent = j.headroom != nil && q.Priority == j.headroom.priority
	}
}

// hasHeadroom reports whether the headroom of its pool concerns s. A long-running task has to be
// restarted at once, and one that uses only idle processor time takes no unit.
func (s *stage) hasHeadroom() bool {
	return s.job.headroom != nil && !s.def.LongRunning && !s.def.IdleCPUOnly
}

// countUrgent counts a run of an urgent task from its decision to its end.
func (r *run) countUrgent() {
	s := r.stage
	if !s.hasHeadroom() || !s.job.urgent {
		return
	}
	h := s.job.headroom
	r.urgentIn = h
	h.running++
	h.runningDemand = h.runningDemand.Add(r.room)
	h.room.UrgentStarted()
}

// uncountUrgent reverses countUrgent.
func (r *run) uncountUrgent() {
	if h := r.urgentIn; h != nil {
		r.urgentIn = nil
		h.running--
		h.runningDemand = h.runningDemand.Sub(r.room)
	}
}

// observeUrgent records how many urgent tasks run or wait at the beginning of a decision. Tasks
// that the limit of their account holds back do not need room.
func (c *Cell) observeUrgent(now, wall time.Time) {
	if len(c.headrooms) == 0 {
		return
	}
	for _, h := range c.headrooms {
		h.counted, h.waiting, h.waitingDemand = false, 0, sched.Vec{}
	}
	for _, s := range c.openStages {
		if s.waiting == 0 || !s.hasHeadroom() || !s.job.urgent || !s.ready() || s.due.After(wall) || s.accountAtLimit() {
			continue
		}
		h := s.job.headroom
		h.waiting += int64(s.waiting)
		h.waitingDemand = h.waitingDemand.Add(s.def.Demand.Scale(int64(s.waiting)))
	}
	for _, h := range c.headrooms {
		h.tracker.Observe(now, h.running+h.waiting, h.runningDemand.Add(h.waitingDemand))
	}
}

// headroomNeed returns the need of the urgent tasks of a pool.
func (c *Cell) headroomNeed(h *poolHeadroom) headroom.Need {
	permitted := 1.0
	for _, queue := range h.policies {
		permitted = min(permitted, c.policyStats[queue].share())
	}
	return headroom.Need{
		Unit: h.tracker.Unit(), Units: h.tracker.Need(), Running: h.running,
		Permitted: int64(math.Round(permitted * headroom.Whole)),
	}
}

// countUnits counts the units on the workers of a pool.
func (c *Cell) countUnits(h *poolHeadroom, need headroom.Need) {
	h.room = headroom.New(need)
	for _, w := range c.sortedWorkers {
		if w.Pool == h.pool && w.usable() {
			w.units = h.room.AddWorker(&w.Room, &w.free)
		}
	}
}

// headroomFrom returns the room of which tasks of s have to leave a part to more urgent ones, nil if
// they may take all. The workers are counted at most once in a decision.
func (c *Cell) headroomFrom(s *stage) *headroom.Room {
	if !s.hasHeadroom() || s.job.urgent {
		return nil
	}
	h := s.job.headroom
	if !h.counted {
		h.counted, h.room = true, headroom.Room{}
		if need := c.headroomNeed(h); need.Rest() > 0 {
			c.countUnits(h, need)
		}
	}
	if h.room.Kept() == 0 {
		return nil
	}
	return &h.room
}

// updateUnits updates the free units of a worker after room was taken or given back there in the
// present decision.
func (c *Cell) updateUnits(w *worker) {
	if h := c.headrooms[w.Pool]; h != nil && h.counted {
		w.units = h.room.Update(w.units, &w.free)
	}
}

// heldBack reports whether headroom keeps all tasks of s from starting, on whatever worker.
func (c *Cell) heldBack(s *stage) bool {
	h := c.headroomFrom(s)
	if h == nil {
		return false
	}
	room := s.def.Reservation()
	return !h.MayTakeAnywhere(&room)
}

// heldBackOn reports whether headroom keeps a task of s from starting on w.
func (c *Cell) heldBackOn(s *stage, w *worker) bool {
	h := c.headroomFrom(s)
	if h == nil {
		return false
	}
	room := s.def.Reservation()
	return !h.MayTake(&w.free, &room)
}

// taking counts how many tasks of a step headroom permits together, without placing them.
type taking struct {
	task sched.Vec
	// room is a copy of the pool's room; limited means that the step has to leave a part of it.
	room    headroom.Room
	limited bool
}

func (c *Cell) newTaking(s *stage) taking {
	t := taking{task: s.def.Reservation()}
	if h := c.headroomFrom(s); h != nil {
		t.room, t.limited = *h, true
	}
	return t
}

// take reports whether headroom permits one more task on w, where a number of tasks were counted
// before, and takes room for it.
func (t *taking) take(w *worker, before int) bool {
	if !t.limited {
		return true
	}
	free := w.free.Sub(t.task.Scale(int64(before)))
	return t.room.Take(&free, &t.task)
}

// leavesHeadroom reports whether headroom permits one more task of the step on w.
func (p *placement) leavesHeadroom(w *worker) bool {
	return p.headroom == nil || p.headroom.MayTake(&w.free, &p.room)
}

// unitScore returns the bonus of a worker on which a task of the step costs no unit.
func (p *placement) unitScore(w *worker) float64 {
	if p.headroom != nil && p.headroom.Cost(&w.free, &p.room) == 0 {
		return unitBonus
	}
	return 0
}

// HeadroomUnits returns how many units the pools of the cell keep free for urgent tasks now, and how
// many are free.
func (c *Cell) HeadroomUnits() (kept, free int64) {
	for _, h := range c.headrooms {
		h.counted = false
		if need := c.headroomNeed(h); !need.Unit.IsZero() {
			c.countUnits(h, need)
			kept += h.room.Kept()
			free += h.room.Free()
		}
	}
	return kept, free
}
