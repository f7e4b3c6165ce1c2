// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// maxLeaseReadPause is the longest mean pause between reads of the lease of a cell whose owner is
	// not heard, although it writes the lease.
	maxLeaseReadPause = 16 * electInterval
	// ownerHeardPause is the pause before the next read of a lease whose owner others hear.
	ownerHeardPause = 2 * electInterval
)

// leaseWrite is the last known write of a cell's lease.
type leaseWrite struct {
	ver uint64
	// begunBefore is a time at which the write had certainly begun.
	begunBefore time.Time
}

// noteLeaseWrite records that the write of version ver of a cell lease had begun before or at
// begunBefore.
func (n *Instance) noteLeaseWrite(name string, ver uint64, begunBefore time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.lastWrites[name]; ver > w.ver || (ver == w.ver && begunBefore.Before(w.begunBefore)) {
		n.lastWrites[name] = leaseWrite{ver: ver, begunBefore: begunBefore}
	}
}

// watchedUnwritten returns for how long, at least, this instance has observed a cell lease to stay
// at version ver.
func (n *Instance) watchedUnwritten(name string, ver uint64, now time.Time) time.Duration {
	n.noteLeaseWrite(name, ver, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.lastWrites[name]; w.ver == ver {
		return now.Sub(w.begunBefore)
	}
	return 0
}

// vacancy is the state of a cell whose owner is not heard.
type vacancy struct {
	since time.Time
	// claiming is true while this instance tries to take the cell lease. Meanwhile only that attempt
	// uses the fields below.
	claiming atomic.Bool
	// ver is the version of the lease when it was last read, pause the mean pause after which it is
	// read again, and nextRead when that is.
	ver      uint64
	pause    time.Duration
	nextRead time.Time
}

// noteRead records that the lease was read and not taken. A version that is higher than at the last
// read shows that the owner is alive: the lease is then read less and less often, and again when it may
// be over. One that names this instance as absent has been written lately and is left to others.
// Instances that hear the owner notice at once when it is gone. Without this, all instances of a hall
// that was cut off would read the leases of the other halls' cells in each round until owners have
// greeted them again.
func (v *vacancy) noteRead(r leaseRead, now time.Time) {
	switch {
	case r.absent:
		v.pause = maxLeaseReadPause
	case r.ownerHeard:
		v.nextRead = now.Add(ownerHeardPause)
		return
	case v.ver > 0 && r.ver > v.ver:
		v.pause = min(max(2*v.pause, 2*electInterval), maxLeaseReadPause)
	}
	v.ver, v.nextRead = max(v.ver, r.ver), now
	if v.pause > 0 {
		v.nextRead = now.Add(min(v.pause/2+rand.N(v.pause), max(r.left, 0)))
	}
}

// leaseRead is what a read of a cell lease has shown. The zero value is a read that failed.
type leaseRead struct {
	ver uint64
	// left is how long it takes at least until the lease may be taken, unless its owner's process ends.
	left time.Duration
	// absent means that the lease names this instance as absent, and ownerHeard that another instance
	// hears the owner.
	absent, ownerHeard bool
}
