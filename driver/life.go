// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"
)

const (
	// clockShare is how much slower than this clock a worker's may run, in
	// hundredths, with some to spare.
	clockShare = 3
	// leaseSlack is added to the end of a lease for what was rounded.
	leaseSlack = 60 * time.Millisecond
	// clockAhead is how far ahead of what is expected a worker's clock may be in an answer: an
	// answer may have waited to be read.
	clockAhead = 2 * time.Second
)

// life is what is known of one life of a worker, and ends with it: a worker that starts again
// under its id knows nothing of before, and its clock starts anew.
type life struct {
	// born is when it began, by its own word; 0 if it is not known, or not said.
	born int64
	// clockMS was read on the worker's clock at the moment clockAt or before.
	clockMS int64
	clockAt time.Time
	// over is when the lease of all that runs there is surely over.
	over   time.Time
	lapsed bool
	// listed is when the worker last listed what runs there, and heard when a hold last had
	// an answer.
	listed, heard time.Time
}

// entryWord is what the newest entry of a worker says, for the life that wrote it.
type entryWord struct {
	// by is when that life began, 0 if the entry does not say.
	by int64
	// draining says that the worker leaves, and leaves is when it does at the earliest.
	draining bool
	leaves   time.Time
}

// isAnother reports whether an answer with a time of birth is that of another life than l is
// known to have.
func (l *life) isAnother(born int64) bool {
	return (l.born != 0 || !l.heard.IsZero()) && born != l.born
}

// reborn takes in that another life of a worker has taken the newest fence: what is known of the
// one before ends with it. The lock is held.
func (d *Driver) reborn(l *link, o HoldOrder, a *HoldAnswer, now time.Time) {
	d.logReborn(l, o, a, true)
	// A lease given by the clock of before may be as long as the new life grants any.
	l.life = life{over: now.Add(stretch(max(d.LeaseMost, d.Lease)))}
}

// stretch returns how long a lease of d may last on a slow clock.
func stretch(d time.Duration) time.Duration {
	return d + d*clockShare/100 + leaseSlack
}

// until returns the end of a new lease on the worker's clock, 0 if that is not
// known yet, and notes when it is surely over. The lock is held.
func (d *Driver) until(l *link, now time.Time) int64 {
	if l.clockMS == 0 {
		return 0
	}
	until := l.clockMS + now.Sub(l.clockAt).Milliseconds() + d.Lease.Milliseconds()
	left := time.Duration(until-l.clockMS) * time.Millisecond
	if over := l.clockAt.Add(stretch(left)); over.After(l.over) {
		l.over = over
	}
	return until
}

// heardClock takes in a reading of the worker's clock.
func (l *life) heardClock(ms int64, now time.Time) {
	if ms > 0 {
		l.clockMS, l.clockAt = ms, now
	}
}

// fits reports whether a reading of the worker's clock, in the answer to an order that was sent
// when its clock was known to be past after, is one of this life. The answer to a start does not
// say which life has given it.
func (l *life) fits(ms, after int64, now time.Time) bool {
	ahead := l.clockMS + (now.Sub(l.clockAt)*(100+clockShare)/100 + clockAhead).Milliseconds()
	return ms == 0 || l.clockMS == 0 || (ms >= after && ms <= ahead)
}
