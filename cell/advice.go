// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// ticketMargin is how long before its expiry a ticket is last used.
const ticketMargin = 80 * time.Millisecond

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
	// claims is the room that the question in flight is about.
	claims []claim
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
	s.backoff = backoff{}
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
