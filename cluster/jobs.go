// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

const (
	askTime    = 700 * time.Millisecond
	cancelTime = 2500 * time.Millisecond
	// window is the length of the time in which the work that waits should find
	// room, for comparing halls.
	window = 2 * time.Second
)

// homes remembers which cells run the jobs that were seen here, the job's own first.
type homes struct {
	mu   sync.Mutex
	now  map[string][]string
	last map[string][]string
}

const homesMost = 20_000

func (h *homes) set(id string, cells []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now == nil || len(h.now) >= homesMost {
		h.now, h.last = make(map[string][]string), h.now
	}
	h.now[id] = cells
}

func (h *homes) drop(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.now, id)
	delete(h.last, id)
}

// get returns the cells of a job, nil if they are not known.
func (h *homes) get(id string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cells := h.now[id]; len(cells) > 0 {
		return cells
	}
	return h.last[id]
}

// place is a cell that may take a job.
type place struct {
	cell string
	// addr is empty for an own cell.
	addr string
	name string
	load float64
}

// places returns the cells that may take a job, the best first.
func (n *Instance) places(spec *flow.Spec) []place {
	var out []place
	own := n.owned()
	for name, c := range own {
		if !c.driver.Ready() {
			continue
		}
		l := c.driver.Load()
		out = append(out, place{cell: name, load: loadOf(l.Room[sched.Milli], l.Free[sched.Milli], l.Waiting) - n.near(spec, name)})
	}
	for _, o := range n.members.cells(clock.Now()) {
		if !o.cell.Ready || own[o.cell.Name] != nil {
			continue
		}
		out = append(out, place{
			cell: o.cell.Name, addr: o.addr, name: o.name,
			load: loadOf(o.cell.Room, o.cell.Free, o.cell.Waiting+o.work) - n.near(spec, o.cell.Name),
		})
	}
	slices.SortStableFunc(out, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.cell, b.cell))
	})
	return out
}

const nearGain = 0.5

// loadOf says how full a cell is: the part of its room that is in use, and the
// work that waits against what it does in a window.
func loadOf(room, free, waiting int64) float64 {
	if room <= 0 {
		return fullLoad
	}
	used := float64(room-free) / float64(room)
	return used + float64(waiting)/(float64(room)/1000*float64(window.Milliseconds()))
}

// near returns what it is worth that the racks of a job's data are in a cell.
func (n *Instance) near(spec *flow.Spec, cell string) float64 {
	gain := 0.0
	for i := range spec.Steps {
		if rack := spec.Steps[i].Near; rack != "" && n.division.draw(rack) == cell {
			gain += nearGain / float64(len(spec.Steps))
		}
	}
	return gain
}

const fullLoad = 1e9

// State returns the state of a job. Its error is of kind NotFound if there is
// no such job.
func (n *Instance) State(ctx context.Context, id string) (flow.State, error) {
	for name, c := range n.owned() {
		if s, ok := c.driver.State(id); ok {
			if !mayUse(ctx, c.driver, id) {
				return "", kind.New(kind.NotFound, "no job has this id")
			}
			return n.begun(ctx, id, s, name, c.driver.Cells(id)), nil
		}
	}
	// The owner is asked first: it knows the job unless it is long over.
	likely := n.likelyHome(id)
	if likely != "" {
		if s, err := n.askOwner(ctx, likely, id, false); err == nil {
			return n.begun(ctx, id, s, likely, n.homes.get(id)), nil
		} else if kind.Is(err, kind.Unauthorized) {
			return "", kind.New(kind.NotFound, "no job has this id")
		}
	}
	if n.ends.has(id) {
		// Its owner has said so, and is not heard now.
		return flow.Succeeded, nil
	}
	remembered := n.homes.get(id) != nil
	cells, err := n.home(ctx, id)
	if err != nil {
		return "", err
	}
	cell := cells[0]
	if cell != likely && n.own(cell) == nil {
		if s, err := n.askOwner(ctx, cell, id, false); err == nil {
			return s, nil
		} else if kind.Is(err, kind.Unauthorized) {
			return "", kind.New(kind.NotFound, "no job has this id")
		}
	}
	state, err := n.stored(ctx, cell, id)
	if err == nil && state == flow.Pending && remembered {
		// A job that was forgotten has neither a record nor an end, like one that
		// has not begun: only its home tells them apart.
		_, err = n.readHome(ctx, id)
	}
	return state, err
}

// begun returns the state of a job by that which one of its cells tells: it runs if any says so.
func (n *Instance) begun(ctx context.Context, id string, told flow.State, by string, cells []string) flow.State {
	for _, cell := range cells {
		if told != flow.Pending {
			break
		}
		if cell == by {
			continue
		}
		if d := n.own(cell); d != nil {
			if s, known := d.State(id); known && s == flow.Running {
				return s
			}
			continue
		}
		if s, err := n.askOwner(ctx, cell, id, false); err == nil && s == flow.Running {
			return s
		}
	}
	return told
}

// likelyHome returns the cell of another owner that has a job if it is there at all:
// the one that was seen to have it, or the only one. It is "" if that is not known.
func (n *Instance) likelyHome(id string) string {
	cell := ""
	if cells := n.homes.get(id); len(cells) > 0 {
		cell = cells[0]
	} else if names := n.division.cells(); len(names) == 1 {
		cell = names[0]
	}
	if n.own(cell) != nil {
		return ""
	}
	return cell
}

// home returns the cells that run a job, its own first.
func (n *Instance) home(ctx context.Context, id string) ([]string, error) {
	if cells := n.homes.get(id); cells != nil {
		return cells, nil
	}
	return n.readHome(ctx, id)
}

// readHome reads from the store which cells run a job.
func (n *Instance) readHome(ctx context.Context, id string) ([]string, error) {
	row, err := n.row(ctx, driver.HomeKey(id))
	if err != nil {
		return nil, err
	}
	cells := driver.HomeCells(row.Value)
	switch {
	case row.Ver == 0:
		n.homes.drop(id)
		return nil, kind.New(kind.NotFound, "no job has this id")
	case len(cells) == 0:
		return nil, kind.New(kind.Damaged, "the job's home names no cell")
	}
	n.homes.set(id, cells)
	return cells, nil
}

// askOwner asks the owner of a cell for a job's state, or cancels the job.
func (n *Instance) askOwner(ctx context.Context, cell, id string, cancelJob bool) (flow.State, error) {
	o := n.members.owner(cell, clock.Now())
	if o == nil {
		return "", kind.New(kind.Unavailable, "the cell's owner is not heard").After(n.comeBack(id))
	}
	limit := askTime
	if cancelJob {
		limit = cancelTime
	}
	account, checked := config.Caller(ctx)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := n.dialer.Do(ctx, o.addr, &wire.Request{Body: &wire.Request_AskJob{
		AskJob: &wire.JobAsk{Cell: cell, Id: id, Cancel: cancelJob, Account: account, Checked: checked},
	}})
	if err != nil {
		return "", err
	}
	return flow.State(reply.GetJobState().GetState()), nil
}

// stored returns the state that the store has.
func (n *Instance) stored(ctx context.Context, cell, id string) (flow.State, error) {
	record, err := n.row(ctx, driver.RecordKey(cell, id))
	if err != nil {
		return "", err
	}
	state := flow.Pending
	if record.Ver > 0 {
		rec, err := flow.DecodeRecord(record.Value)
		if err != nil {
			return "", kind.Wrap(kind.Damaged, err, "the job's record")
		}
		state = rec.State
	}
	if state.Final() {
		return state, nil
	}
	// The end may be written apart, before the record or in place of it.
	ended, err := n.row(ctx, driver.EndedKey(id))
	switch {
	case err != nil:
		return "", err
	case ended.Ver == 0:
		return state, nil
	}
	e, err := flow.DecodeEnded(ended.Value)
	if err != nil {
		return "", kind.Wrap(kind.Damaged, err, "the end of the job")
	}
	return e.State, nil
}

// row reads a row of a job, with version 0 if there is none. It fails at once while the
// store is known not to be reached.
func (n *Instance) row(ctx context.Context, key rows.Key) (rows.Row, error) {
	if n.storeClient.KnownAway() {
		return rows.Row{}, kind.New(kind.Unavailable, "the store is not reached").After(n.comeBack(key.Name))
	}
	page, err := n.storeClient.Get(ctx, rows.Only(key))
	if err != nil {
		return rows.Row{}, kind.Wrap(kind.Unavailable, err, "the job's row in "+key.Table).After(n.comeBack(key.Name))
	}
	return page.One(), nil
}

// Cancel cancels a job. Its error is of kind NotFound if there is no such job.
func (n *Instance) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTime)
	defer cancel()
	for {
		err := n.cancelOnce(ctx, id)
		if kind.Is(err, kind.Unauthorized) {
			return kind.New(kind.NotFound, "no job has this id")
		}
		if err == nil || kind.Is(err, kind.NotFound) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, retryCancel)
		if ctx.Err() != nil {
			return kind.Of(err).After(n.comeBack(id))
		}
	}
}

const retryCancel = 200 * time.Millisecond

// cancelOnce cancels a job at its own cell, which keeps that, and then at those that it is shared
// with. What a cell is not told, as whoever cancels is lost, it finds out by itself.
func (n *Instance) cancelOnce(ctx context.Context, id string) error {
	cells, err := n.home(ctx, id)
	if err != nil {
		return err
	}
	var row rows.Row
	if len(cells) > 1 {
		// The row goes with the job's end.
		if row, err = n.row(ctx, driver.SpecKey(id)); err != nil {
			return err
		}
	}
	for i, cell := range cells {
		err := n.cancelAt(ctx, cell, id)
		if kind.Is(err, kind.NotFound) {
			err = n.tellOfCanceled(ctx, cell, id, row)
		}
		if i > 0 && kind.Is(err, kind.NotFound) {
			// It was over there before.
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// cancelAt has the owner of a cell cancel a job.
func (n *Instance) cancelAt(ctx context.Context, cell, id string) error {
	d := n.own(cell)
	if d == nil {
		_, err := n.askOwner(ctx, cell, id, true)
		return err
	}
	if !d.Ready() {
		return kind.New(kind.Unavailable, "the cell is being read").After(n.comeBack(id))
	}
	if !mayUse(ctx, d, id) {
		return errForeign()
	}
	return d.Cancel(ctx, id)
}

// mayUse reports whether the client account whose call ctx is of may use a job of a cell.
func mayUse(ctx context.Context, d *driver.Driver, id string) bool {
	account, checked := config.Caller(ctx)
	return !checked || d.MayUse(id, account)
}

// errForeign is the error for a job of another client account, between instances: its caller is
// told what it would be told if there were no such job.
func errForeign() error { return kind.New(kind.Unauthorized, "the job is another account's") }

// tellOfCanceled tells an owner of a job that it does not know and that is not over: one
// that was accepted a moment ago. row is the job's if it has been read. The error is of kind
// NotFound if the job is over.
func (n *Instance) tellOfCanceled(ctx context.Context, cell, id string, row rows.Row) error {
	var err error
	if row.Ver == 0 {
		if row, err = n.row(ctx, driver.SpecKey(id)); err != nil {
			return err
		}
	}
	if row.Ver == 0 {
		return kind.New(kind.NotFound, "the job is over")
	}
	spec, err := flow.DecodeSpec(row.Value)
	if err != nil {
		return kind.Wrap(kind.Damaged, err, "the job's row")
	}
	level.Info(n.kit.Log).Log("event", "cancel_waits", "job", id, "cell", cell, "version", row.Ver, "why", "its owner has not been told of it")
	if err := n.tellOnce(ctx, cell, row.Ver, spec, row.Value); err != nil {
		return err
	}
	if err = n.cancelAt(ctx, cell, id); kind.Is(err, kind.NotFound) {
		return kind.New(kind.Unavailable, "the cell's owner does not take the job yet").After(n.comeBack(id))
	}
	return err
}

// Pending returns how many accepted jobs of a queue have not begun.
func (n *Instance) Pending(queue string) int {
	sum := 0
	known := make(map[string]bool)
	for name, c := range n.owned() {
		if !c.driver.Ready() {
			continue
		}
		known[name] = true
		l := c.driver.Load()
		sum += l.Pending[queue]
	}
	return sum + n.members.pending(queue, clock.Now(), func(cell string) bool { return known[cell] })
}
