// SPDX-License-Identifier: Apache-2.0

// Package window bounds how many bytes of requests a sender has under way, so that they
// do not queue at its own link or processor for longer than its time-outs allow.
//
// It is a congestion window that goes by delay, as that of LEDBAT (RFC 6817): the time
// that an answer takes beyond the shortest one seen lately is taken for time in queues.
// The window doubles with each round of answers until that time first exceeds the target,
// and then follows it up and down. A request without an answer counts as congestion too,
// but only once in a while: a peer that is out of reach says nothing of the own link.
package window

import "time"

const (
	// Target is how long requests may queue: half of the least time that the answer to
	// an order is waited for, so that a queue of this sender's own never looks like a loss.
	Target = 50 * time.Millisecond
	// leastShort bounds the least from below: some tens of requests go through whatever the
	// answers say, as the link may be full of what is less urgent. With 6 KB, starts got an
	// eighth of a link of 2 Mbit/s on which answers took 0.2 s.
	leastShort = 24 << 10
	// most is more than 1 Gbit/s carries within a round trip of some milliseconds.
	most = 4 << 20
	// segment is by how much the window grows in a round trip once it has met its limit:
	// about one packet.
	segment = 1400
	// baseAge is for how long the shortest answer stands for a path without queues. Two
	// such spans are kept, so that a path that has become longer is accepted within 20 s.
	baseAge = 10 * time.Second
	// lossGap spaces the losses that count: losses of one congestion come together.
	lossGap = time.Second
)

// Window bounds the bytes under way. Its zero value is ready for use.
type Window struct {
	// Rate is how many bytes a second the own link carries, 0 if that is not known. As many
	// as it carries within Target are always let through: answers that are late although
	// the link is not full say that something else is slow, and waiting here as well would
	// not help that.
	Rate int

	size, used int
	// met says that the target was exceeded before: the window does not double any more.
	met bool
	// base and before are the shortest answers of this span and of the last one.
	base, before time.Duration
	span         time.Time
	shrunk       time.Time
}

// Free returns how many bytes may be sent now. It is below zero if more than the window
// are under way.
func (w *Window) Free() int { return w.limit() - w.used }

func (w *Window) limit() int { return max(w.size, w.least()) }

// least returns the least size of the window, with which it begins.
func (w *Window) least() int {
	return min(max(int(float64(w.Rate)*Target.Seconds()), leastShort), most)
}

// Sent takes in that a request of n bytes was sent.
func (w *Window) Sent(n int) { w.used += n }

// Answered takes in the answer to a request of n bytes, and returns for how long it seems to
// have queued.
func (w *Window) Answered(n int, took time.Duration, now time.Time) time.Duration {
	full := 2*w.used >= w.limit()
	w.used -= n
	queued := took - w.shortest(took, now)
	w.adapt(n, took, queued, full, now)
	return queued
}

// adapt changes the window by one answer; full says that the window was in use.
func (w *Window) adapt(n int, took, queued time.Duration, full bool, now time.Time) {
	switch {
	case queued > 2*Target:
		// A queue that has become long is emptied within a few rounds.
		w.halve(now, took)
		return
	case queued > Target:
		w.met = true
	case !full:
		// What was not filled says nothing of how much there is room for.
		return
	case !w.met:
		w.set(w.limit() + n)
		return
	}
	// A round of answers changes the window by a segment at the most, up or down.
	share := max(float64(Target-queued)/float64(Target), -1)
	w.set(w.limit() + int(share*segment*float64(n)/float64(w.limit())))
}

// Lost takes in that a request of n bytes had no answer in time.
func (w *Window) Lost(n int, now time.Time) {
	w.used -= n
	w.halve(now, lossGap)
}

// halve halves the window unless that was done less than gap ago.
func (w *Window) halve(now time.Time, gap time.Duration) {
	if now.Sub(w.shrunk) < gap {
		return
	}
	w.shrunk, w.met = now, true
	w.set(w.limit() / 2)
}

func (w *Window) set(size int) { w.size = min(max(size, w.least()), most) }

// shortest returns the shortest answer of late, of which took is the newest.
func (w *Window) shortest(took time.Duration, now time.Time) time.Duration {
	if now.Sub(w.span) >= baseAge {
		w.before, w.base, w.span = w.base, took, now
	}
	w.base = min(w.base, took)
	if w.before > 0 {
		return min(w.base, w.before)
	}
	return w.base
}
