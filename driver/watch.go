// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/stall"
)

const (
	// readInterval is the interval between reads of the directory. That a worker leaves must be
	// known within two seconds.
	readInterval = 800 * time.Millisecond
	// Long lists are read less often, down to once in maxReadInterval, since a read takes the longer
	// the more workers there are.
	maxReadInterval    = 2 * time.Second
	workersPerInterval = 400
	readRetryDelay     = 200 * time.Millisecond
	// pausePerTransfer is the pause after a read as a multiple of its transfer time, so that the
	// list takes at most a tenth of a slow link.
	pausePerTransfer = 9
	// minReadStall is how long a read may make no progress before it is abandoned. With the delays
	// before and after it, a worker that leaves is still known within two seconds although the
	// read's connection has stalled. The limit doubles with each failed read up to maxReadStall,
	// since the store may be that slow.
	minReadStall = 500 * time.Millisecond
	maxReadStall = 1500 * time.Millisecond
	// maxReadTime limits a whole read, also over the slowest link.
	maxReadTime = time.Minute
	// entrySize is the approximate size of a worker's entry in bytes.
	entrySize = 420
)

// readPause returns how long to wait after a read that returned the given number of workers over a
// link of rate bytes per second. The duration of the read does not count: it is also long if the
// store is slow or only reachable through a peer, and a worker that leaves must be noticed just as
// soon then.
func readPause(workers, rate int) time.Duration {
	pause := max(readInterval*time.Duration(workers)/workersPerInterval, readInterval)
	if rate > 0 {
		pause = max(pause, pausePerTransfer*time.Duration(workers*entrySize)*time.Second/time.Duration(rate))
	}
	return min(pause, maxReadInterval)
}

// watchDirectory reads the directory of workers at regular intervals. Its change feed would report
// every heartbeat of every worker.
func (d *Driver) watchDirectory() {
	stallLimit := minReadStall
	for d.ctx.Err() == nil {
		listing, err := d.readDirectory(stallLimit)
		if err != nil {
			stallLimit = min(2*stallLimit, maxReadStall)
			d.sleep(readRetryDelay)
			continue
		}
		stallLimit = minReadStall
		// Another owner's listing may have begun before the last one that was read here.
		if listing.Begun.After(d.lastListingBegun()) {
			d.applyDirectory(listing.Entries, listing.Begun)
		}
		d.sleep(readPause(listing.Workers, d.LinkRate))
	}
}

// lastListingBegun returns when the last listing that was applied was begun.
func (d *Driver) lastListingBegun() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directoryReadAt
}

// readDirectory reads the directory, and gives up if it makes no progress for the given time.
func (d *Driver) readDirectory(stallLimit time.Duration) (Listing, error) {
	ctx, cancel := stall.Context(d.ctx, stall.Limits{FirstByte: stallLimit, Gap: maxReadStall, Total: maxReadTime}, nil)
	defer cancel()
	if d.List != nil {
		return d.List(ctx)
	}
	return ReadListing(ctx, d.Directory)
}

func (d *Driver) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// applyDirectory applies a complete read of the directory that began at begun: workers that it does
// not contain are missing.
func (d *Driver) applyDirectory(entries []Entry, begun time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Invalid != "" {
			d.applyInvalidEntry(&e, now)
			continue
		}
		// A worker id may reappear in a rack of another cell.
		present[e.ID] = d.OwnsRack(e.Rack)
		d.applyEntry(e, begun, now)
	}
	for id, link := range d.links {
		if !present[id] {
			d.entryMissing(link, now)
		}
	}
	d.directoryReadAt = begun
	notify(d.placeNow)
}

// applyEntry applies the entry of a worker from a read that began at begun. The lock is held.
func (d *Driver) applyEntry(e Entry, begun, now time.Time) {
	if e.Gone || !d.OwnsRack(e.Rack) {
		return
	}
	link := d.links[e.ID]
	if link == nil {
		level.Debug(d.Log).Log("event", "worker_heard", "worker", e.ID, "version", e.Ver)
		d.connect(e.ID, e.Addr, e.Hall)
		link = d.links[e.ID]
		link.entryVer, link.writerBorn = e.Ver, e.Born
		d.applyDeparture(link, &e, announcement{after: begun.Add(-maxEntryAge)}, now)
		d.cell.Heard(e.Worker, now)
		d.cell.SetListed(e.ID, false)
		return
	}
	if e.Ver < link.entryVer {
		return
	}
	if e.Ver > link.entryVer {
		announced := d.announcementOf(link, begun)
		link.entryVer = e.Ver
		d.applyIncarnation(link, &e)
		d.applyDeparture(link, &e, announced, now)
		d.cell.Heard(e.Worker, now)
	}
	link.missingSince = time.Time{}
}

// applyIncarnation applies which incarnation wrote an entry, and its address. The entry may be
// older than what is known, so it does not end an incarnation by itself: the worker is attached
// again, and its answer decides. The lock is held.
func (d *Driver) applyIncarnation(l *link, e *Entry) {
	moved := l.addr != e.Addr
	l.addr = e.Addr
	if l.hall != e.Hall {
		l.hall, l.attachSlots = e.Hall, d.attachSlotsOf(e.Hall)
	}
	other := l.writerBorn != e.Born
	if other {
		l.entryInfo = entryInfo{writerBorn: e.Born}
	}
	if moved || (other && e.Born != 0 && l.isOtherIncarnation(e.Born)) {
		level.Info(d.Log).Log("event", "entry_of_another_life", "worker", l.id, "version", e.Ver, "known", l.born, "born", e.Born, "moved", moved)
		d.reattach(l.id)
	}
}

// maxLoggedInvalid limits the number of workers remembered in loggedInvalid.
const maxLoggedInvalid = 1000

// applyInvalidEntry handles an invalid entry. A known worker of that id gets no new runs from then
// on. Its present runs go on under their leases, as the entry says nothing about them. The lock is
// held.
func (d *Driver) applyInvalidEntry(e *Entry, now time.Time) {
	d.Scope.Counter("bad_worker_entries_total").Inc(1)
	if d.loggedInvalid == nil || len(d.loggedInvalid) >= maxLoggedInvalid {
		d.loggedInvalid = make(map[string]string)
	}
	l := d.links[e.ID]
	if d.loggedInvalid[e.ID] != e.Invalid {
		d.loggedInvalid[e.ID] = e.Invalid
		level.Warn(d.Log).Log("event", "bad_worker_entry", "worker", e.ID, "version", e.Ver, "why", e.Invalid, "known", l != nil)
	}
	if l != nil && e.Ver >= l.entryVer {
		d.entryMissing(l, now)
		d.cell.EntryMissing(l.id)
	}
}

// entryMissing notes that a worker has no entry. The lock is held.
func (d *Driver) entryMissing(l *link, now time.Time) {
	switch {
	case l.missingSince.IsZero():
		l.missingSince = now
	case now.Sub(l.missingSince) > missingGrace:
		d.cell.EntryMissing(l.id)
	}
}
