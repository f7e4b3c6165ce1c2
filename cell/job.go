// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive
	taskDone
	// taskElsewhere is the state of a task that another cell runs.
	taskElsewhere
	// taskGivenUp is the state of a task that is started no more, of a job of another cell.
	taskGivenUp
)

type task struct {
	state taskState
	// last is the number of the last run, without the cell's firstRun.
	last int
	runs []*run
	// fails holds the numbers of the runs that failed.
	fails []int
	saved string
	// yields counts how often it was stopped for a task of a more urgent queue.
	yields int
	// avoid are workers on which the task has failed.
	avoid []string
	// crashes are its runs that were lost with their workers since one went on well, of
	// which the store has the first crashesKept, and lostRacks the racks of those workers.
	crashes     []flow.Crash
	crashesKept int
	lostRacks   []string
}

// stage is one step of a job at one time.
type stage struct {
	job  *job
	time int
	step int
	def  *flow.Step
	// stray marks the stand-in for the step of a job that is not known.
	stray bool

	tasks   []task
	left    int
	waiting int
	// before counts the steps that are not done yet.
	before int
	due    time.Time

	carried map[*worker]int
	advice  stageAdvice
	// gangFails holds the numbers of a gang's runs that failed, and gangLast that
	// of its last run.
	gangFails map[int]bool
	gangLast  int
	// reserved is the room that is held for its tasks while they wait.
	reserved reservation
	// waitSince is since when a task waits, and doneAt when the last was done.
	waitSince time.Time
	doneAt    time.Time
	// chain is the estimate of the work from this step to the end of its job.
	chain time.Duration
	// waits is what it has waited for.
	waits waits
	// told is when it was last told that the stage waits.
	told time.Time
	// rank is the stage's place in the present order.
	rank rank
	// moving says that a task has to leave its worker, or is about to be lost with it, and finds
	// no place yet.
	moving bool
	// halls are those, beside the job's own, of which the store knows that tasks
	// may have been started there, and opening those that it has to be told of.
	halls, opening []string
	// blamed counts the workers whose loss was held against tasks of it, since one of its
	// trials went well.
	blamed int
	// inherited are the halls that a former owner had opened.
	inherited []string
}

type job struct {
	spec *flow.Spec
	// account is the client account that handed it in, nil if none is known, and beyond says
	// that it came beyond its account's share.
	account *account
	beyond  bool
	// priority is that of its queue when it came.
	priority int
	// share is the part of its tasks that are this cell's.
	share flow.Share
	// kept says that the store has the job; nothing starts before.
	kept bool
	// began says that a worker has had a task of it.
	began     bool
	cancelled bool
	state     flow.State
	// shown is the state that the store has.
	shown flow.State
	// archived says that the store has its end apart from the record.
	archived bool
	// shared says that another instance knows that it has succeeded.
	shared  bool
	arrived time.Time
	ended   time.Time
	stages  []*stage
	left    int
	// marked says that the job is among those to be saved.
	marked bool
	story  Story
	// longest is the estimate of the longest chain of steps.
	longest time.Duration
	// hall is where the tasks of the job go as long as there is room, so that
	// the loss of a hall hurts few jobs.
	hall string
	// restored says that a former owner knew it.
	restored bool
	// trials counts its runs that are being tried, and trialsPassed those that went well.
	trials, trialsPassed int
}

func (j *job) stage(k, step int) *stage {
	i := k*len(j.spec.Steps) + step
	if step >= len(j.spec.Steps) || i >= len(j.stages) {
		return nil
	}
	return j.stages[i]
}

// waitingWork returns the work of tasks that wait, in milliseconds of one
// processor.
func (j *job) waitingWork() int64 {
	var sum int64
	for _, s := range j.stages {
		if !s.def.Lasting && s.def.Demand[sched.Milli] > 0 {
			sum += int64(s.waiting) * s.def.EstimateMS * s.def.Demand[sched.Milli] / 1000
		}
	}
	return sum
}

func (s *stage) taskID(i int) flow.TaskID {
	return flow.TaskID{Job: s.job.spec.ID, Time: s.time, Step: s.step, Index: i}
}

func (s *stage) id() flow.StepID {
	return flow.StepID{Job: s.job.spec.ID, Time: s.time, Step: s.step}
}

// ready reports whether the steps before s are done.
func (s *stage) ready() bool { return s.before == 0 && !s.job.state.Final() }

func (s *stage) setWaiting(t *task, waits bool) {
	if waits {
		t.state = taskWaiting
		s.waiting++
	} else {
		s.waiting--
	}
}

func (s *stage) onWorker(w *worker, by int) {
	if s.carried == nil {
		s.carried = make(map[*worker]int)
	}
	s.carried[w] += by
	if s.carried[w] <= 0 {
		delete(s.carried, w)
	}
}

// Submit adds a job that is not kept yet: advice may be asked for, but nothing
// starts before Keep.
func (c *Cell) Submit(spec *flow.Spec, arrived, now time.Time) {
	if !c.Known(spec.ID) {
		c.add(spec, nil, arrived, now)
	}
}

// Keep says that the store has the job.
func (c *Cell) Keep(id string) {
	if j := c.jobs[id]; j != nil && !j.kept {
		j.kept = true
		j.shown = flow.Pending
	}
}

// Drop removes a job that the store did not take.
func (c *Cell) Drop(id string) {
	j := c.jobs[id]
	if j == nil || j.kept {
		return
	}
	j.state = flow.Canceled
	delete(c.jobs, id)
}

// Restore adds a job that the store has.
func (c *Cell) Restore(spec *flow.Spec, rec *flow.Record, arrived, now time.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.add(spec, rec, arrived, now)
	j.kept, j.restored = true, true
	j.shown = flow.Pending
	if rec != nil {
		j.shown = rec.State
	}
}

// add adds a job that arrived at one time and is taken in now. What it does not know of
// the end of a job that is over happens now, never at its arrival.
func (c *Cell) add(spec *flow.Spec, rec *flow.Record, arrived, now time.Time) *job {
	j := &job{spec: spec, state: flow.Pending, arrived: arrived, hall: spec.Hall}
	j.share, _ = spec.Share(c.Name)
	j.account = c.accountOf(spec.Account)
	if q := c.queues[spec.Queue]; q != nil {
		j.priority = q.Priority
	}
	j.beyond = j.account.takeShare(arrived)
	if rec != nil {
		j.state, j.cancelled = rec.State, rec.Cancelled
		j.began = rec.State != flow.Pending
	}
	c.jobs[spec.ID] = j
	for k := range spec.Rounds() {
		for i := range spec.Steps {
			s := newStage(j, k, i, rec)
			j.stages = append(j.stages, s)
			if s.left > 0 {
				j.left++
			}
		}
	}
	if j.state.Final() {
		j.ended = now
		c.finished = append(c.finished, j)
		return j
	}
	for _, s := range j.stages {
		for _, b := range s.def.After {
			if j.stage(s.time, b).left > 0 {
				s.before++
			}
		}
		if s.left > 0 {
			s.waitSince = arrived
			c.open = append(c.open, s)
		}
	}
	if j.left == 0 {
		c.finish(j, flow.Succeeded, now)
	}
	c.takeEarly(j, now)
	return j
}

func newStage(j *job, k, step int, rec *flow.Record) *stage {
	def := &j.spec.Steps[step]
	s := &stage{job: j, time: k, step: step, def: def, due: j.spec.Due(k), chain: j.spec.Chain(step)}
	j.longest = max(j.longest, s.chain)
	s.tasks = make([]task, def.Count)
	for i := range s.tasks {
		if !j.share.Has(i) {
			s.tasks[i].state = taskElsewhere
			continue
		}
		s.left++
		s.waiting++
	}
	at := k*len(j.spec.Steps) + step
	if rec == nil || at >= len(rec.Stages) {
		return s
	}
	old := &rec.Stages[at]
	s.halls, s.inherited = old.Halls, old.Halls
	for i := range s.tasks {
		t := &s.tasks[i]
		t.saved, t.fails = old.Saved[i], old.Fails[i]
		t.crashes = old.Crashes[i]
		t.crashesKept = len(t.crashes)
		s.blamed = max(s.blamed, len(t.crashes))
		if old.Done.Has(i) {
			t.state = taskDone
			s.left--
			s.waiting--
		} else if t.state == taskWaiting && j.share.Foreign() && guilty(t.crashes) {
			t.state = taskGivenUp
			s.waiting--
		}
	}
	if def.Gang {
		s.gangFails = make(map[int]bool)
		for i := range s.tasks {
			for _, n := range s.tasks[i].fails {
				s.gangFails[n] = true
			}
		}
	}
	return s
}

// Cancel cancels a job. It reports whether the job is known.
func (c *Cell) Cancel(id string, now time.Time) bool {
	j := c.jobs[id]
	if j == nil {
		return c.Known(id)
	}
	if !j.state.Final() {
		j.cancelled = true
		c.finish(j, flow.Canceled, now)
	}
	return true
}

// State returns the state of a job that may be shown, and whether the job is
// known.
func (c *Cell) State(id string) (flow.State, bool) {
	if o, ok := c.over[id]; ok {
		return o.state, true
	}
	j := c.jobs[id]
	switch {
	case j == nil || !j.kept:
		return "", false
	case j.shown.Final():
		return j.shown, true
	case j.shared:
		return flow.Succeeded, true
	case j.began:
		return flow.Running, true
	}
	return flow.Pending, true
}

// Known reports whether a job is here, kept or not.
func (c *Cell) Known(id string) bool {
	_, over := c.over[id]
	return over || c.jobs[id] != nil
}

// finish ends a job. Its runs are stopped by the next Place.
func (c *Cell) finish(j *job, state flow.State, now time.Time) {
	j.state, j.ended = state, now
	c.finished = append(c.finished, j)
	c.restless = true
	if state == flow.Succeeded {
		c.unkept[j.spec.ID] = j
	}
	j.story.Took = now.Sub(j.arrived)
	c.mark(j)
}

func (c *Cell) mark(j *job) {
	if !j.marked {
		j.marked = true
		c.dirty = append(c.dirty, j)
	}
}

// mayStart reports whether tasks of s may start on the workers of a hall. Those of
// the job's own hall may at once, as every owner reckons with that; of any other
// the store is told first.
func (c *Cell) mayStart(s *stage, hall string) bool {
	if (hall != "" && hall == s.job.spec.Hall) || slices.Contains(s.halls, hall) {
		return true
	}
	if !slices.Contains(s.opening, hall) {
		s.opening = append(s.opening, hall)
		c.mark(s.job)
	}
	return false
}

// heldUp reports whether a former owner may have started tasks of s on a worker of
// which it is not known yet.
func (c *Cell) heldUp(s *stage, unsettled *unsettled) bool {
	return s.job.restored && (unsettled.any ||
		unsettled.halls[s.job.spec.Hall] || slices.ContainsFunc(s.inherited, func(h string) bool { return unsettled.halls[h] }))
}
