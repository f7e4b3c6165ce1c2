// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/rows"
)

// rosterEntry is a worker in the roster. The directory forgets workers that
// cannot reach the store, and they may still run what a former owner started.
type rosterEntry struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Hall string `json:"hall,omitempty"`
}

func (d *Driver) rosterKey() rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: rosterName}
}

// roster returns the workers that may run something. The lock is held.
func (d *Driver) roster() []rosterEntry {
	out := make([]rosterEntry, 0, len(d.links))
	for _, l := range d.links {
		out = append(out, rosterEntry{ID: l.id, Addr: l.addr, Hall: l.hall})
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
			d.cell.Heard(cell.Worker{ID: e.ID, Addr: e.Addr, Hall: e.Hall, Gone: true}, now)
			d.connect(e.ID, e.Addr, e.Hall)
			d.links[e.ID].missing = now
		}
	}
}
