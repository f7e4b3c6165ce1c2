// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Worker is what is known of a worker from its own entry.
type Worker struct {
	ID string
	// Born is that of the life that wrote the entry, 0 if it does not say.
	Born int64
	Addr string
	Pool string
	Hall string
	Rack string
	// Labels are what steps may need or be near to, the rack among them.
	Labels []string
	Room   sched.Vec
	// Draining says that the worker leaves, not before Remaining has passed.
	Draining  bool
	Remaining time.Duration
	// Gone says that the worker's entry has disappeared.
	Gone bool
}

// worker is one life of a worker, with what the cell knows of it. All of that ends with the life:
// a worker that starts again under its id is another worker here.
type worker struct {
	Worker
	// incarnation is when this incarnation began, by what it lists or what a former owner knew; 0 if it is
	// not known, or not said.
	incarnation int64
	attached    bool
	// everAttached says that it was attached at some time, and inherited that a former owner had it.
	everAttached, inherited bool
	// detachedSince is when the worker was last attached, while it is not.
	detachedSince time.Time
	// leaseEnd is when its leases are over, while it is not attached; zero if it has none.
	leaseEnd time.Time
	free     sched.Vec
	// reserved is what is held for steps that come first in the order, during Place.
	reserved sched.Vec
	runs     map[runKey]*run
	// runList holds the same runs in the order in which they came, so that decisions
	// repeat, and fills counts those that fill.
	runList    []*run
	fillerRuns int
	// unknownRuns counts the runs of jobs that are not known: what they take is not
	// known either.
	unknownRuns int
	// seenEnd is the number of the last end that was taken in, savingEnd the number
	// that the save under way covers, and observedEnd the last one that is kept.
	seenEnd, savingEnd, observedEnd int
	health                          health
	// settled says that it is known what a former owner left running here.
	settled bool
	// throttlePercent is how much of their speed the runs that fill do without, in
	// hundredths, and paced when that last changed.
	throttlePercent int
	pacedAt         time.Time
	// silent says that an order has gone without an answer for longer than
	// answers take.
	silent bool
	// lastHeard is when its entry was last read.
	lastHeard time.Time
	// hungUp says that its side ended the connection, since it was last attached, and disconnectSeen
	// that this was seen as it happened.
	hungUp, disconnectSeen bool
	// trialUntil is until when nothing is started there beside a trial.
	trialUntil time.Time
	// evacuateBy is by when it should be empty, zero if it is not being emptied.
	evacuateBy time.Time
}

// Running is a run as its worker lists it.
type Running struct {
	Task    flow.TaskID
	Run     int
	Saved   string
	Percent int
	// Tail is the worker's fifth figure: the tail of a serving task in
	// milliseconds, otherwise the processor time in use.
	Tail int64
}

// Finished is the end of a run as its worker lists it.
type Finished struct {
	// Number rises by one with each end in one life of a worker.
	Number int
	Task   flow.TaskID
	Run    int
	How    flow.End
	Saved  string
}

// Lists are what a worker says of its runs.
type Lists struct {
	// Born tells the lives of a worker apart: the Unix millisecond at which the one that lists
	// began, 0 if it does not say.
	Born     int64
	Running  []Running
	Finished []Finished
	// Cut says that there were more ends than the worker lists at once.
	Cut bool
}

// Heard takes in what a worker says of itself.
func (c *Cell) Heard(info Worker, now time.Time) {
	w := c.workers[info.ID]
	if w == nil {
		w = newWorker(info, now)
		if w.inherited = info.Gone; w.inherited {
			w.incarnation = info.Born
		}
		c.workers[info.ID] = w
		at, _ := slices.BinarySearchFunc(c.sortedWorkers, info.ID, compareWorkerID)
		c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	} else if w.Room != info.Room {
		w.free = w.free.Add(info.Room).Sub(w.Room)
	}
	c.runsNeedCheck = c.runsNeedCheck || w.Draining != info.Draining
	w.Worker, w.lastHeard = info, now
}

func newWorker(info Worker, now time.Time) *worker {
	return &worker{Worker: info, runs: make(map[runKey]*run), free: info.Room, detachedSince: now}
}

// timeUntilLeave returns how long a worker that is leaving surely stays.
func (w *worker) timeUntilLeave(now time.Time) time.Duration {
	if !w.Draining {
		return w.evacuateBy.Sub(now)
	}
	return w.Remaining - now.Sub(w.lastHeard)
}

// Silent says whether an order to a worker has gone without an answer for longer
// than answers take. Nothing more is placed there meanwhile.
func (c *Cell) Silent(id string, silent bool) {
	if w := c.workers[id]; w != nil {
		w.silent = silent
	}
}

// usable reports whether w may be given anything now.
func (w *worker) usable() bool {
	return w.attached && !w.silent && !w.leaving() && !w.Gone && w.unknownRuns == 0 && w.described()
}

// Missing says that a worker's entry has been missing for too long to place
// anything there.
func (c *Cell) Missing(id string) {
	if w := c.workers[id]; w != nil {
		w.Gone = true
	}
}

// Forget removes a worker that is known to be no more: none of its runs runs.
func (c *Cell) Forget(id string, how Loss, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.Lapsed(id, how, now)
	// Those who still know of it place nothing there.
	w.Gone = true
	delete(c.workers, id)
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *worker) bool { return o == w })
}

// Lapsed says that nothing runs on a worker any more for certain: its leases
// are over, or it lives another life.
func (c *Cell) Lapsed(id string, how Loss, now time.Time) {
	if w := c.workers[id]; w != nil {
		c.loseRuns(w, how, now)
	}
}

// loseRuns has all that was on w lost.
func (c *Cell) loseRuns(w *worker, how Loss, now time.Time) {
	w.settled = true
	c.noteInheritedLoss(w, how)
	c.blame(w, how, now)
	lost := slices.Clone(w.runList)
	for _, r := range lost {
		c.lostRuns = append(c.lostRuns, r.lostRun(how, now))
	}
	for _, r := range lost {
		c.counts.Lapsed++
		r.stage.job.history.Lost++
		c.noteChange(r, RunLeaseOver)
		c.removeRun(r)
		c.requeue(r.stage, r.index, r.checkpoint, now)
	}
	// Without a verdict a task that ends its worker's process would be started for ever: no
	// end of it is ever listed as failed.
	for _, r := range lost {
		c.giveUpIfCrashing(r.stage, r.index, now)
	}
}

// Unsure says that an order's answer was lost: nothing is placed on the worker
// until it is attached again.
func (c *Cell) Unsure(id string, now time.Time) {
	if w := c.workers[id]; w != nil && w.attached {
		w.attached = false
		w.detachedSince = now
	}
}

// Busy reports whether a worker may still run something.
func (c *Cell) Busy(id string) bool {
	w := c.workers[id]
	return w != nil && len(w.runs) > 0
}

// Left reports whether a worker that leaves has nothing more to do: nothing runs there,
// all its ends are kept, and it is given nothing any more.
func (c *Cell) Left(id string) bool {
	w := c.workers[id]
	return w != nil && w.Draining && w.attached && len(w.runs) == 0 && w.seenEnd == w.observedEnd
}

// Runs returns what runs on a worker, by what it last listed.
func (c *Cell) Runs(id string) []Running {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	var out []Running
	for _, r := range w.runList {
		out = append(out, Running{Task: r.task(), Run: r.number, Saved: r.checkpoint, Percent: r.percent, Tail: r.tail})
	}
	return out
}

// Observed returns the number of the last end of a worker that is kept. It is 0 while there is a
// run that may have been given to another life: that one would forget ends of its own by it.
func (c *Cell) Observed(id string) int {
	w := c.workers[id]
	if w == nil || slices.ContainsFunc(w.runList, func(r *run) bool { return r.confirmedAt.IsZero() }) {
		return 0
	}
	return w.observedEnd
}

// Unsaved reports whether a worker has listed ends that are not kept yet.
func (c *Cell) Unsaved(id string) bool {
	w := c.workers[id]
	return w != nil && w.seenEnd > w.observedEnd
}

// Attached takes in the lists of a worker under a newer fence. Orders of before
// that are not in them will never be carried out.
func (c *Cell) Attached(id string, l Lists, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w = c.incarnationThatLists(w, &l, now)
	c.takeLists(w, l, now)
	for _, r := range slices.Clone(w.runList) {
		if r.throttlePercent != w.throttlePercent || r.throttlePercent != 0 {
			// What it was told of its pace may be lost.
			r.throttlePercent = -1
		}
		if r.confirmedAt.IsZero() && !l.Cut {
			c.noteChange(r, RunNotBegun)
			c.removeRun(r)
			c.requeue(r.stage, r.index, r.checkpoint, now)
		}
	}
	w.attached, w.everAttached, w.settled = true, true, true
	w.hungUp, w.disconnectSeen = false, false
}

// Listed takes in the lists of a worker, asked for at sent. Those of another life say nothing
// before it is attached: orders that are under way may still reach it.
func (c *Cell) Listed(id string, l Lists, sent, now time.Time) {
	w := c.workers[id]
	if w == nil || w.isOtherIncarnation(l.Born) {
		return
	}
	turn := c.takeLists(w, l, now)
	for _, r := range slices.Clone(w.runList) {
		if r.listSeq != turn && !l.Cut && !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent) {
			c.lostRuns = append(c.lostRuns, r.lostRun(LossMissing, now))
			c.counts.Lapsed++
			c.noteChange(r, RunMissing)
			c.removeRun(r)
			c.requeue(r.stage, r.index, r.checkpoint, now)
		}
	}
}

// EndsListed takes in the ends that a worker listed, from an answer that says nothing of what
// runs there now: one under an earlier fence, or one from which that was left out. An end is
// a fact under every fence. Those of another life bear other numbers: what it listed before was
// lost with it, and what it lists after comes again when it is attached.
func (c *Cell) EndsListed(id string, l Lists, now time.Time) {
	if w := c.workers[id]; w != nil && !w.isOtherIncarnation(l.Born) {
		c.takeEnds(w, l.Finished, now)
	}
}

// unsettled says where there are workers that may run something that a former
// owner started and that is not on the books.
type unsettled struct {
	// any says that there may be such workers in any hall.
	any   bool
	halls map[string]bool
	// room is what all of them have.
	room sched.Vec
}

func (c *Cell) unsettled() unsettled {
	u := unsettled{any: len(c.sortedWorkers) == 0}
	for _, w := range c.sortedWorkers {
		if w.settled {
			continue
		}
		if u.halls == nil {
			u.halls = make(map[string]bool)
		}
		u.halls[w.Hall] = true
		u.room = u.room.Add(w.Room)
		u.any = u.any || w.Hall == ""
	}
	return u
}

// takeLists takes in both lists and returns the turn that the running runs now bear.
func (c *Cell) takeLists(w *worker, l Lists, now time.Time) int {
	c.takeEnds(w, l.Finished, now)
	c.listSeq++
	for i := range l.Running {
		c.takeRunning(w, &l.Running[i], now)
	}
	return c.listSeq
}

// takeEnds takes in the ends that are new. A worker lists all ends in their order from the
// first one that it was not told to forget, so that none is passed over.
func (c *Cell) takeEnds(w *worker, ends []Finished, now time.Time) {
	for _, f := range ends {
		if f.Number <= w.seenEnd {
			continue
		}
		w.seenEnd = f.Number
		c.takeEnd(w, f, now)
	}
}

// takeRunning takes in one running run.
func (c *Cell) takeRunning(w *worker, row *Running, now time.Time) {
	r := w.runs[runKey{row.Task, row.Run}]
	if r == nil {
		r = c.adopt(w, row, now)
		c.noteChange(r, RunAdopted)
	}
	r.listSeq = c.listSeq
	if r.confirmedAt.IsZero() {
		c.confirm(r, now)
	}
	r.lastListed, r.tail = now, row.Tail
	if row.Percent != r.percent {
		r.percent = row.Percent
		r.lastProgress = now
	}
	if row.Saved != "" {
		r.checkpoint = row.Saved
	}
}

// adopt takes on a run that another owner started. It is stopped at once if it
// is not wanted.
func (c *Cell) adopt(w *worker, row *Running, now time.Time) *run {
	s := c.stage(flow.StepID{Job: row.Task.Job, Time: row.Task.Time, Step: row.Task.Step})
	if s == nil || row.Task.Index >= len(s.tasks) || s.tasks[row.Task.Index].state == taskElsewhere {
		s = &stage{job: &job{spec: &flow.Spec{ID: row.Task.Job}, state: flow.Canceled}, time: row.Task.Time, step: row.Task.Step, def: &flow.Step{}, unknown: true}
	}
	r := &run{stage: s, index: row.Task.Index, number: row.Run, worker: w, decidedAt: now, taken: s.def.Room()}
	w.addRun(r)
	c.runsNeedCheck = true
	if !s.unknown {
		c.bind(r, now)
	}
	return r
}

// bind gives a run that is held to its task.
func (c *Cell) bind(r *run, now time.Time) {
	s := r.stage
	t := &s.tasks[r.index]
	if t.state == taskWaiting {
		s.setWaiting(t, false)
		t.state = taskActive
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, r.number-c.runBase)
	s.countRunOn(r.worker, 1)
	c.startTrialIfNeeded(r, now)
}
