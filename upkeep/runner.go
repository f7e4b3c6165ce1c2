// SPDX-License-Identifier: Apache-2.0

package upkeep

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"dewpass.org/kind"
	"dewpass.org/rows"
)

// Table is the table that holds the records of the waves.
const Table = "upkeep"

// Answer is the platform's response to an Order.
type Answer int

const (
	// Begun says that the upkeep has begun, now or earlier: the incarnation of the worker has
	// ended.
	Begun Answer = iota
	// Busy says that the machine is not up.
	Busy
	// NotInWave says that the machine does not exist or does not belong to the wave.
	NotInWave
)

// Order asks for the upkeep of a machine, with a fencing token.
type Order struct {
	Machine string
	Wave    int
	Holder  string
	Fence   uint64
}

// Platform is the part of the users' platform that is used here. An error of Begin is of kind
// Fenced if a newer owner has given orders, and of kind Lost if the order may have been carried
// out.
type Platform interface {
	Waves(ctx context.Context) ([]Wave, error)
	Machines(ctx context.Context) ([]Machine, error)
	Begin(ctx context.Context, o Order) (Answer, error)
	Report(ctx context.Context, wave int, done bool) error
}

// Cell is the cell that owns the workers.
type Cell interface {
	// Evacuate has exactly these workers evacuated, each for at most limit from the first call
	// that names it.
	Evacuate(workers []string, limit time.Duration)
	// Evacuated reports whether a worker is evacuated and its machine may be taken down.
	Evacuated(worker string) bool
	// Incarnation returns the start time of the newest known incarnation of a worker, 0 if it is
	// unknown, and whether that incarnation is certainly present now.
	Incarnation(worker string) (born int64, sure bool)
	// IncarnationEnded tells the cell that an incarnation of a worker has ended.
	IncarnationEnded(worker string, born int64)
}

// Runner carries out the waves for one cell. All fields must be set.
type Runner struct {
	Platform Platform
	Store    rows.Store
	Cell     Cell
	// Holder is the id of this instance, and Fence the epoch of its cell.
	Holder string
	Fence  uint64
	// OwnsRack reports whether the workers of a rack belong to this cell.
	OwnsRack func(rack string) bool
	Log      log.Logger
}

// Step does what can be done now. It must be called periodically.
func (r *Runner) Step(ctx context.Context) error {
	waves, err := r.Platform.Waves(ctx)
	if err != nil {
		return err
	}
	waves = slices.DeleteFunc(waves, func(w Wave) bool {
		if w.Bad != "" {
			level.Warn(r.Log).Log("event", "bad_wave", "why", w.Bad)
		}
		return w.Bad != "" || w.Done
	})
	if len(waves) == 0 {
		r.Cell.Evacuate(nil, 0)
		return nil
	}
	all, err := r.Platform.Machines(ctx)
	if err != nil {
		return err
	}
	// Waves are carried out one after another, because a machine may be part of several.
	return r.runWave(ctx, &waves[0], indexByName(all))
}

// versionedRecord is a Record with the version of its row.
type versionedRecord struct {
	Record
	ver uint64
}

func (r *Runner) runWave(ctx context.Context, w *Wave, all machinesByName) error {
	p, err := r.readRecord(ctx, w.Number)
	if err != nil {
		return err
	}
	if len(p.remaining(w, all)) == 0 {
		r.Cell.Evacuate(nil, 0)
		level.Info(r.Log).Log("event", "wave_done", "wave", w.Number, "machines", len(w.Machines))
		return r.Platform.Report(ctx, w.Number, true)
	}
	if p.ver == 0 {
		if err := r.Platform.Report(ctx, w.Number, false); err != nil {
			return err
		}
	}
	for _, name := range p.confirmedDone(all) {
		if err := r.writeRecord(ctx, w.Number, &p, name, &Slot{Begun: true}); err != nil {
			return err
		}
	}
	for _, name := range p.returned(all, r.Cell.Incarnation) {
		slot := p.Record[name]
		slot.Returned = true
		if err := r.writeRecord(ctx, w.Number, &p, name, &slot); err != nil {
			return err
		}
	}
	next := p.nextToEvacuate(w, all, r.OwnsRack)
	r.Cell.Evacuate(workerIDs(next), w.evacuationTime())
	for _, m := range next {
		if !r.Cell.Evacuated(m.Worker) {
			continue
		}
		if err := r.beginUpkeep(ctx, w, &p, m); err != nil {
			return err
		}
	}
	return nil
}

func workerIDs(machines []Machine) []string {
	out := make([]string, len(machines))
	for i, m := range machines {
		out[i] = m.Worker
	}
	return out
}

// beginUpkeep takes a slot for a machine and orders its upkeep.
func (r *Runner) beginUpkeep(ctx context.Context, w *Wave, p *versionedRecord, m Machine) error {
	born, _ := r.Cell.Incarnation(m.Worker)
	present := Slot{Worker: m.Worker, Born: born}
	// Any earlier order may have begun the upkeep, so the slot keeps the incarnation that the first
	// one found.
	slot, repeated := p.Record[m.Name]
	if !repeated {
		slot = present
	}
	sameIncarnation := slot == present
	if err := r.writeRecord(ctx, w.Number, p, m.Name, &slot); err != nil {
		return err
	}
	if !r.Cell.Evacuated(m.Worker) {
		// The write may have taken long, or this process was paused: another owner may have the cell by
		// now, and have ordered. The slot stays taken, so whoever has the cell orders in a next step.
		return kind.New(kind.Unavailable, "no orders may be given since the record of the wave was written")
	}
	a, err := r.Platform.Begin(ctx, Order{Machine: m.Name, Wave: w.Number, Holder: r.Holder, Fence: r.Fence})
	level.Info(r.Log).Log("event", "upkeep", "wave", w.Number, "machine", m.Name, "worker", m.Worker, "fence", r.Fence, "answer", int(a), "err", err)
	switch {
	case err != nil:
		// The slot stays taken, and the next step repeats the order.
		return err
	case a == Busy && repeated:
		// An earlier order may have begun the upkeep since the machines were listed. The slot stays
		// taken until the machine is up again or gone.
		return nil
	case a == Busy:
		return r.writeRecord(ctx, w.Number, p, m.Name, nil)
	case a == Begun && sameIncarnation:
		r.Cell.IncarnationEnded(m.Worker, born)
	}
	return r.writeRecord(ctx, w.Number, p, m.Name, &Slot{Worker: m.Worker, Born: born, Begun: true, Unconfirmed: !sameIncarnation})
}

func recordKey(wave int) rows.Key { return rows.Key{Table: Table, Name: strconv.Itoa(wave)} }

func (r *Runner) readRecord(ctx context.Context, wave int) (versionedRecord, error) {
	p := versionedRecord{Record: make(Record)}
	got, err := r.Store.Get(ctx, rows.KeyRange(recordKey(wave)))
	if err != nil {
		return p, err
	}
	row := got.First()
	if row.Ver == 0 {
		return p, nil
	}
	if err := json.Unmarshal(row.Value, &p.Record); err != nil {
		return p, kind.Wrap(kind.Damaged, err, "decode record of a wave")
	}
	p.ver = row.Ver
	return p, nil
}

// writeRecord writes the record with the given slot of a machine, or without it if e is nil, on
// condition that the row has not changed since it was read.
func (r *Runner) writeRecord(ctx context.Context, wave int, p *versionedRecord, machine string, slot *Slot) error {
	if slot == nil {
		delete(p.Record, machine)
	} else {
		p.Record[machine] = *slot
	}
	raw, err := json.Marshal(p.Record)
	if err != nil {
		return kind.Wrap(kind.Internal, err, "encode record of a wave")
	}
	k := recordKey(wave)
	res, err := r.Store.Tx(ctx, rows.Tx{Expect: []rows.Check{{Key: k, Ver: p.ver}}, Put: []rows.Row{{Key: k, Value: raw}}})
	switch {
	case err != nil:
		return err
	case res.Refused:
		return kind.New(kind.Conflict, "another owner has written the record of the wave")
	}
	p.ver = res.Ver
	return nil
}
