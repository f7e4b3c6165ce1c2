// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/headroom"
	"dewpass.org/sched"
)

// Worker is what a worker's entry says of it.
type Worker struct {
	ID string
	// Born identifies the incarnation that wrote the entry, 0 if it is not given.
	Born int64
	Addr string
	Pool string
	Hall string
	Rack string
	// Labels are matched with what steps need or should be near to; they include the rack.
	Labels []string
	Room   sched.Vec
	// Draining means that the worker is going to leave, but not before Remaining has passed.
	Draining  bool
	Remaining time.Duration
	// Gone means that the worker's entry has disappeared.
	Gone bool
}

// worker is one incarnation of a worker. A worker that restarts under the same id is another worker
// value, and nothing known of the earlier incarnation is carried over.
type worker struct {
	Worker
	// incarnation is the Born value that the worker lists, or that a former owner knew; 0 if it is
	// not known or not given.
	incarnation int64
	attached    bool
	// everAttached means that the worker was attached at some time, inherited that a former owner
	// had it.
	everAttached, inherited bool
	// detachedSince is when the worker was last attached, while it is detached.
	detachedSince time.Time
	// leaseEnd is when the worker's leases expire, while it is detached; zero if it has none.
	leaseEnd time.Time
	free     sched.Vec
	// reserved is the room held, during Place, for steps that come first in the order.
	reserved sched.Vec
	// claimed is the room that, during Place, is likely to be used by steps that come first in the
	// order, once the policy has answered.
	claimed sched.Vec
	// units is, during Place, the free room in units of an urgent task, once the units of the pool
	// are counted.
	units headroom.Parts
	runs  map[runKey]*run
	// runList holds the same runs as runs in their order of arrival, so that decisions are
	// deterministic. fillerRuns counts those that fill spare processor time.
	runList    []*run
	fillerRuns int
	// unknownRuns counts the runs of jobs that are not known, whose room is not known either.
	unknownRuns int
	// seenEnd is the number of the last end taken in, savingEnd the last one covered by the save in
	// progress, and observedEnd the last one that the store has.
	seenEnd, savingEnd, observedEnd int
	health                          health
	speed                           workerSpeed
	// moreEnds means that the worker has ends after those that it has listed, and endsRead that all of
	// them were listed at some time.
	moreEnds, endsRead bool
	// previous is the incarnation before this one, until the last page of ends shows which of its runs
	// this one was given.
	previous *worker
	// settled means that whatever a former owner left running here is known.
	settled bool
	// throttlePercent is the reduction of the speed of the filler runs here, in percent, and
	// pacedAt when it last changed.
	throttlePercent int
	pacedAt         time.Time
	// unlisted means that the stored worker list does not name the worker, so that a next owner might
	// not know that there was one.
	unlisted bool
	// unschedulable means that nothing more is to be placed here for now.
	unschedulable bool
	// lastHeard is when the worker's entry was last read.
	lastHeard time.Time
	// hungUp means that the worker's side has closed or refused the connection since the worker was
	// last attached, and disconnectSeen that the moment of the disconnect was observed.
	hungUp, disconnectSeen bool
	// trialUntil is the end of the period in which nothing is started here beside a trial.
	trialUntil time.Time
	// trialAwaited is until when that trial counts against the limit of trials.
	trialAwaited time.Time
	// evacuateBy is the deadline of the worker's evacuation, zero if it is not being evacuated.
	evacuateBy time.Time
}

// Heard updates the cell from a worker's entry.
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

// timeUntilLeave returns how long a leaving worker is certain to stay.
func (w *worker) timeUntilLeave(now time.Time) time.Duration {
	if !w.Draining {
		return w.evacuateBy.Sub(now)
	}
	return w.Remaining - now.Sub(w.lastHeard)
}

// SetUnschedulable sets whether nothing more is to be placed on a worker for now, because it or its
// hall may not answer, or because operators want nothing more to be started there.
func (c *Cell) SetUnschedulable(id string, unschedulable bool) {
	if w := c.workers[id]; w != nil {
		w.unschedulable = unschedulable
	}
}

// usable reports whether tasks may be placed on w now.
func (w *worker) usable() bool {
	return w.attached && !w.moreEnds && !w.unlisted && !w.unschedulable && !w.leaving() && !w.Gone && w.unknownRuns == 0 && w.described()
}

// inService reports whether w counts for the capacity of its pool.
func (w *worker) inService() bool {
	return w.attached && !w.leaving() && !w.Gone && w.described()
}

// SetListed sets whether the stored worker list names a worker. Nothing is placed there otherwise.
func (c *Cell) SetListed(id string, listed bool) {
	if w := c.workers[id]; w != nil {
		w.unlisted = !listed
	}
}

// EntryMissing reports to the cell that a worker's entry has been missing for too long to place
// anything there.
func (c *Cell) EntryMissing(id string) {
	if w := c.workers[id]; w != nil {
		w.Gone = true
	}
}

// Forget removes a worker that is known to have ended, with all of its runs.
func (c *Cell) Forget(id string, how Loss, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.WorkerLost(id, how, now)
	// Callers that still hold w must not place anything there.
	w.Gone = true
	delete(c.workers, id)
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *worker) bool { return o == w })
}

// WorkerLost reports to the cell that nothing can be running on a worker any more: its leases have
// expired or a new incarnation has replaced it.
func (c *Cell) WorkerLost(id string, how Loss, now time.Time) {
	if w := c.workers[id]; w != nil {
		c.loseRuns(w, how, now)
	}
}

// loseRuns takes all runs on w as lost, blames tasks for the loss of w, and requeues the tasks.
func (c *Cell) loseRuns(w *worker, how Loss, now time.Time) {
	w.settled = true
	if w.previous != nil {
		c.loseRuns(w.previous, LossReborn, now)
		w.previous = nil
	}
	c.noteInheritedLoss(w, how)
	for _, r := range slices.Clone(w.runList) {
		if r.unsent {
			c.withdraw(r, now)
		}
	}
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
	// A task that ends its worker's process never has an end listed as failed. Unless losses count
	// against it, it would be started again for ever.
	for _, r := range lost {
		c.giveUpIfCrashing(r.stage, r.index, now)
	}
}

// Detached reports to the cell that the answer to an order was lost: nothing is placed on the
// worker until it is attached again.
func (c *Cell) Detached(id string, now time.Time) {
	if w := c.workers[id]; w != nil && w.attached {
		w.attached = false
		w.detachedSince = now
	}
}

// Busy reports whether a worker may still be running something.
func (c *Cell) Busy(id string) bool {
	w := c.workers[id]
	return w != nil && len(w.runs) > 0
}

// Drained reports whether a leaving worker has nothing more to do: it runs nothing, all its ends are
// stored, and it is given nothing more. That is still so when it does not answer any more.
func (c *Cell) Drained(id string) bool {
	w := c.workers[id]
	return w != nil && w.Draining && w.endsRead && w.empty()
}

// empty reports whether w runs nothing and the store has all ends that it has listed, so that nothing
// is lost with it.
func (w *worker) empty() bool {
	return len(w.runs) == 0 && !w.moreEnds && w.seenEnd == w.observedEnd
}

// Runs returns what runs on a worker, as it was last listed.
func (c *Cell) Runs(id string) []Running {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	var out []Running
	for _, r := range w.runList {
		out = append(out, Running{Task: r.task(), Run: r.number, Checkpoint: r.checkpoint, Percent: r.percent, Tail: r.tail})
	}
	return out
}

// Unsaved reports whether a worker has listed ends that the store does not have yet.
func (c *Cell) Unsaved(id string) bool {
	w := c.workers[id]
	return w != nil && w.seenEnd > w.observedEnd
}
