// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"bytes"
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"dewpass.org/capacity"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/quota"
	"dewpass.org/rows"
)

// A job that this cell cannot run any more moves to another cell in two writes. The first one, a group
// commit bound to the cell lease, has the job's record say that it moves and to which cell: no owner of
// this cell starts anything of it from then on. The second one, by this owner or a next one, has the
// job's own rows name the other cell, on the condition that they have not changed: however late an
// attempt takes effect, only one does. The other cell's owner is told of the job, or finds it by its
// home row like one that was just accepted.

const (
	// moveInterval is the interval between searches for jobs that this cell cannot run.
	moveInterval = 250 * time.Millisecond
	// moveSettleTime is how long a new owner attaches workers before it judges what they can run.
	moveSettleTime = 2 * time.Second
	// maxMovesAtOnce limits the jobs that begin to move in one interval, and moveParallelism the
	// writes in flight, to a fraction of what the store takes.
	maxMovesAtOnce  = 32
	moveParallelism = 4
)

// Elsewhere is what a driver needs of other cells.
type Elsewhere interface {
	// Cell returns a cell that can run a job, "" if none is known.
	Cell(j capacity.Job) string
	// Hall returns the hall in which a job may start at once in a cell.
	Hall(cell, id string) string
	// Moved is called with a job that another cell has from a version of the store on.
	Moved(spec *flow.Spec, ver uint64)
	// AskQuota asks all other cells for shares of an account's limit that a cell needs, or takes some
	// that were offered. Cells that do not answer in time are left out of the result.
	AskQuota(ctx context.Context, from string, n quota.Need, takes []quota.Offered) []QuotaAnswer
	// ExchangeGifts exchanges with the cells for which due returns true what they and the cell of d have
	// given to each other. Cells that do not answer are left out of the result.
	ExchangeGifts(ctx context.Context, d *Driver, due func(cell string) bool) []Gifts
	// AllLend reports whether all instances that may own a cell know of shares.
	AllLend() bool
}

// movedJob is a job that was moved away: rows up to a version are those from before.
type movedJob struct {
	ver uint64
	at  time.Time
}

// watchMoves moves the jobs that this cell cannot run.
func (d *Driver) watchMoves() {
	for d.ctx.Err() == nil {
		d.sleep(moveInterval)
		for _, j := range d.stranded() {
			if to := d.Elsewhere.Cell(j); to != "" {
				d.beginMove(j.Spec.ID, to)
			}
		}
		d.finishMoves()
		d.countWorkers()
	}
}

// stranded returns the jobs that this cell cannot run.
func (d *Driver) stranded() []capacity.Job {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.knowsWorkers(now) {
		return nil
	}
	all := d.cell.Stranded(d.cordoned, now, clock.Wall())
	return all[:min(len(all), maxMovesAtOnce)]
}

// knowsWorkers reports whether the workers of the cell have been read and attached. The lock is held.
func (d *Driver) knowsWorkers(now time.Time) bool {
	return d.loaded && !d.frozen && !d.directoryReadAt.IsZero() && now.Sub(d.startedAt) > moveSettleTime
}

// Capacity returns the workers that could run tasks a moment ago, and whether they are known.
func (d *Driver) Capacity() (w capacity.Workers, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers, d.workersKnown
}

// countWorkers updates what Capacity returns.
func (d *Driver) countWorkers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workersKnown = d.knowsWorkers(clock.Now()); d.workersKnown {
		d.workers = d.cell.Workers(d.cordoned)
	}
}

func (d *Driver) beginMove(id, to string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.frozen || !d.cell.Move(id, to) {
		return
	}
	level.Info(d.Log).Log("event", "job_moves", "job", id, "cell", d.Name, "epoch", d.Claim.Epoch(), "to", to, "why", "no worker of the cell can run it")
	notify(d.commitNow)
}

// finishMoves completes the moves of which the records tell.
func (d *Driver) finishMoves() {
	d.mu.Lock()
	moves := d.cell.Moves()
	d.mu.Unlock()
	var writes errgroup.Group
	writes.SetLimit(moveParallelism)
	for _, spec := range moves {
		writes.Go(func() error { d.finishMove(spec); return nil })
	}
	_ = writes.Wait()
}

// finishMove has the rows of a job name its new cell, unless they do. After a failure the next round
// tries again.
func (d *Driver) finishMove(spec *flow.Spec) {
	home, kept, err := d.readOwnRows(spec.ID)
	if err != nil {
		level.Info(d.Log).Log("event", "job_not_moved", "job", spec.ID, "to", spec.Cell, "err", err)
		return
	}
	row := home.First()
	if cells := HomeCells(row.Value); len(cells) != 1 || cells[0] != d.Name {
		d.movedAway(spec.ID, max(row.Ver, home.Ver))
		return
	}
	if now, err := flow.DecodeSpec(kept.Value); err != nil || now.Moves >= spec.Moves {
		// An earlier attempt has moved the job, and it was moved back since.
		d.movedAway(spec.ID, row.Ver-1)
		d.addFound([]rows.Row{kept})
		return
	}
	spec.Hall = d.Elsewhere.Hall(spec.Cell, spec.ID)
	res, err := d.Store.Tx(d.ctx, rows.Tx{
		Expect: []rows.Check{{Key: row.Key, Ver: row.Ver}},
		Put:    []rows.Row{{Key: row.Key, Value: withHomeCell(row.Value, spec.Cell)}, {Key: SpecKey(spec.ID), Value: flow.EncodeSpec(spec)}},
	})
	if err != nil || res.Refused {
		level.Info(d.Log).Log("event", "job_not_moved", "job", spec.ID, "to", spec.Cell, "refused", res.Refused, "err", err)
		return
	}
	d.Scope.Counter("jobs_moved_total").Inc(1)
	level.Info(d.Log).Log("event", "job_moved", "job", spec.ID, "cell", d.Name, "epoch", d.Claim.Epoch(), "to", spec.Cell, "version", res.Ver, "moves", spec.Moves)
	d.movedAway(spec.ID, res.Ver)
	d.Elsewhere.Moved(spec, res.Ver)
}

// readOwnRows reads the home row of a job and its specification.
func (d *Driver) readOwnRows(id string) (home rows.Page, spec rows.Row, err error) {
	if home, err = d.Store.Get(d.ctx, rows.KeyRange(HomeKey(id))); err != nil {
		return home, spec, err
	}
	page, err := d.Store.Get(d.ctx, rows.KeyRange(SpecKey(id)))
	if err == nil && len(home.BadRows)+len(page.BadRows) > 0 {
		err = kind.New(kind.Damaged, "the job's rows cannot be decoded")
	}
	return home, page.First(), err
}

// withHomeCell returns the value of a home row with another cell.
func withHomeCell(value []byte, cell string) []byte {
	_, access, found := bytes.Cut(value, []byte{accessMark})
	if !found {
		return []byte(cell)
	}
	return append(append([]byte(cell), accessMark), access...)
}

// movedAway removes a job whose own rows name another cell since a version of the store.
func (d *Driver) movedAway(id string, ver uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.MovedAway(id)
	if d.moved == nil {
		d.moved = make(map[string]movedJob)
	}
	d.moved[id] = movedJob{ver: ver, at: clock.Now()}
	d.staleRecords = append(d.staleRecords, id)
	notify(d.commitNow)
}

// forgetMoved forgets the jobs that were moved away long ago. The lock is held.
func (d *Driver) forgetMoved(now time.Time) {
	for id, m := range d.moved {
		if now.Sub(m.at) > d.Retention {
			delete(d.moved, id)
		}
	}
}

// progressOf returns the record with which a job is restored: that of this cell, unless it is from
// before the job was moved away and back, or else what the job brought with it.
func progressOf(spec *flow.Spec, rec *flow.Record) *flow.Record {
	if rec == nil || rec.Moves < spec.Moves {
		return spec.Progress
	}
	return rec
}
