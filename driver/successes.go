// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"dewpass.org/internal/clock"
)

// maxUnsavedSuccesses limits the jobs reported to other instances at once: the jobs that end in a
// second at the design size take a few messages.
const maxUnsavedSuccesses = 256

// UnsavedSuccesses returns jobs that have succeeded but whose end is not persisted yet, to be
// reported to other instances. It returns none while another instance may own the cell.
func (d *Driver) UnsavedSuccesses(now time.Time) []string {
	if !d.mayOrder(now) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.UnstoredSuccesses(maxUnsavedSuccesses, now)
}

// SuccessesReported notes that another instance knows that these jobs have succeeded.
func (d *Driver) SuccessesReported(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.SuccessShared(ids)
}

// ApplySuccesses applies reports that jobs succeeded under former owners.
func (d *Driver) ApplySuccesses(ids []string) {
	if len(ids) == 0 {
		return
	}
	d.mu.Lock()
	d.cell.Succeeded(ids, clock.Now())
	d.mu.Unlock()
	notify(d.placeNow)
	notify(d.commitNow)
}
