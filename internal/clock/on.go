// SPDX-License-Identifier: Apache-2.0

//go:build faults

package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// skew is the state of a clock that runs at rate times the real one. It showed anchorShown at
// the real time anchorReal, at which the rate was last set. A rate of 0 means that none is set.
var skew struct {
	mu          sync.Mutex
	rate        float64
	anchorReal  time.Time
	anchorShown time.Time
}

// Now returns the current time as this process sees it.
func Now() time.Time {
	skew.mu.Lock()
	defer skew.mu.Unlock()
	return now()
}

func now() time.Time {
	real := suspendAwareNow().Add(time.Duration(simulatedSuspension.Load()))
	if skew.rate == 0 {
		return real
	}
	passed := float64(real.Sub(skew.anchorReal)) * skew.rate
	return skew.anchorShown.Add(time.Duration(passed))
}

// Since returns the time elapsed since t, as this process sees it.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// SetRate sets the rate at which the clock runs from now on: 1 is the machine's own rate, 1.05 is
// 5 % fast. The time shown does not jump.
func SetRate(rate float64) {
	skew.mu.Lock()
	defer skew.mu.Unlock()
	shown := now()
	skew.rate, skew.anchorReal, skew.anchorShown = rate, suspendAwareNow().Add(time.Duration(simulatedSuspension.Load())), shown
}

// simulatedSuspension is the total duration, in nanoseconds, of the suspensions simulated by Sleep.
var simulatedSuspension atomic.Int64

// Sleep simulates that the machine has just resumed from a suspension of duration d, which the
// monotonic clock did not count. It returns at once.
func Sleep(d time.Duration) { simulatedSuspension.Add(int64(d)) }

// Wall returns the time of day, with the error that SetRate has introduced.
func Wall() time.Time { return Now().Add(-time.Duration(simulatedSuspension.Load()) - Suspended()) }
