// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// The steady clock stands still while a machine is suspended: an instance that wakes would take
// its leases for valid and what it has heard for fresh. The system's boot clock goes on, but to
// read it is a system call, too dear for each look at the time. The time of day goes on as
// well and is read together with the steady clock at no cost. So the boot clock is read only
// when the two have moved apart, which a suspension brings about, and a step of the time of day.

const (
	// apart is by how much the time of day and the steady clock move apart before the boot
	// clock is read: a suspension that is shorter matters to nothing.
	apart = 2 * time.Millisecond
	// Both clocks are read together within readWithin, in readTries tries, so that a turn of
	// another thread between them isn't taken for a suspension.
	readWithin = time.Millisecond
	readTries  = 5
)

var suspension = newSuspended(readClocks)

// suspended follows for how long the machine was suspended since a start.
type suspended struct {
	read  func() (steady, boot time.Duration, ok bool)
	start time.Time
	// first is by how much the boot clock was ahead of the steady one at the start.
	first time.Duration

	// moved is by how much the time of day and the steady clock had moved apart since the
	// start when the boot clock was last read, and total for how long the machine was
	// suspended by then.
	moved, total atomic.Int64
	mu           sync.Mutex
}

func newSuspended(read func() (steady, boot time.Duration, ok bool)) *suspended {
	s := &suspended{read: read, start: time.Now()}
	if steady, boot, ok := read(); ok {
		s.first = boot - steady
	}
	return s
}

// by returns for how long the machine was suspended by a time that was just read.
func (s *suspended) by(now time.Time) time.Duration {
	moved := now.UnixNano() - s.start.UnixNano() - int64(now.Sub(s.start))
	if time.Duration(moved-s.moved.Load()).Abs() > apart {
		s.look(moved)
	}
	return time.Duration(s.total.Load())
}

// look reads the boot clock. What it says never goes back.
func (s *suspended) look(moved int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steady, boot, ok := s.read()
	if !ok {
		// The next look at the time tries again.
		return
	}
	if total := int64(boot - steady - s.first); total > s.total.Load()+int64(readWithin) {
		s.total.Store(total)
	}
	s.moved.Store(moved)
}

// readClocks reads the steady clock and the boot clock as of one moment.
func readClocks() (steady, boot time.Duration, ok bool) {
	for range readTries {
		var before, between, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &between) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0, 0, false
		}
		if took := after.Nano() - before.Nano(); took <= int64(readWithin) {
			return time.Duration(before.Nano() + took/2), time.Duration(between.Nano()), true
		}
	}
	return 0, 0, false
}

// Suspended returns for how long the machine was suspended since the process began.
func Suspended() time.Duration { return suspension.by(time.Now()) }

// steadyNow returns the time, whose differences count what the machine was suspended for.
func steadyNow() time.Time {
	now := time.Now()
	return now.Add(suspension.by(now))
}

// Until returns the time from now to t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
