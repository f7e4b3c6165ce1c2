// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"maps"
	"slices"
	"time"

	"dewpass.org/sched"
)

// suits reports whether w may run s and is large enough, whatever room it has now.
func (w *worker) suits(s *stage, q *Queue) bool {
	if w.Pool != q.Pool {
		return false
	}
	if s.def.RequiredLabel != "" && !slices.Contains(w.Labels, s.def.RequiredLabel) {
		return false
	}
	room := s.def.Reservation()
	return w.Room.Covers(&room)
}

// choose returns the best worker for a task with its ticket, or nil if there is none.
func (c *Cell) choose(s *stage, t *task, q *Queue, now time.Time) (*worker, string) {
	var best *worker
	var bestTicket string
	bestScore := 0.0
	room := s.def.Reservation()
	for p := range c.permits(s, q, now) {
		w := p.worker
		if !w.usable() || !w.hasRoom(&room) || s.atPerWorkerLimit(w) || !w.suits(s, q) || !w.health.allows(len(w.runs), now) || w.underTrial(now) {
			continue
		}
		score := c.score(s, t, w, &room) + s.trialScore(t, w)
		if best == nil || score > bestScore {
			best, bestScore, bestTicket = w, score, p.ticket
		}
	}
	return best, bestTicket
}

// hasRoom reports whether w has unreserved room.
func (w *worker) hasRoom(room *sched.Vec) bool {
	if !w.free.Covers(room) {
		return false
	}
	free := w.free.Sub(w.reserved)
	return free.Covers(room)
}

const (
	nearBonus      = 10.0
	hallBonus      = 2.0
	workerBonus    = 1.0
	avoidPenalty   = 20.0
	failurePenalty = 3.0
	sameRackBonus  = 5.0
)

// score rates w for a task that fits there: best fit first, but near the task's data and away from
// workers where it failed.
func (c *Cell) score(s *stage, t *task, w *worker, room *sched.Vec) float64 {
	left := w.free.Sub(*room)
	score := -left.Share(w.Room)
	if s.def.IdleCPUOnly {
		score = float64(w.free[sched.MilliCPU]) / float64(max(w.Room[sched.MilliCPU], 1))
	}
	if s.def.PreferredRack != "" && slices.Contains(w.Labels, s.def.PreferredRack) {
		score += nearBonus
	}
	if slices.Contains(t.avoidWorkers, w.ID) {
		score -= avoidPenalty
	}
	if w.health.failuresInRow > 0 {
		score -= failurePenalty
	}
	if !s.def.LongRunning {
		score += s.jobAffinity(w)
	}
	if s.def.SameRack {
		for other := range s.runsByWorker {
			if other.Rack == w.Rack {
				score += sameRackBonus
				break
			}
		}
	}
	return score
}

// jobAffinity returns the bonus for keeping the tasks of a job in one hall and on few workers: a
// job fails as a whole, so a failure should affect few jobs.
func (s *stage) jobAffinity(w *worker) float64 {
	gain := 0.0
	if w.Hall == s.job.hall {
		gain += hallBonus
	}
	if s.runsByWorker[w] > 0 {
		gain += workerBonus
	}
	return gain
}

// chooseHall chooses the preferred hall of a job: the one with the most free room on workers that
// may run s.
func (c *Cell) chooseHall(s *stage, q *Queue, now time.Time) {
	room := make(map[string]int64)
	for p := range c.permits(s, q, now) {
		if p.worker.usable() && p.worker.suits(s, q) {
			room[p.worker.Hall] += p.worker.free[sched.MilliCPU]
		}
	}
	best := room[s.job.hall] * hallSwitchFactor
	for _, hall := range slices.Sorted(maps.Keys(room)) {
		if room[hall] > best {
			best = room[hall]
			s.job.hall = hall
		}
	}
}

// hallSwitchFactor keeps a job in its hall unless another hall has more than this many times the
// free room.
const hallSwitchFactor = 4
