// SPDX-License-Identifier: Apache-2.0

//go:build !faults

package clock

import "time"

// Now returns the time. What lies between two of them counts also what the machine was suspended
// for in between; as a time of day use Wall.
func Now() time.Time { return steadyNow() }

// Since returns the time that has passed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Wall returns the time of day.
func Wall() time.Time { return time.Now() }
