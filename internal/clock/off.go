// SPDX-License-Identifier: Apache-2.0

//go:build !faults

package clock

import "time"

// Now returns the current time. The difference between two results includes time for which the
// machine was suspended in between. For the time of day use Wall.
func Now() time.Time { return suspendAwareNow() }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Wall returns the time of day.
func Wall() time.Time { return time.Now() }
