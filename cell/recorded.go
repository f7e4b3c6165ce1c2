// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"maps"
	"slices"
	"time"

	"dewpass.org/flow"
)

// What an owner knows is lost with it unless the store has it. The first start of a task is made
// without waiting for the store. Any other is sent only once the job's record names it, with its
// worker, beside each earlier start that may still be running and each loss. So a next owner does
// not know of one start of a task at the most. Each one that it knows of it resolves like one of its
// own: by the lists of its worker, or by the loss of that worker.

// startNeedsRecord reports whether the next start of t must be in the store before it is sent: t was
// lost with a worker or failed before, has another run, or is named in the stored record. A start
// after one that was stopped counts as the first: nothing was lost with it.
func (t *task) startNeedsRecord() bool {
	return len(t.crashes) > 0 || len(t.failedRuns) > 0 || len(t.runs) > 0 || t.inStore
}

// gangStartNeedsRecord reports the same of a gang, which starts as a whole.
func (s *stage) gangStartNeedsRecord() bool {
	for i := range s.tasks {
		if s.tasks[i].startNeedsRecord() {
			return true
		}
	}
	return false
}

// startsToRecord returns the runs of t that the job's record has to name: all of them, unless the
// only one is its first.
func (t *task) startsToRecord() []flow.RunStart {
	recorded := func(r *run) bool { return r.recorded }
	if len(t.crashes) == 0 && len(t.runs) <= 1 && !slices.ContainsFunc(t.runs, recorded) {
		return nil
	}
	var out []flow.RunStart
	for _, r := range t.runs {
		out = append(out, flow.RunStart{Run: r.number, Worker: r.worker.ID, Born: r.worker.incarnation})
	}
	return out
}

// nameIn puts the starts and losses of t, a task with an index, into its step's record. It returns 1
// if there are any.
func (t *task) nameIn(rec *flow.StageRecord, index int) int {
	if len(t.crashes) > 0 {
		if rec.Crashes == nil {
			rec.Crashes = make(map[int][]flow.Crash)
		}
		rec.Crashes[index] = slices.Clone(t.crashes)
	}
	if starts := t.startsToRecord(); len(starts) > 0 {
		if rec.Starts == nil {
			rec.Starts = make(map[int][]flow.RunStart)
		}
		rec.Starts[index] = starts
	}
	return min(1, len(rec.Crashes[index])+len(rec.Starts[index]))
}

// leaveOut notes that the job's record has no room for the starts of t. They do not wait for it.
func (t *task) leaveOut() {
	for _, r := range t.runs {
		r.leftOut = r.unsent
	}
}

// recordStart has the order to start r wait until the store has it.
func (c *Cell) recordStart(r *run) {
	r.recorded, r.unsent = true, true
	c.unsent = append(c.unsent, r)
	c.markDirty(r.stage.job)
}

// sendRecorded sends the orders to start the runs that the store has by now, and withdraws the runs
// that should not start any more.
func (c *Cell) sendRecorded(a *Actions, now time.Time) {
	waiting := c.unsent
	c.unsent = nil
	for _, r := range waiting {
		if !r.unsent {
			continue
		}
		switch {
		case !c.mayStillStart(r, now):
			c.withdraw(r, now)
		case !r.onRecord():
			c.unsent = append(c.unsent, r)
		case c.sendBudgetLeft <= 0 && !r.stage.def.Gang:
			c.sendLimited = true
			c.unsent = append(c.unsent, r)
		default:
			a.Starts = append(a.Starts, c.order(r, c.ticketOf(r, now), now))
			r.unsent, r.decidedAt = false, now
			c.restartTrialWatch(r, now)
		}
	}
}

// mayStillStart reports whether r, which waits for the store, may start where it was placed. A gang
// may start only as a whole.
func (c *Cell) mayStillStart(r *run, now time.Time) bool {
	return !slices.ContainsFunc(r.unsentTogether(), func(o *run) bool { return !c.mayStartThere(o, now) })
}

// onRecord reports whether the store has r and all runs that start with it, as far as the record has
// room for them.
func (r *run) onRecord() bool {
	return !slices.ContainsFunc(r.unsentTogether(), func(o *run) bool { return !o.stored && !o.leftOut })
}

// unsentTogether returns the runs that start or are withdrawn with r, r included.
func (r *run) unsentTogether() []*run {
	if !r.stage.def.Gang {
		return []*run{r}
	}
	var out []*run
	for i := range r.stage.tasks {
		for _, o := range r.stage.tasks[i].runs {
			if o.unsent {
				out = append(out, o)
			}
		}
	}
	return out
}

// mayStartThere reports whether r may start on its worker.
func (c *Cell) mayStartThere(r *run, now time.Time) bool {
	s, t := r.stage, &r.stage.tasks[r.index]
	switch {
	case s.job.state.Final(), t.state != taskActive, r.stopping, !r.worker.usable():
		return false
	case t.runs[0] != r && t.runs[0].worker.attached:
		// The worker of the first run is back, so no copy is needed.
		return false
	case s.needsTrial(t) && !r.onTrial():
		return false
	}
	q := c.queues[s.job.spec.Queue]
	return q != nil && (q.Advice == nil || c.ticketOf(r, now) != "")
}

// ticketOf returns the ticket with which r may start on its worker now, "" if there is none.
func (c *Cell) ticketOf(r *run, now time.Time) string {
	q := c.queues[r.stage.job.spec.Queue]
	if q == nil || q.Advice == nil {
		return ""
	}
	for p := range c.permits(r.stage, q, now) {
		if p.worker == r.worker {
			return p.ticket
		}
	}
	return ""
}

// withdraw removes a run whose order was not sent. All members of a gang are withdrawn together.
func (c *Cell) withdraw(r *run, now time.Time) {
	for _, o := range r.unsentTogether() {
		c.removeRun(o)
		c.requeue(o.stage, o.index, "", now)
	}
}

// restoreStarts restores the runs that a job's record names.
func (c *Cell) restoreStarts(j *job, rec *flow.Record, now time.Time) {
	for at, s := range j.stages {
		if j.state.Final() || at >= len(rec.Stages) {
			return
		}
		starts := rec.Stages[at].Starts
		for _, index := range slices.Sorted(maps.Keys(starts)) {
			for _, st := range starts[index] {
				c.restoreStart(s, index, st, now)
			}
		}
	}
}

// restoreStart restores a run that a former owner may have started. Whether its worker has it shows
// when all ends of that worker were read; the former owner stopped listing a worker only after it was
// lost.
func (c *Cell) restoreStart(s *stage, index int, st flow.RunStart, now time.Time) {
	if index >= len(s.tasks) || slices.Contains(s.tasks[index].failedRuns, st.Run) || s.job.state.Final() {
		return
	}
	t := &s.tasks[index]
	if t.state != taskWaiting && t.state != taskActive {
		return
	}
	w := c.workers[st.Worker]
	switch {
	case w == nil, !w.endsRead && w.settled, w.incarnation != 0 && st.Born != 0 && w.incarnation != st.Born:
		crash := flow.Crash{Run: st.Run, Blame: flow.BlameUnlikely, Inherited: true}
		if t.suspect() {
			crash.Blame = flow.BlameShared
		}
		c.addInheritedCrash(s, index, crash, []string{st.Worker}, now)
	case w.endsRead:
		// If the worker has the run it has listed it.
	default:
		r := &run{
			stage: s, index: index, number: st.Run, worker: w, decidedAt: now, room: s.def.Reservation(),
			checkpoint: t.checkpoint, recorded: true, stored: true, inherited: true,
			orderedBefore: w.attached,
		}
		w.addRun(r)
		c.bind(r, now)
	}
}
