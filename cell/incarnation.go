// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

// A worker may restart under the same id. The new incarnation runs nothing of before, has seen no
// fencing token and numbers its ends from 1. Only its own lists under a fencing token that it has
// accepted prove the restart: an entry may have been written by either incarnation. Incarnations
// are distinguished only by their Born values being different, never by which is later, as the time
// of day may have been set back in between.

// isOtherIncarnation reports whether lists with this Born value are from another incarnation than
// w.
func (w *worker) isOtherIncarnation(born int64) bool {
	return (w.everAttached || w.incarnation != 0) && born != w.incarnation
}

// described reports whether the worker's entry was written by the attached incarnation: the room,
// the labels and the hall of another one may differ.
func (w *worker) described() bool {
	return w.Born == 0 || w.incarnation == 0 || w.Born == w.incarnation
}

// incarnationThatLists returns the worker of the incarnation that sent l under a newer fencing
// token. If that is not w, then w is lost, with the runs that the new incarnation does not list.
func (c *Cell) incarnationThatLists(w *worker, l *Lists, now time.Time) *worker {
	if !w.isOtherIncarnation(l.Born) {
		w.incarnation = l.Born
		return w
	}
	// Runs that the new incarnation lists were ordered before the restart was known. They are not
	// lost.
	for i := range l.Running {
		c.forgetRun(w, runKey{l.Running[i].Task, l.Running[i].Run})
	}
	for i := range l.Finished {
		c.forgetRun(w, runKey{l.Finished[i].Task, l.Finished[i].Run})
	}
	next := newWorker(w.Worker, now)
	if l.Truncated {
		next.previous = w
	} else {
		c.loseRuns(w, LossReborn, now)
	}
	next.incarnation, next.lastHeard, next.unlisted = l.Born, w.lastHeard, w.unlisted
	if !next.described() {
		next.Draining, next.Remaining = false, 0
	}
	// Callers that still hold the former incarnation must not place anything there.
	w.Gone = true
	c.workers[w.ID] = next
	c.sortedWorkers[slices.Index(c.sortedWorkers, w)] = next
	return next
}

// forgetRun removes a run from w and the incarnations before it, so that the same run of the next
// incarnation can take its place. w may be nil.
func (c *Cell) forgetRun(w *worker, key runKey) {
	for ; w != nil; w = w.previous {
		if r := w.runs[key]; r != nil {
			c.removeRun(r)
		}
	}
}
