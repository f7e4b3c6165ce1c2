// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

const (
	// rowsPerPage is the number of rows per read. All parts are read concurrently because a slow
	// store takes long for each answer. After a failure, retryParallelism limits the concurrent
	// reads, because an instance with a slow link must get each answer in time.
	rowsPerPage      = 100
	retryParallelism = 4
	// loadTimeout is how long an owner may take to read its jobs before another instance should
	// try.
	loadTimeout = 4 * time.Second
)

// loadProgress holds the rows of a cell's jobs that have been read so far. After a failure, a part
// is read on from where it stopped, and completed parts are not read again.
type loadProgress struct {
	// begun is when the first row was read. Only scan sets it.
	begun      time.Time
	attempts   int
	specs      [len(specParts)]rows.RangeReader
	records    rows.RangeReader
	workerList rows.RangeReader
	lost       rows.RangeReader
	leaseEnds  rows.RangeReader
	quotas     rows.RangeReader
}

// jobs returns the specifications of all parts.
func (r *loadProgress) jobs() []rows.Row {
	var all []rows.Row
	for i := range r.specs {
		all = append(all, r.specs[i].Rows...)
	}
	return all
}

// undecodedSpecs returns the names of the specifications whose rows could not be decoded. One of them is
// empty if there is such a row without a readable name.
func (r *loadProgress) undecodedSpecs() map[string]bool {
	bad := make(map[string]bool)
	for i := range r.specs {
		for _, b := range r.specs[i].BadRows {
			bad[b.Name] = true
		}
	}
	return bad
}

// minVer returns the lowest version at which any part was read.
func (r *loadProgress) minVer() uint64 {
	var vers []uint64
	for i := range r.specs {
		vers = append(vers, r.specs[i].Ver)
	}
	return slices.Min(vers)
}

// readSpecs reads the job specifications of all parts.
func (d *Driver) readSpecs(ctx context.Context, r *loadProgress) error {
	reads, ctx := errgroup.WithContext(ctx)
	if r.attempts++; r.attempts > 1 {
		reads.SetLimit(retryParallelism)
	}
	for i, name := range specParts {
		reads.Go(func() error {
			return r.specs[i].Read(ctx, d.Store, rows.Range{Table: TableSpecs, Part: string(name), Limit: rowsPerPage})
		})
	}
	return reads.Wait()
}

// readCellPart reads the cell's own part: the records and the worker list.
func (d *Driver) readCellPart(ctx context.Context, r *loadProgress) error {
	reads, ctx := errgroup.WithContext(ctx)
	reads.Go(func() error {
		return r.records.Read(ctx, d.Store, rows.Range{Table: TableRecords, Part: d.Name, Limit: rowsPerPage})
	})
	reads.Go(func() error { return r.workerList.Read(ctx, d.Store, d.workerListRange()) })
	reads.Go(func() error { return r.lost.Read(ctx, d.Store, rows.KeyRange(d.lostWorkersKey())) })
	reads.Go(func() error { return d.readCordons(ctx) })
	if d.Elsewhere != nil {
		reads.Go(func() error { return r.quotas.Read(ctx, d.Store, d.quotaRange()) })
	}
	reads.Go(func() error { return r.leaseEnds.Read(ctx, d.Store, rows.KeyRange(d.leaseEndsKey())) })
	return reads.Wait()
}

// load reads the jobs of the cell, and reports whether it succeeded before the driver was closed or
// loadTimeout passed.
func (d *Driver) load() bool {
	var r loadProgress
	begun := clock.Now()
	for d.ctx.Err() == nil {
		err := d.readSpecs(d.ctx, &r)
		if err == nil {
			err = d.readCellPart(d.ctx, &r)
		}
		if err == nil {
			d.scannedVer = r.minVer()
			d.restore(&r)
			return true
		}
		level.Warn(d.Log).Log("event", "load_failed", "cell", d.Name, "epoch", d.Claim.Epoch(), "took_ms", clock.Since(begun).Milliseconds(), "err", err)
		if clock.Since(begun) > loadTimeout && d.StoreReachable() {
			go d.OnLoadTimeout()
			return false
		}
		d.sleep(readRetryDelay)
	}
	return false
}

// restore applies what was read. The records name runs on the workers of the worker list, so that
// comes first.
func (d *Driver) restore(r *loadProgress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restoreWorkerList(r.workerList.Rows)
	d.restoreLostWorkers(r.lost.Rows)
	d.restoreLeaseEnds(r.leaseEnds.Rows)
	d.restoreQuotas(&r.quotas)
	d.badSpecs = r.undecodedSpecs()
	d.restoreJobs(r.jobs(), r.records.Rows, r.records.BadRows)
}

// restoreJobs restores the jobs of the cell. The lock is held.
func (d *Driver) restoreJobs(specs, records []rows.Row, bad []rows.BadRow) {
	now := clock.Now()
	byID := make(map[string]*flow.Record, len(records))
	versions := make(map[string]uint64, len(records))
	// Without its record, what a job has done is unknown. Such a job is not run, so that nothing
	// runs twice, until the row is repaired.
	unreadable := make(map[string]bool)
	for _, b := range bad {
		unreadable[b.Name] = true
		level.Error(d.Log).Log("event", "bad_record", "job", b.Name, "err", b.Reason)
	}
	for _, r := range records {
		rec, err := flow.DecodeRecord(r.Value)
		if err != nil {
			unreadable[r.Name] = true
			level.Error(d.Log).Log("event", "bad_record", "job", r.Name, "err", err)
			continue
		}
		byID[r.Name], versions[r.Name] = rec, r.Ver
	}
	var jobs []*flow.Spec
	for _, r := range specs {
		spec, err := flow.DecodeSpec(r.Value)
		if err != nil {
			level.Error(d.Log).Log("event", "bad_spec", "job", r.Name, "err", err)
			d.badSpecs[r.Name] = true
			continue
		}
		if d.runsTasksOf(spec) && !unreadable[r.Name] {
			jobs = append(jobs, spec)
		}
	}
	// The order of jobs decides which are within the share of their client account.
	slices.SortStableFunc(jobs, func(a, b *flow.Spec) int { return cmp.Compare(a.AcceptedMS, b.AcceptedMS) })
	for _, spec := range jobs {
		rec := progressOf(spec, byID[spec.ID])
		d.cell.Restore(spec, rec, arrivedAt(spec, now), now)
		d.logRestored(spec.ID, rec, versions[spec.ID])
		if rec != nil && rec.State.Final() {
			level.Info(d.Log).Log("event", "end_inherited", "job", spec.ID, "epoch", d.Claim.Epoch(), "state", rec.State,
				"accepted_ms_ago", clock.Wall().UnixMilli()-spec.AcceptedMS)
		}
	}
	for id := range byID {
		switch {
		case d.cell.Known(id):
		case d.badSpecs[id] || d.badSpecs[""]:
			d.badSpecs[id] = true
		default:
			// The specification was removed when the job's end was archived.
			d.staleRecords = append(d.staleRecords, id)
		}
	}
	d.loaded = true
	level.Info(d.Log).Log("event", "loaded", "cell", d.Name, "epoch", d.Claim.Epoch(), "jobs", len(specs))
}
