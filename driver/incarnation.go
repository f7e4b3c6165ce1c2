// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"
)

const (
	// maxDriftPercent is by how much a worker's clock may run slower than this one, in percent,
	// with a safety margin.
	maxDriftPercent = 3
	// leaseSlack is added to the end of a lease for rounding errors.
	leaseSlack = 60 * time.Millisecond
	// maxClockAhead is how far a worker's clock in an answer may be ahead of the expected value, as
	// an answer may have waited to be read.
	maxClockAhead = 2 * time.Second
)

// incarnation is what the driver knows of one incarnation of a worker. A worker that restarts under
// the same id has no state from before, and its clock starts anew.
type incarnation struct {
	// born is the start time reported by the worker; 0 if unknown or not reported.
	born int64
	// clockMS was the reading of the worker's clock at clockAt or earlier.
	clockMS int64
	clockAt time.Time
	// leasesEnd is when the leases of all runs there have certainly expired.
	leasesEnd time.Time
	lapsed    bool
	// listedAt is when the worker last listed its running runs, and answeredAt when it last
	// answered a hold.
	listedAt, answeredAt time.Time
	// lastObserved is the last end that the worker was told to forget, and lastEnd the last that it
	// has listed.
	lastObserved, lastEnd int
}

// entryInfo is the content of the newest entry of a worker, which may be that of another
// incarnation.
type entryInfo struct {
	// writerBorn is the start time of the incarnation that wrote the entry, 0 if the entry does not
	// say.
	writerBorn int64
	// draining says that the worker leaves, and leavesAt is the earliest time at which it does. The
	// time is a guess unless leavesAtCertain is set.
	draining        bool
	leavesAt        time.Time
	leavesAtCertain bool
}

// isOtherIncarnation reports whether an answer with the given start time comes from another
// incarnation than the known one.
func (l *incarnation) isOtherIncarnation(born int64) bool {
	return (l.born != 0 || !l.answeredAt.IsZero()) && born != l.born
}

// replaceIncarnation discards the state of the previous incarnation after another incarnation has
// accepted the newest fence. The lock is held.
func (d *Driver) replaceIncarnation(l *link, o HoldOrder, a *HoldAnswer, now time.Time) {
	d.logReborn(l, o, a, true)
	d.noteLost(l)
	// A lease that was given by the previous incarnation's clock may last as long as the longest
	// lease that a worker grants.
	l.incarnation = incarnation{leasesEnd: now.Add(slowClockDuration(max(d.MaxWorkerLease, d.WorkerLease)))}
}

// slowClockDuration returns how long a lease of d may last by this clock if the worker's is slow.
func slowClockDuration(d time.Duration) time.Duration {
	return d + d*maxDriftPercent/100 + leaseSlack
}

// newLeaseEnd returns the end of a new lease by the worker's clock, 0 if that clock is not known
// yet, and updates leasesEnd. The lock is held.
func (d *Driver) newLeaseEnd(l *link, now time.Time) int64 {
	if l.clockMS == 0 {
		return 0
	}
	until := l.clockMS + now.Sub(l.clockAt).Milliseconds() + d.WorkerLease.Milliseconds()
	left := time.Duration(until-l.clockMS) * time.Millisecond
	if over := l.clockAt.Add(slowClockDuration(left)); over.After(l.leasesEnd) {
		l.leasesEnd = over
	}
	return until
}

// updateClock applies a reading of the worker's clock.
func (l *incarnation) updateClock(ms int64, now time.Time) {
	if ms > 0 {
		l.clockMS, l.clockAt = ms, now
	}
}

// plausibleClock reports whether a reading of the worker's clock can belong to this incarnation.
// The reading is in the answer to an order that was sent when the clock was known to be past after.
// It is checked because the answer to a start does not say which incarnation has given it.
func (l *incarnation) plausibleClock(ms, after int64, now time.Time) bool {
	ahead := l.clockMS + (now.Sub(l.clockAt)*(100+maxDriftPercent)/100 + maxClockAhead).Milliseconds()
	return ms == 0 || l.clockMS == 0 || (ms >= after && ms <= ahead)
}
