// SPDX-License-Identifier: Apache-2.0

// Package retry says when a caller that was refused should come back.
//
// It answers one load: an outage of something that every request needs, during which
// callers are refused as fast as they ask. Nobody knows how long it lasts. One that has
// lasted for some time lasts about as long again more often than not, so a caller is told
// to come back after a part of its age. Callers ask a few times in a long outage, not each
// second, and wait at most as long again as it lasted. They are spread over half of that
// time: those who were refused in the same second do not return in the same one, when
// what was away has to catch up anyway.
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

// draw returns a number below spreadParts that is as good as drawn by lot.
func draw(key string) uint32 {
	h := fnv.New32a()
	// A hash takes all that is written.
	_, _ = h.Write([]byte(key))
	sum := h.Sum32()
	return (sum ^ sum>>16) % spreadParts
}
