// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"time"

	"dewpass.org/sched"
)

// askCandidate is a worker worth asking about. known means that the policy has permitted it to run
// the step before, and soon that it has no room yet but will have by the time of the answer.
type askCandidate struct {
	*worker
	known, soon bool
	// cpu is the worker's unclaimed processor room while candidates are sorted.
	cpu int64
}

// askCandidates returns the workers worth asking about. The first question may name any suitable
// worker; later ones name workers that have room now, hold no valid ticket and were not found unfit.
func (c *Cell) askCandidates(s *stage, q *Queue, now time.Time) []askCandidate {
	first := s.advice.asked == nil
	room := s.def.Reservation()
	var out []askCandidate
	c.examined += len(c.sortedWorkers)
	for _, w := range c.sortedWorkers {
		if !w.usable() || !w.suits(s, q) {
			continue
		}
		if first {
			out = append(out, askCandidate{worker: w})
			continue
		}
		soon := !w.hasRoom(&room) && c.soonFree(s, w, q, now)
		if !w.hasRoom(&room) && !soon || !w.health.allows(len(w.runs), now) || s.atPerWorkerLimit(w) || c.heldBackOn(s, w) {
			continue
		}
		at, known := s.advice.findTicket(w)
		if s.advice.asked[w] && (!known || now.Before(s.advice.tickets[at].until)) {
			continue
		}
		out = append(out, askCandidate{worker: w, known: known, soon: soon})
	}
	return out
}

// startCandidates returns the workers worth asking about s if tasks of s can start after the
// answer, otherwise none.
func (c *Cell) startCandidates(s *stage, q *Queue, now time.Time) []askCandidate {
	if c.heldBack(s) || len(s.reservation.workers) == 0 && c.unclaimedFits(s, q) < s.startsTogether() {
		return nil
	}
	candidates := c.askCandidates(s, q, now)
	if !s.canStartOn(candidates, now) {
		return nil
	}
	return candidates
}

// sortCandidates sorts the workers known to be permitted first, then those with the most unclaimed
// room.
func sortCandidates(candidates []askCandidate) {
	for i := range candidates {
		w := &candidates[i]
		w.cpu = w.free[sched.MilliCPU] - w.reserved[sched.MilliCPU] - w.claimed[sched.MilliCPU]
	}
	slices.SortStableFunc(candidates, func(x, y askCandidate) int {
		return cmp.Or(compareBools(y.known, x.known), cmp.Compare(y.cpu, x.cpu))
	})
}

// canStartOn reports whether tasks of s can start once the policy has answered about the
// candidates: one of them has room for a task or, for a gang, they and the workers with a ticket
// have room for all of its tasks.
func (s *stage) canStartOn(candidates []askCandidate, now time.Time) bool {
	need := s.startsTogether()
	for _, w := range candidates {
		need -= s.fits(w.worker)
		if w.soon {
			need -= s.reservation.workers[w.worker]
		}
		if need <= 0 {
			return true
		}
	}
	if len(candidates) == 0 {
		return false
	}
	for _, t := range s.advice.tickets {
		if now.Before(t.until) && t.worker.usable() {
			need -= s.fits(t.worker)
		}
	}
	return need <= 0
}

// fits returns how many of the waiting tasks of s fit on w.
func (s *stage) fits(w *worker) int {
	room := s.def.Reservation()
	// A step whose tasks have to move may have none that waits yet.
	most := max(s.waiting, 1)
	if s.def.MaxPerWorker > 0 {
		most = min(most, s.def.MaxPerWorker-s.runsByWorker[w])
	}
	free := w.unclaimed()
	n := 0
	for ; n < most && free.Covers(&room); n++ {
		free = free.Sub(room)
	}
	return n
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
