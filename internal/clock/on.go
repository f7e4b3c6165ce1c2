// SPDX-License-Identifier: Apache-2.0

//go:build faults

package clock

import (
	"sync"
	"time"
)

// skew is a clock that has run at rate since a moment at which it showed a
// time.
var skew struct {
	mu    sync.Mutex
	rate  float64
	since time.Time
	shown time.Time
}

// Now returns the time as this process sees it.
func Now() time.Time {
	skew.mu.Lock()
	defer skew.mu.Unlock()
	return now()
}

func now() time.Time {
	if skew.rate == 0 {
		return time.Now()
	}
	passed := float64(time.Since(skew.since)) * skew.rate
	return skew.shown.Add(time.Duration(passed))
}

// Since returns the time that has passed since t, as this process sees it.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// SetRate makes the clock run at a rate from now on: 1 is the machine's own,
// 1.05 is one part in twenty fast. It never jumps.
func SetRate(rate float64) {
	skew.mu.Lock()
	defer skew.mu.Unlock()
	shown := now()
	skew.rate, skew.since, skew.shown = rate, time.Now(), shown
}
