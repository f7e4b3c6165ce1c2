// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"math/rand/v2"
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
	// An owner that the store does not answer continues to give orders while all other instances
	// answer its greetings. ownerActiveTime is how long an owner must not have been heard until
	// that can no longer be the case.
	ownerActiveTime = answerMaxAge + claim.TakeoverMargin
	// startupDelay is how long after its start an instance leaves cells to stronger instances that
	// the store lists: the time that those take to start and to claim a cell.
	startupDelay     = 700 * time.Millisecond
	dialProbeTimeout = 250 * time.Millisecond
	// maxLeaseReadPause is the longest mean pause between reads of the lease of a cell whose owner is
	// not heard, although it writes the lease.
	maxLeaseReadPause = 16 * electInterval
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
	// absent means that the lease names this instance as absent.
	absent bool
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

// takeLease takes the cell lease if its owner is gone, and returns what it has read. owned is the number
// of own cells for which the election delay has passed: with more of them, the cell is left to others
// for longer.
func (n *Instance) takeLease(ctx context.Context, name string, owned int) leaseRead {
	ctx, cancel := context.WithTimeout(ctx, electTimeout)
	defer cancel()
	c := n.newClaim(name)
	lease, err := c.Read(ctx)
	if err != nil {
		return leaseRead{}
	}
	now := clock.Now()
	watched := n.watchedUnwritten(name, lease.Ver, now)
	unwritten := n.knownUnwritten(lease, watched)
	read := leaseRead{
		ver: lease.Ver, left: lease.TakeoverAfter(n.settings.Instance) - unwritten,
		absent: slices.Contains(lease.Absent, n.settings.Instance),
	}
	why := n.vacancyReason(ctx, lease.Lease, unwritten-n.electionDelay(name, now))
	if why == "" || n.ownerHeard(name, clock.Now(), ownerActiveTime) {
		return read
	}
	if !n.taking.CompareAndSwap(false, true) {
		return read
	}
	defer n.taking.Store(false)
	if len(n.ownCells()) > owned {
		return read
	}
	if err := c.Take(ctx, lease); err != nil {
		level.Info(n.kit.Log).Log("event", "cell_lease_not_taken", "cell", name, "err", err)
		return read
	}
	n.kit.Scope.Tagged(map[string]string{"why": why}).Counter("cell_leases_taken_total").Inc(1)
	level.Info(n.kit.Log).Log("event", "cell_lease_taken", "cell", name, "epoch", c.Epoch(), "before", lease.Owner, "why", why,
		"unwritten_ms", lease.Age.Milliseconds(), "watched_ms", watched.Milliseconds(), "absent", len(lease.Absent))
	n.startDriver(name, c, formerOwnerTime(why, lease.Lease, watched))
	return read
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
				// Instances that are greeted rarely have not had time to answer greetings of this
				// instance as an owner yet.
				return nil
			}
			return n.members.absent(now)
		},
	}
}

// knownUnwritten returns for how long a lease has gone unwritten, given for how long it was
// watched. The store's clock also covers the time before the first read, which otherwise callers
// would have to wait out. An instance that owners do not know yet has to watch for the whole time:
// the store may be unreachable for the owner alone, which then continues to give orders without
// answers of instances that it does not know.
func (n *Instance) knownUnwritten(lease claim.Snapshot, watched time.Duration) time.Duration {
	if !n.listed.Load() {
		return watched
	}
	return max(watched, lease.Age)
}

// Reasons why a cell lease may be taken: its owner's address refuses connections, or it went
// unwritten for longer than its owner may give orders.
const (
	reasonOwnerGone   = "owner's process is gone"
	reasonOwnerSilent = "owner silent"
)

// formerOwnerTime returns for how long after a lease was taken its former owner may still give
// orders.
func formerOwnerTime(why string, lease claim.Lease, watched time.Duration) time.Duration {
	switch {
	case why == reasonOwnerGone:
		// The owner may be behind a cut in the network that refuses connections.
		return lease.Expiry()
	case why == reasonOwnerSilent && watched < lease.Expiry():
		// An earlier process of this instance may have answered the owner's greeting a moment ago.
		return claim.TakeoverMargin
	}
	return 0
}

// vacancyReason returns why a cell lease may be taken, "" if it may not.
func (n *Instance) vacancyReason(ctx context.Context, lease claim.Lease, unwritten time.Duration) string {
	switch {
	case lease.Owner == "":
		return "free"
	case lease.Owner == n.settings.Instance:
		return "was this instance's before"
	case unwritten > lease.TakeoverAfter(n.settings.Instance):
		return reasonOwnerSilent
	}
	heard := n.members.list(clock.Now(), func(k *member) bool { return k.name == lease.Owner })
	if len(heard) > 0 && heard[0].boot != lease.Boot {
		return "owner has started anew"
	}
	if slices.Contains(lease.Absent, n.settings.Instance) {
		// The refusal may come from the network cut that separates this instance from the owner.
		return ""
	}
	// An address behind a network cut does not answer. It is dialed no longer than the lease still
	// runs, so that the check that finds the lease over is not delayed by the dial timeout.
	ctx, cancel := context.WithTimeout(ctx, lease.Expiry()-unwritten+electInterval/2)
	defer cancel()
	if n.refusesConnections(ctx, lease.Addr) {
		return reasonOwnerGone
	}
	return ""
}

// refusesConnections reports whether nobody listens at an address.
func (n *Instance) refusesConnections(ctx context.Context, addr string) bool {
	c, err := sock.Dialer(dialProbeTimeout).DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return isRefused(err)
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
