// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

// workerListEntry is one worker of the list in the store. The directory forgets workers
// that cannot reach the store, and they may still run what a former owner started.
type workerListEntry struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Hall string `json:"hall,omitempty"`
	// Born tells the life that may run what was started there.
	Born int64 `json:"born,omitempty"`
}

const (
	// workerListName begins the names of the rows that list a cell's workers beside
	// its lease.
	workerListName = "workers-"
	// workersPerRow is how many workers a row lists, so that it stays far below what
	// the store takes for a row.
	workersPerRow = 400
)

func (d *Driver) workerListKey(row int) rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: fmt.Sprintf("%s%03d", workerListName, row)}
}

// workerListRange is the range of all rows of the worker list.
func (d *Driver) workerListRange() rows.Range {
	return rows.Range{Table: claim.Table, Part: d.Name, From: workerListName, To: workerListName + "~"}
}

// mayRun reports whether something may run on a worker now or later: not if its
// leases are over, nor if it leaves and is empty. The lock is held.
func (d *Driver) mayRun(l *link) bool {
	return !l.lapsed && (len(l.orders) > 0 || !l.attached || !d.cell.Left(l.id))
}

// workerList returns the workers that may run something: those of which the next owner
// has to know what runs there. The lock is held.
func (d *Driver) workerList() []workerListEntry {
	out := make([]workerListEntry, 0, len(d.links))
	for _, l := range d.links {
		if d.mayRun(l) {
			out = append(out, workerListEntry{ID: l.id, Addr: l.addr, Hall: l.hall, Born: l.supposedBorn()})
		}
	}
	slices.SortFunc(out, func(a, b workerListEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// supposedBorn returns which life may run something: the one that has listed what it runs, or
// that of the worker's entry while none has.
func (l *link) supposedBorn() int64 {
	if l.born != 0 {
		return l.born
	}
	return l.by
}

// putWorkerList adds the worker list to a transaction, and the removal of rows that it does
// not take any more. The lock is held.
func (d *Driver) putWorkerList(t *rows.Tx) {
	n, all := 0, d.workerList()
	d.workerListSize = len(all)
	for chunk := range slices.Chunk(all, workersPerRow) {
		t.Put = append(t.Put, rows.Row{Key: d.workerListKey(n), Value: flow.Encode(chunk)})
		n++
	}
	for row := n; row < d.workerListRows; row++ {
		t.Remove = append(t.Remove, d.workerListKey(row))
	}
	// Until the store has taken it, there may be as many as before.
	d.workerListRows = max(d.workerListRows, n)
}

// checkWorkerList has the worker list written again if a worker in it cannot run
// anything any more. The lock is held.
func (d *Driver) checkWorkerList() {
	n := 0
	for _, l := range d.links {
		if d.mayRun(l) {
			n++
		}
	}
	if n < d.workerListSize {
		d.workerListChanged = true
		notify(d.write)
	}
}

// restoreWorkerList takes in what the former owner wrote.
func (d *Driver) restoreWorkerList(all []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workerListRows = len(all)
	for _, row := range all {
		var entries []workerListEntry
		if err := json.Unmarshal(row.Value, &entries); err != nil {
			level.Error(d.Log).Log("event", "bad_worker_list", "row", row.Name, "err", err)
			continue
		}
		d.restoreWorkers(entries)
	}
}

// restoreWorkers starts links to workers of the worker list. The lock is held.
func (d *Driver) restoreWorkers(all []workerListEntry) {
	now := clock.Now()
	for _, e := range all {
		if d.links[e.ID] == nil {
			d.cell.Heard(cell.Worker{ID: e.ID, Born: e.Born, Addr: e.Addr, Hall: e.Hall, Gone: true}, now)
			d.connect(e.ID, e.Addr, e.Hall)
			d.links[e.ID].born, d.links[e.ID].missing = e.Born, now
		}
	}
}
