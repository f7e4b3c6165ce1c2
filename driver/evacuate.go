// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
	"dewpass.org/upkeep"
)

var _ upkeep.Cell = (*Driver)(nil)

// Evacuate implements upkeep.Cell.
func (d *Driver) Evacuate(workers []string, patience time.Duration) {
	d.mu.Lock()
	d.cell.Evacuate(workers, patience, clock.Now())
	d.mu.Unlock()
	notify(d.placeNow)
}

// Evacuated implements upkeep.Cell.
func (d *Driver) Evacuated(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	return d.loaded && !d.frozen && d.mayOrder(now) && d.cell.Evacuated(worker, now)
}

// Incarnation implements upkeep.Cell.
func (d *Driver) Incarnation(worker string) (born int64, sure bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[worker]; l != nil {
		return l.born, l.attached
	}
	return 0, false
}

// IncarnationEnded implements upkeep.Cell.
func (d *Driver) IncarnationEnded(worker string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[worker]; l != nil && l.born == born {
		d.dropDeadWorker(l, cell.LossPlanned)
	}
}
