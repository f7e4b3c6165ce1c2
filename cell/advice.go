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
	// minAskWorkers is the least number of workers that a question names if so many are eligible:
	// with fewer the answer would hardly be faster. maxAskWorkers is the most.
	minAskWorkers = 30
	maxAskWorkers = 100
	// askRoomFactor is the room that a question looks for, as a multiple of the room for the
	// waiting tasks: some of it is taken before the answer arrives.
	askRoomFactor = 2
	// ticketMargin is how long before its expiry a ticket is last used.
	ticketMargin = 80 * time.Millisecond
	// longAskThreshold is the duration above which a question is long.
	longAskThreshold = 150 * time.Millisecond
	// oldestAskDivisor sets the part of the long questions in flight, 1 in oldestAskDivisor, that
	// is reserved for the steps that have waited longest to be asked about. By rank alone the last
	// steps were never asked about, while others for which there was no room were asked about again
	// and again.
	oldestAskDivisor = 4
	// shortAskDivisor sets the part of the questions in flight, 1 in shortAskDivisor, that is
	// reserved for short questions whatever the limit. After a total power loss, for example, every
	// step has to be asked about again, and a long question would hold up many calls that users
	// wait for.
	shortAskDivisor = 3
	// askRetryDelay is the pause after a question that was not answered.
	askRetryDelay = 100 * time.Millisecond
	// candidateRetryDelay is the pause after a search that found no worker to ask about.
	candidateRetryDelay = 20 * time.Millisecond
)

// stageAdvice is the policy's answers about a stage. Which workers may run the stage does not
// change, but tickets expire.
type stageAdvice struct {
	// tickets are those of the workers that may run the stage, ordered by worker id. They include
	// expired ones.
	tickets []*ticket
	// asked holds the workers that were asked about. A new incarnation of a worker is asked about
	// again, and no ticket of an earlier one is valid for it.
	asked  map[*worker]bool
	asking bool
	// notBefore is the earliest time of the next question, and lastAsked the time of the last one.
	notBefore, lastAsked time.Time
	// questions counts the questions sent, and started the tasks started since the last one.
	questions, started int
}

// ticket permits a worker to run a stage until a time.
type ticket struct {
	worker *worker
	text   string
	until  time.Time
}

// findTicket returns the index in tickets of w's ticket or of the place for it, and whether w has
// one.
func (a *stageAdvice) findTicket(w *worker) (int, bool) {
	at, found := a.searchTicket(w)
	return at, found && a.tickets[at].worker == w
}

// searchTicket returns the index in tickets of the ticket of any incarnation of w, and whether
// there is one.
func (a *stageAdvice) searchTicket(w *worker) (int, bool) {
	return slices.BinarySearchFunc(a.tickets, w.ID, func(t *ticket, id string) int { return cmp.Compare(t.worker.ID, id) })
}

// setTicket stores a ticket, replacing one of an earlier incarnation.
func (a *stageAdvice) setTicket(t *ticket) {
	at, known := a.searchTicket(t.worker)
	if known {
		a.tickets[at] = t
		return
	}
	a.tickets = slices.Insert(a.tickets, at, t)
}

// hasTicketUntil reports whether there is a ticket that expires after a time.
func (a *stageAdvice) hasTicketUntil(until time.Time) bool {
	return slices.ContainsFunc(a.tickets, func(t *ticket) bool { return until.Before(t.until) })
}

func (a *stageAdvice) expireTicket(w *worker) {
	if at, known := a.findTicket(w); known {
		a.tickets[at].until = time.Time{}
	}
}

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

// maySend reports whether a question may be sent, with about asks questions allowed in flight.
// oldest tells whether it is sent because its step has waited longest, rather than for the step's
// rank.
func (c *Cell) maySend(a *Ask, asks int, oldest bool) bool {
	if !a.Long() {
		return c.maySendShort(asks)
	}
	return c.maySendLong(asks, oldest)
}

func (c *Cell) maySendLong(asks int, oldest bool) bool {
	maxLong := max(asks-max(asks/shortAskDivisor, 1), 1)
	forOldest := maxLong / oldestAskDivisor
	if oldest {
		return c.asks < asks && c.longAsks < maxLong && c.oldestAsks < max(forOldest, 1)
	}
	return c.asks < asks && c.longAsks < maxLong && c.longAsks-c.oldestAsks < max(maxLong-forOldest, 1)
}

func (c *Cell) maySendShort(asks int) bool {
	return asks > 0 && c.asks-c.longAsks < max(asks-c.longAsks, asks/shortAskDivisor, 1)
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
	if !c.maySendShort(asks) || !s.mayAsk(q, now) || len(s.hallsToStore) > 0 {
		return
	}
	if q.Advice.alwaysLong() && !c.maySendLong(asks, false) {
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

// Ticket permits a worker to run a step.
type Ticket struct {
	Worker, Text string
}

// Advised processes the answer to a question that was sent at sent.
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

// updatePolicyStats counts an answer in the statistics of the queue's policy.
func (c *Cell) updatePolicyStats(s *stage, a *Ask, tickets []Ticket) {
	p := c.policyStats[s.job.spec.Queue]
	if p == nil {
		p = new(policyStats)
		c.policyStats[s.job.spec.Queue] = p
	}
	asked, permitted := 0, 0
	for _, w := range a.candidates {
		if s.advice.asked[w] {
			continue
		}
		asked++
		if slices.ContainsFunc(tickets, func(t Ticket) bool { return t.Worker == w.ID }) {
			permitted++
		}
	}
	p.add(asked, permitted)
}

// Unadvised reports to the cell that a question was not answered.
func (c *Cell) Unadvised(a Ask, now time.Time) {
	c.countAsk(&a, -1)
	if s := c.stage(a.Step); s != nil {
		s.advice.asking = false
		s.advice.notBefore = now.Add(askRetryDelay)
	}
}

// permit is a worker that may run a stage now, with its ticket if one is needed.
type permit struct {
	worker *worker
	ticket string
}

// permits yields the workers that may run s now, ordered by id.
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

// policyStats counts the workers that a queue's policy was asked about, and those that it
// permitted.
type policyStats struct {
	asked, permitted float64
}

const (
	// policyWindow is the number of workers asked about above which both counts are halved, as the
	// answers change with the mix of jobs.
	policyWindow = 1000
	// policyPriorShare is the assumed share of workers that a policy permits before it has answered
	// much. It weighs as much as answers about policyPriorWeight workers.
	policyPriorShare  = 0.5
	policyPriorWeight = 10
)

// add counts an answer about workers that were not asked about before.
func (p *policyStats) add(asked, permitted int) {
	if p.asked > policyWindow {
		p.asked, p.permitted = p.asked/2, p.permitted/2
	}
	p.asked += float64(asked)
	p.permitted += float64(permitted)
}

// share returns the estimated share of workers that the policy permits to run a step.
func (p *policyStats) share() float64 {
	if p == nil {
		return policyPriorShare
	}
	return (p.permitted + policyPriorShare*policyPriorWeight) / (p.asked + policyPriorWeight)
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
