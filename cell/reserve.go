// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"time"

	"dewpass.org/sched"
)

// A large task needs much room on a single worker. Small tasks that take every bit of room as it
// comes free hardly ever leave so much at once, and if a policy has to be asked first, others have
// taken the room before the answer arrives. So a step of large tasks that finds no room gets some
// reserved. Stages that come after it in the order get only what is left, the policy is asked
// before the room comes free, and tasks of less urgent queues that can resume from a checkpoint
// yield.

const (
	// maxLargePerWorker is the largest number of a step's tasks that an empty worker holds for the
	// tasks to count as large. Smaller tasks find room soon, whenever any task ends; reservations
	// for gangs of small tasks were tried, and delayed the calls beside them.
	maxLargePerWorker = 2
	// reserveInterval is the time between choices of workers for one step: as often as a driver
	// decides when nothing happens.
	reserveInterval = 100 * time.Millisecond
	// reserveSwitchGain is how much sooner another worker must have room for a reservation to move
	// there.
	reserveSwitchGain = 300 * time.Millisecond
	// Runs that end within minYieldGain are waited for rather than made to yield: a task that
	// yields has to be stopped and to read its checkpoint, which takes about as long.
	minYieldGain = 500 * time.Millisecond
	// maxYields limits how often one task may be made to yield.
	maxYields = 2
	// stopDuration is the approximate time until the room of a stopped run is free: half of the
	// longest time that workers take for a stop.
	stopDuration = 250 * time.Millisecond
)

// reservation is the room held for a step until its tasks can start: how many tasks on each worker.
type reservation struct {
	workers  map[*worker]int
	chosenAt time.Time
	// held means that the room has been set aside in the present Place.
	held bool
}

// offer is the room that a worker can provide for a step.
type offer struct {
	worker *worker
	// tasks is how many tasks fit, and wait how long until they do.
	tasks int
	wait  time.Duration
}

// reserve reserves room for the tasks of a step that found none, if they are large.
func (c *Cell) reserve(s *stage, q *Queue, now time.Time) {
	if !c.large(s, q) {
		return
	}
	if now.Sub(s.reservation.chosenAt) >= reserveInterval || !s.reservationHolds() {
		s.reservation = c.newReservation(s, q, now)
		c.yieldFor(s, q, now)
	}
	s.holdReservation()
}

// keepReservation holds the reservation of s, if it has one, without choosing its workers again.
func (s *stage) keepReservation() {
	if len(s.reservation.workers) > 0 {
		s.holdReservation()
	}
}

// holdReservation sets aside the reserved room of s for the rest of the present Place.
func (s *stage) holdReservation() {
	s.reservation.held = true
	s.holdReserved(1)
}

// holdReserved adds the room of the reservation of s to what is reserved on the workers, if s has
// its turn in the present Place behind it; by is 1, or -1 to take it away.
func (s *stage) holdReserved(by int64) {
	if !s.reservation.held {
		return
	}
	room := s.def.Reservation()
	for w, n := range s.reservation.workers {
		w.reserved = w.reserved.Add(room.Scale(by * int64(n)))
	}
}

// large reports whether the tasks of s are large for every worker that may run it.
func (c *Cell) large(s *stage, q *Queue) bool {
	few := s.def.Reservation().Scale(maxLargePerWorker + 1)
	for _, w := range c.sortedWorkers {
		if w.Room.Covers(&few) && w.suits(s, q) {
			return false
		}
	}
	return true
}

// reservationHolds reports whether all workers of the reservation are still usable.
func (s *stage) reservationHolds() bool {
	for w := range s.reservation.workers {
		if !w.usable() {
			return false
		}
	}
	return true
}

// newReservation chooses the workers on which the waiting tasks of s can start soonest. A gang gets
// room for all of its members or none.
func (c *Cell) newReservation(s *stage, q *Queue, now time.Time) reservation {
	var offers []offer
	for _, w := range c.mayRun(s, q) {
		if o := c.offer(w, s, q, now); o.tasks > 0 {
			if s.reservation.workers[w] > 0 {
				o.wait -= reserveSwitchGain
			}
			offers = append(offers, o)
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(b.tasks, a.tasks))
	})
	out := reservation{workers: make(map[*worker]int), chosenAt: now}
	left := s.waiting
	for _, o := range offers {
		n := min(o.tasks, left)
		out.workers[o.worker] = n
		if left -= n; left == 0 {
			return out
		}
	}
	if s.def.Gang {
		return reservation{chosenAt: now}
	}
	return out
}

// mayRun returns the workers that may run s as far as is known, including those whose tickets have
// expired.
func (c *Cell) mayRun(s *stage, q *Queue) []*worker {
	var out []*worker
	if q.Advice == nil {
		out = slices.Clone(c.sortedWorkers)
	}
	for _, t := range s.advice.tickets {
		out = append(out, t.worker)
	}
	return slices.DeleteFunc(out, func(w *worker) bool { return !w.usable() || !w.suits(s, q) })
}

// offer returns how many tasks of s a worker can take besides what is reserved, and how long until
// it has room for them.
func (c *Cell) offer(w *worker, s *stage, q *Queue, now time.Time) offer {
	c.examined++
	o := offer{worker: w}
	room := s.def.Reservation()
	most := w.Room.Sub(w.reserved)
	for o.tasks < s.waiting && most.Covers(&room) && (s.def.MaxPerWorker == 0 || s.runsByWorker[w]+o.tasks < s.def.MaxPerWorker) {
		most = most.Sub(room)
		o.tasks++
	}
	if o.tasks == 0 || !w.health.allows(0, now) {
		return offer{}
	}
	runs := slices.Clone(w.runList)
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Compare(c.timeUntilFree(a, q, now), c.timeUntilFree(b, q, now))
	})
	need := room.Scale(int64(o.tasks))
	free := w.free.Sub(w.reserved)
	for _, r := range runs {
		if free.Covers(&need) {
			break
		}
		free = free.Add(r.room)
		o.wait = c.timeUntilFree(r, q, now)
	}
	if !free.Covers(&need) || o.wait >= neverFrees {
		return offer{}
	}
	return o
}

// neverFrees is the assumed remaining time of a long-running task; a worker that would need so long
// makes no offer.
const neverFrees = time.Hour

// timeUntilFree estimates how long until the room of r is free for a task of queue q.
func (c *Cell) timeUntilFree(r *run, q *Queue, now time.Time) time.Duration {
	if r.stage.def.LongRunning {
		return neverFrees
	}
	left := r.remaining(now)
	if r.stopping || c.mayYield(r, q) {
		return min(left, stopDuration)
	}
	return left
}

// mayYield reports whether r may be made to yield to a task of queue q: its own queue is less
// urgent, and it can resume from a checkpoint.
func (c *Cell) mayYield(r *run, q *Queue) bool {
	s := r.stage
	if s.unknown || !s.def.Checkpoints || s.def.Gang || s.def.LongRunning || s.def.Speculative || r.confirmedAt.IsZero() {
		return false
	}
	own := c.queues[s.job.spec.Queue]
	return own != nil && own.Priority > q.Priority && s.tasks[r.index].yieldCount < maxYields
}

// yieldFor stops tasks so that the room reserved for s comes free, those with the most work left
// first, unless the room comes free soon anyway.
func (c *Cell) yieldFor(s *stage, q *Queue, now time.Time) {
	room := s.def.Reservation()
	for w, n := range s.reservation.workers {
		need := room.Scale(int64(n))
		c.yield(w, need, s, q, now)
	}
}

func (c *Cell) yield(w *worker, need sched.Vec, s *stage, q *Queue, now time.Time) {
	free := w.free.Sub(w.reserved)
	var yielders []*run
	for _, r := range w.runList {
		switch {
		case r.stopping || r.remaining(now) <= minYieldGain:
			free = free.Add(r.room)
		case c.mayYield(r, q):
			yielders = append(yielders, r)
		}
	}
	slices.SortStableFunc(yielders, func(a, b *run) int { return cmp.Compare(b.remaining(now), a.remaining(now)) })
	for _, r := range yielders {
		if free.Covers(&need) {
			return
		}
		if !fillsShortage(&free, &need, &r.room) {
			continue
		}
		free = free.Add(r.room)
		r.stopping, r.stopSent = true, time.Time{}
		r.stage.tasks[r.index].yieldCount++
		r.stage.job.history.Yields++
		c.runsNeedCheck = true
	}
}

// fillsShortage reports whether taken includes some of what free lacks of need.
func fillsShortage(free, need, taken *sched.Vec) bool {
	for d := range need {
		if need[d] > free[d] && taken[d] > 0 {
			return true
		}
	}
	return false
}
