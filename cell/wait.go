// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// waitReportInterval is how long a step has to wait to be reported, and the time between its
// reports.
const waitReportInterval = 5 * time.Second

// WaitReason is what a step waits for.
type WaitReason string

// The reasons why steps wait.
const (
	// HeldUp: there are workers that have not yet listed what a former owner started there.
	HeldUp WaitReason = "held_up"
	// InDoubt: several workers have just disconnected with young tasks of the step.
	InDoubt WaitReason = "in_doubt"
	// Full: no worker has room for one task.
	Full WaitReason = "full"
	// NoWorker: no worker that may run the step has room.
	NoWorker WaitReason = "no_worker"
	// NoAdvice: the policy has named no worker yet, or its tickets have expired.
	NoAdvice WaitReason = "no_advice"
	// LinkFull: as many orders are in flight as this instance's link can carry in time.
	LinkFull WaitReason = "link_full"
	// LimitReached: the client account is at its limit of running tasks.
	LimitReached WaitReason = "limit_reached"
	// NotWritten: the store has not recorded the hall yet.
	NotWritten WaitReason = "not_written"
)

// Wait is a step that has waited for long.
type Wait struct {
	Step flow.StepID
	Why  WaitReason
	// Tasks is the number of its waiting tasks, and For how long they have waited.
	Tasks int
	For   time.Duration
	// Reserved is the number of workers on which room is reserved for them.
	Reserved int
	// Asks counts the questions to the policy in flight, LongAsks the long ones among them, and
	// MaxAsks is the limit. Asking means that one is about this step.
	Asks, LongAsks, MaxAsks int
	Asking                  bool
	// Allowed are the workers that may run the step now, Expired those whose tickets have expired,
	// Unfit those that the policy does not permit, and Unasked those that it was not asked about.
	Allowed, Expired, Unfit, Unasked Candidates
	// Account is the use of the cell by the job's client account, and BeyondShare means that the
	// job exceeded the account's share on arrival.
	Account     AccountUse
	BeyondShare bool
	// ShareLevel is the level of the account in the pool, 0 if fair sharing does not apply.
	ShareLevel int
}

// Candidates counts workers of a step's pool that have what the step needs.
type Candidates struct {
	// All counts the usable workers, Room those with room for one more task, and Yield those that
	// would have room if less urgent tasks with checkpoints yielded.
	All, Room, Yield int
}

// reportWait reports a stage that has waited for long, at most once per waitReportInterval.
func (c *Cell) reportWait(s *stage, why WaitReason, a *Actions, now time.Time) {
	waited := now.Sub(s.waitingSince)
	if s.waiting == 0 || waited < waitReportInterval || now.Sub(s.reportedAt) < waitReportInterval {
		return
	}
	s.reportedAt = now
	if why == NoWorker {
		why = c.noWorkerReason(s, now)
	}
	w := Wait{Step: s.id(), Why: why, Tasks: s.waiting, For: waited, Reserved: len(s.reservation.workers),
		Asks: c.asks, LongAsks: c.longAsks, MaxAsks: c.maxAsks, Asking: s.advice.asking,
		Account: s.job.account.usage(), BeyondShare: s.job.beyondShare, ShareLevel: s.job.sharer.level}
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
	room := s.def.Reservation()
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
			free = free.Add(r.room)
		}
	}
	if free.Covers(&room) {
		n.Yield++
	}
}

// noWorkerReason returns why no worker was found for s.
func (c *Cell) noWorkerReason(s *stage, now time.Time) WaitReason {
	if len(s.hallsToStore) > 0 {
		return NotWritten
	}
	q := c.queues[s.job.spec.Queue]
	for range c.permits(s, q, now) {
		return NoWorker
	}
	return NoAdvice
}
