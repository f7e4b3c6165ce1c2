// SPDX-License-Identifier: Apache-2.0

// Package lag tells a process that is short of a processor: its timers are served late,
// as whatever waits to run waits behind all that does. The package is pure; its caller
// sets the timers.
package lag

import "time"

const (
	// Every is how far apart the timers are, and weight how many of them a new one
	// counts against: the mean follows within a second.
	Every  = 50 * time.Millisecond
	weight = 20
	// pauseMost is the most that one timer counts for. A process that was paused for
	// seconds is as fast as before when it goes on: a single pause is not enough.
	pauseMost = 100 * time.Millisecond
	// slow is from when on a process counts as slow. The mean of an owner under full
	// load, also of 350 workers, is 0.3 to 1.5 ms; on a machine that is 5.5 times slower,
	// where each collection of garbage stops it for 0.15 to 0.3 s, it is 2 to 18 ms.
	slow = 7 * time.Millisecond
)

// Meter follows how late timers are served. Its zero value has seen none.
type Meter struct{ mean time.Duration }

// Observe takes in that a timer was served late by some time.
func (m *Meter) Observe(late time.Duration) {
	late = min(max(late, 0), pauseMost)
	m.mean += (late - m.mean) / weight
}

// Mean returns how late timers are served of late.
func (m *Meter) Mean() time.Duration { return m.mean }

// Slow reports whether the process is short of a processor.
func (m *Meter) Slow() bool { return m.mean > slow }
