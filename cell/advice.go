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
	// askMost bounds how many workers one question names.
	askMost = 30
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 80 * time.Millisecond
	// askAgain is the pause after a question that had no answer.
	askAgain = 100 * time.Millisecond
)

// stageAdvice is what a queue's policy said of a stage. Which workers may run
// it does not change; only tickets end.
type stageAdvice struct {
	tickets map[string]ticket
	// asked holds the workers that were asked about.
	asked  map[string]bool
	asking bool
	after  time.Time
}

type ticket struct {
	text  string
	until time.Time
}

func (a *stageAdvice) forget(worker string) {
	if t, ok := a.tickets[worker]; ok {
		t.until = time.Time{}
		a.tickets[worker] = t
	}
}

// Ask is a question to the policy: which of the workers may run the step.
type Ask struct {
	Step    flow.StepID
	Workers []string
	Advice  Advice
	// Priority is that of the queue.
	Priority int
}

// Takes returns how long the policy takes for the answer.
func (a *Ask) Takes() time.Duration {
	return a.Advice.Decide + time.Duration(len(a.Workers))*a.Advice.Each
}

// Ticket lets a worker run a step.
type Ticket struct {
	Worker, Text string
}

// Advised takes in the answer to a question sent at sent.
func (c *Cell) Advised(a Ask, tickets []Ticket, valid time.Duration, sent time.Time) {
	c.asks--
	s := c.stage(a.Step)
	if s == nil {
		return
	}
	s.advice.asking = false
	if s.advice.asked == nil {
		s.advice.asked = make(map[string]bool)
		s.advice.tickets = make(map[string]ticket)
	}
	for _, id := range a.Workers {
		s.advice.asked[id] = true
	}
	for _, t := range tickets {
		s.advice.tickets[t.Worker] = ticket{text: t.Text, until: sent.Add(valid - ticketMargin)}
	}
}

// Unadvised says that a question had no answer.
func (c *Cell) Unadvised(a Ask, now time.Time) {
	c.asks--
	if s := c.stage(a.Step); s != nil {
		s.advice.asking = false
		s.advice.after = now.Add(askAgain)
	}
}

// may reports whether s may be started on w now, and with which ticket.
func (s *stage) may(w *worker, q *Queue, now time.Time) (string, bool) {
	if q.Advice == nil {
		return "", true
	}
	t, ok := s.advice.tickets[w.ID]
	return t.text, ok && now.Before(t.until)
}

// ask returns the question that s needs now, or one without workers.
func (c *Cell) ask(s *stage, q *Queue, now time.Time) Ask {
	a := Ask{Step: s.id(), Priority: q.Priority}
	if q.Advice == nil || s.advice.asking || now.Before(s.advice.after) || (s.waiting == 0 && !s.moving) {
		return a
	}
	a.Advice = *q.Advice
	candidates := c.askable(s, q, now)
	for _, w := range candidates[:min(len(candidates), askMost)] {
		a.Workers = append(a.Workers, w.ID)
	}
	return a
}

// askable returns the workers about which it is worth asking, those with the
// most room first: any at first, then those that have room now, and no ticket
// that still holds, and were not found unfit.
func (c *Cell) askable(s *stage, q *Queue, now time.Time) []*worker {
	first := s.advice.asked == nil
	room := s.def.Room()
	var out []*worker
	for _, w := range c.order {
		if !w.usable() || !w.suits(s, q) {
			continue
		}
		t, good := s.advice.tickets[w.ID]
		switch {
		case first:
		case !w.free.Covers(&room) || !w.health.allows(len(w.runs), now) || s.full(w):
			continue
		case s.advice.asked[w.ID] && (!good || now.Before(t.until)):
			continue
		}
		out = append(out, w)
	}
	slices.SortStableFunc(out, func(x, y *worker) int {
		return cmp.Compare(y.free[sched.Milli], x.free[sched.Milli])
	})
	return out
}

// full reports whether w carries as many tasks of s as it may.
func (s *stage) full(w *worker) bool {
	return s.def.PerWorker > 0 && s.carried[w] >= s.def.PerWorker
}
