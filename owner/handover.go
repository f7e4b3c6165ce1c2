// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"
)

// settlePoll is how often a rack that is about to be handed over is looked at.
const settlePoll = 5 * time.Millisecond

// Close implements hall.Racks. A call whose row is written and that was not
// sent yet would be fenced by the next owner, and refused although nothing
// failed; so the rack takes nothing new, and what was placed is sent first.
func (o *Owner) Close(ctx context.Context, name string) bool {
	o.setClosing(name, true)
	for !o.settled(name) {
		select {
		case <-time.After(settlePoll):
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
	o.step()
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
		o.gate(w)
	}
}

// settled reports whether all that was placed on a rack has been sent, and no
// row of it is being created.
func (o *Owner) settled(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.creating {
		if r.name == name {
			return false
		}
	}
	for _, t := range o.byRef {
		if t.worker != nil && t.worker.rack.name == name && !t.sent {
			return false
		}
	}
	return true
}
