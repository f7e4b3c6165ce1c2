// SPDX-License-Identifier: Apache-2.0

//go:build faults

package clock

import (
	"sync"
	"sync/atomic"
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
	real := steadyNow().Add(time.Duration(slept.Load()))
	if skew.rate == 0 {
		return real
	}
	passed := float64(real.Sub(skew.since)) * skew.rate
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
	skew.rate, skew.since, skew.shown = rate, steadyNow().Add(time.Duration(slept.Load())), shown
}

// slept is for how long the machine seems to have been suspended.
var slept atomic.Int64

// Sleep lets the machine seem to have been suspended until now for a time that the steady
// clock did not count.
func Sleep(d time.Duration) { slept.Add(int64(d)) }

// Wall returns the time of day, as far off as the clock is.
func Wall() time.Time { return Now().Add(-time.Duration(slept.Load()) - Suspended()) }
