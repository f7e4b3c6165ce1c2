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
	// loadPage is how many rows are read at once. All parts are read side by side,
	// as each answer of a slow store takes its time; what failed is read
	// loadAgain parts at a time, as an instance with a slow link has to have each
	// answer in time.
	loadPage  = 100
	loadAgain = 4
	// loadMost is how long an owner may take to read its jobs before another
	// instance should try.
	loadMost = 4 * time.Second
)

// reading is what was read so far of the jobs of a cell. A part that failed is
// read on from where it was, the others are not read again.
type reading struct {
	// begun is when the first of it was read; only scan sets it.
	begun      time.Time
	tries      int
	specs      [len(specParts)]rows.Reading
	records    rows.Reading
	workerList rows.Reading
}

// jobs returns the jobs of all parts.
func (r *reading) jobs() []rows.Row {
	var all []rows.Row
	for i := range r.specs {
		all = append(all, r.specs[i].Rows...)
	}
	return all
}

// ver returns a version that is not above that of any part of the jobs.
func (r *reading) ver() uint64 {
	var vers []uint64
	for i := range r.specs {
		vers = append(vers, r.specs[i].Ver)
	}
	return slices.Min(vers)
}

// readSpecs reads the jobs of all parts.
func (d *Driver) readSpecs(ctx context.Context, r *reading) error {
	reads, ctx := errgroup.WithContext(ctx)
	if r.tries++; r.tries > 1 {
		reads.SetLimit(loadAgain)
	}
	for i, name := range specParts {
		reads.Go(func() error {
			return r.specs[i].Read(ctx, d.Store, rows.Range{Table: TableSpecs, Part: string(name), Limit: loadPage})
		})
	}
	return reads.Wait()
}

// readRest reads what the cell's own part holds.
func (d *Driver) readRest(ctx context.Context, r *reading) error {
	reads, ctx := errgroup.WithContext(ctx)
	reads.Go(func() error {
		return r.records.Read(ctx, d.Store, rows.Range{Table: TableRecords, Part: d.Name, Limit: loadPage})
	})
	reads.Go(func() error { return r.workerList.Read(ctx, d.Store, d.workerListRange()) })
	return reads.Wait()
}

// load reads the jobs of the cell. It reports whether it did before the end.
func (d *Driver) load() bool {
	var r reading
	begun := clock.Now()
	for d.ctx.Err() == nil {
		err := d.readSpecs(d.ctx, &r)
		if err == nil {
			err = d.readRest(d.ctx, &r)
		}
		if err == nil {
			d.scanned = r.ver()
			d.restore(r.jobs(), r.records.Rows, r.records.Bad)
			d.Heard(d.Succeeded())
			d.restoreWorkerList(r.workerList.Rows)
			return true
		}
		level.Warn(d.Log).Log("event", "load_failed", "cell", d.Name, "epoch", d.Claim.Epoch(), "took_ms", clock.Since(begun).Milliseconds(), "err", err)
		if clock.Since(begun) > loadMost && d.Reachable() {
			go d.LoadTimedOut()
			return false
		}
		d.sleep(readRetry)
	}
	return false
}

func (d *Driver) restore(specs, records []rows.Row, bad []rows.Bad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	byID := make(map[string]*flow.Record, len(records))
	// What of a job was done is not known without its record. It is left alone, so that
	// nothing of it runs twice, until the row is put right.
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
		byID[r.Name] = rec
	}
	var jobs []*flow.Spec
	for _, r := range specs {
		spec, err := flow.DecodeSpec(r.Value)
		if err != nil {
			level.Error(d.Log).Log("event", "bad_spec", "job", r.Name, "err", err)
			continue
		}
		if d.runs(spec) && !unreadable[r.Name] {
			jobs = append(jobs, spec)
		}
	}
	// Which jobs are within the share of their client account goes by their order.
	slices.SortStableFunc(jobs, func(a, b *flow.Spec) int { return cmp.Compare(a.AcceptedMS, b.AcceptedMS) })
	for _, spec := range jobs {
		rec := byID[spec.ID]
		d.cell.Restore(spec, rec, arrivedAt(spec, now), now)
		if rec != nil && rec.State.Final() {
			level.Info(d.Log).Log("event", "end_inherited", "job", spec.ID, "epoch", d.Claim.Epoch(), "state", rec.State,
				"accepted_ms_ago", clock.Wall().UnixMilli()-spec.AcceptedMS)
		}
	}
	for id := range byID {
		// The job itself was removed when its end was archived.
		if !d.cell.Known(id) {
			d.stale = append(d.stale, id)
		}
	}
	d.loaded = true
	level.Info(d.Log).Log("event", "loaded", "cell", d.Name, "epoch", d.Claim.Epoch(), "jobs", len(specs))
}
