// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// The monotonic clock stands still while a machine is suspended: after resuming, an instance would
// consider its leases valid and the data it has received up to date. CLOCK_BOOTTIME continues, but
// reading it takes a system call, which is too expensive each time the time is read. The time of day
// continues as well and is read together with the monotonic clock at no extra cost. CLOCK_BOOTTIME is
// therefore read only when those two have drifted apart, which happens on a suspension or when the
// time of day is stepped.

const (
	// driftThreshold is the drift between the time of day and the monotonic clock above which
	// CLOCK_BOOTTIME is read. Shorter suspensions affect nothing.
	driftThreshold = 2 * time.Millisecond
	// Both clocks have to be read within maxReadTime, in at most maxReadAttempts attempts, so
	// that a thread switch between the two reads is not mistaken for a suspension.
	maxReadTime     = time.Millisecond
	maxReadAttempts = 5
)

var tracker = newSuspensionTracker(readClocks)

// suspensionTracker tracks the total time for which the machine has been suspended since the tracker
// was created.
type suspensionTracker struct {
	read  func() (monotonic, boot time.Duration, ok bool)
	start time.Time
	// initialOffset is how far CLOCK_BOOTTIME was ahead of CLOCK_MONOTONIC at the start.
	initialOffset time.Duration

	// drift is how far the time of day and the monotonic clock had drifted apart when
	// CLOCK_BOOTTIME was last read, and total is the suspension time known then, both in
	// nanoseconds since the start.
	drift, total atomic.Int64
	mu           sync.Mutex
}

func newSuspensionTracker(read func() (monotonic, boot time.Duration, ok bool)) *suspensionTracker {
	s := &suspensionTracker{read: read, start: time.Now()}
	if monotonic, boot, ok := read(); ok {
		s.initialOffset = boot - monotonic
	}
	return s
}

// suspendedAt returns the total suspension time as of now, which must have just been read.
func (s *suspensionTracker) suspendedAt(now time.Time) time.Duration {
	drift := now.UnixNano() - s.start.UnixNano() - int64(now.Sub(s.start))
	if time.Duration(drift-s.drift.Load()).Abs() > driftThreshold {
		s.update(drift)
	}
	return time.Duration(s.total.Load())
}

// update reads CLOCK_BOOTTIME and stores the new total. The total never decreases.
func (s *suspensionTracker) update(drift int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	monotonic, boot, ok := s.read()
	if !ok {
		// The next call of suspendedAt tries again.
		return
	}
	if total := int64(boot - monotonic - s.initialOffset); total > s.total.Load()+int64(maxReadTime) {
		s.total.Store(total)
	}
	s.drift.Store(drift)
}

// readClocks reads CLOCK_MONOTONIC and CLOCK_BOOTTIME as of the same moment. ok is false if a clock
// can't be read or every attempt took longer than maxReadTime.
func readClocks() (monotonic, boot time.Duration, ok bool) {
	for range maxReadAttempts {
		var before, between, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &between) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0, 0, false
		}
		if took := after.Nano() - before.Nano(); took <= int64(maxReadTime) {
			return time.Duration(before.Nano() + took/2), time.Duration(between.Nano()), true
		}
	}
	return 0, 0, false
}

// Suspended returns the total time for which the machine has been suspended since the process
// started.
func Suspended() time.Duration { return tracker.suspendedAt(time.Now()) }

// suspendAwareNow returns the current time. Differences between its results include suspensions.
func suspendAwareNow() time.Time {
	now := time.Now()
	return now.Add(tracker.suspendedAt(now))
}

// Until returns the time remaining until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
