// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/rows"
)

// rosterEntry is a worker in the roster. The directory forgets workers that
// cannot reach the store, and they may still run what a former owner started.
type rosterEntry struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Hall string `json:"hall,omitempty"`
}

const (
	// rosterName begins the names of the rows that list a cell's workers beside
	// its seat.
	rosterName = "workers-"
	// rosterAtOnce is how many workers a row lists, so that it stays far below what
	// the store takes for a row.
	rosterAtOnce = 400
)

func (d *Driver) rosterKey(row int) rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: fmt.Sprintf("%s%03d", rosterName, row)}
}

// rosterRange is the range of all rows of the roster.
func (d *Driver) rosterRange() rows.Range {
	return rows.Range{Table: claim.Table, Part: d.Name, From: rosterName, To: rosterName + "~"}
}

// mayRun reports whether something may run on a worker now or later: not if its
// leases are over, nor if it leaves and is empty. The lock is held.
func (d *Driver) mayRun(l *link) bool {
	return !l.lapsed && (len(l.orders) > 0 || !l.attached || !d.cell.Left(l.id))
}

// roster returns the workers that may run something: those of which the next owner
// has to know what runs there. The lock is held.
func (d *Driver) roster() []rosterEntry {
	out := make([]rosterEntry, 0, len(d.links))
	for _, l := range d.links {
		if d.mayRun(l) {
			out = append(out, rosterEntry{ID: l.id, Addr: l.addr, Hall: l.hall})
		}
	}
	slices.SortFunc(out, func(a, b rosterEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// putRoster adds the roster to a transaction, and the removal of rows that it does
// not take any more. The lock is held.
func (d *Driver) putRoster(t *rows.Tx) {
	n, all := 0, d.roster()
	d.rosterSize = len(all)
	for chunk := range slices.Chunk(all, rosterAtOnce) {
		t.Put = append(t.Put, rows.Row{Key: d.rosterKey(n), Value: flow.Encode(chunk)})
		n++
	}
	for row := n; row < d.rosterRows; row++ {
		t.Remove = append(t.Remove, d.rosterKey(row))
	}
	// Until the store has taken it, there may be as many as before.
	d.rosterRows = max(d.rosterRows, n)
}

// checkRoster has the roster written again if a worker in it cannot run anything any
// more. The lock is held.
func (d *Driver) checkRoster() {
	n := 0
	for _, l := range d.links {
		if d.mayRun(l) {
			n++
		}
	}
	if n < d.rosterSize {
		d.rosterChanged = true
		poke(d.write)
	}
}

// restoreRoster takes in what the former owner wrote.
func (d *Driver) restoreRoster(all []rows.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rosterRows = len(all)
	for _, row := range all {
		var entries []rosterEntry
		if err := json.Unmarshal(row.Value, &entries); err != nil {
			level.Error(d.Log).Log("event", "bad_roster", "row", row.Name, "err", err)
			continue
		}
		d.restoreWorkers(entries)
	}
}

// restoreWorkers starts links to workers of the roster. The lock is held.
func (d *Driver) restoreWorkers(all []rosterEntry) {
	now := time.Now()
	for _, e := range all {
		if d.links[e.ID] == nil {
			d.cell.Heard(cell.Worker{ID: e.ID, Addr: e.Addr, Hall: e.Hall, Gone: true}, now)
			d.connect(e.ID, e.Addr, e.Hall)
			d.links[e.ID].missing = now
		}
	}
}
