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

// The tables of jobs. Specs and records are in the part of their cell, homes in
// one of a few parts that all cells share: a home row makes an id unique.
const (
	TableSpecs   = "jobs"
	TableRecords = "progress"
	TableHomes   = "homes"
)

const (
	// commitGap spaces group commits, so that each carries what came meanwhile.
	commitGap = 30 * time.Millisecond
	// submitsAtOnce and savesAtOnce bound a group commit. Each submit has three
	// entries.
	submitsAtOnce  = 16
	savesAtOnce    = 44
	removalsAtOnce = 24
	// renewEvery is how long the seat may go without being written.
	renewEvery = 400 * time.Millisecond
	// rosterName is the row that lists a cell's workers beside its seat.
	rosterName = "workers"
)

func specKey(cell, id string) rows.Key   { return rows.Key{Table: TableSpecs, Part: cell, Name: id} }
func recordKey(cell, id string) rows.Key { return RecordKey(cell, id) }
func homeKey(id string) rows.Key         { return HomeKey(id) }

// RecordKey returns the key of the record of a job.
func RecordKey(cell, id string) rows.Key { return rows.Key{Table: TableRecords, Part: cell, Name: id} }

// HomeKey returns the key of the row that says which cell has a job.
func HomeKey(id string) rows.Key {
	return rows.Key{Table: TableHomes, Part: id[:min(1, len(id))], Name: id}
}

// submit is a job that waits for the store.
type submit struct {
	spec *flow.Spec
	sent bool
	done chan error
}

// Submit keeps a job and returns once it is kept. It returns nil also if the
// job was kept before, here or in another cell. Errors are of kind Unavailable
// (not taken, and never runs) or Lost.
func (d *Driver) Submit(ctx context.Context, spec *flow.Spec) error {
	s := &submit{spec: spec, done: make(chan error, 1)}
	if err, over := d.enqueue(s); over {
		return err
	}
	poke(d.write)
	poke(d.wake)
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return d.withdraw(s)
}

func (d *Driver) enqueue(s *submit) (error, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.frozen || !d.Reachable() {
		return kind.New(kind.Unavailable, "the cell's owner takes no jobs now").After(time.Second), true
	}
	if d.cell.Known(s.spec.ID) {
		if _, kept := d.cell.State(s.spec.ID); kept {
			return nil, true
		}
		// The same job is being written; its other copy will be answered.
		return kind.New(kind.Lost, "the same job is being written").Uncertain(s.spec.ID), true
	}
	d.cell.Submit(s.spec, time.Now())
	d.submits = append(d.submits, s)
	return nil, false
}

// withdraw takes a job back that has not been sent to the store.
func (d *Driver) withdraw(s *submit) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case err := <-s.done:
		return err
	default:
	}
	if s.sent {
		return kind.New(kind.Lost, "the store has not answered").Uncertain(s.spec.ID)
	}
	d.submits = slices.DeleteFunc(d.submits, func(o *submit) bool { return o == s })
	d.cell.Drop(s.spec.ID)
	return kind.New(kind.Unavailable, "the store does not answer").After(time.Second)
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
	group := d.submits[:min(len(d.submits), submitsAtOnce)]
	group = slices.Clone(group)
	d.submits = slices.Clone(d.submits[len(group):])
	for _, s := range group {
		s.sent = true
	}
	saves := d.cell.Saves(savesAtOnce)
	removals := d.removals[:min(len(d.removals), removalsAtOnce)]
	d.removals = d.removals[len(removals):]
	if len(group)+len(saves)+len(removals) == 0 && !renew {
		d.cell.Saved(nil, true)
		d.announce()
		d.mu.Unlock()
		return false
	}
	var t rows.Tx
	for _, s := range saves {
		t.Put = append(t.Put, rows.Row{Key: recordKey(d.Name, s.ID), Value: flow.Encode(s.Record)})
	}
	t.Remove = removals
	roster := d.rosterChanged
	if roster {
		t.Put = append(t.Put, rows.Row{Key: d.rosterKey(), Value: flow.Encode(d.roster())})
		d.rosterChanged = false
	}
	d.mu.Unlock()
	err := d.commitGroup(t, group)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.Saved(saves, err == nil)
	if err != nil {
		d.removals = append(d.removals, removals...)
		d.rosterChanged = d.rosterChanged || roster
		return false
	}
	d.announce()
	if len(d.submits) > 0 || d.cell.Dirty() {
		poke(d.write)
	}
	return true
}

// announce tells those who wait that something was kept. The lock is held.
func (d *Driver) announce() {
	close(d.kept)
	d.kept = make(chan struct{})
}

// commitGroup writes t with the submits, leaving out those that are kept in
// some cell already.
func (d *Driver) commitGroup(t rows.Tx, group []*submit) error {
	for {
		tx := t
		tx.Put, tx.Expect = slices.Clone(t.Put), nil
		for _, s := range group {
			tx.Expect = append(tx.Expect, rows.Expect{Key: homeKey(s.spec.ID)})
			tx.Put = append(tx.Put,
				rows.Row{Key: homeKey(s.spec.ID), Value: []byte(d.Name)},
				rows.Row{Key: specKey(d.Name, s.spec.ID), Value: flow.Encode(s.spec)})
		}
		tx.Across = len(group) > 0 || len(t.Remove) > 0
		res, err := d.Seat.Commit(d.ctx, tx)
		switch {
		case err == nil:
			d.finishSubmits(group, nil)
			return nil
		case kind.Is(err, kind.Conflict) && len(group) > 0:
			group = d.known(group, res.Rows)
		case kind.Is(err, kind.Fenced):
			d.lost("the seat's row has another owner")
			d.finishSubmits(group, kind.New(kind.Lost, "another instance owns the cell now"))
			return err
		default:
			d.finishSubmits(group, kind.New(kind.Lost, "the store has not answered"))
			return err
		}
	}
}

// known answers the submits that are kept already and returns the others.
func (d *Driver) known(group []*submit, there []rows.Row) []*submit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(group, func(s *submit) bool {
		for _, row := range there {
			if row.Key == homeKey(s.spec.ID) && row.Ver > 0 {
				d.cell.Drop(s.spec.ID)
				s.done <- nil
				return true
			}
		}
		return false
	})
}

func (d *Driver) finishSubmits(group []*submit, err error) {
	d.mu.Lock()
	for _, s := range group {
		if err == nil {
			d.cell.Keep(s.spec.ID)
		}
		s.done <- err
	}
	d.mu.Unlock()
	if len(group) > 0 {
		poke(d.wake)
	}
}

// load reads the jobs of the cell. It reports whether it did before the end.
func (d *Driver) load() bool {
	for d.ctx.Err() == nil {
		var specs, records []rows.Row
		var roster rows.Page
		reads, ctx := errgroup.WithContext(d.ctx)
		reads.Go(func() (err error) {
			specs, _, err = rows.All(ctx, d.Store, rows.Range{Table: TableSpecs, Part: d.Name})
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
		age := max(now.UnixMilli()-spec.AcceptedMS, 0)
		d.cell.Restore(spec, byID[r.Name], now.Add(-time.Duration(age)*time.Millisecond))
	}
	d.loaded = true
	level.Info(d.Log).Log("event", "loaded", "cell", d.Name, "epoch", d.Seat.Epoch(), "jobs", len(specs))
}
