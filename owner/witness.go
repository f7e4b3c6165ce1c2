// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"dewpass.org/lease"
)

// checkMajority tracks whether more than half of the workers of a rack are attached. An owner
// that is cut off from the table continues only while it has this majority. Otherwise another
// owner may have it, and this one stops renewing leases. Therefore an owner that has had the
// majority for long enough knows that the tasks of the other workers have stopped. The lock is
// held.
func (o *Owner) checkMajority(r *rack, now time.Time) {
	attached := 0
	for _, w := range r.workers {
		if w.attached {
			attached++
		}
	}
	majority := 2*attached > len(r.workers)
	if !majority {
		r.majoritySince = time.Time{}
	} else if r.majoritySince.IsZero() {
		r.majoritySince = now
	}
	lostMajority := o.cutOff && !majority && len(r.workers) > 1
	for _, w := range r.workers {
		pause := lostMajority && now.Sub(r.ownedSince) > o.TaskLease
		if pause == w.renewalPaused {
			continue
		}
		w.renewalPaused = pause
		o.updateAvailability(w)
		if pause && w.cancelWatch != nil {
			w.cancelWatch()
		}
	}
}

// detachedStopped reports whether the workers of a rack that are not attached have certainly
// stopped what an earlier owner started there.
func (o *Owner) detachedStopped(r *rack, now time.Time) bool {
	if r.majoritySince.IsZero() {
		return false
	}
	// An earlier owner regards a worker as attached until its watch fails or times out.
	noticed := r.majoritySince.Add(o.watchHold() + commandTimeout + pauseLimit)
	return now.After(lease.CertainExpiry(noticed, o.TaskLease))
}
