// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"maps"
	"slices"
	"time"

	"dewpass.org/headroom"
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

// candidate is a worker on which a task of a step can start now, with its ticket and its score.
type candidate struct {
	permit
	score float64
}

// placement chooses workers for the tasks of one step. Scoring every worker anew for every task made
// up most of the cost of a wide step, so scores are kept: starting a task changes only the score of
// its own worker.
type placement struct {
	cell *Cell
	step *stage
	now  time.Time
	room sched.Vec
	// candidates are ordered by worker id, so that decisions are deterministic.
	candidates []candidate
	// headroom is the room of which the step has to leave a part to more urgent tasks, nil if it may
	// take all.
	headroom *headroom.Room
}

// newPlacement returns a placement for s. It has no candidates if nothing can start.
func (c *Cell) newPlacement(s *stage, q *Queue, now time.Time) placement {
	p := placement{cell: c, step: s, now: now, room: s.def.Reservation(), candidates: c.candidateBuffer[:0], headroom: c.headroomFrom(s)}
	for permit := range c.permits(s, q, now) {
		c.examined++
		if w := permit.worker; p.canStartOn(w) && w.usable() && w.suits(s, q) {
			p.candidates = append(p.candidates, candidate{permit: permit})
		}
	}
	c.candidateBuffer = p.candidates
	s.speedWeight = p.speedWeight()
	return p
}

// canStartOn reports whether w has room for one more task of the step.
func (p *placement) canStartOn(w *worker) bool {
	return w.hasRoom(&p.room) && !p.step.atPerWorkerLimit(w) && w.health.allows(len(w.runs), p.now) && !w.underTrial(p.now) &&
		p.leavesHeadroom(w)
}

// scoreAll sets the scores of all candidates. The job's preferred hall has been chosen before.
func (p *placement) scoreAll() {
	for i := range p.candidates {
		p.setScore(i)
	}
}

func (p *placement) setScore(i int) {
	k := &p.candidates[i]
	k.score = p.cell.score(p.step, k.worker, &p.room) + p.unitScore(k.worker)
}

// best returns the index of the best worker for a task, -1 if there is none.
func (p *placement) best(t *task) int {
	best, bestScore := -1, 0.0
	special := len(t.avoidWorkers) > 0 || p.step.needsTrial(t)
	p.cell.examined += len(p.candidates)
	for i := range p.candidates {
		k := &p.candidates[i]
		score := k.score
		if special {
			score += p.step.taskScore(t, k.worker)
		}
		// What the step may take shrinks with each of its tasks.
		if (best < 0 || score > bestScore) && p.leavesHeadroom(k.worker) {
			best, bestScore = i, score
		}
	}
	return best
}

// taken updates the placement after a task was given to a candidate.
func (p *placement) taken(i int) {
	w := p.candidates[i].worker
	switch {
	case !p.canStartOn(w):
		p.candidates = slices.Delete(p.candidates, i, i+1)
		if p.step.def.SameRack {
			p.scoreAll()
		}
	case p.step.def.SameRack:
		// The racks in use count for all workers.
		p.scoreAll()
	default:
		p.setScore(i)
	}
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

// score rates w for a task of s that fits there: best fit first, but near the step's data.
func (c *Cell) score(s *stage, w *worker, room *sched.Vec) float64 {
	left := w.free.Sub(*room)
	score := -left.Share(w.Room)
	if s.def.IdleCPUOnly {
		score = float64(w.free[sched.MilliCPU]) / float64(max(w.Room[sched.MilliCPU], 1))
	}
	if s.def.PreferredRack != "" && slices.Contains(w.Labels, s.def.PreferredRack) {
		score += nearBonus
	}
	score += s.speedWeight * w.speed.bonus
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

// taskScore returns the part of a worker's score that differs between the tasks of s: away from
// workers where the task failed, and what its trial needs.
func (s *stage) taskScore(t *task, w *worker) float64 {
	score := s.trialScore(t, w)
	if slices.Contains(t.avoidWorkers, w.ID) {
		score -= avoidPenalty
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
