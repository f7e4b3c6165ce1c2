// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"dewpass.org/internal/clock"
)

// unkeptAtOnce bounds the jobs that others are told of at once: as many as end in a second
// at the design size are told in a few greetings.
const unkeptAtOnce = 256

// Unkept returns jobs that have succeeded and that other instances should be told of, as
// the store has not kept that yet. It returns none while another instance may own the cell.
func (d *Driver) Unkept(now time.Time) []string {
	if !d.mayOrder(now) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.Unkept(unkeptAtOnce, now)
}

// Shared says that another instance knows that these jobs have succeeded.
func (d *Driver) Shared(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.Shared(ids)
}

// Heard takes in what this instance was told of jobs that succeeded under former owners.
func (d *Driver) Heard(ids []string) {
	if len(ids) == 0 {
		return
	}
	d.mu.Lock()
	d.cell.Succeeded(ids, clock.Now())
	d.mu.Unlock()
	notify(d.wake)
	notify(d.write)
}
