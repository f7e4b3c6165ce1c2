// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"dewpass.org/cell"
	"dewpass.org/internal/clock"
)

// QueueLoads returns the loads of the cell's queues. It is cheap enough to be called for each
// submitted job.
func (d *Driver) QueueLoads() cell.QueueLoads {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.QueueLoads(clock.Now())
}
