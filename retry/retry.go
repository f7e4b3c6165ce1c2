// SPDX-License-Identifier: Apache-2.0

// Package retry calculates how long a caller waits for an outage to end, and when a refused
// caller should try again.
//
// It is meant for an outage of something that every request needs, during which callers are
// refused as fast as they ask. Nobody knows how long an outage lasts, but one that has lasted
// for some time usually lasts about as long again. A caller is therefore told to return after
// a fraction of the outage's age: callers try only a few times in a long outage instead of
// every second, and return at most as long after its end as it lasted. The delays are spread
// over half of that time, so that callers which were refused in the same second do not all
// return at once, when the recovered component has a backlog to work off.
//
// A caller also waits for a moment before it is refused. One that is refused just before the
// end returns a second later or more; of the callers in the last quarter of a second, all
// would lose that time although they could have been served at once. The wait is as long as it
// can be without being noticed, and does not grow with the age of the outage, because it is no
// substitute for a response.
//
// The functions are pure: they use no clock, no randomness and no state.
package retry

import (
	"hash/fnv"
	"time"
)

const (
	// MinDelay is the shortest delay. Most outages are over within a second: another instance
	// takes over in 0.8 s.
	MinDelay = time.Second
	// MaxDelay is the longest delay: a person who has to wait longer tries again in any case.
	MaxDelay = 15 * time.Second
	// MaxWait is the longest time that a caller waits for an outage to end before it is
	// refused: a quarter of a second is below what people notice, and what the most urgent
	// queues allow for the start of a job.
	MaxWait = 250 * time.Millisecond
	// MaxWaiting is how many callers may wait at once: as many as arrive at an instance in a
	// quarter of a second during a peak of 1,000 per second.
	MaxWaiting = 250
	// jitterSteps is the number of different jitter values.
	jitterSteps = 1 << 16
)

// Delay returns how long a caller should wait before trying again, for an outage of the given
// age. key identifies the caller; the same age and key give the same delay.
func Delay(age time.Duration, key string) time.Duration {
	half := age / 2
	return min(max(half+Jitter(half, key), MinDelay), MaxDelay)
}

// Jitter returns a pseudo-random time from 0 to below d that depends only on d and key.
func Jitter(d time.Duration, key string) time.Duration {
	return d * time.Duration(jitterOf(key)) / jitterSteps
}

// maxWaitDivisor is the divisor of the remaining time that gives the longest wait. The rest is
// left for trying again, or for receiving the refusal.
const maxWaitDivisor = 4

// Wait returns how long a caller with the given remaining time may wait for an outage to end
// while a number of others are waiting.
func Wait(left time.Duration, others int) time.Duration {
	if others >= MaxWaiting {
		return 0
	}
	return max(min(MaxWait, left/maxWaitDivisor), 0)
}

// jitterOf returns a pseudo-random number below jitterSteps that depends only on key.
func jitterOf(key string) uint32 {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(key))
	sum := h.Sum32()
	return (sum ^ sum>>16) % jitterSteps
}
