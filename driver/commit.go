// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// The tables of jobs. The record of a job is in the part of its cell, which the
// cell's owner alone writes. A job itself and its home, which makes its id
// unique and says which cell has it, are in a part by the id, so that jobs that
// come at the same time do not wait for each other at the store.
const (
	TableSpecs   = "jobs"
	TableRecords = "progress"
	TableHomes   = "homes"
)

// specParts are the parts of jobs: the first digit of their ids.
const specParts = "0123456789abcdef"

func partOf(id string) string { return id[:min(1, len(id))] }

// SpecKey returns the key of a job.
func SpecKey(id string) rows.Key { return rows.Key{Table: TableSpecs, Part: partOf(id), Name: id} }

// HomeKey returns the key of the row that says which cell has a job.
func HomeKey(id string) rows.Key { return rows.Key{Table: TableHomes, Part: partOf(id), Name: id} }

// RecordKey returns the key of the record of a job.
func RecordKey(cell, id string) rows.Key {
	return rows.Key{Table: TableRecords, Part: cell, Name: id}
}

const (
	// commitGap spaces group commits, so that each carries what came meanwhile.
	commitGap = 18 * time.Millisecond
	// savesAtOnce and removalsAtOnce bound a group commit.
	savesAtOnce    = 64
	removalsAtOnce = 30
	// scanEvery spaces the looks for jobs that nobody told this owner of.
	scanEvery = 1200 * time.Millisecond
	// renewEvery is how long the seat may go without being written.
	renewEvery = 400 * time.Millisecond
	// rosterName is the row that lists a cell's workers beside its seat.
	rosterName = "workers"
)

// Adopt takes in a job that the store has just taken for this cell. Its error is
// of kind Unavailable if the cell is not read yet.
func (d *Driver) Adopt(spec *flow.Spec) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.frozen {
		return kind.New(kind.Unavailable, "the cell is not read yet")
	}
	d.adopt(spec, time.Now())
	poke(d.wake)
	return nil
}

// adopt adds a job that no former owner can have started. The lock is held.
func (d *Driver) adopt(spec *flow.Spec, now time.Time) {
	d.cell.Submit(spec, arrivedAt(spec, now))
	d.cell.Keep(spec.ID)
}

// arrivedAt returns when a job was accepted, by this instance's steady clock.
func arrivedAt(spec *flow.Spec, now time.Time) time.Time {
	age := max(now.UnixMilli()-spec.AcceptedMS, 0)
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// scan finds jobs that the store has taken and that nobody told this owner of.
func (d *Driver) scan() {
	var ver uint64
	for d.ctx.Err() == nil {
		d.sleep(scanEvery)
		if ver == 0 {
			ver = d.scanAll()
			continue
		}
		page, err := d.Store.Feed(d.ctx, rows.Since{Table: TableSpecs, Ver: ver})
		switch {
		case err != nil:
		case page.Forgotten:
			ver = 0
		default:
			ver = max(ver, page.Ver)
			d.found(page.Rows)
		}
	}
}

// scanAll reads all jobs, and returns the version of the store.
func (d *Driver) scanAll() uint64 {
	all, ver, err := d.readSpecs(d.ctx)
	if err != nil {
		return 0
	}
	d.found(all)
	return ver
}

// readSpecs reads the jobs of all parts at once. The version is of before.
func (d *Driver) readSpecs(ctx context.Context) ([]rows.Row, uint64, error) {
	parts := make([][]rows.Row, len(specParts))
	vers := make([]uint64, len(specParts))
	reads, ctx := errgroup.WithContext(ctx)
	for i, part := range specParts {
		reads.Go(func() (err error) {
			parts[i], vers[i], err = rows.All(ctx, d.Store, rows.Range{Table: TableSpecs, Part: string(part)})
			return err
		})
	}
	err := reads.Wait()
	return slices.Concat(parts...), slices.Min(vers), err
}

func (d *Driver) found(all []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, r := range all {
		if r.Gone || d.cell.Known(r.Name) {
			continue
		}
		spec, err := flow.DecodeSpec(r.Value)
		if err != nil || spec.Cell != d.Name || now.Sub(arrivedAt(spec, now)) > d.Keep {
			continue
		}
		level.Info(d.Log).Log("event", "job_found", "job", r.Name, "version", r.Ver)
		d.adopt(spec, now)
	}
	poke(d.wake)
}

// commitLoop writes what is to be kept, in groups.
func (d *Driver) commitLoop() {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		renew := false
		select {
		case <-d.write:
		case <-tick.C:
			renew = true
		case <-d.ctx.Done():
			return
		}
		if d.commitOnce(renew) {
			tick.Reset(renewEvery)
		}
		d.sleep(commitGap)
	}
}

// commitOnce writes one group, and reports whether it did.
func (d *Driver) commitOnce(renew bool) bool {
	d.mu.Lock()
	saves := d.cell.Saves(savesAtOnce)
	removals := d.removals[:min(len(d.removals), removalsAtOnce)]
	d.removals = d.removals[len(removals):]
	roster := d.rosterChanged
	if len(saves)+len(removals) == 0 && !roster && !renew {
		d.cell.Saved(nil, true)
		d.announce()
		d.mu.Unlock()
		return false
	}
	begun := time.Now()
	// Stages open without the store only once the seat says so, and only until
	// it is about to say otherwise.
	loose := d.wantsLoose()
	d.isLoose = d.isLoose && loose
	d.Seat.Loose = loose
	t := rows.Tx{Remove: removals, Across: len(removals) > 0}
	for _, s := range saves {
		t.Put = append(t.Put, rows.Row{Key: RecordKey(d.Name, s.ID), Value: flow.Encode(s.Record)})
	}
	if roster {
		t.Put = append(t.Put, rows.Row{Key: d.rosterKey(), Value: flow.Encode(d.roster())})
		d.rosterChanged = false
	}
	d.mu.Unlock()
	_, err := d.Seat.Commit(d.ctx, t)
	if kind.Is(err, kind.Fenced) {
		d.lost("the seat's row has another owner")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.took = time.Since(begun)
	d.Scope.Histogram("write_seconds", latency).RecordDuration(d.took)
	d.Scope.Counter("write_rows_total").Inc(int64(len(t.Put)))
	d.isLoose = loose && err == nil
	d.cell.Saved(saves, err == nil)
	poke(d.wake)
	if err != nil {
		d.removals = append(d.removals, removals...)
		d.rosterChanged = d.rosterChanged || roster
		return false
	}
	d.announce()
	d.logEnded(saves)
	if d.cell.Dirty() {
		poke(d.write)
	}
	return true
}

// logEnded logs the jobs that are over and kept: the last word on each.
func (d *Driver) logEnded(saves []cell.Save) {
	for _, s := range saves {
		if s.Record.State.Final() {
			level.Info(d.Log).Log("event", "job_ended", "job", s.ID, "state", s.Record.State, "epoch", d.Seat.Epoch(),
				"began_ms", s.Story.Began.Milliseconds(), "took_ms", s.Story.Took.Milliseconds(),
				"runs", s.Story.Runs, "failed", s.Story.Failed, "lost", s.Story.Lost, "last", true)
		}
	}
}

// announce tells those who wait that something was kept. The lock is held.
func (d *Driver) announce() {
	close(d.kept)
	d.kept = make(chan struct{})
}

// load reads the jobs of the cell. It reports whether it did before the end.
func (d *Driver) load() bool {
	for d.ctx.Err() == nil {
		var specs, records []rows.Row
		var roster rows.Page
		reads, ctx := errgroup.WithContext(d.ctx)
		reads.Go(func() (err error) {
			specs, _, err = d.readSpecs(ctx)
			return err
		})
		reads.Go(func() (err error) {
			records, _, err = rows.All(ctx, d.Store, rows.Range{Table: TableRecords, Part: d.Name})
			return err
		})
		reads.Go(func() (err error) {
			roster, err = d.Store.Get(ctx, rows.Only(d.rosterKey()))
			return err
		})
		err := reads.Wait()
		if err == nil {
			d.restore(specs, records)
			d.restoreRoster(roster.One().Value)
			return true
		}
		level.Warn(d.Log).Log("event", "load_failed", "cell", d.Name, "err", err)
		d.sleep(readRetry)
	}
	return false
}

// rosterEntry is a worker in the roster. The directory forgets workers that
// cannot reach the store, and they may still run what a former owner started.
type rosterEntry struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

func (d *Driver) rosterKey() rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: rosterName}
}

// roster returns the workers that may run something. The lock is held.
func (d *Driver) roster() []rosterEntry {
	out := make([]rosterEntry, 0, len(d.links))
	for _, l := range d.links {
		out = append(out, rosterEntry{ID: l.id, Addr: l.addr})
	}
	slices.SortFunc(out, func(a, b rosterEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (d *Driver) restoreRoster(raw []byte) {
	var all []rosterEntry
	if len(raw) == 0 || json.Unmarshal(raw, &all) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, e := range all {
		if d.links[e.ID] == nil {
			d.cell.Heard(cell.Worker{ID: e.ID, Addr: e.Addr, Gone: true}, now)
			d.connect(e.ID, e.Addr)
			d.links[e.ID].missing = now
		}
	}
}

func (d *Driver) restore(specs, records []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	byID := make(map[string]*flow.Record, len(records))
	for _, r := range records {
		rec, err := flow.DecodeRecord(r.Value)
		if err != nil {
			level.Error(d.Log).Log("event", "bad_record", "job", r.Name, "err", err)
			continue
		}
		byID[r.Name] = rec
	}
	for _, r := range specs {
		spec, err := flow.DecodeSpec(r.Value)
		if err != nil {
			level.Error(d.Log).Log("event", "bad_spec", "job", r.Name, "err", err)
			continue
		}
		if spec.Cell != d.Name {
			continue
		}
		d.cell.Restore(spec, byID[r.Name], arrivedAt(spec, now))
	}
	d.loaded = true
	level.Info(d.Log).Log("event", "loaded", "cell", d.Name, "epoch", d.Seat.Epoch(), "jobs", len(specs))
}
