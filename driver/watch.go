// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/stall"
)

const (
	// readEvery spaces the readings of the directory: a worker that leaves has
	// to be known within two seconds.
	readEvery = 800 * time.Millisecond
	// A long list is read less often, down to every readMost: it is as long for
	// each owner of a cell, of which a deployment has one for each readFull workers.
	readMost  = 2 * time.Second
	readFull  = 400
	readRetry = 200 * time.Millisecond
	// readShare is how many times as long as a reading takes the link the pause after it is:
	// the list takes at most a tenth of a thin link.
	readShare = 9
	// readSilent is how long a reading may bring nothing before another is begun, at first: with
	// the pause before it and one after it a worker that leaves is still known in two seconds,
	// though the connection that the reading went by is silent. It doubles with each reading
	// that fails, up to readSilentMost, as the store may be that slow.
	readSilent     = 500 * time.Millisecond
	readSilentMost = 1500 * time.Millisecond
	// readWhole bounds a reading over the thinnest link.
	readWhole = time.Minute
	// entryAge is how old the entry of a worker that leaves may be for an owner that has not
	// read the list before: workers write theirs every 1.5 s.
	entryAge = 2 * time.Second
	// entrySize is about how many bytes a worker's entry takes.
	entrySize = 420
)

// readPause returns how long to wait after a reading that brought so many workers, over a link
// that carries rate bytes a second. How long the reading took does not count: a store that is
// slow, or reached by a peer alone, says nothing of the link, and a worker that leaves has to be
// known as soon then.
func readPause(workers, rate int) time.Duration {
	pause := max(readEvery*time.Duration(workers)/readFull, readEvery)
	if rate > 0 {
		pause = max(pause, readShare*time.Duration(workers*entrySize)*time.Second/time.Duration(rate))
	}
	return min(pause, readMost)
}

// watch reads the directory of workers again and again. Its feed would tell of
// every heartbeat of every worker.
func (d *Driver) watch() {
	silent := readSilent
	for d.ctx.Err() == nil {
		begun := clock.Now()
		entries, err := d.readDirectory(silent)
		if err != nil {
			silent = min(2*silent, readSilentMost)
			d.sleep(readRetry)
			continue
		}
		silent = readSilent
		d.readAll(entries)
		d.lastRead = begun
		d.sleep(readPause(len(entries), d.LinkRate))
	}
}

// readDirectory reads the directory, and gives up once it brings nothing for a time.
func (d *Driver) readDirectory(silent time.Duration) ([]Entry, error) {
	ctx, cancel := stall.Context(d.ctx, stall.Limits{First: silent, Gap: readSilentMost, Whole: readWhole}, nil)
	defer cancel()
	return d.Directory.All(ctx)
}

func (d *Driver) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// readAll takes in a whole reading: what it leaves out is missing.
func (d *Driver) readAll(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	there := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Bad != "" {
			d.heardBad(&e, now)
			continue
		}
		// An id may come back in a rack of another cell.
		there[e.ID] = d.Mine(e.Rack)
		d.heard(e, now)
	}
	for id, link := range d.links {
		if !there[id] {
			d.miss(link, now)
		}
	}
	notify(d.wake)
}

// heard takes in an entry. The lock is held.
func (d *Driver) heard(e Entry, now time.Time) {
	if e.Gone || !d.Mine(e.Rack) {
		return
	}
	link := d.links[e.ID]
	if link == nil {
		level.Debug(d.Log).Log("event", "worker_heard", "worker", e.ID, "version", e.Ver)
		d.connect(e.ID, e.Addr, e.Hall)
		d.links[e.ID].ver, d.links[e.ID].by = e.Ver, e.Born
		d.countRemaining(d.links[e.ID], &e, now)
		d.cell.Heard(e.Worker, now)
		return
	}
	if e.Ver < link.ver {
		return
	}
	if e.Ver > link.ver {
		link.ver = e.Ver
		d.heardLife(link, &e)
		d.countRemaining(link, &e, now)
		if e.Draining && !link.draining {
			level.Info(d.Log).Log("event", "worker_leaves", "worker", e.ID, "version", e.Ver, "remaining_ms", e.Remaining.Milliseconds())
		}
		link.draining = e.Draining
		d.cell.Heard(e.Worker, now)
	}
	link.missing = time.Time{}
}

// heardLife takes in which life wrote an entry, and where it is. An entry may be of before, so
// that it alone ends no life: the worker is held anew, and its lists tell. The lock is held.
func (d *Driver) heardLife(l *link, e *Entry) {
	moved := l.addr != e.Addr
	l.addr = e.Addr
	if l.hall != e.Hall {
		l.hall, l.attaching = e.Hall, d.attachingIn(e.Hall)
	}
	other := l.by != e.Born
	if other {
		l.entryWord = entryWord{by: e.Born}
	}
	if moved || (other && e.Born != 0 && l.isAnother(e.Born)) {
		level.Info(d.Log).Log("event", "entry_of_another_life", "worker", l.id, "version", e.Ver, "known", l.born, "born", e.Born, "moved", moved)
		d.unsure(l.id)
	}
}

// countRemaining puts in place of the time that a worker stays what is left of it by now. It
// counts from when the worker wrote it, which may be as early as the reading before: a run that
// ends after its worker has left is not known to have ended, and would run again. The lock is
// held.
func (d *Driver) countRemaining(l *link, e *Entry, now time.Time) {
	if !e.Draining {
		l.leaves = time.Time{}
		return
	}
	written := d.lastRead
	if written.IsZero() {
		written = now.Add(-entryAge)
	}
	if at := written.Add(e.Remaining); at.After(l.leaves) {
		l.leaves = at
	}
	e.Remaining = max(l.leaves.Sub(now), 0)
}

// badLogMost bounds the entries that are remembered as logged.
const badLogMost = 1000

// heardBad takes in an entry that cannot be used. A worker that is known by that id is
// given nothing new from now on. What runs there goes on under its leases: the entry says
// nothing of that. The lock is held.
func (d *Driver) heardBad(e *Entry, now time.Time) {
	d.Scope.Counter("bad_worker_entries_total").Inc(1)
	if d.bad == nil || len(d.bad) >= badLogMost {
		d.bad = make(map[string]string)
	}
	l := d.links[e.ID]
	if d.bad[e.ID] != e.Bad {
		d.bad[e.ID] = e.Bad
		level.Warn(d.Log).Log("event", "bad_worker_entry", "worker", e.ID, "version", e.Ver, "why", e.Bad, "known", l != nil)
	}
	if l != nil && e.Ver >= l.ver {
		d.miss(l, now)
		d.cell.Missing(l.id)
	}
}

// miss takes in that a worker has no entry. The lock is held.
func (d *Driver) miss(l *link, now time.Time) {
	switch {
	case l.missing.IsZero():
		l.missing = now
	case now.Sub(l.missing) > goneAfter:
		d.cell.Missing(l.id)
	}
}
