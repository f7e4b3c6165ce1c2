// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// job is a job that the cell runs, or of which it runs a part.
type job struct {
	spec *flow.Spec
	// account is the client account that submitted the job, nil if none is known. beyondShare means
	// that the job exceeded its account's share on arrival.
	account     *account
	beyondShare bool
	// sharer is the account in the pool of the job's queue on arrival, nil if the job is unknown.
	sharer *sharer
	// headroom is that of the job's pool, nil if the pool keeps none. urgent means that it is kept for
	// the job's queue.
	headroom *poolHeadroom
	urgent   bool
	// priority is that of the job's queue on arrival.
	priority int
	// share selects the tasks of the job that this cell runs.
	share flow.Share
	// stored means that the store has the job; nothing starts before that.
	stored bool
	// began means that a worker has had one of its tasks.
	began     bool
	cancelled bool
	state     flow.State
	// storedState is the state that the store has.
	storedState flow.State
	// archived means that the store has the job's end apart from its record.
	archived   bool
	arrived    time.Time
	ended      time.Time
	stages     []*stage
	stagesLeft int
	// dirty means that the job is in Cell.dirty, waiting to be saved.
	dirty   bool
	history JobHistory
	// longestChain is the estimated duration of the longest chain of steps.
	longestChain time.Duration
	// hall is the preferred hall for the job's tasks, so that the loss of a hall affects few jobs.
	hall string
	// restored means that a former owner knew the job.
	restored bool
	// strandedSince is when the cell was first found unable to run the job, zero while it can.
	strandedSince time.Time
	// refusedHere means that the policy permits none of the workers here that could run the job.
	refusedHere bool
	// movingTo names the cell to which the job moves. Nothing of it is started here any more.
	movingTo string
	// trials are the job's runs on trial, and trialsPassed counts those that went well. trialLost
	// means that one was lost with its worker, and none has gone well since.
	trials       []*run
	trialsPassed int
	trialLost    bool
}

// stage returns the stage of a step in the k-th repetition, nil if there is none.
func (j *job) stage(k, step int) *stage {
	i := k*len(j.spec.Steps) + step
	if step >= len(j.spec.Steps) || i >= len(j.stages) {
		return nil
	}
	return j.stages[i]
}

// waitingWork returns the estimated work of the waiting tasks, in milliseconds of one processor.
func (j *job) waitingWork() int64 {
	var sum int64
	for _, s := range j.stages {
		if !s.def.LongRunning && s.def.Demand[sched.MilliCPU] > 0 {
			sum += int64(s.waiting) * s.def.EstimateMS * s.def.Demand[sched.MilliCPU] / 1000
		}
	}
	return sum
}

// Submit adds a job that the store does not have yet: the policy may be asked about it, but nothing
// starts before the job is stored.
func (c *Cell) Submit(spec *flow.Spec, arrived, now time.Time) {
	if !c.Known(spec.ID) {
		c.add(spec, nil, arrived, now)
	}
}

// JobStored reports to the cell that the store has the job.
func (c *Cell) JobStored(id string) {
	if j := c.jobs[id]; j != nil && !j.stored {
		j.stored = true
		j.storedState = flow.Pending
		for _, s := range j.stages {
			s.backoff = backoff{}
		}
	}
}

// Restore adds a job that was read from the store, with its record if it has one.
func (c *Cell) Restore(spec *flow.Spec, rec *flow.Record, arrived, now time.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.add(spec, rec, arrived, now)
	j.stored, j.restored = true, true
	c.attemptsNeedCheck = true
	j.storedState = flow.Pending
	if rec != nil {
		j.storedState = rec.State
		j.movingTo = rec.To
		c.restoreStarts(j, rec, now)
	}
}

// add adds a job that arrived at one time and becomes known to this cell now. A job that has
// already ended counts as ended now rather than at its arrival, as the time of its end is not
// known.
func (c *Cell) add(spec *flow.Spec, rec *flow.Record, arrived, now time.Time) *job {
	j := &job{spec: spec, state: flow.Pending, arrived: arrived, hall: spec.Hall}
	j.share, _ = spec.Share(c.Name)
	j.account = c.accountOf(spec.Account)
	pool := ""
	if q := c.queues[spec.Queue]; q != nil {
		j.priority, pool = q.Priority, q.Pool
	}
	j.sharer = c.sharerOf(spec.Account, pool)
	j.beyondShare = j.account.takeShare(arrived)
	c.joinHeadroom(j)
	if rec != nil {
		j.state, j.cancelled = rec.Shown(), rec.Canceled
		j.began = j.state != flow.Pending
	}
	c.jobs[spec.ID] = j
	for k := range spec.Rounds() {
		for i := range spec.Steps {
			s := newStage(j, k, i, rec)
			j.stages = append(j.stages, s)
			if s.tasksLeft > 0 {
				j.stagesLeft++
			}
		}
	}
	if j.state.Final() {
		j.ended = now
		c.finished = append(c.finished, j)
		return j
	}
	for _, s := range j.stages {
		for _, b := range s.def.Dependencies() {
			if j.stage(s.time, b).tasksLeft > 0 {
				s.pendingDeps++
			}
		}
		if s.tasksLeft > 0 {
			s.waitingSince = arrived
			c.openStage(s)
		}
	}
	if j.stagesLeft == 0 {
		c.finish(j, flow.Succeeded, now)
	}
	c.claimUnmatched(j, now)
	return j
}

// Cancel cancels a job, unless it is on its way to another cell. It reports whether the job is known.
func (c *Cell) Cancel(id string, now time.Time) bool {
	j := c.jobs[id]
	if j == nil {
		return c.Known(id)
	}
	if !j.state.Final() && j.movingTo == "" {
		j.cancelled = true
		c.finish(j, flow.Canceled, now)
	}
	return true
}

// State returns the state of a job as clients may see it, and whether the job is known to them. A job
// that has ended is shown so only once the store has its end: any number of instances and workers may
// be lost, and the next owner knows what the store has.
func (c *Cell) State(id string) (flow.State, bool) {
	if o, ok := c.retired[id]; ok {
		return o.state, true
	}
	j := c.jobs[id]
	switch {
	case j == nil || !j.stored:
		return "", false
	case j.storedState.Final():
		return j.storedState, true
	case j.began:
		return flow.Running, true
	}
	return flow.Pending, true
}

// Known reports whether the cell has a job, stored or not.
func (c *Cell) Known(id string) bool {
	_, over := c.retired[id]
	return over || c.jobs[id] != nil
}

// Fail ends a job as failed, unless it has ended, because its record cannot be stored. That of an
// ended job is small.
func (c *Cell) Fail(id string, now time.Time) {
	if j := c.jobs[id]; j != nil && !j.state.Final() {
		c.finish(j, flow.Failed, now)
	}
}

// finish ends a job. The next Place stops its runs.
func (c *Cell) finish(j *job, state flow.State, now time.Time) {
	if j.movingTo != "" {
		// The other cell ends it.
		return
	}
	j.state, j.ended = state, now
	c.finished = append(c.finished, j)
	c.runsNeedCheck = true
	j.history.Took = now.Sub(j.arrived)
	c.markDirty(j)
}

// markDirty has the record of j saved.
func (c *Cell) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}
