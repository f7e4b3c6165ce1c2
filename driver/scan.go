// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// scanEvery spaces the looks for jobs that nobody told this owner of.
const scanEvery = 1200 * time.Millisecond

// feedMost is how many changes the store tells at once: where there are as many there may be more.
const feedMost = 500

// Adopt takes in a job that the store took at version ver. One that the store had
// when this owner read its jobs, and that is not here, is over. The error is of
// kind Unavailable if the cell is not read yet.
func (d *Driver) Adopt(spec *flow.Spec, ver uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.frozen {
		return kind.New(kind.Unavailable, "the cell is not read yet")
	}
	if d.isNew(spec.ID, ver) {
		d.adopt(spec, clock.Now())
		notify(d.wake)
	}
	return nil
}

// isNew reports whether a job came after this owner read its jobs, and is not
// here. The lock is held.
func (d *Driver) isNew(id string, ver uint64) bool {
	return ver > d.scanned && !d.cell.Known(id)
}

// adopt adds a job that no former owner can have started. The lock is held.
func (d *Driver) adopt(spec *flow.Spec, now time.Time) {
	d.cell.Submit(spec, arrivedAt(spec, now), now)
	d.cell.Keep(spec.ID)
}

// arrivedAt returns when a job was accepted, by this instance's steady clock.
func arrivedAt(spec *flow.Spec, now time.Time) time.Time {
	age := max(clock.Wall().UnixMilli()-spec.AcceptedMS, 0)
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// scan finds jobs that the store has taken and that nobody told this owner of.
func (d *Driver) scan() {
	ver, heard := d.scanned, clock.Now()
	// What was read of all jobs is kept over a failure: over a thin link the next try
	// would fail as the last one did.
	var all reading
	for d.ctx.Err() == nil {
		d.sleep(scanEvery)
		if d.outdated(heard) {
			ver = 0
		}
		if ver == 0 {
			if d.outdated(all.begun) {
				all = reading{begun: clock.Now()}
			}
			if err := d.readSpecs(d.ctx, &all); err != nil {
				d.logScan(err)
				continue
			}
			d.found(all.jobs())
			d.jobsRead(all.begun)
			ver, heard, all = all.ver(), all.begun, reading{}
			continue
		}
		begun := clock.Now()
		// The homes of jobs are a tenth of what the jobs are, most of which this owner has
		// been told of.
		page, err := d.Store.Feed(d.ctx, rows.Since{Table: TableHomes, Ver: ver})
		if err == nil && !page.Forgotten {
			err = d.findMissed(page.Rows)
		}
		switch {
		case err != nil:
			d.logScan(err)
		case page.Forgotten:
			ver = 0
		default:
			ver, heard = max(ver, page.Ver), begun
			if len(page.Rows) < feedMost {
				d.jobsRead(begun)
			}
		}
	}
}

// jobsRead takes in that all jobs are known that the store had at a time.
func (d *Driver) jobsRead(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.JobsRead(at)
	notify(d.write)
}

// findMissed reads the jobs of this cell among changed homes that are not known here.
func (d *Driver) findMissed(homes []rows.Row) error {
	for _, home := range homes {
		if home.Gone || !slices.Contains(HomeCells(home.Value), d.Name) || !d.missed(home.Name, home.Ver) {
			continue
		}
		page, err := d.Store.Get(d.ctx, rows.Only(SpecKey(home.Name)))
		if err != nil {
			return err
		}
		// The row of a job that is over is gone.
		d.found(page.Rows)
	}
	return nil
}

// missed reports whether a job came after this owner read its jobs, and is not here.
func (d *Driver) missed(id string, ver uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isNew(id, ver)
}

// outdated reports whether what was read of the jobs at a time may hold some that have
// ended and been forgotten since: those would be taken for new.
func (d *Driver) outdated(read time.Time) bool { return clock.Since(read) > d.Keep/2 }

func (d *Driver) logScan(err error) {
	if d.ctx.Err() == nil {
		level.Info(d.Log).Log("event", "jobs_not_read", "cell", d.Name, "epoch", d.Claim.Epoch(), "err", err)
	}
}

// found takes in the jobs among changed rows, in the order of the changes. A job whose
// row is there is not over, however long ago it was accepted.
func (d *Driver) found(all []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := make(map[string]uint64)
	for _, r := range all {
		if r.Gone {
			gone[r.Name] = r.Ver
		}
	}
	now := clock.Now()
	for _, r := range all {
		if r.Gone || gone[r.Name] > r.Ver || !d.isNew(r.Name, r.Ver) {
			continue
		}
		spec, err := flow.DecodeSpec(r.Value)
		if err != nil {
			level.Error(d.Log).Log("event", "bad_spec", "job", r.Name, "err", err)
			continue
		}
		if !d.runs(spec) {
			continue
		}
		level.Info(d.Log).Log("event", "job_found", "job", r.Name, "version", r.Ver)
		d.adopt(spec, now)
	}
	notify(d.wake)
}
