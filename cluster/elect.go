// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/sock"
)

const (
	electEvery = 60 * time.Millisecond
	// firstLook is how long a new instance listens before it takes a free cell: enough to
	// hear of an owner in its region, and short, as callers wait for it after a loss of power
	// to all instances.
	firstLook = 40 * time.Millisecond
	// rankPause keeps the candidates for a cell apart, and strongerPause lets those
	// with much more of a processor go first.
	rankPause     = 30 * time.Millisecond
	rankMost      = 8
	strongerPause = 300 * time.Millisecond
	// ownedPause is added for each cell that an instance owns already.
	ownedPause = 300 * time.Millisecond
	// watchAfter is how long an owner may not have been heard before its cell lease may
	// be taken, if it is free or the owner's process is gone.
	watchAfter = 450 * time.Millisecond
	electTime  = 3 * time.Second
	// ownerGoesOn is how long an owner may not have been heard before it gives no orders
	// for the reason that all others answer it.
	ownerGoesOn = answerWithin + claim.Margin
	// startPause is for how long after its start an instance leaves cells to stronger
	// ones that the store lists: as long as those take to start and to take a cell.
	startPause = 700 * time.Millisecond
	probeTime  = 250 * time.Millisecond
)

// watched is what an instance knows of the last write of a cell's lease.
type watched struct {
	ver uint64
	// since is when the write had surely been begun.
	since time.Time
}

// sawWrite notes that version ver of a cell lease had been written at since.
func (n *Instance) sawWrite(name string, ver uint64, since time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.lastWrites[name]; ver > w.ver || (ver == w.ver && since.Before(w.since)) {
		n.lastWrites[name] = watched{ver: ver, since: since}
	}
}

// unwritten returns for how long a cell lease that stands at version ver has surely gone
// unwritten.
func (n *Instance) unwritten(name string, ver uint64, now time.Time) time.Duration {
	n.sawWrite(name, ver, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.lastWrites[name]; w.ver == ver {
		return now.Sub(w.since)
	}
	return 0
}

// vacancy is what an instance knows of a cell whose owner is not heard.
type vacancy struct {
	since time.Time
	// trying says that this instance tries to take the cell lease.
	trying atomic.Bool
}

// electLoop takes the lease of a cell whenever nobody else has it.
func (n *Instance) electLoop(ctx context.Context) {
	sleep(ctx, firstLook)
	vacant := make(map[string]*vacancy)
	for ctx.Err() == nil {
		now := clock.Now()
		if n.leaving.Load() || now.Before(n.restsUntil()) {
			clear(vacant)
		} else {
			n.elect(ctx, vacant, now)
		}
		sleep(ctx, electEvery)
	}
}

// elect looks at every cell once.
func (n *Instance) elect(ctx context.Context, vacant map[string]*vacancy, now time.Time) {
	newest := n.members.newest(now)
	for _, name := range n.division.cells() {
		if o, ok := newest[name]; n.own(name) != nil || (ok && o.drives(now, watchAfter)) {
			delete(vacant, name)
			continue
		}
		v := vacant[name]
		if v == nil {
			v = &vacancy{since: now}
			vacant[name] = v
		}
		if n.waitsForStronger(now) || now.Sub(v.since) < n.turn(name, now) || !v.trying.CompareAndSwap(false, true) {
			continue
		}
		go func() {
			defer v.trying.Store(false)
			n.tryTake(ctx, name)
		}()
	}
}

// ownerHeard reports whether the owner of a cell was heard within a time.
func (n *Instance) ownerHeard(name string, now time.Time, within time.Duration) bool {
	o := n.members.owner(name, now)
	return o != nil && o.drives(now, within)
}

// turn returns how long this instance leaves a vacant cell to others that own none:
// to those with much more of a processor, and to those that come before it by lot.
func (n *Instance) turn(name string, now time.Time) time.Duration {
	// Only some of the others are heard; the store lists all.
	own, first, stronger := draw(name+"/"+n.settings.Instance), 0, n.members.listedAbove(n.enough())
	for _, k := range n.members.list(now, (*member).free) {
		stronger = stronger || k.processor > n.enough()
		if k.processor >= n.processor() && draw(name+"/"+k.name) < own {
			first++
		}
	}
	pause := time.Duration(min(first, rankMost)) * rankPause
	if stronger {
		pause += strongerPause
	}
	return pause + time.Duration(len(n.owned()))*ownedPause
}

// waitsForStronger reports whether this instance has just started and leaves cells to
// much stronger ones that may be starting too, and that it has not heard yet. After a
// loss of power to all, a weak owner would have to read the jobs only to yield.
func (n *Instance) waitsForStronger(now time.Time) bool {
	return now.Sub(n.began) < startPause && n.members.listedAbove(n.enough())
}

// tryTake takes the cell lease if its owner is gone.
func (n *Instance) tryTake(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, electTime)
	defer cancel()
	c := n.newClaim(name)
	lease, err := c.Read(ctx)
	if err != nil {
		return
	}
	now := clock.Now()
	watched := n.unwritten(name, lease.Ver, now)
	why := n.vacant(ctx, lease.Lease, n.goneUnwritten(lease, watched)-n.turn(name, now))
	if why == "" || n.ownerHeard(name, clock.Now(), ownerGoesOn) {
		return
	}
	if err := c.Take(ctx, lease); err != nil {
		level.Info(n.kit.Log).Log("event", "cell_lease_not_taken", "cell", name, "err", err)
		return
	}
	n.kit.Scope.Tagged(map[string]string{"why": why}).Counter("cell_leases_taken_total").Inc(1)
	level.Info(n.kit.Log).Log("event", "cell_lease_taken", "cell", name, "epoch", c.Epoch(), "before", lease.Owner, "why", why,
		"unwritten_ms", lease.Unwritten.Milliseconds(), "watched_ms", watched.Milliseconds(), "absent", len(lease.Absent))
	n.drive(name, c, formerGoesOn(why, lease.Lease, watched))
}

// newClaim returns a claim of this instance to a cell.
func (n *Instance) newClaim(name string) *claim.Claim {
	begun := clock.Now()
	return &claim.Claim{
		Store: n.storeClient, Cell: name, Owner: n.settings.Instance,
		Boot: n.boot, Addr: n.settings.Listen.Peer,
		Absent: func() []string {
			now := clock.Now()
			if now.Sub(begun) < absentAfter {
				// Those that an instance hears seldom have not answered its greetings as an
				// owner yet.
				return nil
			}
			return n.members.absent(now)
		},
	}
}

// goneUnwritten returns for how long a lease has gone unwritten that was watched for so long.
// The store's clock tells of the time before as well, for which callers wait otherwise. An instance that is new to the owner has to watch for the
// whole time, since the store may be away for the owner alone, which then goes on without an
// answer of those that it does not know.
func (n *Instance) goneUnwritten(lease claim.Seen, watched time.Duration) time.Duration {
	if !n.listed.Load() {
		return watched
	}
	return max(watched, lease.Unwritten)
}

// Why a cell lease may be taken: its owner's address refuses connections, or it went
// unwritten for longer than its owner goes on.
const (
	whyGone   = "owner's process is gone"
	whySilent = "owner silent"
)

// formerGoesOn returns for how long after the taking of a lease its former owner may give
// orders.
func formerGoesOn(why string, lease claim.Lease, watched time.Duration) time.Duration {
	switch {
	case why == whyGone:
		// It may be behind a cut that refuses connections.
		return lease.Silence()
	case why == whySilent && watched < lease.Silence():
		// The former life of this instance may have answered it a moment ago.
		return claim.Margin
	}
	return 0
}

// vacant returns why a cell lease may be taken, "" if it may not.
func (n *Instance) vacant(ctx context.Context, lease claim.Lease, unwritten time.Duration) string {
	switch {
	case lease.Owner == "":
		return "free"
	case lease.Owner == n.settings.Instance:
		return "was this instance's before"
	case unwritten > lease.SilenceFor(n.settings.Instance):
		return whySilent
	}
	heard := n.members.list(clock.Now(), func(k *member) bool { return k.name == lease.Owner })
	if len(heard) > 0 && heard[0].boot != lease.Boot {
		return "owner has started anew"
	}
	if slices.Contains(lease.Absent, n.settings.Instance) {
		// The refusal may come of the cut that keeps this instance from its owner.
		return ""
	}
	// An address behind a cut says nothing: it is asked no longer than the lease is left,
	// or the look that finds the lease over comes that much later.
	ctx, cancel := context.WithTimeout(ctx, lease.Silence()-unwritten+electEvery/2)
	defer cancel()
	if n.refused(ctx, lease.Addr) {
		return whyGone
	}
	return ""
}

// refused reports whether nobody listens at an address.
func (n *Instance) refused(ctx context.Context, addr string) bool {
	c, err := sock.Dialer(probeTime).DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return isRefused(err)
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
