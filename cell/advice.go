// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

const (
	// minAskWorkers is how many workers a question names at least, if it may name so many: fewer
	// would shorten the answer by little. askMost bounds them.
	minAskWorkers = 30
	maxAskWorkers = 100
	// askRoomFactor is how many times the tasks that wait a question looks for room: some of it
	// is taken before the answer is there.
	askRoomFactor = 2
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 80 * time.Millisecond
	// longAskThreshold is from when on a question counts as long.
	longAskThreshold = 150 * time.Millisecond
	// oldestAskDivisor is the part of the long questions under way, as a divisor, that is kept for the
	// steps that have waited longest for one. In the order of the steps alone those that come
	// last were never asked about while others, for which there was no room, asked again and
	// again.
	oldestAskDivisor = 4
	// shortAskDivisor is the part of the questions under way, as a divisor, that is kept
	// for short ones, however many callers there still are: a long one would hold up many
	// calls that somebody waits for, as after a loss of power to all, when each step has to
	// ask anew.
	shortAskDivisor = 3
	// askRetryDelay is the pause after a question that had no answer.
	askRetryDelay = 100 * time.Millisecond
	// candidateRetryDelay is the pause after a look that found nobody to ask about.
	candidateRetryDelay = 20 * time.Millisecond
)

// stageAdvice is what a queue's policy said of a stage. Which workers may run
// it does not change; only tickets end.
type stageAdvice struct {
	// tickets are the workers that may run the stage, by their ids.
	tickets []*ticket
	// asked holds the workers that were asked about. Another life is asked about anew, and no
	// ticket holds for it.
	asked  map[*worker]bool
	asking bool
	// notBefore is when the next question may be asked, and lastAsked when the lastAsked one was.
	notBefore, lastAsked time.Time
}

// ticket lets worker run a stage until a time.
type ticket struct {
	worker *worker
	text   string
	until  time.Time
}

// findTicket returns where the ticket of a worker is among the good ones, or belongs.
func (a *stageAdvice) findTicket(w *worker) (int, bool) {
	at, there := a.searchTicket(w)
	return at, there && a.tickets[at].worker == w
}

// searchTicket returns where the ticket of any life of a worker is among the good ones, or belongs.
func (a *stageAdvice) searchTicket(w *worker) (int, bool) {
	return slices.BinarySearchFunc(a.tickets, w.ID, func(t *ticket, id string) int { return cmp.Compare(t.worker.ID, id) })
}

// setTicket keeps a ticket, in the place of one of an earlier life.
func (a *stageAdvice) setTicket(t *ticket) {
	at, known := a.searchTicket(t.worker)
	if known {
		a.tickets[at] = t
		return
	}
	a.tickets = slices.Insert(a.tickets, at, t)
}

// hasTicketUntil reports whether a ticket hasTicketUntil until a time.
func (a *stageAdvice) hasTicketUntil(until time.Time) bool {
	return slices.ContainsFunc(a.tickets, func(t *ticket) bool { return until.Before(t.until) })
}

func (a *stageAdvice) expireTicket(w *worker) {
	if at, known := a.findTicket(w); known {
		a.tickets[at].until = time.Time{}
	}
}

// Ask is a question to the policy: which of the workers may run the step.
type Ask struct {
	Step    flow.StepID
	Workers []string
	Advice  Advice
	// Priority is that of the queue.
	Priority int
	// oldest says that it was asked for how long its step had waited.
	oldest bool
	// candidates are the workers that are asked about, in the order of Workers.
	candidates []*worker
}

// Takes returns how long the policy takes for the answer.
func (a *Ask) Takes() time.Duration {
	return a.Advice.Decide + time.Duration(len(a.Workers))*a.Advice.Each
}

// Long reports whether the answer takes long.
func (a *Ask) Long() bool { return a.Takes() > longAskThreshold }

// alwaysLong reports whether the answer to any question takes long.
func (a *Advice) alwaysLong() bool { return a.Decide+a.Each > longAskThreshold }

// maySend reports whether a question may be asked where about asks may be under way at
// once, for the sake of its step's place in the order or of how long it has waited.
func (c *Cell) maySend(a *Ask, asks int, oldest bool) bool {
	if !a.Long() {
		return c.maySendShort(asks)
	}
	return c.maySendLong(asks, oldest)
}

func (c *Cell) maySendLong(asks int, oldest bool) bool {
	most := max(asks-max(asks/shortAskDivisor, 1), 1)
	forOldest := most / oldestAskDivisor
	if oldest {
		return c.asks < asks && c.longAsks < most && c.oldestAsks < max(forOldest, 1)
	}
	return c.asks < asks && c.longAsks < most && c.longAsks-c.oldestAsks < max(most-forOldest, 1)
}

func (c *Cell) maySendShort(asks int) bool {
	return asks > 0 && c.asks-c.longAsks < max(asks-c.longAsks, asks/shortAskDivisor, 1)
}

// askAhead asks the policy about a step that is about to open, or whose tasks have to
// move, unless it holds a ticket already: whether the workers that it names will do is
// seen when the step is placed. Asking on until all workers are asked about took 6 questions
// for such a step, and after a change of owner each waited for the others'.
func (c *Cell) askAhead(s *stage, q *Queue, a *Actions, asks int, now time.Time) {
	if !s.needsMove && s.advice.hasTicketUntil(now.Add(adviceLead)) {
		return
	}
	if s.pendingDeps == 0 || c.opensWithin(s, c.askLeadTime(q), now) {
		c.askFor(s, q, a, asks, now)
	}
}

// askFor asks the policy about a step whose tasks find no worker, for another reason than
// that the store has to be told of a hall first.
func (c *Cell) askFor(s *stage, q *Queue, a *Actions, asks int, now time.Time) {
	if !c.maySendShort(asks) || !s.mayAsk(q, now) || len(s.hallsToStore) > 0 {
		return
	}
	if q.Advice.alwaysLong() && !c.maySendLong(asks, false) {
		// Whom to ask about is not worth finding out before the question can be sent.
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

// unasked is a step about which a question might be asked if fewer were under way.
type unasked struct {
	stage *stage
	queue *Queue
}

// askOldest asks about the steps that have waited longest for a question, of those that were
// left out for their place in the order.
func (c *Cell) askOldest(a *Actions, asks int, now time.Time) {
	slices.SortStableFunc(c.unasked, func(x, y unasked) int { return x.stage.waitingToAskSince().Compare(y.stage.waitingToAskSince()) })
	for _, u := range c.unasked {
		if u.stage.advice.asking || u.queue.Advice.alwaysLong() && !c.maySendLong(asks, true) {
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

// waitingToAskSince returns since when s has waited for a question about it.
func (s *stage) waitingToAskSince() time.Time {
	if s.advice.lastAsked.After(s.waitingSince) {
		return s.advice.lastAsked
	}
	return s.waitingSince
}

// sendAsk asks a question about s.
func (c *Cell) sendAsk(s *stage, ask *Ask, a *Actions, now time.Time) {
	s.advice.asking, s.advice.lastAsked = true, now
	c.countAsk(ask, 1)
	a.Asks = append(a.Asks, *ask)
}

// countAsk counts a question that is under way, by is 1, or is not any more, by is -1.
func (c *Cell) countAsk(a *Ask, by int) {
	c.asks += by
	if a.Long() {
		c.longAsks += by
	}
	if a.Long() && a.oldest {
		c.oldestAsks += by
	}
}

// Ticket lets a worker run a step.
type Ticket struct {
	Worker, Text string
}

// Advised takes in the answer to a question sent at sent.
func (c *Cell) Advised(a Ask, tickets []Ticket, valid time.Duration, sent time.Time) {
	c.countAsk(&a, -1)
	s := c.stage(a.Step)
	if s == nil {
		return
	}
	s.advice.asking = false
	c.updatePolicyStats(s, &a, tickets)
	if s.advice.asked == nil {
		s.advice.asked = make(map[*worker]bool)
	}
	for _, w := range a.candidates {
		s.advice.asked[w] = true
	}
	for _, t := range tickets {
		if w := c.workers[t.Worker]; w != nil && slices.Contains(a.candidates, w) {
			s.advice.setTicket(&ticket{worker: w, text: t.Text, until: sent.Add(valid - ticketMargin)})
		}
	}
}

// updatePolicyStats takes in what an answer says of the policy of a queue.
func (c *Cell) updatePolicyStats(s *stage, a *Ask, tickets []Ticket) {
	p := c.policyStats[s.job.spec.Queue]
	if p == nil {
		p = new(policyStats)
		c.policyStats[s.job.spec.Queue] = p
	}
	asked, good := 0, 0
	for _, w := range a.candidates {
		if s.advice.asked[w] {
			continue
		}
		asked++
		if slices.ContainsFunc(tickets, func(t Ticket) bool { return t.Worker == w.ID }) {
			good++
		}
	}
	p.add(asked, good)
}

// Unadvised says that a question had no answer.
func (c *Cell) Unadvised(a Ask, now time.Time) {
	c.countAsk(&a, -1)
	if s := c.stage(a.Step); s != nil {
		s.advice.asking = false
		s.advice.notBefore = now.Add(askRetryDelay)
	}
}

// permit is a worker that may run a stage now, with its ticket if it needs one.
type permit struct {
	worker *worker
	ticket string
}

// permits yields the workers that may run s now, by their ids.
func (c *Cell) permits(s *stage, q *Queue, now time.Time) iter.Seq[permit] {
	return func(yield func(permit) bool) {
		if q.Advice == nil {
			for _, w := range c.sortedWorkers {
				if !yield(permit{worker: w}) {
					return
				}
			}
			return
		}
		for _, t := range s.advice.tickets {
			if now.Before(t.until) && !yield(permit{worker: t.worker, ticket: t.text}) {
				return
			}
		}
	}
}

// mayAsk reports whether it is worth looking whether s needs to ask.
func (s *stage) mayAsk(q *Queue, now time.Time) bool {
	return q.Advice != nil && !s.advice.asking && !now.Before(s.advice.notBefore) && (s.waiting > 0 || s.needsMove)
}

// ask returns the question that s needs now, or one without workers.
func (c *Cell) ask(s *stage, q *Queue, now time.Time) Ask {
	a := Ask{Step: s.id(), Priority: q.Priority, Advice: *q.Advice}
	candidates := c.askCandidates(s, q, now)
	if len(candidates) == 0 {
		s.advice.notBefore = now.Add(candidateRetryDelay)
	}
	for _, w := range candidates[:c.askCount(s, candidates)] {
		a.candidates = append(a.candidates, w.worker)
		a.Workers = append(a.Workers, w.ID)
	}
	return a
}

// askCount returns how many of the candidates a question about s names: as many as are likely to
// have room for its tasks. Of a long answer most is there however many are named, so that where
// batch waits for the policy a second question about a step costs more than a wide one.
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

// fits returns how many of the tasks of s that wait w has room for.
func (s *stage) fits(w *worker) int {
	room := s.def.Room()
	most := s.waiting
	if s.def.PerWorker > 0 {
		most = min(most, s.def.PerWorker-s.runsByWorker[w])
	}
	free := w.free.Sub(w.reserved)
	n := 0
	for ; n < most && free.Covers(&room); n++ {
		free = free.Sub(room)
	}
	return n
}

// policyStats is what answers of a queue's policyStats were like.
type policyStats struct {
	asked, permitted float64
}

const (
	// policyWindow is how many workers asked about a policy is known by: what it says shifts
	// with the jobs that come.
	policyWindow = 1000
	// policyPriorShare is the share of the workers that a policy is taken to let run a step before
	// it has said much, and policyWeight the number of workers that this counts as.
	policyPriorShare  = 0.5
	policyPriorWeight = 10
)

// add takes in an answer about some workers that were not asked about before.
func (p *policyStats) add(asked, good int) {
	if p.asked > policyWindow {
		p.asked, p.permitted = p.asked/2, p.permitted/2
	}
	p.asked += float64(asked)
	p.permitted += float64(good)
}

// share returns which part of the workers the policy lets run a step.
func (p *policyStats) share() float64 {
	if p == nil {
		return policyPriorShare
	}
	return (p.permitted + policyPriorShare*policyPriorWeight) / (p.asked + policyPriorWeight)
}

// askCandidates returns the workers about which it is worth asking, those that are known to be let run s
// first, then those with the most room: any at first, then those that have room now, and no ticket
// that still holds, and were not found unfit.
func (c *Cell) askCandidates(s *stage, q *Queue, now time.Time) []askCandidate {
	first := s.advice.asked == nil
	room := s.def.Room()
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
		return cmp.Or(compareBools(y.known, x.known), cmp.Compare(y.free[sched.Milli], x.free[sched.Milli]))
	})
	return out
}

// askCandidate is a worker about which it is worth asking, and whether it is known to be let run the
// step.
type askCandidate struct {
	*worker
	known bool
}

// soonFree reports whether w, which is reserved for s, will have room by the time the answer
// to a question is there.
func (c *Cell) soonFree(s *stage, w *worker, q *Queue, now time.Time) bool {
	if s.reservation.workers[w] == 0 {
		return false
	}
	o := c.offer(w, s, q, now)
	return o.tasks > 0 && o.wait <= c.askLeadTime(q)
}

// atPerWorkerLimit reports whether w carries as many tasks of s as it may.
func (s *stage) atPerWorkerLimit(w *worker) bool {
	return s.def.PerWorker > 0 && s.runsByWorker[w] >= s.def.PerWorker
}
