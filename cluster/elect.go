// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"dewpass.org/internal/clock"
)

const (
	electInterval = 60 * time.Millisecond
	// startupListenTime is how long a new instance listens before it claims a free cell: enough to
	// hear an owner in its region, and short, as callers wait for it after a power loss of all
	// instances.
	startupListenTime = 40 * time.Millisecond
	// rankDelay separates the candidates for a cell in time. strongerDelay lets candidates with a
	// much larger processor share go first.
	rankDelay     = 30 * time.Millisecond
	maxRank       = 8
	strongerDelay = 300 * time.Millisecond
	// ownedCellDelay is added for each cell that an instance already owns.
	ownedCellDelay = 300 * time.Millisecond
	// ownerTimeout is how long an owner must not have been heard before its cell lease may be
	// taken, provided that the lease is free or the owner's process is gone.
	ownerTimeout = 450 * time.Millisecond
	electTimeout = 3 * time.Second
	// startupDelay is how long after its start an instance leaves cells to stronger instances that
	// the store lists: the time that those take to start and to claim a cell.
	startupDelay = 700 * time.Millisecond
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
// be over. One that names this instance as absent has been written lately and is left to others. Instances that hear the owner notice at once when it is gone. Without this, all instances of
// a hall that was cut off read the leases of the other halls' cells in each round until owners have
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

// electLoop claims cells that have no live owner until ctx ends.
func (n *Instance) electLoop(ctx context.Context) {
	sleep(ctx, startupListenTime)
	vacant := make(map[string]*vacancy)
	for ctx.Err() == nil {
		now := clock.Now()
		if n.leaving.Load() || now.Before(n.electionPausedUntil()) {
			clear(vacant)
		} else {
			n.elect(ctx, vacant, now)
		}
		sleep(ctx, electInterval)
	}
}

// elect checks every cell once.
func (n *Instance) elect(ctx context.Context, vacant map[string]*vacancy, now time.Time) {
	newest, owned := n.members.cellsByName(now), len(n.ownCells())
	// While the store is away, one read shows whether it is back. Instances of a hall that is cut off
	// hear no owner, and would read the lease of each cell over and over.
	attempts := 1
	if n.storeClient.Reachable() {
		attempts = len(n.division.cells())
	}
	for _, name := range n.electionOrder() {
		if o, ok := newest[name]; n.ownDriver(name) != nil || (ok && o.activeWithin(now, ownerTimeout)) {
			delete(vacant, name)
			continue
		}
		v := vacant[name]
		if v == nil {
			v = &vacancy{since: now}
			vacant[name] = v
		}
		if attempts == 0 || n.defersToStronger(now) || now.Sub(v.since) < n.electionDelay(name, now) || v.claiming.Load() || now.Before(v.nextRead) {
			continue
		}
		attempts--
		v.claiming.Store(true)
		go func() {
			defer v.claiming.Store(false)
			if r := n.takeLease(ctx, name, owned); r.ver > 0 {
				v.noteRead(r, clock.Now())
			}
		}()
	}
}

// electionOrder returns the cells, beginning with a different one on each instance: if all cells are
// vacant, instances that start together then try to take different ones.
func (n *Instance) electionOrder() []string {
	names := n.division.cells()
	if len(names) == 0 {
		return nil
	}
	first := int(hash32(n.settings.Instance) % uint32(len(names)))
	return slices.Concat(names[first:], names[:first])
}

// ownerHeard reports whether the owner of a cell was heard within a time.
func (n *Instance) ownerHeard(name string, now time.Time, within time.Duration) bool {
	o := n.members.owner(name, now)
	return o != nil && o.activeWithin(now, within)
}

// electionDelay returns how long this instance leaves a vacant cell to instances that own none: those
// of the cell's hall, those with a much larger processor share, and those that precede it in an order
// drawn by hash.
func (n *Instance) electionDelay(name string, now time.Time) time.Duration {
	hall := n.cellHall(name)
	// Greetings reach only some of the others; the store lists all.
	ownHash, rank, stronger := hash32(name+"/"+n.settings.Instance), 0, n.members.listedAbove(n.strongerThreshold())
	for _, k := range n.members.list(now, (*member).free) {
		stronger = stronger || k.processor > n.strongerThreshold()
		// Those of other halls wait for the instances of the cell's hall.
		precedes := hall != n.settings.Hall || k.hall == hall
		if precedes && k.processor >= n.processor() && hash32(name+"/"+k.name) < ownHash {
			rank++
		}
	}
	pause := time.Duration(min(rank, maxRank)) * rankDelay
	if stronger {
		pause += strongerDelay
	}
	return pause + n.hallDelay(hall, now) + time.Duration(len(n.ownCells()))*ownedCellDelay
}

// defersToStronger reports whether this instance has just started and leaves cells to much stronger
// instances that may be starting too and were not heard yet. After a power loss of all instances a
// weak owner would load the jobs only to yield the cell.
func (n *Instance) defersToStronger(now time.Time) bool {
	return now.Sub(n.startedAt) < startupDelay && n.members.listedAbove(n.strongerThreshold())
}
