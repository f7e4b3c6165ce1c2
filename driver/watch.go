// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// feedWait is how long the directory may wait for a change.
	feedWait = 5 * time.Second
	// readEvery spaces whole readings of the directory, which find what the
	// feed keeps silent about.
	readEvery = 1500 * time.Millisecond
	readRetry = 200 * time.Millisecond
)

// watch follows the directory of workers: by its changes, and by whole readings
// beside them.
func (d *Driver) watch() {
	ver := make(chan uint64, 1)
	d.spawn(func() { d.follow(ver) })
	for d.ctx.Err() == nil {
		l, err := d.Directory.All(d.ctx)
		pause := readEvery
		if err != nil {
			pause = readRetry
		} else {
			d.readAll(l)
			select {
			case ver <- l.Ver:
			default:
			}
		}
		d.sleep(pause)
	}
}

// follow takes in changes from the version of a whole reading on.
func (d *Driver) follow(start <-chan uint64) {
	var ver uint64
	for d.ctx.Err() == nil {
		if ver == 0 {
			select {
			case ver = <-start:
			case <-d.ctx.Done():
				return
			}
		}
		l, err := d.Directory.Changes(d.ctx, ver, feedWait)
		switch {
		case err != nil:
			d.sleep(readRetry)
		case l.Forgotten:
			ver = 0
		default:
			ver = max(ver, l.Ver)
			d.readSome(l)
		}
	}
}

func (d *Driver) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// readAll takes in a whole reading: what it leaves out is missing.
func (d *Driver) readAll(l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	there := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		there[e.ID] = true
		d.heard(e, now)
	}
	for id, link := range d.links {
		if !there[id] {
			d.miss(link, now)
		}
	}
	poke(d.wake)
}

func (d *Driver) readSome(l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, e := range l.Entries {
		if e.Gone {
			if link := d.links[e.ID]; link != nil {
				d.miss(link, now)
			}
			continue
		}
		d.heard(e, now)
	}
	poke(d.wake)
}

// heard takes in an entry. The lock is held.
func (d *Driver) heard(e Entry, now time.Time) {
	if e.Hall != d.Hall || e.Gone {
		return
	}
	link := d.links[e.ID]
	if link == nil {
		level.Debug(d.Log).Log("event", "worker_heard", "worker", e.ID, "version", e.Ver)
		d.cell.Heard(e.Worker, now)
		d.connect(e.ID, e.Addr)
		d.links[e.ID].ver = e.Ver
		return
	}
	if e.Ver < link.ver {
		return
	}
	if e.Ver > link.ver {
		link.ver = e.Ver
		d.cell.Heard(e.Worker, now)
	}
	link.missing = time.Time{}
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
