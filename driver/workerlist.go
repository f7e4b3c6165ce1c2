// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

// workerListEntry is a worker in the worker list. The list is needed because the directory forgets
// workers that cannot reach the store, and they may still execute runs that a former owner started.
type workerListEntry struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Hall string `json:"hall,omitempty"`
	// Born identifies the incarnation that may execute the runs.
	Born int64 `json:"born,omitempty"`
}

const (
	// workerListName is the prefix of the names of the rows with a cell's workers. They are stored
	// next to the cell's lease.
	workerListName = "workers-"
	// workersPerRow is the number of workers per row. It keeps rows far below the store's size
	// limit.
	workersPerRow = 400
	// lostWorkersName is the name of the row with the workers that were lost while the owner changed,
	// by hall, and maxLostWorkers the number of them that it names in each hall.
	lostWorkersName = "lost-workers"
	maxLostWorkers  = 16
)

func (d *Driver) workerListKey(row int) rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: fmt.Sprintf("%s%03d", workerListName, row)}
}

func (d *Driver) lostWorkersKey() rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: lostWorkersName}
}

// workerListRange returns the range of all rows of the worker list.
func (d *Driver) workerListRange() rows.Range {
	return rows.Range{Table: claim.Table, Part: d.Name, From: workerListName, To: workerListName + "~"}
}

// mayRun reports whether a worker may have runs now or later. It has none if its leases have
// expired, or if it leaves and is empty. The lock is held.
func (d *Driver) mayRun(l *link) bool {
	return !l.lapsed && (len(l.pendingOrders) > 0 || !d.cell.Drained(l.id))
}

// workerList returns the workers that may have runs, which the next owner must know of. The lock is
// held.
func (d *Driver) workerList() []workerListEntry {
	out := make([]workerListEntry, 0, len(d.links))
	for _, l := range d.links {
		if d.mayRun(l) {
			out = append(out, workerListEntry{ID: l.id, Addr: l.addr, Hall: l.hall, Born: l.likelyBorn()})
		}
	}
	slices.SortFunc(out, func(a, b workerListEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// likelyBorn returns the incarnation that may execute runs: the one that has listed its runs or,
// while none has, the one that wrote the worker's entry.
func (l *link) likelyBorn() int64 {
	if l.born != 0 {
		return l.born
	}
	return l.writerBorn
}

// listChanged schedules a write of the worker list. The lock is held.
func (d *Driver) listChanged() {
	d.workerListChanged = true
	notify(d.commitNow)
}

// putWorkerList adds the worker list to a transaction, and removes rows that are no longer needed.
// It returns the list. The lock is held.
func (d *Driver) putWorkerList(t *rows.Tx) []workerListEntry {
	n, all := 0, d.workerList()
	d.workerListSize = len(all)
	for _, l := range d.links {
		l.unlisted = l.unlisted || !d.mayRun(l)
	}
	for chunk := range slices.Chunk(all, workersPerRow) {
		t.Put = append(t.Put, rows.Row{Key: d.workerListKey(n), Value: flow.Encode(chunk)})
		n++
	}
	for row := n; row < d.workerListRows; row++ {
		t.Remove = append(t.Remove, d.workerListKey(row))
	}
	d.putLostWorkers(t)
	// Until the store has accepted the transaction, the previous number of rows may remain.
	d.workerListRows = max(d.workerListRows, n)
	return all
}

// workersListed applies that the store has the worker list of a commit. The lock is held.
func (d *Driver) workersListed(g *commitGroup) {
	for i := range g.listed {
		d.cell.SetListed(g.listed[i].ID, true)
		if l := d.links[g.listed[i].ID]; l != nil {
			l.unlisted = false
		}
	}
	if slices.Contains(g.tx.Remove, d.lostWorkersKey()) {
		d.lostWorkersStored = false
	}
}

// noteLost records that a worker, or the incarnation of it that was known, is lost. The lock is held.
func (d *Driver) noteLost(l *link) {
	d.lostWorkers = mergeLost(d.lostWorkers, map[string][]string{l.hall: {l.id}})
}

// mergeLost returns the workers of both, by hall.
func mergeLost(a, b map[string][]string) map[string][]string {
	out := maps.Clone(a)
	for hall, ids := range b {
		if out == nil {
			out = make(map[string][]string)
		}
		out[hall] = slices.Concat(out[hall], ids)
	}
	return out
}

// putLostWorkers adds to a transaction which workers were lost, now or while the owner changed. They
// leave the worker list, but a next owner has to know of them until all tasks that may have been lost
// with them are on record. The lock is held.
func (d *Driver) putLostWorkers(t *rows.Tx) {
	lost := mergeLost(d.cell.InheritedLost(), d.lostWorkers)
	for hall, ids := range lost {
		lost[hall] = ids[:min(len(ids), maxLostWorkers)]
	}
	switch {
	case len(lost) > 0:
		t.Put = append(t.Put, rows.Row{Key: d.lostWorkersKey(), Value: flow.Encode(lost)})
		d.lostWorkersStored = true
	case d.lostWorkersStored:
		t.Remove = append(t.Remove, d.lostWorkersKey())
	}
}

// restoreLostWorkers applies the row of lost workers that the former owner wrote. The lock is held.
func (d *Driver) restoreLostWorkers(all []rows.Row) {
	for _, row := range all {
		lost := make(map[string][]string)
		if err := json.Unmarshal(row.Value, &lost); err != nil {
			level.Error(d.Log).Log("event", "bad_worker_list", "row", row.Name, "err", err)
		}
		for hall, ids := range lost {
			d.cell.InheritLost(hall, ids)
		}
		d.lostWorkersStored = true
	}
}

// checkWorkerList schedules a write of the worker list if a listed worker can no longer have runs, or
// if the lost workers do not matter any more. The lock is held.
func (d *Driver) checkWorkerList() {
	n := 0
	for _, l := range d.links {
		if d.mayRun(l) {
			n++
		}
	}
	if n < d.workerListSize || d.lostWorkersStored && len(d.lostWorkers) == 0 && len(d.cell.InheritedLost()) == 0 {
		d.workerListChanged = true
		notify(d.commitNow)
	}
}

// restoreWorkerList applies the worker list that the former owner wrote. The lock is held.
func (d *Driver) restoreWorkerList(all []rows.Row) {
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

// restoreWorkers starts links to the workers of the worker list. The lock is held.
func (d *Driver) restoreWorkers(all []workerListEntry) {
	now := clock.Now()
	for _, e := range all {
		if d.links[e.ID] == nil {
			d.cell.Heard(cell.Worker{ID: e.ID, Born: e.Born, Addr: e.Addr, Hall: e.Hall, Gone: true}, now)
			d.connect(e.ID, e.Addr, e.Hall)
			d.links[e.ID].born, d.links[e.ID].missingSince = e.Born, now
		}
	}
}
