// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

// A worker may start again under its id. It then runs nothing of before, has seen no fence and
// numbers its ends from 1. Only its own lists, under a fence that it has taken, show that: an
// entry may be of before or of after. Two lives are told apart by when they began and by nothing
// else, as a time of day may have been set back between them.

// isOtherIncarnation reports whether lists with a time of birth are those of another life than w.
func (w *worker) isOtherIncarnation(born int64) bool {
	return (w.everAttached || w.incarnation != 0) && born != w.incarnation
}

// described reports whether the worker's entry is that of the life that is attached: the room,
// the labels and the hall of another one may differ.
func (w *worker) described() bool {
	return w.Born == 0 || w.incarnation == 0 || w.Born == w.incarnation
}

// incarnationThatLists returns the worker of the life that lists l under a newer fence. If that is
// another one than w, w and what ran there are lost.
func (c *Cell) incarnationThatLists(w *worker, l *Lists, now time.Time) *worker {
	if !w.isOtherIncarnation(l.Born) {
		w.incarnation = l.Born
		return w
	}
	// What the new life lists was ordered before anybody knew of it. That is no loss.
	for i := range l.Running {
		c.forgetRun(w, runKey{l.Running[i].Task, l.Running[i].Run})
	}
	for i := range l.Finished {
		c.forgetRun(w, runKey{l.Finished[i].Task, l.Finished[i].Run})
	}
	c.loseRuns(w, LossReborn, now)
	next := newWorker(w.Worker, now)
	next.incarnation, next.lastHeard = l.Born, w.lastHeard
	if !next.described() {
		next.Draining, next.Remaining = false, 0
	}
	// Those who still know of the former life place nothing there.
	w.Gone = true
	c.workers[w.ID] = next
	c.sortedWorkers[slices.Index(c.sortedWorkers, w)] = next
	return next
}

// forgetRun takes a run off the books of w for that of the next life to take its place.
func (c *Cell) forgetRun(w *worker, key runKey) {
	if r := w.runs[key]; r != nil {
		c.removeRun(r)
	}
}
