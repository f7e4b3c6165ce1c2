// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/sock"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

const (
	dialProbeTimeout = 250 * time.Millisecond
	// takeoverAskTimeout is how long an instance waits for the others of its hall before it takes a
	// cell. Those that are there answer within milliseconds.
	takeoverAskTimeout = 100 * time.Millisecond
	// maxTakeoverAsked is how many it asks at the most. An owner greets all instances, so that each of
	// them that is alive can tell.
	maxTakeoverAsked = 16
)

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
	n.learnEpoch(name, lease.Epoch)
	watched := n.watchedUnwritten(name, lease.Ver, now)
	unwritten := n.knownUnwritten(lease, watched)
	read := leaseRead{
		ver: lease.Ver, left: lease.TakeoverAfter(n.settings.Instance) - unwritten,
		absent: slices.Contains(lease.Absent, n.settings.Instance),
	}
	why := n.vacancyReason(ctx, lease.Lease, unwritten-n.electionDelay(name, now))
	if why == "" || !n.taking.CompareAndSwap(false, true) {
		return read
	}
	defer n.taking.Store(false)
	if len(n.ownCells()) > owned || !n.beginTakeover(name, lease.Ver) {
		return read
	}
	var asked hallReply
	if mayStillOrder(why) {
		asked = n.askHall(ctx, name, lease)
	}
	if asked.ownerHeard {
		n.endTakeover(name)
		read.ownerHeard = true
		level.Info(n.kit.Log).Log("event", "cell_lease_left", "cell", name, "epoch", lease.Epoch, "owner", lease.Owner, "why", why, "heard_by", asked.by)
		return read
	}
	if !n.writeTakeover(ctx, c, lease) {
		return read
	}
	n.kit.Scope.Tagged(map[string]string{"why": why}).Counter("cell_leases_taken_total").Inc(1)
	level.Info(n.kit.Log).Log("event", "cell_lease_taken", "cell", name, "epoch", c.Epoch(), "before", lease.Owner, "why", why,
		"unwritten_ms", lease.Age.Milliseconds(), "watched_ms", watched.Milliseconds(), "absent", len(lease.Absent), "asked", asked.asked, "unanswered", asked.unanswered)
	n.startDriver(name, c, formerOwnerTime(why, lease.Lease, watched, asked))
	return read
}

// writeTakeover writes the lease of a cell of which the takeover has begun, and reports whether this
// instance owns the cell now.
func (n *Instance) writeTakeover(ctx context.Context, c *claim.Claim, lease claim.Snapshot) bool {
	err := c.Take(ctx, lease)
	switch {
	case err == nil:
		// Before the end of the takeover: the cell remains contested against its former owner.
		n.learnEpoch(c.Cell, c.Epoch())
	case !kind.Is(err, kind.Fenced) && !kind.Is(err, kind.Conflict) && !kind.Is(err, kind.BadRequest):
		n.takeoverPossible(c.Cell, lease.Ver)
	}
	n.endTakeover(c.Cell)
	if err != nil {
		level.Info(n.kit.Log).Log("event", "cell_lease_not_taken", "cell", c.Cell, "err", err)
	}
	return err == nil
}

// ownerMayOrder reports whether an owner was heard that may go on because of this instance's answer. An
// owner whose cell this instance contests may not. The lock is held.
func (n *Instance) ownerMayOrder(name string) bool {
	now := clock.Now()
	o, ok := n.members.cellsByName(now)[name]
	return ok && o.activeWithin(now, claim.OwnerActiveTime) && !n.contests.Contested(name, o.cell.Epoch, o.cell.LeaseVer)
}

// beginTakeover records that this instance is about to take a cell lease, which it has read at a
// version. It returns false if the owner is active. From then on this instance contests the cell, so
// that an owner which greets it in the meantime does not rely on its answer.
func (n *Instance) beginTakeover(name string, ver uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerMayOrder(name) {
		return false
	}
	n.contests.Attempt(name, ver)
	return true
}

// endTakeover records that this instance's takeover of a cell lease has succeeded or failed for certain.
func (n *Instance) endTakeover(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contests.Settled(name)
}

// takeoverPossible records that a takeover of this instance may still take effect.
func (n *Instance) takeoverPossible(name string, ver uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contests.Possible(name, ver)
}

// hallReply is what the other instances of the hall have replied to an instance that is about to take
// a cell lease.
type hallReply struct {
	asked, unanswered int
	// ownerHeard means that an instance, by, hears the owner.
	ownerHeard bool
	by         string
}

// askHall asks other instances of this one's hall whether they hear the owner of a cell. An owner
// without the store goes on without the answer of an instance as long as another one of its hall
// answers: this one may have been paused, or be cut off by itself.
func (n *Instance) askHall(ctx context.Context, name string, lease claim.Snapshot) hallReply {
	ctx, cancel := context.WithTimeout(ctx, takeoverAskTimeout)
	defer cancel()
	req := &wire.Request{Body: &wire.Request_Takeover{Takeover: &wire.TakeoverQuery{Cell: name, LeaseVer: lease.Ver}}}
	addrs := n.members.takeoverAddrs(lease.Addr)
	out := hallReply{asked: len(addrs)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			reply, err := n.dialer.Do(ctx, addr, req)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && reply.GetTakeover().GetOwnerHeard():
				out.ownerHeard, out.by = true, addr
				cancel()
			case err != nil && !isRefused(err) && !kind.Is(err, kind.BadRequest):
				// An earlier build answers that it does not know the request; no owner relies on it.
				out.unanswered++
			}
		})
	}
	wg.Wait()
	return out
}

// takeoverAddrs returns addresses, but for the owner's, of other instances of this one's hall and of
// those of which the hall is not known: those that were heard last first, maxTakeoverAsked at the most.
func (m *members) takeoverAddrs(owner string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	heardAt, otherHall := make(map[string]time.Time), make(map[string]bool)
	for _, k := range m.known {
		heardAt[k.addr], otherHall[k.addr] = k.heardAt, k.hall != m.hall
	}
	var out []string
	for addr := range m.addrs {
		if addr != owner && !otherHall[addr] {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return heardAt[b].Compare(heardAt[a]) })
	return out[:min(len(out), maxTakeoverAsked)]
}

// handleTakeover answers an instance that is about to take a cell lease.
func (n *Instance) handleTakeover(q *wire.TakeoverQuery) *wire.Reply {
	heard := false
	if c := n.ownCells()[q.Cell]; c != nil {
		heard = c.claim.Valid(clock.Now()) || n.answeredByAll(q.Cell, c.claim)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	heard = heard || n.ownerMayOrder(q.Cell)
	if !heard {
		n.contests.Possible(q.Cell, q.LeaseVer)
	}
	return &wire.Reply{Body: &wire.Reply_Takeover{Takeover: &wire.TakeoverAnswer{OwnerHeard: heard}}}
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

// mayStillOrder reports whether the former owner may be alive and give orders, so that other
// instances have to be asked whether they hear it.
func mayStillOrder(why string) bool { return why == reasonOwnerGone || why == reasonOwnerSilent }

// formerOwnerTime returns for how long after a lease was taken its former owner may still give
// orders.
func formerOwnerTime(why string, lease claim.Lease, watched time.Duration, asked hallReply) time.Duration {
	switch {
	case why == reasonOwnerGone || asked.unanswered > 0:
		// The owner may be behind a cut in the network that refuses connections, or be heard by an
		// instance that has not answered. It learns soon that another instance has the lease.
		return lease.Expiry()
	case why == reasonOwnerSilent && watched < lease.Expiry():
		// An earlier process of this instance may have answered the owner's greeting a moment ago.
		return claim.OwnerActiveTime
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
