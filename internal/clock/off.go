// SPDX-License-Identifier: Apache-2.0

//go:build !faults

package clock

import "time"

// Now returns the time.
func Now() time.Time { return time.Now() }

// Since returns the time that has passed since t.
func Since(t time.Time) time.Duration { return time.Since(t) }
