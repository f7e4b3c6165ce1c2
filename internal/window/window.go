// SPDX-License-Identifier: Apache-2.0

// Package window limits how many bytes of requests a sender has in flight, so that they do
// not queue at its own link or processor for longer than its timeouts allow.
//
// It is a delay-based congestion window like that of LEDBAT (RFC 6817): the time that an
// answer takes beyond the shortest recent answer is considered queuing delay. The window
// doubles with each round trip until the queuing delay first exceeds the target, and then
// grows and shrinks with the distance to the target. A request without an answer is a sign
// of congestion too, but counts only once per interval, as an unreachable peer says nothing
// about the sender's own link.
package window

import "time"

const (
	// TargetQueueDelay is how long requests may queue: half of the minimum timeout for the
	// answer to an order, so that queuing at the sender is never mistaken for a loss.
	TargetQueueDelay = 50 * time.Millisecond
	// minSize is the lower bound of the window: some tens of requests are always let through,
	// as the link may be full of less urgent traffic. With 6 KB, start orders got an eighth of
	// a link of 2 Mbit/s on which answers took 0.2 s.
	minSize = 24 << 10
	// maxSize is more than 1 Gbit/s carries within a round trip of some milliseconds.
	maxSize = 4 << 20
	// segment is by how many bytes the window grows per round trip once the target has been
	// exceeded: about one packet.
	segment = 1400
	// baseDelaySpan is how long the shortest answer is taken as the delay of the path without
	// queues. The last two spans count, so that a lasting increase of the path's delay is
	// accepted within 20 s.
	baseDelaySpan = 10 * time.Second
	// lossInterval is the minimum time between two losses that count: one congestion causes
	// several losses at the same time.
	lossInterval = time.Second
)

// Window limits the bytes in flight. Its zero value is ready for use.
type Window struct {
	// Rate is the rate of the sender's own link in bytes per second, 0 if unknown. What the
	// link carries within TargetQueueDelay is always let through: answers that are late
	// although the link is not full are slow for another reason, which holding requests back
	// does not remedy.
	Rate int

	// size is the window and inFlight what is used of it, in bytes.
	size, inFlight int
	// targetExceeded says that the queuing delay has exceeded the target at least once, so
	// that the window no longer doubles.
	targetExceeded bool
	// baseDelay and previousBaseDelay are the shortest answer times of the present span, which
	// began at spanStart, and of the one before it.
	baseDelay, previousBaseDelay time.Duration
	spanStart                    time.Time
	lastHalved                   time.Time
}

// Free returns how many bytes may be sent now. It is negative if more bytes than the window
// allows are in flight.
func (w *Window) Free() int { return w.limit() - w.inFlight }

func (w *Window) limit() int { return max(w.size, w.minLimit()) }

// minLimit returns the minimum size of the window, which is also its initial size.
func (w *Window) minLimit() int {
	return min(max(int(float64(w.Rate)*TargetQueueDelay.Seconds()), minSize), maxSize)
}

// Sent records that a request of n bytes was sent.
func (w *Window) Sent(n int) { w.inFlight += n }

// Answered records the answer to a request of n bytes, which took a duration, and returns the
// estimated queuing delay.
func (w *Window) Answered(n int, took time.Duration, now time.Time) time.Duration {
	full := 2*w.inFlight >= w.limit()
	w.inFlight -= n
	queued := took - w.updateBaseDelay(took, now)
	w.adapt(n, took, queued, full, now)
	return queued
}

// adapt updates the window after one answer; full says whether at least half of the window was
// in use.
func (w *Window) adapt(n int, took, queued time.Duration, full bool, now time.Time) {
	switch {
	case queued > 2*TargetQueueDelay:
		// Halving the window empties a long queue within a few round trips.
		w.halve(now, took)
		return
	case queued > TargetQueueDelay:
		w.targetExceeded = true
	case !full:
		// A window that was not used up says nothing about the capacity of the path.
		return
	case !w.targetExceeded:
		w.setSize(w.limit() + n)
		return
	}
	// The window changes by at most one segment per round trip, up or down.
	share := max(float64(TargetQueueDelay-queued)/float64(TargetQueueDelay), -1)
	w.setSize(w.limit() + int(share*segment*float64(n)/float64(w.limit())))
}

// Lost records that a request of n bytes had no answer in time.
func (w *Window) Lost(n int, now time.Time) {
	w.inFlight -= n
	w.halve(now, lossInterval)
}

// halve halves the window unless that was last done less than gap ago.
func (w *Window) halve(now time.Time, gap time.Duration) {
	if now.Sub(w.lastHalved) < gap {
		return
	}
	w.lastHalved, w.targetExceeded = now, true
	w.setSize(w.limit() / 2)
}

func (w *Window) setSize(size int) { w.size = min(max(size, w.minLimit()), maxSize) }

// updateBaseDelay records an answer time and returns the shortest one of the last two spans.
func (w *Window) updateBaseDelay(took time.Duration, now time.Time) time.Duration {
	if now.Sub(w.spanStart) >= baseDelaySpan {
		w.previousBaseDelay, w.baseDelay, w.spanStart = w.baseDelay, took, now
	}
	w.baseDelay = min(w.baseDelay, took)
	if w.previousBaseDelay > 0 {
		return min(w.baseDelay, w.previousBaseDelay)
	}
	return w.baseDelay
}
