// SPDX-License-Identifier: Apache-2.0

// Package retry says how long a caller waits for the end of an outage, and when one that
// was refused should come back.
//
// It answers one load: an outage of something that every request needs, during which
// callers are refused as fast as they ask. Nobody knows how long it lasts. One that has
// lasted for some time lasts about as long again more often than not, so a caller is told
// to come back after a part of its age. Callers ask a few times in a long outage, not each
// second, and wait at most as long again as it lasted. They are spread over half of that
// time: those who were refused in the same second do not return in the same one, when
// what was away has to catch up anyway.
//
// Before it is refused a caller waits for a moment. Whoever is refused just before the end
// comes back a second later or more: of those that come in the last quarter of a second,
// all lose that time, though what they asked for could have been done at once. The wait is
// as long as one can be without a caller noticing it, and does not grow with the age of the
// outage: it is no substitute for an answer.
//
// The package is pure: no clock, no chance, no state.
package retry

import (
	"hash/fnv"
	"time"
)

const (
	// Least is for an outage that has just begun, most of which are over within a second:
	// another instance takes over in 0.8 s.
	Least = time.Second
	// Most is how long a caller is kept away at the most: a person who waits longer asks
	// again in any case.
	Most = 15 * time.Second
	// Patience is how long a caller waits for the end of an outage before it is refused: a
	// quarter of a second, below what people notice as a wait and what the most urgent
	// queues allow for the start of a job.
	Patience = 250 * time.Millisecond
	// WaitingMost is how many callers may wait at once: as many as come to an instance in
	// a quarter of a second in a rush of 1,000 a second.
	WaitingMost = 250
	// spreadParts is into how many parts the spread is cut.
	spreadParts = 1 << 16
)

// After returns when a caller should come back that is refused in an outage of some age.
// key tells callers apart; the same one is told the same.
func After(age time.Duration, key string) time.Duration {
	half := age / 2
	spread := half * time.Duration(draw(key)) / spreadParts
	return min(max(half+spread, Least), Most)
}

// leftParts is the part of the time that a caller has left which it waits at the most: the
// rest is for coming back, or for hearing that it was refused.
const leftParts = 4

// Wait returns how long a caller that has so much time left may wait for the end of an
// outage while others do.
func Wait(left time.Duration, others int) time.Duration {
	if others >= WaitingMost {
		return 0
	}
	return max(min(Patience, left/leftParts), 0)
}

// draw returns a number below spreadParts that is as good as drawn by lot.
func draw(key string) uint32 {
	h := fnv.New32a()
	// A hash takes all that is written.
	_, _ = h.Write([]byte(key))
	sum := h.Sum32()
	return (sum ^ sum>>16) % spreadParts
}
