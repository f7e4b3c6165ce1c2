// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// waitReportInterval is how long a step has waited when it is told of, and spaces what is
// told of one step.
const waitReportInterval = 5 * time.Second

// Why says what a step waits for.
type Why string

// What steps wait for.
const (
	// HeldUp: workers of which it is not known what a former owner left there.
	HeldUp Why = "held_up"
	// InDoubt: several workers have just hung up on tasks of it.
	InDoubt Why = "in_doubt"
	// Full: no worker has room for one task.
	Full Why = "full"
	// NoWorker: none of the workers that may run it has room.
	NoWorker Why = "no_worker"
	// NoAdvice: the policy has named no worker yet, or its tickets have ended.
	NoAdvice Why = "no_advice"
	// LinkFull: as many orders are under way as this instance's link carries in time.
	LinkFull Why = "link_full"
	// LimitReached: the client account has as much running as it may.
	LimitReached Why = "limit_reached"
	// NotWritten: the store has not been told of the hall.
	NotWritten Why = "not_written"
)

// Wait is a step that has waited for long.
type Wait struct {
	Step flow.StepID
	Why  Why
	// Tasks is how many of its tasks wait, and For how long.
	Tasks int
	For   time.Duration
	// Reserved is on how many workers room is held for them.
	Reserved int
	// Asks counts the questions to the policy that are under way, LongAsks the long ones among
	// them, AsksMost is how many there may be, and Asking says that one is about this step.
	Asks, LongAsks, AsksMost int
	Asking                   bool
	// Allowed are the workers that may run it now, Expired those whose tickets have ended,
	// Unfit those that the policy does not let run it, and Unasked those of which it was
	// not asked.
	Allowed, Expired, Unfit, Unasked Candidates
	// Account is what the job's client account has running, and Beyond says that the job came
	// beyond its share.
	Account AccountUse
	Beyond  bool
}

// Candidates counts workers of a step's pool that have what it needs.
type Candidates struct {
	// All are those that could be given something, Room those with room for one task more,
	// and Yield those that would have it if less urgent tasks that save their work yielded.
	All, Room, Yield int
}

// reportWait adds a stage to what is told if it has waited for long.
func (c *Cell) reportWait(s *stage, why Why, a *Actions, now time.Time) {
	waited := now.Sub(s.waitingSince)
	if s.waiting == 0 || waited < waitReportInterval || now.Sub(s.reportedAt) < waitReportInterval {
		return
	}
	s.reportedAt = now
	if why == NoWorker {
		why = c.noWorkerReason(s, now)
	}
	w := Wait{Step: s.id(), Why: why, Tasks: s.waiting, For: waited, Reserved: len(s.reservation.workers),
		Asks: c.asks, LongAsks: c.longAsks, AsksMost: c.maxAsks, Asking: s.advice.asking,
		Account: s.job.account.usage(), Beyond: s.job.beyondShare}
	c.countCandidates(s, &w, now)
	a.Waits = append(a.Waits, w)
}

// countCandidates counts the workers that w's step could go to.
func (c *Cell) countCandidates(s *stage, w *Wait, now time.Time) {
	q := c.queues[s.job.spec.Queue]
	for _, worker := range c.sortedWorkers {
		if !worker.usable() || !worker.suits(s, q) {
			continue
		}
		at, good := s.advice.findTicket(worker)
		switch {
		case q.Advice == nil || good && now.Before(s.advice.tickets[at].until):
			c.countCandidate(&w.Allowed, s, worker, q, now)
		case good:
			c.countCandidate(&w.Expired, s, worker, q, now)
		case s.advice.asked[worker]:
			c.countCandidate(&w.Unfit, s, worker, q, now)
		default:
			c.countCandidate(&w.Unasked, s, worker, q, now)
		}
	}
}

func (c *Cell) countCandidate(n *Candidates, s *stage, w *worker, q *Queue, now time.Time) {
	n.All++
	room := s.def.Room()
	if s.atPerWorkerLimit(w) || !w.health.allows(len(w.runs), now) {
		return
	}
	if w.hasRoom(&room) {
		n.Room++
		return
	}
	free := w.free.Sub(w.reserved)
	for _, r := range w.runList {
		if r.stopping || c.mayYield(r, q) {
			free = free.Add(r.taken)
		}
	}
	if free.Covers(&room) {
		n.Yield++
	}
}

// noWorkerReason tells apart why no worker was found.
func (c *Cell) noWorkerReason(s *stage, now time.Time) Why {
	if len(s.hallsToStore) > 0 {
		return NotWritten
	}
	q := c.queues[s.job.spec.Queue]
	for range c.permits(s, q, now) {
		return NoWorker
	}
	return NoAdvice
}
