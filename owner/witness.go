// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"dewpass.org/lease"
)

// witness holds the workers of a rack to be witnesses of who owns it. An owner
// that the table does not see goes on only while more than half of the workers
// take its commands; otherwise another owner may have them, and this one stops
// renewing leases with the rest. An owner that has had more than half of them
// for long enough may therefore believe that the rest have stopped. The lock is
// held.
func (o *Owner) witness(r *rack, now time.Time) {
	attached := 0
	for _, w := range r.workers {
		if w.attached {
			attached++
		}
	}
	most := 2*attached > len(r.workers)
	if !most {
		r.mostSince = time.Time{}
	} else if r.mostSince.IsZero() {
		r.mostSince = now
	}
	idle := o.away && !most && len(r.workers) > 1
	for _, w := range r.workers {
		rest := idle && now.Sub(r.since) > o.TaskLease
		if rest == w.idle {
			continue
		}
		w.idle = rest
		o.gate(w)
		if rest && w.again != nil {
			w.again()
		}
	}
}

// othersStopped reports whether the workers of a rack that are not attached
// have surely stopped what a former owner gave them.
func (o *Owner) othersStopped(r *rack, now time.Time) bool {
	if r.mostSince.IsZero() {
		return false
	}
	// A former owner believes in a worker for as long as a watch may take.
	noticed := r.mostSince.Add(o.hold() + commandTime + pauseLimit)
	return now.After(lease.SurelyOver(noticed, o.TaskLease))
}
