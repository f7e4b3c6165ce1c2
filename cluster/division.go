// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// The division of the workers into cells is decided once, before the first cell has
// an owner, and kept in the store. It never changes then: a worker obeys the
// highest fence that it has seen, and the fences of two cells do not compare.

const (
	// divisionName is the row that holds the division, in the table of the cell leases.
	divisionName = "division"
	// workersPerCell is how many workers a cell has at most when the division is
	// decided. BenchmarkPlace and the sweep of docs/MEASUREMENTS.md are where it
	// comes from; a policy that allows a third of the workers, and gangs, want
	// many.
	workersPerCell = 400
	// The workers are counted until their number stays for countSettled, since all
	// start together, or for countMost.
	countEvery   = 300 * time.Millisecond
	countSettled = 900 * time.Millisecond
	countMost    = 4 * time.Second
	// countTurn stretches the pauses by which instances take turns, so that mostly
	// one counts.
	countTurn = 4
)

// divisionRow is the row of the division.
type divisionRow struct {
	Cells   int `json:"cells"`
	Workers int `json:"workers,omitempty"`
}

var divisionKey = rows.Key{Table: claim.Table, Name: divisionName}

// division is what an instance knows of the division. The zero value knows nothing.
type division struct {
	names atomic.Pointer[[]string]
	// perCell is how many workers a cell had when the division was decided, 0 if that is
	// not known.
	perCell atomic.Int64
}

// cells returns the names of all cells, nil while they are not known.
func (d *division) cells() []string {
	if names := d.names.Load(); names != nil {
		return *names
	}
	return nil
}

// set sets how many cells there are.
func (d *division) set(count int) {
	names := make([]string, count)
	for i := range names {
		names[i] = "cell-" + strconv.Itoa(i)
	}
	d.names.Store(&names)
}

// draw returns a cell by lot, the same for the same text, "" while the cells are
// not known.
func (d *division) draw(text string) string {
	names := d.cells()
	if len(names) == 0 {
		return ""
	}
	return names[draw(text)%uint32(len(names))]
}

// shareFrom is how much of a cell's workers, as a divisor, a step needs for its job to be shared
// among cells. A policy may let no more than a third of the workers run a step, and one hall of
// four or more may be cut off: what is left for sure is about a quarter.
const shareFrom = 4

// shares returns the cells that a job of one cell is shared with: all others if a step of tasks
// that last, of which a worker carries only so many, may not find enough workers in one. Steps
// of tasks that end take turns there instead. A step that may miss too few of its tasks to be
// divided stays whole: a cell that may move none could never empty a machine for its upkeep.
func (d *division) shares(spec *flow.Spec, cell string) []string {
	names := d.cells()
	if len(names) < 2 || !spec.MayShare() {
		return nil
	}
	perCell := cmp.Or(int(d.perCell.Load()), workersPerCell)
	wide := func(s flow.Step) bool { return s.PerWorker > 0 && s.Count*shareFrom > perCell*s.PerWorker }
	whole := func(s flow.Step) bool { return s.MayMiss > 0 && s.MayMiss < len(names) }
	if !slices.ContainsFunc(spec.Steps, wide) || slices.ContainsFunc(spec.Steps, whole) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == cell })
}

// cellsFor returns how many cells so many workers are divided into.
func cellsFor(workers int) int {
	return max(1, (workers+workersPerCell-1)/workersPerCell)
}

// census counts workers until their number does not change any more.
type census struct {
	begun, changed time.Time
	count          int
}

// settled takes in a count and reports whether it may be relied on.
func (c *census) settled(count int, now time.Time) bool {
	if c.begun.IsZero() {
		c.begun = now
	}
	if count != c.count || c.changed.IsZero() {
		c.count, c.changed = count, now
	}
	return now.Sub(c.begun) >= countMost || (count > 0 && now.Sub(c.changed) >= countSettled)
}

// runCells learns or decides the division, and then sees that every cell has an
// owner, until ctx ends.
func (n *Instance) runCells(ctx context.Context) {
	if n.learnDivision(ctx) {
		n.electLoop(ctx)
	}
}

// learnDivision reads the division until it is known, and decides it if nobody has.
// It reports whether it is known when it returns.
func (n *Instance) learnDivision(ctx context.Context) bool {
	var workers census
	turn := clock.Now().Add(firstLook)
	for ctx.Err() == nil {
		switch row, err := n.readDivision(ctx); {
		case err != nil:
			level.Info(n.kit.Log).Log("event", "division_not_read", "err", err)
		case row.Cells > 0:
			n.division.set(row.Cells)
			n.division.perCell.Store(int64(row.Workers / row.Cells))
			level.Info(n.kit.Log).Log("event", "division_known", "cells", row.Cells, "workers", row.Workers)
			return true
		case clock.Since(turn) >= countTurn*n.turn(divisionName, clock.Now()):
			if n.decideDivision(ctx, &workers) {
				continue
			}
		}
		sleep(ctx, countEvery)
	}
	return false
}

// readDivision reads the row; it has no cells if there is none.
func (n *Instance) readDivision(ctx context.Context) (divisionRow, error) {
	page, err := n.storeClient.Get(ctx, rows.Only(divisionKey))
	if err != nil {
		return divisionRow{}, err
	}
	row := page.One()
	if row.Ver == 0 {
		return divisionRow{}, nil
	}
	var d divisionRow
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return divisionRow{}, kind.Wrap(kind.Damaged, err, "the division")
	}
	if d.Cells < 1 {
		return divisionRow{}, kind.New(kind.Damaged, "the division has no cells")
	}
	return d, nil
}

// usable counts the entries that name a worker.
func usable(all []driver.Entry) int {
	count := 0
	for i := range all {
		if all[i].Bad == "" && !all[i].Gone {
			count++
		}
	}
	return count
}

// decideDivision writes the division once it can be decided, and reports whether it
// should be read again at once. Of those who decide at the same time one is first.
func (n *Instance) decideDivision(ctx context.Context, workers *census) bool {
	all, err := n.Directory(n.storeClient).All(ctx)
	count := usable(all)
	row := divisionRow{Cells: n.settings.Cluster.Cells, Workers: count}
	if row.Cells == 0 {
		if err != nil || !workers.settled(count, clock.Now()) {
			return false
		}
		row.Cells = cellsFor(count)
	}
	raw, err := json.Marshal(row)
	if err != nil {
		return false
	}
	res, err := n.storeClient.Tx(ctx, rows.Tx{Expect: []rows.Check{{Key: divisionKey}}, Put: []rows.Row{{Key: divisionKey, Value: raw}}})
	if err == nil && res.Refused {
		err = errors.New("another instance was first")
	}
	level.Info(n.kit.Log).Log("event", "division_decided", "cells", row.Cells, "workers", row.Workers, "err", err)
	return true
}
