// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

const (
	// adviceLead is added to the time that an answer takes when the policy is asked before a step
	// opens.
	adviceLead = 250 * time.Millisecond
	// runCheckInterval is the time between checks of all runs for those that stall or have to move.
	// Decisions about a run, such as a cancel, trigger a check at once.
	runCheckInterval = 50 * time.Millisecond
)

// Stop is an order to stop a run.
type Stop struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
}

// Actions are the decisions of one call of Place.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Asks   []Ask
	Paces  []Pace
	// Waits are the steps that have waited for long and still wait.
	Waits []Wait
	// Late are the steps whose last waiting task starts now, after a long wait.
	Late []LateStart
}

// Place decides what to do now. asks limits the number of questions in flight. wall is the time of
// day, with which due times are compared.
func (c *Cell) Place(now, wall time.Time, asks int) Actions {
	var a Actions
	c.sendBudgetLeft, c.sendLimited, c.maxAsks = c.sendBudget, false, asks
	c.examined = 0
	c.places++
	c.observeUrgent(now, wall)
	if c.attemptsNeedCheck {
		c.attemptsNeedCheck = false
		c.endFailedJobs(now)
	}
	c.sendRecorded(&a, now)
	if c.runsNeedCheck || now.Sub(c.runsCheckedAt) >= runCheckInterval {
		c.runsNeedCheck, c.runsCheckedAt = false, now
		c.decideStops(&a, now)
		c.decidePaces(&a, now)
	}
	c.pruneOpenStages()
	c.sortOpenStages(now)
	c.shareFairly(now, wall)
	d := decision{a: &a, now: now, wall: wall, asks: asks, unsettled: c.unsettled(), inDoubt: c.stagesInDoubt()}
	c.updateMostFree()
	c.refreshSpeeds(now)
	c.countPossiblyUsed(&d.unsettled, now)
	c.countTrials(now)
	for _, w := range c.sortedWorkers {
		w.reserved, w.claimed = sched.Vec{}, sched.Vec{}
	}
	c.shortages, c.noRooms = c.shortages[:0], c.noRooms[:0]
	for _, s := range c.openStages {
		s.reservation.held = false
	}
	for _, s := range c.openStages {
		c.considerStage(s, &d)
	}
	c.askOldest(&a, asks, now)
	c.askEarly(&a, asks, now)
	c.crowded = c.examined > c.examinedLimit()/crowdedDivisor
	return a
}

// decision holds what one Place passes to its parts.
type decision struct {
	a         *Actions
	now, wall time.Time
	// asks limits the number of questions in flight.
	asks      int
	unsettled unsettled
	inDoubt   map[*stage]bool
}

// considerStage starts the tasks of s that may start now, or asks the policy about them.
func (c *Cell) considerStage(s *stage, d *decision) {
	q := c.queues[s.job.spec.Queue]
	if q == nil || s.job.state.Final() || !s.due.IsZero() && s.due.After(d.wall) {
		return
	}
	if s.advice.asking {
		s.addClaims()
	}
	if c.postponed(s, q, d.now) {
		s.keepReservation()
		c.reportWait(s, s.waitTimes.why, d.a, d.now)
		return
	}
	s.examinedAt = d.now
	if s.waiting == 0 || s.pendingDeps > 0 || !s.job.stored {
		c.askAhead(s, q, d.a, d.asks, d.now)
		s.backoff.attempted(false, c.maxBackoff(q), d.now)
		s.needsMove = false
		return
	}
	s.needsMove = false
	if c.sendBudgetLeft <= 0 {
		c.sendLimited = true
		c.askAhead(s, q, d.a, d.asks, d.now)
		c.reportWait(s, LinkFull, d.a, d.now)
		return
	}
	before := s.waiting
	why := c.placeStage(s, q, d)
	if s.waiting > 0 && why != HeldUp && why != LinkFull && why != LimitReached {
		c.askFor(s, q, d.a, d.asks, d.now)
		c.reserve(s, q, d.now)
		s.backoff.attempted(s.waiting < before, c.maxBackoff(q), d.now)
	}
	if s.waiting == 0 {
		c.allStarted(s, q, d.a, d.now)
	} else {
		s.setWaitReason(c.waitReason(s, why, d.now), d.now)
	}
	c.reportWait(s, why, d.a, d.now)
}

// noRoom is a demand for which no worker of a pool that has the label has room in the present
// decision. Room is only taken during a decision, so that it holds until its end.
type noRoom struct {
	pool, label string
	room        sched.Vec
}

// foundNoRoom reports whether a step before s found no worker although it needs no more than s. It
// saves the search where no policy chooses among the workers.
func (c *Cell) foundNoRoom(s *stage, q *Queue) bool {
	room := s.def.Reservation()
	return q.Advice == nil && slices.ContainsFunc(c.noRooms, func(k noRoom) bool {
		return k.pool == q.Pool && k.label == s.def.RequiredLabel && room.Covers(&k.room)
	})
}

// noteNoRoom records that no worker has room for the rest of s, unless only some workers were
// searched.
func (c *Cell) noteNoRoom(s *stage, q *Queue) {
	if s.waiting == 0 || q.Advice != nil || s.def.MaxPerWorker > 0 || len(s.hallsToStore) > 0 || c.sendBudgetLeft <= 0 || s.accountAtLimit() {
		return
	}
	room := s.def.Reservation()
	if !slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.Pool == q.Pool && w.usable() && w.suits(s, q) && w.hasRoom(&room) }) {
		c.noRooms = append(c.noRooms, noRoom{q.Pool, s.def.RequiredLabel, room})
	}
}

// placeStage starts the tasks of s that find room, and returns why others still wait.
func (c *Cell) placeStage(s *stage, q *Queue, d *decision) WaitReason {
	room, mostFree := s.def.Reservation(), c.mostFree[q.Pool]
	why := NoWorker
	switch {
	case c.heldUp(s, &d.unsettled):
		why = HeldUp
	case d.inDoubt[s]:
		why = InDoubt
	case s.accountAtLimit():
		why = LimitReached
	case c.heldBack(s):
		why = Full
	case s.def.Gang:
		c.placeGang(s, q, d.a, d.now)
	case !mostFree.Covers(&room):
		why = Full
	case c.foundNoRoom(s, q):
	default:
		c.placeTasks(s, q, d.a, d.now)
		c.noteNoRoom(s, q)
	}
	if s.waiting > 0 && c.sendBudgetLeft <= 0 {
		c.sendLimited = true
		why = LinkFull
	}
	if s.waiting > 0 && s.accountAtLimit() {
		why = LimitReached
	}
	return why
}

// updateMostFree sets mostFree.
func (c *Cell) updateMostFree() {
	c.mostFree = make(map[string]sched.Vec)
	for _, w := range c.sortedWorkers {
		if w.usable() {
			c.mostFree[w.Pool] = c.mostFree[w.Pool].Max(w.free)
		}
	}
}

// pruneOpenStages removes the stages that have nothing left to place.
func (c *Cell) pruneOpenStages() {
	c.openStages = slices.DeleteFunc(c.openStages, func(s *stage) bool {
		s.open = (s.waiting > 0 || s.needsMove) && !s.job.state.Final() && s.job.movingTo == ""
		return !s.open
	})
}

// openStage adds s to the stages that have waiting tasks or soon will.
func (c *Cell) openStage(s *stage) {
	if !s.open {
		s.open = true
		c.openStages = append(c.openStages, s)
	}
	s.backoff = backoff{}
}

func (c *Cell) askLeadTime(q *Queue) time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.Decide + time.Duration(min(len(c.sortedWorkers), minAskWorkers))*q.Advice.Each + adviceLead
}

// opensWithin estimates whether the steps before s will be done within d.
func (c *Cell) opensWithin(s *stage, d time.Duration, now time.Time) bool {
	for _, b := range s.def.DependsOn {
		before := s.job.stage(s.time, b)
		if before.tasksLeft == 0 {
			continue
		}
		if before.waiting > 0 || before.pendingDeps > 0 {
			return false
		}
		for i := range before.tasks {
			t := &before.tasks[i]
			for _, r := range t.runs {
				if r.remaining(now) > d {
					return false
				}
			}
		}
	}
	return true
}

// remaining estimates how much longer r will run.
func (r *run) remaining(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return r.expected()
	}
	ran := now.Sub(r.confirmedAt)
	if r.percent <= 0 || r.percent > 100 {
		return max(r.expected()-ran, 0)
	}
	until := r.lastProgress.Sub(r.confirmedAt)
	whole := until * 100 / time.Duration(r.percent)
	return max(whole-ran, 0)
}
