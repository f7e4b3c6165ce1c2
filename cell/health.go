// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

const (
	// failuresForProbation is how many failures in a row put a worker on probation.
	failuresForProbation = 2
	// minProbation is how long such a worker gets nothing, and refusal how long
	// one that refuses for its own reasons does. Probation doubles each time up
	// to probationMost.
	minProbation = 2 * time.Second
	maxProbation = 16 * time.Second
	refusalPause = 500 * time.Millisecond
	// lostOrdersForPause is how many orders in a row have to be lost for a worker to get nothing for a
	// while, though it answers holds: one of them may be lost anywhere on its way. The while
	// doubles up to lostMost, in which a worker that works again is not missed for long.
	lostOrdersForPause = 2
	maxLostOrderPause  = 4 * time.Second
)

// health follows how a worker's runs end. Its zero value is healthy.
type health struct {
	failuresInRow   int
	blockedUntil    time.Time
	probationLength time.Duration
	// onProbation says that the worker may have one run, to see how it ends.
	onProbation bool
	// lostOrders counts the orders that were lostOrders since it last took one, and noRoomRefusals those that it
	// refused for want of room.
	lostOrders, noRoomRefusals int
}

func (h *health) runDone(time.Time) {
	*h = health{}
}

func (h *health) runFailed(now time.Time) {
	h.failuresInRow++
	if h.failuresInRow < failuresForProbation && !h.onProbation {
		return
	}
	h.startProbation(now)
}

// runStalled takes in that a run stands still, which says enough by itself.
func (h *health) runStalled(now time.Time) {
	h.failuresInRow++
	if now.After(h.blockedUntil) {
		h.startProbation(now)
	}
}

// startProbation puts the worker on probation.
func (h *health) startProbation(now time.Time) {
	h.probationLength = min(max(2*h.probationLength, minProbation), maxProbation)
	h.blockedUntil = now.Add(h.probationLength)
	h.onProbation = true
}

func (h *health) pause(now time.Time) {
	if t := now.Add(refusalPause); t.After(h.blockedUntil) {
		h.blockedUntil = t
	}
}

// noRoom takes in that the worker had no room for what should fit. Once may be an order that
// is not on the books any more. Twice in a row its room has shrunk, and its entry will say so:
// asked again at once it would answer the same.
func (h *health) noRoom(now time.Time) {
	if h.noRoomRefusals++; h.noRoomRefusals > 1 {
		h.pause(now)
	}
}

// orderLost takes in that an order was lost. Its task goes elsewhere if there is room: the worker
// that answers holds and loses orders, as it bears no more connections, is still the one into
// which the task fits best.
func (h *health) orderLost(now time.Time) {
	h.lostOrders++
	if more := h.lostOrders - lostOrdersForPause; more >= 0 {
		if t := now.Add(min(refusalPause<<min(more, 8), maxLostOrderPause)); t.After(h.blockedUntil) {
			h.blockedUntil = t
		}
	}
}

// allows reports whether a worker with some runs may be given one more.
func (h *health) allows(runs int, now time.Time) bool {
	if now.Before(h.blockedUntil) {
		return false
	}
	return !h.onProbation || runs == 0
}
