// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/go-kit/log/level"
)

// A worker announces in its entry that it leaves and how long it stays at the least. If an owner
// overestimates that time, a run can end just before its worker leaves, its end is not known, and it
// runs again.
//
// A worker computes the time before it writes the entry, and a slow store may apply the write seconds
// later. The time therefore does not count from when the entry was first seen. It counts from a read
// of the directory in which the worker had not announced anything: both the announcement and every
// time computed after it are later than that read. Later entries are not used to raise the estimate,
// since any of them may have been applied late.

// maxEntryAge is the assumed age of an entry that may be older than the previous read of the
// directory. Workers write their entries every 1.5 s, and an entry disappears after three intervals
// without a write.
const maxEntryAge = 4500 * time.Millisecond

// announcement tells when a worker announced that it leaves.
type announcement struct {
	// after is a time after which it was made. It is certain if the worker had an entry without an
	// announcement then.
	after   time.Time
	certain bool
}

// announcementOf returns when a worker would have announced that it leaves if a read of the
// directory that began at begun is the first to say so. The lock is held.
func (d *Driver) announcementOf(l *link, begun time.Time) announcement {
	if l.entryVer == 0 || !l.missingSince.IsZero() || d.directoryReadAt.IsZero() {
		return announcement{after: begun.Add(-maxEntryAge)}
	}
	return announcement{after: d.directoryReadAt, certain: true}
}

// applyDeparture applies what a newer entry says of when its worker leaves, and sets the remaining
// time to the time that the worker is certain to stay. The lock is held.
func (d *Driver) applyDeparture(l *link, e *Entry, a announcement, now time.Time) {
	known := l.draining
	if !e.Draining && !known {
		return
	}
	// A worker does not revoke its announcement: an entry without it was written earlier and applied
	// late.
	stated, draining := e.Remaining, e.Draining
	l.draining, e.Draining = true, true
	leavesAt := a.after.Add(stated)
	switch {
	case !known:
		l.leavesAt, l.leavesAtCertain = leavesAt, a.certain
	case draining && !l.leavesAtCertain && leavesAt.Before(l.leavesAt):
		l.leavesAt = leavesAt
	}
	e.Remaining = max(l.leavesAt.Sub(now), 0)
	log, event := level.Info(d.Log), "worker_leaves"
	if known {
		log, event = level.Debug(d.Log), "worker_still_leaves"
	}
	log.Log("event", event, "worker", l.id, "version", e.Ver, "stated_ms", stated.Milliseconds(),
		"entry_age_ms", now.Sub(a.after).Milliseconds(), "certain", l.leavesAtCertain, "remaining_ms", e.Remaining.Milliseconds())
}
