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

// The division of the workers into cells is decided once, before the first cell has an owner, and
// kept in the store. It never changes after that: a worker obeys the highest fencing token that it
// has seen, and the tokens of two cells are not comparable.
const (
	// divisionRowName is the row that holds the division, in the table of the cell leases.
	divisionRowName = "division"
	// maxWorkersPerCell is the maximum number of workers of a cell when the division is decided. It
	// comes from BenchmarkPlace and the sweep of docs/MEASUREMENTS.md; a policy that allows a third
	// of the workers, and gangs, need large cells.
	maxWorkersPerCell = 400
	// As all workers start together, they are counted until their number has been stable for
	// countStableTime, or for countTimeout. A large fleet takes longer to start and always has some
	// workers that come and go: its number is stable while it grows by less than 1/growthDivisor,
	// and as long as it grows faster it is counted for up to growthTimeout.
	countInterval   = 300 * time.Millisecond
	countStableTime = 900 * time.Millisecond
	countTimeout    = 4 * time.Second
	growthTimeout   = 10 * time.Second
	growthDivisor   = 50
	// countDelayFactor multiplies the election delays, so that few instances try to be the one that
	// counts.
	countDelayFactor = 4
	// countWaitInterval is how often the others read whether the division is decided. That these reads
	// are answered also shows that the store is reachable.
	countWaitInterval = 800 * time.Millisecond
	// progressTimeout is how long the instance that counts may write no progress before another one
	// counts in its place.
	progressTimeout = 2 * time.Second
)

// divisionRow is the stored form of the division. It has no cells while an instance counts the
// workers. Only that one reads them: a list of all workers read by each instance grows with the
// product of both numbers.
type divisionRow struct {
	Cells   int `json:"cells"`
	Workers int `json:"workers,omitempty"`
	// CountedBy is the instance that counts, which updates Workers as it does; empty once the division
	// is decided.
	CountedBy string `json:"counted_by,omitempty"`
}

var divisionKey = rows.Key{Table: claim.Table, Name: divisionRowName}

// division is what an instance knows of the division. The zero value knows nothing.
type division struct {
	names atomic.Pointer[[]string]
	// workersPerCell is how many workers a cell had when the division was decided, 0 if that is not
	// known.
	workersPerCell atomic.Int64
	// awaitedUntil is when this instance learned of the division after it had waited until that was
	// decided, nil if it was decided before this instance started.
	awaitedUntil atomic.Pointer[time.Time]
}

// cells returns the names of all cells, nil while they are not known.
func (d *division) cells() []string {
	if names := d.names.Load(); names != nil {
		return *names
	}
	return nil
}

// several reports whether there are several cells.
func (d *division) several() bool { return len(d.cells()) > 1 }

// set sets the number of cells.
func (d *division) set(count int) {
	names := make([]string, count)
	for i := range names {
		names[i] = "cell-" + strconv.Itoa(i)
	}
	d.names.Store(&names)
}

// hashCell returns the cell that a hash of text assigns to it, "" while the cells are not known. It
// assigns racks to cells, and jobs while no owner is heard.
func (d *division) hashCell(text string) string {
	names := d.cells()
	if len(names) == 0 {
		return ""
	}
	return names[hash32(text)%uint32(len(names))]
}

// A job is shared among cells if a step of it needs more than 1/shareDivisor of a cell's workers. A
// policy may allow no more than a third of the workers for a step, and one hall of four or more may
// be cut off: about a quarter is certain to remain.
const shareDivisor = 4

// sharedWith returns the cells that a job of one cell is shared with: all others, if a long-running
// step with a limit on its tasks per worker may not find enough workers in one cell. (Tasks that
// end can take turns there instead.) A job is not shared if a step may miss fewer tasks than there
// are cells: a cell that may not move a single task could never drain a machine for its upkeep.
func (d *division) sharedWith(spec *flow.Spec, cell string) []string {
	names := d.cells()
	if len(names) < 2 || !spec.Shareable() {
		return nil
	}
	perCell := cmp.Or(int(d.workersPerCell.Load()), maxWorkersPerCell)
	wide := func(s flow.Step) bool { return s.MaxPerWorker > 0 && s.Count*shareDivisor > perCell*s.MaxPerWorker }
	indivisible := func(s flow.Step) bool { return s.MaxUnavailable > 0 && s.MaxUnavailable < len(names) }
	if !slices.ContainsFunc(spec.Steps, wide) || slices.ContainsFunc(spec.Steps, indivisible) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == cell })
}

// cellCount returns into how many cells a number of workers is divided.
func cellCount(workers int) int {
	return max(1, (workers+maxWorkersPerCell-1)/maxWorkersPerCell)
}

// workerCount observes the number of workers until it is stable.
type workerCount struct {
	begun, changed time.Time
	count          int
	// counting is true while this instance is the one that counts. ver is the version of the
	// division row, and seen when it was first read or written.
	counting bool
	ver      uint64
	seen     time.Time
}

// stable records a count and reports whether it may be used.
func (c *workerCount) stable(count int, now time.Time) bool {
	if c.begun.IsZero() {
		c.begun = now
	}
	if change := max(count-c.count, c.count-count); change*growthDivisor > c.count || c.changed.IsZero() {
		c.count, c.changed = count, now
	}
	if now.Sub(c.changed) >= countStableTime {
		return count > 0 || now.Sub(c.begun) >= countTimeout
	}
	return now.Sub(c.begun) >= growthTimeout
}

// observe records the version of the division row, and returns for how long it has been the same.
func (c *workerCount) observe(ver uint64, now time.Time) time.Duration {
	if ver != c.ver || c.seen.IsZero() {
		c.ver, c.seen = ver, now
	}
	return now.Sub(c.seen)
}

// runCells reads or decides the division, and then claims cells that have no owner, until ctx ends.
func (n *Instance) runCells(ctx context.Context) {
	if n.learnDivision(ctx) {
		n.electLoop(ctx)
	}
}

// learnDivision reads the division until it is known, and decides it if no instance has. It reports
// whether the division is known; it is not if ctx ended before.
func (n *Instance) learnDivision(ctx context.Context) bool {
	var count workerCount
	awaited := false
	countFrom := clock.Now().Add(startupListenTime)
	for ctx.Err() == nil {
		row, ver, err := n.readDivision(ctx)
		unchanged := count.observe(ver, clock.Now())
		awaited = awaited || (err == nil && row.Cells == 0)
		switch {
		case err != nil:
			level.Info(n.kit.Log).Log("event", "division_not_read", "err", err)
		case row.Cells > 0:
			if now := clock.Now(); awaited {
				n.division.awaitedUntil.Store(&now)
			}
			n.division.set(row.Cells)
			n.division.workersPerCell.Store(int64(row.Workers / row.Cells))
			level.Info(n.kit.Log).Log("event", "division_known", "cells", row.Cells, "workers", row.Workers)
			return true
		case row.CountedBy != "" && row.CountedBy != n.settings.Instance && unchanged < progressTimeout:
			// Another instance counts, which takes several intervals.
			count.counting = false
			sleep(ctx, countWaitInterval-countInterval)
		case clock.Since(countFrom) >= countDelayFactor*n.electionDelay(divisionRowName, clock.Now()):
			if n.decideDivision(ctx, &count) {
				continue
			}
		}
		sleep(ctx, countInterval)
	}
	return false
}

// readDivision reads the division and the version of its row. The result has 0 cells if it is not
// decided yet.
func (n *Instance) readDivision(ctx context.Context) (divisionRow, uint64, error) {
	page, err := n.storeClient.Get(ctx, rows.KeyRange(divisionKey))
	if err != nil {
		return divisionRow{}, 0, err
	}
	row := page.First()
	if row.Ver == 0 {
		return divisionRow{}, 0, nil
	}
	var d divisionRow
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return divisionRow{}, row.Ver, kind.Wrap(kind.Damaged, err, "the division row")
	}
	if d.Cells < 1 && d.CountedBy == "" {
		return divisionRow{}, row.Ver, kind.New(kind.Damaged, "the division row has no cells")
	}
	return d, row.Ver, nil
}

// countUsable counts the entries that describe a usable worker.
func countUsable(all []driver.Entry) int {
	count := 0
	for i := range all {
		if all[i].Invalid == "" && !all[i].Gone {
			count++
		}
	}
	return count
}

// decideDivision writes the division once it can be decided, and reports whether it should be read
// again at once. If several instances decide at the same time, the first write wins. Unless the
// number of cells is a setting, an instance writes first that it counts.
func (n *Instance) decideDivision(ctx context.Context, c *workerCount) bool {
	row := divisionRow{Cells: n.settings.Cluster.Cells, CountedBy: n.settings.Instance}
	if row.Cells == 0 && !c.counting {
		c.counting = n.writeDivision(ctx, row, c) == nil
		return false
	}
	all, err := n.Directory(n.storeClient).All(ctx)
	row.Workers = countUsable(all)
	if row.Cells == 0 {
		if err != nil || !c.stable(row.Workers, clock.Now()) {
			c.counting = n.writeDivision(ctx, row, c) == nil
			return false
		}
		row.Cells = cellCount(row.Workers)
	}
	row.CountedBy = ""
	err = n.writeDivision(ctx, row, c)
	level.Info(n.kit.Log).Log("event", "division_decided", "cells", row.Cells, "workers", row.Workers, "err", err)
	return true
}

// writeDivision writes the division row if it still has the version that c has observed.
func (n *Instance) writeDivision(ctx context.Context, row divisionRow, c *workerCount) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	res, err := n.storeClient.Tx(ctx, rows.Tx{Expect: []rows.Check{{Key: divisionKey, Ver: c.ver}}, Put: []rows.Row{{Key: divisionKey, Value: raw}}})
	switch {
	case err != nil:
		return err
	case res.Refused:
		return errors.New("another instance has written the division first")
	}
	c.observe(res.Ver, clock.Now())
	return nil
}
