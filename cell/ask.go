// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

const (
	// minAskWorkers is the least number of workers that a question names if so many are eligible:
	// with fewer the answer would hardly be faster. maxAskWorkers is the most.
	minAskWorkers = 30
	maxAskWorkers = 100
	// askRoomFactor is the room that a question looks for, as a multiple of the room for the
	// waiting tasks: some of it is taken before the answer arrives.
	askRoomFactor = 2
	// longAskThreshold is the duration above which a question is long.
	longAskThreshold = 150 * time.Millisecond
	// askRetryDelay is the pause after a question that was not answered.
	askRetryDelay = 100 * time.Millisecond
	// candidateRetryDelay is the pause after a search that found no worker to ask about.
	candidateRetryDelay = 20 * time.Millisecond
)

// Ask is a question to the policy: which of the workers may run the step?
type Ask struct {
	Step    flow.StepID
	Workers []string
	Advice  Advice
	// Priority is that of the step's queue.
	Priority int
	// Nth is the number of the question among those about its step. Started is how many tasks of the
	// step have started since the question before it.
	Nth, Started int
	// Known is how many of the workers the policy has permitted before.
	Known int
	// Waiting is the number of the step's waiting tasks, and Waited how long they have waited.
	Waiting int
	Waited  time.Duration
	// oldest means that the question was asked because its step had waited longest.
	oldest bool
	// candidates are the workers asked about, in the order of Workers.
	candidates []*worker
	// claims are the tasks that are likely to start on each of the candidates.
	claims []claim
}

// Takes returns how long the policy is expected to take for the answer.
func (a *Ask) Takes() time.Duration {
	return a.Advice.Decide + time.Duration(len(a.Workers))*a.Advice.Each
}

// Oldest reports whether the question was asked because its step had waited longest.
func (a *Ask) Oldest() bool { return a.oldest }

// Long reports whether the answer is expected to take long.
func (a *Ask) Long() bool { return a.Takes() > longAskThreshold }

// alwaysLong reports whether the answer to any question is expected to take long.
func (a *Advice) alwaysLong() bool { return a.Decide+a.Each > longAskThreshold }

// mayBeLong reports whether the answer to the widest question is expected to take long.
func (a *Advice) mayBeLong() bool { return a.Decide+maxAskWorkers*a.Each > longAskThreshold }

// askAhead asks the policy about a step that is about to open, or whose tasks have to move, unless
// the step already holds a ticket. Whether the permitted workers suffice is checked when the step
// is placed. Asking on until every worker had been asked about took 6 questions for such a step,
// and after a change of owner steps waited for each other's questions.
func (c *Cell) askAhead(s *stage, q *Queue, a *Actions, asks int, now time.Time) {
	if !s.needsMove && s.advice.hasTicketUntil(now.Add(adviceLead)) {
		return
	}
	if s.pendingDeps == 0 || c.opensWithin(s, c.askLeadTime(q), now) {
		c.askFor(s, q, a, asks, now)
	}
}

// askFor asks the policy about a step whose tasks find no worker, unless the step only waits for
// the store to record a hall.
func (c *Cell) askFor(s *stage, q *Queue, a *Actions, asks int, now time.Time) {
	if !s.mayAsk(q, now) || len(s.hallsToStore) > 0 {
		return
	}
	if !c.maySendAny(q.Advice, asks, byRank) {
		// Choosing the workers to ask about is costly, and pointless before the question can be
		// sent.
		c.unasked = append(c.unasked, unasked{s, q})
		return
	}
	candidates := c.startCandidates(s, q, now)
	if len(candidates) == 0 {
		c.tooEarly = append(c.tooEarly, unasked{s, q})
		return
	}
	ask := c.ask(s, q, candidates)
	if !c.maySend(&ask, asks, byRank) {
		c.unasked = append(c.unasked, unasked{s, q})
		return
	}
	c.sendAsk(s, &ask, a, now)
}

// unasked is a step about which no question was sent, for want of free questions in flight or of
// room.
type unasked struct {
	stage *stage
	queue *Queue
}

// askOldest asks about those of the unasked steps that have waited longest for a question, whether
// or not a step before them is likely to use the room.
func (c *Cell) askOldest(a *Actions, asks int, now time.Time) {
	for _, w := range c.sortedWorkers {
		w.claimed = sched.Vec{}
	}
	c.shortages, c.oldestNext = c.shortages[:0], false
	c.unasked = append(c.unasked, c.tooEarly...)
	slices.SortStableFunc(c.unasked, func(x, y unasked) int { return x.stage.waitingToAskSince().Compare(y.stage.waitingToAskSince()) })
	for _, u := range c.unasked {
		if !c.maySendAny(u.queue.Advice, asks, byAge) {
			continue
		}
		u.stage.holdReserved(-1)
		candidates := c.startCandidates(u.stage, u.queue, now)
		u.stage.holdReserved(1)
		if len(candidates) == 0 {
			u.stage.advice.notBefore = now.Add(candidateRetryDelay)
			continue
		}
		c.askLater(u, candidates, a, asks, byAge, now)
	}
	c.unasked = c.unasked[:0]
}

// askEarly asks for the first time about steps for which there is no room yet, by rank, so that
// their tasks can start soon after room comes free.
func (c *Cell) askEarly(a *Actions, asks int, now time.Time) {
	for _, u := range c.tooEarly {
		adv := &u.stage.advice
		if adv.asked == nil && !adv.asking && c.maySendAny(u.queue.Advice, asks, early) {
			c.askLater(u, c.askCandidates(u.stage, u.queue, now), a, asks, early, now)
		}
		adv.notBefore = now.Add(candidateRetryDelay)
	}
	c.tooEarly = c.tooEarly[:0]
}

// askLater sends a question about a step that was passed over, if it may be sent for the reason
// given.
func (c *Cell) askLater(u unasked, candidates []askCandidate, a *Actions, asks int, why askReason, now time.Time) {
	ask := c.ask(u.stage, u.queue, candidates)
	if len(candidates) > 0 && c.maySend(&ask, asks, why) {
		ask.oldest = why == byAge
		c.sendAsk(u.stage, &ask, a, now)
	}
}

// startsTogether returns how many tasks of s have to find room for one to start.
func (s *stage) startsTogether() int {
	if s.def.Gang {
		return max(s.waiting, 1)
	}
	return 1
}

// unclaimedFits returns at most how many of the tasks of s that have to start together find room
// beside what earlier steps are likely to use.
func (c *Cell) unclaimedFits(s *stage, q *Queue) int {
	room, need := s.def.Reservation(), s.startsTogether()
	if most := c.mostFree[q.Pool]; !most.Covers(&room) {
		return 0
	}
	for i := range c.shortages {
		k := &c.shortages[i]
		if k.pool == q.Pool && k.label == s.def.RequiredLabel && k.fits < need && room.Covers(&k.room) {
			return k.fits
		}
	}
	n := 0
	c.examined += len(c.sortedWorkers)
	for _, w := range c.sortedWorkers {
		if !w.usable() || !w.suits(s, q) {
			continue
		}
		for free := w.unclaimed(); n < need && free.Covers(&room); free = free.Sub(room) {
			n++
		}
		if n == need {
			return n
		}
	}
	c.shortages = append(c.shortages, shortage{q.Pool, s.def.RequiredLabel, room, n})
	return n
}

// shortage is the result of a search for unclaimed room: no more than fits tasks find it on the
// workers of the pool that have the label.
type shortage struct {
	pool, label string
	room        sched.Vec
	fits        int
}

// unclaimed returns the room of w that no step before is likely to use.
func (w *worker) unclaimed() sched.Vec { return w.free.Sub(w.reserved).Sub(w.claimed) }

// waitingToAskSince returns when s began to wait for its next question.
func (s *stage) waitingToAskSince() time.Time {
	if s.advice.lastAsked.After(s.waitingSince) {
		return s.advice.lastAsked
	}
	return s.waitingSince
}

// sendAsk adds a question about s to the actions.
func (c *Cell) sendAsk(s *stage, ask *Ask, a *Actions, now time.Time) {
	s.advice.asking, s.advice.lastAsked = true, now
	s.advice.claims = ask.claims
	s.addClaims()
	s.advice.questions++
	ask.Nth, ask.Started = s.advice.questions, s.advice.started
	ask.Waiting, ask.Waited = s.waiting, now.Sub(s.waitingSince)
	s.advice.started = 0
	c.countAsk(ask, 1)
	a.Asks = append(a.Asks, *ask)
}

// mayAsk reports whether a question about s may be due.
func (s *stage) mayAsk(q *Queue, now time.Time) bool {
	return q.Advice != nil && !s.advice.asking && !now.Before(s.advice.notBefore) && (s.waiting > 0 || s.needsMove)
}

// ask returns the question about s to send now. It names as many of the candidates as are likely to
// have room for its tasks. Most of the time of a long answer is independent of the number of
// workers, so where batch jobs wait for the policy a second question about a step costs more than a
// wide one.
func (c *Cell) ask(s *stage, q *Queue, candidates []askCandidate) Ask {
	a := Ask{Step: s.id(), Priority: q.Priority, Advice: *q.Advice}
	share := c.policyStats[s.job.spec.Queue].share()
	sortCandidates(candidates)
	need := askRoomFactor * float64(s.waiting)
	likely := 0.0
	for i, w := range candidates {
		if i >= maxAskWorkers || need <= 0 && i >= minAskWorkers {
			break
		}
		fits := float64(s.fits(w.worker))
		if !w.known {
			fits *= share
		}
		need -= fits
		likely += fits
		a.candidates = append(a.candidates, w.worker)
		a.Workers = append(a.Workers, w.ID)
		if w.known {
			a.Known++
		}
		if n := int(likely); n > 0 {
			a.claims = append(a.claims, claim{w.worker, n})
			likely -= float64(n)
		}
	}
	return a
}

// claim is the number of tasks that are likely to start on a worker once the policy has answered.
type claim struct {
	worker *worker
	tasks  int
}

// addClaims sets aside, for the rest of the decision, the room that the tasks of s are likely to
// use once the question in flight is answered: later steps are asked about only if there is room
// beside it. Any step may start tasks in that room meanwhile.
func (s *stage) addClaims() {
	room := s.def.Reservation()
	left := s.waiting
	for _, p := range s.advice.claims {
		n := min(p.tasks, left)
		p.worker.claimed = p.worker.claimed.Add(room.Scale(int64(n)))
		if left -= n; left == 0 {
			return
		}
	}
}
