// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

// A worker lists a limited number of ends at once: the oldest ones that it was not told to forget. It
// lists the next ones once it may forget these, that is, once the store has them. So each list is a
// page. Ends are processed page by page, but that a run is missing from the lists means something only
// after the last page.
//
// A worker with further pages is given nothing new. It can be told to forget ends only while no order
// to start a run is in flight to it (see Observed), and steady traffic would always have one.

// takePage processes whether w, which is attached, has further ends after those in l. After the last
// page it resolves the runs that may have ended on one of the pages.
func (c *Cell) takePage(w *worker, l *Lists, now time.Time) {
	w.moreEnds = l.Truncated
	if l.Truncated {
		return
	}
	w.endsRead, w.settled = true, true
	if w.previous != nil {
		c.loseRuns(w.previous, LossReborn, now)
		w.previous = nil
	}
	for _, r := range slices.Clone(w.runList) {
		if r.orderedBefore && r.confirmedAt.IsZero() {
			c.notBegun(r, now)
		}
	}
}

// MoreEnds reports whether a worker has ends that it has not listed yet.
func (c *Cell) MoreEnds(id string) bool {
	w := c.workers[id]
	return w != nil && w.moreEnds
}

// Observed returns the number of the last end of a worker that the store has. It returns 0 while an
// order to start a run is in flight: if another incarnation of the worker executes that order and is
// then told this number, it forgets ends of its own. An order that was sent before the worker was
// attached is refused by the attached incarnation, so that the run is resolved by the lists.
func (c *Cell) Observed(id string) int {
	w := c.workers[id]
	if w == nil || slices.ContainsFunc(w.runList, (*run).inFlight) {
		return 0
	}
	return w.observedEnd
}

// inFlight reports whether the order to start r was sent and may still be executed.
func (r *run) inFlight() bool { return r.confirmedAt.IsZero() && !r.unsent && !r.orderedBefore }
