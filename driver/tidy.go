// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

const (
	// retireAfter is how long a job is kept whole after its end.
	retireAfter = time.Second
	// tidyEvery spaces the looks for jobs that are over.
	tidyEvery = 500 * time.Millisecond
	// sweepEvery spaces the readings of all jobs that are over, for those of
	// former owners.
	sweepEvery = 10 * time.Minute
	// sweepSlack is by how much instances may disagree on the time of day, by which an
	// end that another owner archived is told to be old. A minute is far beyond what
	// synchronised clocks show, and costs only rows that stay a little longer.
	sweepSlack = time.Minute
	// archiveAtOnce bounds the jobs of a transaction, of two entries each.
	archiveAtOnce = 40
)

// archives are the ends of jobs on their way to the parts of their ids. They do not
// go with the group commits: a part of the store may be silent alone, and an end
// that is written in another one is one that clients can be shown.
type archives struct {
	waiting map[string][]archive
	// busy says of each part that a write is under way.
	busy map[string]bool
}

// archive is what is done with the rows of a job that is over.
type archive struct {
	id    string
	state flow.State
	// forget has the last rows removed.
	forget bool
}

// add has something written.
func (a *archives) add(x archive) {
	if a.waiting == nil {
		a.waiting, a.busy = make(map[string][]archive), make(map[string]bool)
	}
	a.waiting[partOf(x.id)] = append(a.waiting[partOf(x.id)], x)
}

// take takes what is to be written in a part, nothing while a write is under way
// there.
func (a *archives) take(part string) []archive {
	if a.busy[part] {
		return nil
	}
	n := min(len(a.waiting[part]), archiveAtOnce)
	taken := a.waiting[part][:n:n]
	a.waiting[part] = a.waiting[part][n:]
	a.busy[part] = n > 0
	return taken
}

// tx returns the transaction of some archives of one part.
func (d *Driver) tx(batch []archive, wall time.Time) rows.Tx {
	var t rows.Tx
	for _, x := range batch {
		if x.forget {
			t.Remove = append(t.Remove, EndedKey(x.id), HomeKey(x.id))
			continue
		}
		e := flow.Ended{State: x.state, Cell: d.Name, AtMS: wall.UnixMilli()}
		t.Put = append(t.Put, rows.Row{Key: EndedKey(x.id), Value: flow.Encode(e)})
		t.Remove = append(t.Remove, SpecKey(x.id))
	}
	return t
}

// archiveEnded has the ends of jobs written. That of one that succeeded is written
// at once; of others only once the record, whose write is bound to the cell lease, is
// kept: an owner that is none any more may not end a job. The lock is held, and the
// cell lease valid.
func (d *Driver) archiveEnded() {
	d.ended = append(d.ended, own(d.cell.Ended())...)
	later := d.ended[:0]
	for _, o := range d.ended {
		if s, _ := d.cell.State(o.ID); o.State == flow.Succeeded || s.Final() {
			d.archives.add(archive{id: o.ID, state: o.State})
		} else {
			later = append(later, o)
		}
	}
	d.ended = later
	d.writeArchives()
}

// writeArchives starts the writes that may be started. The lock is held.
func (d *Driver) writeArchives() {
	for part := range d.archives.waiting {
		if batch := d.archives.take(part); len(batch) > 0 {
			d.spawn(func() { d.writeArchive(part, batch) })
		}
	}
}

// writeArchive writes a batch until the store has taken it.
func (d *Driver) writeArchive(part string, batch []archive) {
	for d.ctx.Err() == nil {
		res, err := d.Store.Tx(d.ctx, d.tx(batch, clock.Wall()))
		if err == nil && !res.Refused {
			break
		}
		d.sleep(readRetry)
	}
	if d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range batch {
		if !x.forget {
			d.cell.Archived(x.id)
		}
	}
	d.archives.busy[part] = false
	d.announce()
	d.writeArchives()
}

// tidyUp lets the cell forget what is over. The lock is held.
func (d *Driver) tidyUp(now time.Time) {
	for _, o := range d.cell.Retire(retireAfter, now) {
		d.stale = append(d.stale, o.ID)
	}
	for _, x := range d.cell.Expire(d.Keep, now) {
		if !x.Foreign {
			d.forgetEnd(x.ID, x.Age, "kept")
		}
	}
	if len(d.stale) > 0 {
		notify(d.write)
	}
}

// forgetEnd has what is left of a job removed: from then on nobody knows it.
func (d *Driver) forgetEnd(id string, age time.Duration, why string) {
	d.archives.add(archive{id: id, forget: true})
	d.Scope.Counter("jobs_forgotten_total").Inc(1)
	level.Info(d.Log).Log("event", "job_forgotten", "job", id, "cell", d.Name, "epoch", d.Claim.Epoch(),
		"over_ms", age.Milliseconds(), "keep_ms", d.Keep.Milliseconds(), "why", why, "last", true)
}

// sweep removes what is left of jobs that ended under former owners.
func (d *Driver) sweep() {
	for d.ctx.Err() == nil {
		d.sleep(sweepEvery)
		for _, part := range specParts {
			all, _, err := rows.All(d.ctx, d.Store, rows.Range{Table: TableEnded, Part: string(part)})
			if err == nil {
				d.sweepAll(all, clock.Wall())
			}
		}
	}
}

func (d *Driver) sweepAll(all []rows.Row, wall time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range all {
		e, err := flow.DecodeEnded(r.Value)
		if err != nil || e.Cell != d.Name || d.cell.Known(r.Name) {
			continue
		}
		if age := wall.Sub(time.UnixMilli(e.AtMS)); age > d.Keep+sweepSlack {
			d.forgetEnd(r.Name, age, "swept")
		}
	}
}
