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

const (
	// scanInterval is the interval between searches for jobs of which this owner was not told.
	scanInterval = 1200 * time.Millisecond
	// minScanInterval is the shortest interval, used while workers list ends of unknown jobs. A worker
	// cannot be told to forget these, nor does it list what follows them, until the jobs were looked
	// for.
	minScanInterval = 100 * time.Millisecond
)

// maxFeedRows is how many changes the store returns at once. A full page means that there may be
// more.
const maxFeedRows = 500

// Adopt adds a job that the store accepted at version ver. A job that was in the store when this
// owner read its jobs and that the cell does not have has ended, and is ignored. The error is of
// kind Unavailable if the cell is not loaded yet, and of kind Conflict if the job belongs to another one.
func (d *Driver) Adopt(spec *flow.Spec, ver uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.frozen {
		return kind.New(kind.Unavailable, "the jobs of the cell are not loaded yet")
	}
	if !d.runsTasksOf(spec) {
		return kind.New(kind.Conflict, "the job belongs to another cell")
	}
	if d.isNew(spec.ID, ver) {
		d.addJob(spec, clock.Now())
		notify(d.placeNow)
	}
	return nil
}

// isNew reports whether a job was accepted after this owner read its jobs and is not in the cell.
// The lock is held.
func (d *Driver) isNew(id string, ver uint64) bool {
	return ver > d.scannedVer && ver > d.moved[id].ver && !d.cell.Known(id) && !d.badSpecs[id]
}

// addJob adds a job that no former owner can have started. The lock is held.
func (d *Driver) addJob(spec *flow.Spec, now time.Time) {
	if spec.Moves > 0 {
		level.Info(d.Log).Log("event", "job_moved_in", "job", spec.ID, "cell", d.Name, "epoch", d.Claim.Epoch(), "moves", spec.Moves)
		d.cell.MovedIn(spec, arrivedAt(spec, now), now)
		return
	}
	d.cell.Submit(spec, arrivedAt(spec, now), now)
	d.cell.JobStored(spec.ID)
}

// arrivedAt returns when a job was accepted, by this instance's monotonic clock.
func arrivedAt(spec *flow.Spec, now time.Time) time.Time {
	age := max(clock.Wall().UnixMilli()-spec.AcceptedMS, 0)
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// scan finds jobs that the store has accepted and of which this owner was not told.
func (d *Driver) scan() {
	ver, readAt := d.scannedVer, clock.Now()
	// Progress is kept after a failure: over a slow link the next full attempt would fail like the
	// last one.
	var progress loadProgress
	for d.ctx.Err() == nil {
		d.awaitScan()
		if d.isOutdated(readAt) {
			ver = 0
		}
		if ver == 0 {
			if d.isOutdated(progress.begun) {
				progress = loadProgress{begun: clock.Now()}
			}
			if err := d.readSpecs(d.ctx, &progress); err != nil {
				d.logScan(err)
				continue
			}
			d.addFound(progress.jobs())
			d.markJobsRead(progress.begun)
			ver, readAt, progress = progress.minVer(), progress.begun, loadProgress{}
			continue
		}
		begun := clock.Now()
		// Home rows take a tenth of the size of the jobs, most of which this owner already knows.
		page, err := d.Store.Feed(d.ctx, rows.FeedQuery{Table: TableHomes, Ver: ver})
		if err == nil && !page.HistoryTrimmed {
			err = d.readMissed(page.Rows)
		}
		switch {
		case err != nil:
			d.logScan(err)
		case page.HistoryTrimmed:
			ver = 0
		default:
			ver, readAt = max(ver, page.Ver), begun
			if len(page.Rows) < maxFeedRows {
				d.markJobsRead(begun)
			}
		}
	}
}

// awaitScan waits until the next search for jobs is due.
func (d *Driver) awaitScan() {
	d.sleep(minScanInterval)
	select {
	case <-d.scanNow:
	case <-time.After(scanInterval - minScanInterval):
	case <-d.ctx.Done():
	}
}

// markJobsRead notes that all jobs are known that the store had at the given time.
func (d *Driver) markJobsRead(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.JobsRead(at)
	notify(d.commitNow)
}

// readMissed reads the jobs of this cell that are in changed home rows but not known here.
func (d *Driver) readMissed(homes []rows.Row) error {
	for _, home := range homes {
		if home.Deleted || HomeWithdrawal(home.Value).Any() || !slices.Contains(HomeCells(home.Value), d.Name) || !d.isMissed(home.Name, home.Ver) {
			continue
		}
		page, err := d.Store.Get(d.ctx, rows.KeyRange(SpecKey(home.Name)))
		if err != nil {
			return err
		}
		// The specification of an ended job is gone.
		d.addFound(page.Rows)
	}
	return nil
}

// isMissed is isNew for callers that do not hold the lock.
func (d *Driver) isMissed(id string, ver uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isNew(id, ver)
}

// isOutdated reports whether jobs read at the given time may include some that have since ended and
// been forgotten: those would be taken for new.
func (d *Driver) isOutdated(read time.Time) bool { return clock.Since(read) > d.Retention/2 }

func (d *Driver) logScan(err error) {
	if d.ctx.Err() == nil {
		level.Info(d.Log).Log("event", "jobs_not_read", "cell", d.Name, "epoch", d.Claim.Epoch(), "err", err)
	}
}

// addFound adds the jobs among changed rows, in the order of the changes. A job whose row still
// exists has not ended, however long ago it was accepted.
func (d *Driver) addFound(all []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := make(map[string]uint64)
	for _, r := range all {
		if r.Deleted {
			gone[r.Name] = r.Ver
		}
	}
	now := clock.Now()
	for _, r := range all {
		if r.Deleted || gone[r.Name] > r.Ver || !d.isNew(r.Name, r.Ver) {
			continue
		}
		spec, err := flow.DecodeSpec(r.Value)
		if err != nil {
			level.Error(d.Log).Log("event", "bad_spec", "job", r.Name, "err", err)
			continue
		}
		if !d.runsTasksOf(spec) {
			continue
		}
		level.Info(d.Log).Log("event", "job_found", "job", r.Name, "version", r.Ver)
		d.addJob(spec, now)
	}
	notify(d.placeNow)
}
