// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

const (
	// failuresForProbation is the number of consecutive failures that puts a worker on probation.
	failuresForProbation = 2
	// A worker on probation gets nothing for minProbation at first, twice as long each time after
	// that, up to maxProbation. A worker that refuses orders for its own reasons gets nothing for
	// refusalPause.
	minProbation = 2 * time.Second
	maxProbation = 16 * time.Second
	refusalPause = 500 * time.Millisecond
	// lostOrdersForPause is the number of consecutive lost orders after which a worker gets nothing
	// for a while, though it answers polls: a single order may be lost anywhere on its way. The
	// pause begins at refusalPause and doubles up to maxLostOrderPause, which is short enough for a
	// worker that works again.
	lostOrdersForPause = 2
	maxLostOrderPause  = 4 * time.Second
)

// health tracks how a worker's runs and orders end. Its zero value is healthy.
type health struct {
	failuresInRow   int
	blockedUntil    time.Time
	probationLength time.Duration
	// onProbation means that the worker may have only one run at a time, until one is done.
	onProbation bool
	// lostOrders counts the orders lost since the worker last accepted one, and noRoomRefusals
	// those that it refused for want of room.
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

// runStalled records that a run stalled, which is enough for probation by itself.
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

// noRoom records that the worker had no room for a run that should fit. Once, the reason may be an
// order that is no longer recorded. Twice in a row, the worker's room has shrunk; its entry will
// say so, and until then the worker would only refuse again.
func (h *health) noRoom(now time.Time) {
	if h.noRoomRefusals++; h.noRoomRefusals > 1 {
		h.pause(now)
	}
}

// orderLost records that an order was lost. The pause sends the task to another worker with room: a
// worker that answers polls but loses orders, because it accepts no more connections, would still
// be the best fit for the task.
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
