// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
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
	// oldestAskDivisor sets the part of the long questions in flight, 1 in oldestAskDivisor, that
	// is reserved for the steps that have waited longest to be asked about. By rank alone the last
	// steps were never asked about, while others for which there was no room were asked about again
	// and again.
	oldestAskDivisor = 4
	// askPartDivisor sets the part of the questions in flight, 1 in askPartDivisor, that long
	// questions leave to short ones and short ones to long ones. After a total power loss, for
	// example, every step has to be asked about again: long questions would hold up many calls that
	// users wait for, and short ones would leave the workers of the batch jobs idle.
	askPartDivisor = 3
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

// maySend reports whether a question may be sent, with about asks questions allowed in flight.
// oldest tells whether it is sent because its step has waited longest, rather than for the step's
// rank.
func (c *Cell) maySend(a *Ask, asks int, oldest bool) bool {
	if !a.Long() {
		return c.maySendShort(asks)
	}
	return c.maySendLong(asks, oldest)
}

// maySendAny reports whether some question to a policy may be sent.
func (c *Cell) maySendAny(advice *Advice, asks int, oldest bool) bool {
	return !advice.alwaysLong() && c.maySendShort(asks) || advice.mayBeLong() && c.maySendLong(asks, oldest)
}

func (c *Cell) maySendLong(asks int, oldest bool) bool {
	limit := c.longLimit(asks)
	forOldest := limit / oldestAskDivisor
	switch {
	case c.longAsks >= limit:
		return false
	case oldest:
		return c.oldestAsks < max(forOldest, 1)
	}
	return c.longAsks-c.oldestAsks < max(limit-forOldest, 1)
}

// longLimit returns how many long questions may be in flight: what the short ones leave, but at
// least their part and at most all but the part of the short ones.
func (c *Cell) longLimit(asks int) int {
	part := asks / askPartDivisor
	return max(min(asks-(c.asks-c.longAsks), asks-part), part, 1)
}

func (c *Cell) maySendShort(asks int) bool {
	part := asks / askPartDivisor
	return asks > 0 && c.asks-c.longAsks < max(min(asks-c.longAsks, asks-part), part, 1)
}

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
	if !c.maySendAny(q.Advice, asks, false) {
		// Choosing the workers to ask about is costly, and pointless before the question can be
		// sent.
		c.unasked = append(c.unasked, unasked{s, q})
		return
	}
	ask := c.ask(s, q, now)
	switch {
	case len(ask.Workers) == 0:
	case c.maySend(&ask, asks, false):
		c.sendAsk(s, &ask, a, now)
	default:
		c.unasked = append(c.unasked, unasked{s, q})
	}
}

// unasked is a step about which no question was sent for want of free questions in flight.
type unasked struct {
	stage *stage
	queue *Queue
}

// askOldest asks about those of the unasked steps that have waited longest for a question.
func (c *Cell) askOldest(a *Actions, asks int, now time.Time) {
	slices.SortStableFunc(c.unasked, func(x, y unasked) int { return x.stage.waitingToAskSince().Compare(y.stage.waitingToAskSince()) })
	for _, u := range c.unasked {
		if u.stage.advice.asking || !c.maySendAny(u.queue.Advice, asks, true) {
			continue
		}
		ask := c.ask(u.stage, u.queue, now)
		if len(ask.Workers) > 0 && c.maySend(&ask, asks, true) {
			ask.oldest = true
			c.sendAsk(u.stage, &ask, a, now)
		}
	}
	c.unasked = c.unasked[:0]
}

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
	s.advice.questions++
	ask.Nth, ask.Started = s.advice.questions, s.advice.started
	ask.Waiting, ask.Waited = s.waiting, now.Sub(s.waitingSince)
	s.advice.started = 0
	c.countAsk(ask, 1)
	a.Asks = append(a.Asks, *ask)
}

// countAsk counts a question that is now in flight (by is 1) or no longer is (by is -1).
func (c *Cell) countAsk(a *Ask, by int) {
	c.asks += by
	if a.Long() {
		c.longAsks += by
	}
	if a.Long() && a.oldest {
		c.oldestAsks += by
	}
}

// mayAsk reports whether a question about s may be due.
func (s *stage) mayAsk(q *Queue, now time.Time) bool {
	return q.Advice != nil && !s.advice.asking && !now.Before(s.advice.notBefore) && (s.waiting > 0 || s.needsMove)
}

// ask returns the question about s to send now, without workers if there is none to ask about.
func (c *Cell) ask(s *stage, q *Queue, now time.Time) Ask {
	a := Ask{Step: s.id(), Priority: q.Priority, Advice: *q.Advice}
	candidates := c.askCandidates(s, q, now)
	if len(candidates) == 0 {
		s.advice.notBefore = now.Add(candidateRetryDelay)
	}
	for _, w := range candidates[:c.askCount(s, candidates)] {
		a.candidates = append(a.candidates, w.worker)
		a.Workers = append(a.Workers, w.ID)
		if w.known {
			a.Known++
		}
	}
	return a
}

// askCount returns how many of the candidates a question about s names: as many as are likely to
// have room for its tasks. Most of the time of a long answer is independent of the number of
// workers, so where batch jobs wait for the policy a second question about a step costs more than a
// wide one.
func (c *Cell) askCount(s *stage, candidates []askCandidate) int {
	share := c.policyStats[s.job.spec.Queue].share()
	need := askRoomFactor * float64(s.waiting)
	for i, w := range candidates {
		if i >= maxAskWorkers || need <= 0 && i >= minAskWorkers {
			return i
		}
		fits := float64(s.fits(w.worker))
		if !w.known {
			fits *= share
		}
		need -= fits
	}
	return len(candidates)
}

// fits returns how many of the waiting tasks of s fit on w.
func (s *stage) fits(w *worker) int {
	room := s.def.Reservation()
	most := s.waiting
	if s.def.MaxPerWorker > 0 {
		most = min(most, s.def.MaxPerWorker-s.runsByWorker[w])
	}
	free := w.free.Sub(w.reserved)
	n := 0
	for ; n < most && free.Covers(&room); n++ {
		free = free.Sub(room)
	}
	return n
}

// askCandidates returns the workers worth asking about, those known to be permitted first, then
// those with the most free room. The first question may name any suitable worker; later ones name
// workers that have room now, hold no valid ticket and were not found unfit.
func (c *Cell) askCandidates(s *stage, q *Queue, now time.Time) []askCandidate {
	first := s.advice.asked == nil
	room := s.def.Reservation()
	var out []askCandidate
	for _, w := range c.sortedWorkers {
		if !w.usable() || !w.suits(s, q) {
			continue
		}
		if first {
			out = append(out, askCandidate{worker: w})
			continue
		}
		if !w.hasRoom(&room) && !c.soonFree(s, w, q, now) || !w.health.allows(len(w.runs), now) || s.atPerWorkerLimit(w) {
			continue
		}
		at, known := s.advice.findTicket(w)
		if s.advice.asked[w] && (!known || now.Before(s.advice.tickets[at].until)) {
			continue
		}
		out = append(out, askCandidate{worker: w, known: known})
	}
	slices.SortStableFunc(out, func(x, y askCandidate) int {
		return cmp.Or(compareBools(y.known, x.known), cmp.Compare(y.free[sched.MilliCPU], x.free[sched.MilliCPU]))
	})
	return out
}

// askCandidate is a worker worth asking about. known means that the policy has permitted it to run
// the step before.
type askCandidate struct {
	*worker
	known bool
}

// soonFree reports whether w, which is reserved for s, will have room by the time the policy has
// answered.
func (c *Cell) soonFree(s *stage, w *worker, q *Queue, now time.Time) bool {
	if s.reservation.workers[w] == 0 {
		return false
	}
	o := c.offer(w, s, q, now)
	return o.tasks > 0 && o.wait <= c.askLeadTime(q)
}

// atPerWorkerLimit reports whether w runs as many tasks of s as one worker may.
func (s *stage) atPerWorkerLimit(w *worker) bool {
	return s.def.MaxPerWorker > 0 && s.runsByWorker[w] >= s.def.MaxPerWorker
}
