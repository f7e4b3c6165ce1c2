// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
	"dewpass.org/upkeep"
)

var _ upkeep.Cell = (*Driver)(nil)

// Empty implements upkeep.Cell.
func (d *Driver) Empty(workers []string, patience time.Duration) {
	d.mu.Lock()
	d.cell.Evacuate(workers, patience, clock.Now())
	d.mu.Unlock()
	notify(d.placeNow)
}

// Emptied implements upkeep.Cell.
func (d *Driver) Emptied(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	return d.loaded && !d.frozen && d.mayOrder(now) && d.cell.Evacuated(worker, now)
}

// Life implements upkeep.Cell.
func (d *Driver) Life(worker string) (born int64, sure bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[worker]; l != nil {
		return l.born, l.attached
	}
	return 0, false
}

// Over implements upkeep.Cell.
func (d *Driver) Over(worker string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[worker]; l != nil && l.born == born {
		d.dropDeadWorker(l, cell.LossPlanned)
	}
}
