// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"slices"
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
)

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
