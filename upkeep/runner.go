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

// Table is the table of the records.
const Table = "upkeep"

// Answer is what the platform says to an order.
type Answer int

const (
	// Begun is for an upkeep that has begun now or before: the worker's life is over.
	Begun Answer = iota
	// Busy is for a machine that is not up.
	Busy
	// NotWanted is for a machine that is not of the wave, or not there.
	NotWanted
)

// Order asks for the upkeep of a machine, under a fence.
type Order struct {
	Machine string
	Wave    int
	Holder  string
	Fence   uint64
}

// Platform is what is asked of the users' platform. An error of Begin is of kind
// Fenced if a newer owner gave orders, and Lost if the order may be carried out.
type Platform interface {
	Waves(ctx context.Context) ([]Wave, error)
	Machines(ctx context.Context) ([]Machine, error)
	Begin(ctx context.Context, o Order) (Answer, error)
	Report(ctx context.Context, wave int, done bool) error
}

// Cell is what is asked of the cell that has the workers.
type Cell interface {
	// Empty has just these workers emptied, each for patience from its first call.
	Empty(workers []string, patience time.Duration)
	// Emptied reports whether a worker may go.
	Emptied(worker string) bool
	// Life returns when the last life that is known of a worker began, 0 if it does not say, and
	// whether that one is surely there now.
	Life(worker string) (born int64, sure bool)
	// Over says that a life of a worker has ended.
	Over(worker string, born int64)
}

// Runner carries out the waves for one cell. All fields must be set.
type Runner struct {
	Platform Platform
	Store    rows.Store
	Cell     Cell
	// Holder names this instance, and Fence is its cell's epoch.
	Holder string
	Fence  uint64
	// Mine reports whether the workers of a rack are of this cell.
	Mine func(rack string) bool
	Log  log.Logger
}

// Step does what can be done now. It is called again and again.
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
		r.Cell.Empty(nil, 0)
		return nil
	}
	all, err := r.Platform.Machines(ctx)
	if err != nil {
		return err
	}
	// One wave after another: a machine may be of several.
	return r.wave(ctx, &waves[0], index(all))
}

// page is a Record with the version at which it was read.
type page struct {
	Record
	ver uint64
}

func (r *Runner) wave(ctx context.Context, w *Wave, all list) error {
	p, err := r.read(ctx, w.Number)
	if err != nil {
		return err
	}
	if len(p.remaining(w, all)) == 0 {
		r.Cell.Empty(nil, 0)
		level.Info(r.Log).Log("event", "wave_done", "wave", w.Number, "machines", len(w.Machines))
		return r.Platform.Report(ctx, w.Number, true)
	}
	if p.ver == 0 {
		if err := r.Platform.Report(ctx, w.Number, false); err != nil {
			return err
		}
	}
	for _, name := range p.settled(all) {
		if err := r.write(ctx, w.Number, &p, name, &Slot{Begun: true}); err != nil {
			return err
		}
	}
	for _, name := range p.returned(all, r.Cell.Life) {
		e := p.Record[name]
		e.Back = true
		if err := r.write(ctx, w.Number, &p, name, &e); err != nil {
			return err
		}
	}
	next := p.next(w, all, r.Mine)
	r.Cell.Empty(workers(next), w.patience())
	for _, m := range next {
		if !r.Cell.Emptied(m.Worker) {
			continue
		}
		if err := r.begin(ctx, w, &p, m); err != nil {
			return err
		}
	}
	return nil
}

func workers(machines []Machine) []string {
	out := make([]string, len(machines))
	for i, m := range machines {
		out[i] = m.Worker
	}
	return out
}

// begin takes a slot for a machine and asks for its upkeep.
func (r *Runner) begin(ctx context.Context, w *Wave, p *page, m Machine) error {
	before, again := p.Record[m.Name]
	born, _ := r.Cell.Life(m.Worker)
	sameLife := !again || (before.Worker == m.Worker && before.Born == born)
	if err := r.write(ctx, w.Number, p, m.Name, &Slot{Worker: m.Worker, Born: born}); err != nil {
		return err
	}
	a, err := r.Platform.Begin(ctx, Order{Machine: m.Name, Wave: w.Number, Holder: r.Holder, Fence: r.Fence})
	level.Info(r.Log).Log("event", "upkeep", "wave", w.Number, "machine", m.Name, "worker", m.Worker, "fence", r.Fence, "answer", int(a), "err", err)
	switch {
	case err != nil:
		// The slot stays taken, and the order is given again.
		return err
	case a == Busy:
		return r.write(ctx, w.Number, p, m.Name, nil)
	case a == Begun && sameLife:
		r.Cell.Over(m.Worker, born)
	}
	return r.write(ctx, w.Number, p, m.Name, &Slot{Worker: m.Worker, Born: born, Begun: true, Unsure: !sameLife})
}

func key(wave int) rows.Key { return rows.Key{Table: Table, Name: strconv.Itoa(wave)} }

func (r *Runner) read(ctx context.Context, wave int) (page, error) {
	p := page{Record: make(Record)}
	got, err := r.Store.Get(ctx, rows.Only(key(wave)))
	if err != nil {
		return p, err
	}
	row := got.One()
	if row.Ver == 0 {
		return p, nil
	}
	if err := json.Unmarshal(row.Value, &p.Record); err != nil {
		return p, kind.Wrap(kind.Damaged, err, "record of a wave")
	}
	p.ver = row.Ver
	return p, nil
}

// write writes the record with a machine's entry, or without it if e is nil, on the
// condition that nobody else has written it since.
func (r *Runner) write(ctx context.Context, wave int, p *page, machine string, e *Slot) error {
	if e == nil {
		delete(p.Record, machine)
	} else {
		p.Record[machine] = *e
	}
	raw, err := json.Marshal(p.Record)
	if err != nil {
		return kind.Wrap(kind.Internal, err, "record of a wave")
	}
	k := key(wave)
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
