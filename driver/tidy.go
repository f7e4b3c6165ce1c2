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
	// retireAfter is how long a job's full state and record are kept after its end.
	retireAfter = time.Second
	// housekeepInterval is the interval between removals of ended jobs.
	housekeepInterval = 500 * time.Millisecond
	// sweepInterval is the interval between reads of all ended jobs, which find those of former
	// owners.
	sweepInterval = 10 * time.Minute
	// maxClockSkew is the assumed difference between the wall clocks of instances. The age of an
	// end that another owner archived is computed by wall clocks. A minute is far more than
	// synchronised clocks differ, and only makes rows stay a little longer.
	maxClockSkew = time.Minute
	// maxArchiveBatch limits the jobs in a transaction; each takes two entries.
	maxArchiveBatch = 40
)

// archives are ends of jobs to be written to the parts of the jobs' ids. They are not part of the group
// commits: a single one of these parts may be down.
type archives struct {
	waiting map[string][]archive
	// writing holds the parts to which a write is in flight.
	writing map[string]bool
}

// archive is a change to the rows of an ended job.
type archive struct {
	id    string
	state flow.State
	// removeLast removes the last rows of the job instead of writing its end.
	removeLast bool
}

// add queues a change.
func (a *archives) add(x archive) {
	if a.waiting == nil {
		a.waiting, a.writing = make(map[string][]archive), make(map[string]bool)
	}
	a.waiting[partOf(x.id)] = append(a.waiting[partOf(x.id)], x)
}

// take returns the next batch for a part, nothing while a write to that part is in flight.
func (a *archives) take(part string) []archive {
	if a.writing[part] {
		return nil
	}
	n := min(len(a.waiting[part]), maxArchiveBatch)
	taken := a.waiting[part][:n:n]
	a.waiting[part] = a.waiting[part][n:]
	a.writing[part] = n > 0
	return taken
}

// archiveTx returns the transaction for changes to one part.
func (d *Driver) archiveTx(batch []archive, wall time.Time) rows.Tx {
	var t rows.Tx
	for _, x := range batch {
		if x.removeLast {
			t.Remove = append(t.Remove, EndedKey(x.id), HomeKey(x.id))
			continue
		}
		e := flow.FinalRecord{State: x.state, Cell: d.Name, AtMS: wall.UnixMilli()}
		t.Put = append(t.Put, rows.Row{Key: EndedKey(x.id), Value: flow.Encode(e)})
		t.Remove = append(t.Remove, SpecKey(x.id))
	}
	return t
}

// archiveEnded queues the ends of jobs whose record is persisted. Only that write is bound to the cell
// lease: an end written apart from it, by a former owner or by a write that takes effect late, would
// contradict a next owner that has read the job before and runs it again. The lock is held.
func (d *Driver) archiveEnded() {
	d.unarchived = append(d.unarchived, ownJobs(d.cell.Ended())...)
	later := d.unarchived[:0]
	for _, o := range d.unarchived {
		if s, _ := d.cell.State(o.ID); s.Final() {
			d.archives.add(archive{id: o.ID, state: o.State})
		} else {
			later = append(later, o)
		}
	}
	d.unarchived = later
	d.writeArchives()
}

// writeArchives starts a write for each part that has changes queued and no write in flight. The
// lock is held.
func (d *Driver) writeArchives() {
	for part := range d.archives.waiting {
		if batch := d.archives.take(part); len(batch) > 0 {
			d.spawn(func() { d.writeArchive(part, batch) })
		}
	}
}

// writeArchive writes a batch, retrying until the store accepts it.
func (d *Driver) writeArchive(part string, batch []archive) {
	for d.ctx.Err() == nil {
		res, err := d.Store.Tx(d.ctx, d.archiveTx(batch, clock.Wall()))
		if err == nil && !res.Refused {
			break
		}
		d.sleep(readRetryDelay)
	}
	if d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range batch {
		if !x.removeLast {
			d.cell.Archived(x.id)
		}
	}
	d.archives.writing[part] = false
	d.signalPersisted()
	d.writeArchives()
}

// retireJobs retires jobs that have ended, and forgets those whose retention time is over. The lock
// is held.
func (d *Driver) retireJobs(now time.Time) {
	for _, o := range d.cell.Retire(retireAfter, now) {
		d.staleRecords = append(d.staleRecords, o.ID)
	}
	for _, x := range d.cell.Expire(d.Retention, now) {
		if !x.Foreign {
			d.forgetEnd(x.ID, x.Age, "kept")
		}
	}
	d.forgetMoved(now)
	if len(d.staleRecords) > 0 {
		notify(d.commitNow)
	}
}

// forgetEnd removes the last rows of a job: from then on it is unknown.
func (d *Driver) forgetEnd(id string, age time.Duration, why string) {
	d.archives.add(archive{id: id, removeLast: true})
	d.Scope.Counter("jobs_forgotten_total").Inc(1)
	level.Info(d.Log).Log("event", "job_forgotten", "job", id, "cell", d.Name, "epoch", d.Claim.Epoch(),
		"over_ms", age.Milliseconds(), "keep_ms", d.Retention.Milliseconds(), "why", why, "last", true)
}

// sweep removes the rows of jobs that ended under former owners.
func (d *Driver) sweep() {
	for d.ctx.Err() == nil {
		d.sleep(sweepInterval)
		for _, part := range specParts {
			all, _, err := rows.ReadAll(d.ctx, d.Store, rows.Range{Table: TableEnded, Part: string(part)})
			if err == nil {
				d.forgetWithdrawn(d.sweepPart(all, clock.Wall()))
			}
		}
	}
}

// sweepPart removes those of all ends of a part that were kept for long enough, but for those of
// withdrawn jobs, which it returns.
func (d *Driver) sweepPart(all []rows.Row, wall time.Time) (withdrawn []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range all {
		e, err := flow.DecodeFinalRecord(r.Value)
		if err != nil || e.Cell != d.Name || d.cell.Known(r.Name) {
			continue
		}
		switch age := wall.Sub(time.UnixMilli(e.AtMS)); {
		case age <= d.Retention+maxClockSkew:
		case e.Withdrawn:
			withdrawn = append(withdrawn, r)
		default:
			d.forgetEnd(r.Name, age, "swept")
		}
	}
	return withdrawn
}
