// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

const (
	// badInRow is how many failures in a row put a worker on probation.
	badInRow = 2
	// probation is how long such a worker gets nothing, and refusal how long
	// one that refuses for its own reasons does. Probation doubles each time up
	// to probationMost.
	probation     = 2 * time.Second
	probationMost = 16 * time.Second
	refusal       = 500 * time.Millisecond
	// lostInRow is how many orders in a row have to be lost for a worker to get nothing for a
	// while, though it answers holds: one of them may be lost anywhere on its way. The while
	// doubles up to lostMost, in which a worker that works again is not missed for long.
	lostInRow = 2
	lostMost  = 4 * time.Second
)

// health follows how a worker's runs end. Its zero value is healthy.
type health struct {
	row    int
	until  time.Time
	length time.Duration
	// trial says that the worker may have one run, to see how it ends.
	trial bool
	// lost counts the orders that were lost since it last took one, and full those that it
	// refused for want of room.
	lost, full int
}

func (h *health) good(time.Time) {
	*h = health{}
}

func (h *health) bad(now time.Time) {
	h.row++
	if h.row < badInRow && !h.trial {
		return
	}
	h.probe(now)
}

// stalled takes in that a run stands still, which says enough by itself.
func (h *health) stalled(now time.Time) {
	h.row++
	if now.After(h.until) {
		h.probe(now)
	}
}

// probe puts the worker on probation.
func (h *health) probe(now time.Time) {
	h.length = min(max(2*h.length, probation), probationMost)
	h.until = now.Add(h.length)
	h.trial = true
}

func (h *health) refuse(now time.Time) {
	if t := now.Add(refusal); t.After(h.until) {
		h.until = t
	}
}

// hasNoRoom takes in that the worker had no room for what should fit. Once may be an order that
// is not on the books any more. Twice in a row its room has shrunk, and its entry will say so:
// asked again at once it would answer the same.
func (h *health) hasNoRoom(now time.Time) {
	if h.full++; h.full > 1 {
		h.refuse(now)
	}
}

// orderLost takes in that an order was lost. Its task goes elsewhere if there is room: the worker
// that answers holds and loses orders, as it bears no more connections, is still the one into
// which the task fits best.
func (h *health) orderLost(now time.Time) {
	h.lost++
	if more := h.lost - lostInRow; more >= 0 {
		if t := now.Add(min(refusal<<min(more, 8), lostMost)); t.After(h.until) {
			h.until = t
		}
	}
}

// allows reports whether a worker with some runs may be given one more.
func (h *health) allows(runs int, now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.trial || runs == 0
}
