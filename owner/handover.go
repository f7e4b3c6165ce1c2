// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"
)

// handoverPollInterval is how often Close checks whether a rack can be handed over.
const handoverPollInterval = 5 * time.Millisecond

// Close implements hall.Racks. It stops new work on the rack and waits until everything that
// was placed has been sent. A call whose row is written but which is not yet sent would be
// fenced off by the next owner, and so be refused although nothing failed.
func (o *Owner) Close(ctx context.Context, name string) bool {
	o.setClosing(name, true)
	for !o.handoverReady(name) {
		select {
		case <-time.After(handoverPollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Open implements hall.Racks.
func (o *Owner) Open(name string) {
	o.setClosing(name, false)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.schedule()
}

func (o *Owner) setClosing(name string, closing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.racks[name]
	if r == nil {
		return
	}
	r.closing = closing
	for _, w := range r.workers {
		o.updateAvailability(w)
	}
}

// handoverReady reports whether everything placed on a rack has been sent and no row of the
// rack is being created.
func (o *Owner) handoverReady(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.creating {
		if r.name == name {
			return false
		}
	}
	for _, t := range o.tasksByRef {
		if t.worker != nil && t.worker.rack.name == name && !t.sent {
			return false
		}
	}
	return true
}
