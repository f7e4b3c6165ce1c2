// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"strings"
	"time"

	"dewpass.org/capacity"
	"dewpass.org/flow"
)

// A job moves to another cell when this one has no worker left that can run it. First the job's record
// says that it moves, and to which cell: from then on neither this owner nor a next one starts anything
// of it. Then the job's own rows name the other cell. Only a job moves of which nothing runs or may
// run here, so that no task can run in both cells.

const (
	// strandedDelay is for how long a cell must have been unable to run a job before the job moves:
	// as long as a worker may be missing that only restarts.
	strandedDelay = 600 * time.Millisecond
	// maxMoveDelay limits the delay, which doubles with each move of a job, so that a job is not passed
	// round among cells that lose their workers again and again.
	maxMoveDelay = 10 * time.Second
	// reachTimeout is for how long a worker without contact counts as one that can run tasks.
	reachTimeout = 2 * time.Second
)

// Workers returns the workers that can run tasks, except those of the given halls, for other cells.
func (c *Cell) Workers(except []string) capacity.Workers {
	var out capacity.Workers
	for _, w := range c.sortedWorkers {
		if w.inService() && !slices.Contains(except, w.Hall) {
			out.Add(w.Pool, w.Labels, w.Rack, w.Room)
		}
	}
	return out
}

// presentWorkers are the workers of a cell that can run tasks or may soon be able to.
type presentWorkers struct {
	capacity.Workers
	racks map[string]bool
	all   []*worker
}

func (c *Cell) presentWorkers(except []string, now time.Time) presentWorkers {
	p := presentWorkers{racks: make(map[string]bool)}
	for _, w := range c.sortedWorkers {
		if !w.Gone && !w.leaving() && !slices.Contains(except, w.Hall) && (w.attached || now.Sub(w.detachedSince) < reachTimeout) {
			p.Add(w.Pool, w.Labels, w.Rack, w.Room)
			p.racks[w.Rack] = true
			p.all = append(p.all, w)
		}
	}
	return p
}

// canRun reports whether the workers can run tasks of s, and whether only the policy forbids it: it was
// asked about all that suit, and its answer about a worker does not change.
func (p *presentWorkers) canRun(s *stage, q *Queue) (can, refused bool) {
	rack := p.racks[s.def.RequiredLabel]
	if !p.CanRun(s.def, q.Pool, rack) {
		return false, false
	}
	if q.Advice == nil || len(s.advice.asked) == 0 {
		return true, false
	}
	var open capacity.Workers
	for _, w := range p.all {
		if _, permitted := s.advice.findTicket(w); (permitted || !s.advice.asked[w]) && w.suits(s, q) {
			open.Add(w.Pool, w.Labels, w.Rack, w.Room)
		}
	}
	can = open.CanRun(s.def, q.Pool, rack)
	return can, !can
}

// Stranded returns the jobs that this cell has been unable to run for a while, of which nothing runs
// or may run here. Nothing is started in the halls of except.
func (c *Cell) Stranded(except []string, now, wall time.Time) []capacity.Job {
	if !slices.ContainsFunc(c.openStages, func(s *stage) bool { return s.waiting > 0 && s.ready() }) {
		return nil
	}
	present := c.presentWorkers(except, now)
	u := c.unsettled()
	var out []capacity.Job
	seen := make(map[*job]bool)
	for _, s := range c.openStages {
		j := s.job
		if seen[j] || j.movingTo != "" {
			continue
		}
		seen[j] = true
		stranded, refused := c.canRunNothing(j, &present, &u, wall)
		if j.refusedHere = refused; !stranded {
			j.strandedSince = time.Time{}
			continue
		}
		if j.strandedSince.IsZero() {
			j.strandedSince = now
		}
		if now.Sub(j.strandedSince) >= moveDelay(j.spec.Moves) {
			out = append(out, c.capacityJob(j))
		}
	}
	return out
}

// moveDelay returns for how long a job that was moved before must be stranded to move.
func moveDelay(moves int) time.Duration {
	d := strandedDelay
	for ; moves > 0 && d < maxMoveDelay; moves-- {
		d *= 2
	}
	return min(d, maxMoveDelay)
}

// canRunNothing reports whether some step of j should run and the workers can run none, and it is certain
// that nothing of j runs here; and whether the policy refuses a step that they could run.
func (c *Cell) canRunNothing(j *job, present *presentWorkers, u *unsettled, wall time.Time) (stranded, refused bool) {
	q := c.queues[j.spec.Queue]
	if q == nil || !j.mayMove() {
		return false, false
	}
	for _, s := range j.stages {
		if s.tasksLeft > 0 && c.heldUp(s, u) {
			return false, false
		}
		if s.waiting == 0 || !s.ready() || s.due.After(wall) {
			continue
		}
		can, byPolicy := present.canRun(s, q)
		if can {
			return false, false
		}
		stranded, refused = true, refused || byPolicy
	}
	return stranded, refused
}

// mayMove reports whether j belongs to this cell alone and has no runs.
func (j *job) mayMove() bool {
	if !j.stored || j.state.Final() || j.movingTo != "" || len(j.spec.Shares) > 0 {
		return false
	}
	return !slices.ContainsFunc(j.stages, func(s *stage) bool {
		return slices.ContainsFunc(s.tasks, func(t task) bool { return len(t.runs) > 0 })
	})
}

// capacityJob returns what the choice of another cell for j depends on.
func (c *Cell) capacityJob(j *job) capacity.Job {
	out := capacity.Job{Spec: j.spec, Done: make([]bool, len(j.spec.Steps))}
	if q := c.queues[j.spec.Queue]; q != nil {
		out.Pool = q.Pool
	}
	for step := range j.spec.Steps {
		out.Done[step] = true
		for k := range j.spec.Rounds() {
			out.Done[step] = out.Done[step] && j.stage(k, step).tasksLeft == 0
		}
	}
	return out
}

// Move has a job move to another cell, unless something of it may have started here since Stranded
// returned it. The job's record says so with the next save.
func (c *Cell) Move(id, to string) bool {
	j := c.jobs[id]
	if j == nil || to == "" || to == c.Name || !j.mayMove() || len(flow.EncodeSpec(c.movedSpec(j, to))) > flow.MaxRecordBytes {
		return false
	}
	j.movingTo = to
	c.markDirty(j)
	return true
}

// Moving reports whether a job is on its way to another cell.
func (c *Cell) Moving(id string) bool {
	j := c.jobs[id]
	return j != nil && j.movingTo != ""
}

// Moves returns the jobs whose record in the store says that they move, as the other cell gets them.
func (c *Cell) Moves() []*flow.Spec {
	var out []*flow.Spec
	for _, j := range c.jobs {
		if j.movingTo != "" && j.storedState == flow.Moving {
			out = append(out, c.movedSpec(j, j.movingTo))
		}
	}
	slices.SortFunc(out, func(a, b *flow.Spec) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// movedSpec returns the specification of j for another cell.
func (c *Cell) movedSpec(j *job, to string) *flow.Spec {
	spec := *j.spec
	spec.Cell, spec.Hall = to, ""
	spec.Moves++
	if j.refusedHere {
		spec.RefusedIn = append(slices.Clone(spec.RefusedIn), c.Name)
	}
	spec.RunsBelow = c.runBaseOf(j)
	for _, s := range j.stages {
		for i := range s.tasks {
			spec.RunsBelow = max(spec.RunsBelow, c.runBaseOf(j)+s.tasks[i].lastRun)
		}
	}
	spec.Progress, _ = j.record(allDetails)
	spec.Progress.State, spec.Progress.To, spec.Progress.Was = j.stateNow(), "", ""
	spec.Progress.Moves = spec.Moves
	for at := range spec.Progress.Stages {
		// These are halls of this cell. Nothing was started in the other one.
		spec.Progress.Stages[at].Halls = nil
	}
	return &spec
}

// MovedAway removes a job whose own rows name another cell.
func (c *Cell) MovedAway(id string) {
	if !c.Moving(id) {
		return
	}
	gone := c.jobs[id]
	delete(c.jobs, id)
	c.openStages = slices.DeleteFunc(c.openStages, func(s *stage) bool { return s.job == gone })
	c.dirty = slices.DeleteFunc(c.dirty, func(j *job) bool { return j == gone })
}

// MovedIn adds a job that another cell has given up for this one, whose owner has been the same since.
func (c *Cell) MovedIn(spec *flow.Spec, arrived, now time.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.add(spec, spec.Progress, arrived, now)
	j.stored, j.storedState = true, flow.Pending
	c.attemptsNeedCheck = true
	// From then on the cell has a record of its own.
	c.markDirty(j)
}

// Holds reports whether the cell has a job that is not retired.
func (c *Cell) Holds(id string) bool { return c.jobs[id] != nil }

// runBaseOf returns what is added to the numbers of the runs of j, so that they are above all numbers
// that a former owner, or an owner of a former cell, gave.
func (c *Cell) runBaseOf(j *job) int { return c.runBase + j.spec.RunsBelow }

// stateNow returns the state of j for its record.
func (j *job) stateNow() flow.State {
	if !j.state.Final() && j.began {
		return flow.Running
	}
	return j.state
}
