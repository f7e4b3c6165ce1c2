// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

const (
	// An owner greets every ownerGreetInterval, another instance every idleGreetInterval.
	ownerGreetInterval = 250 * time.Millisecond
	idleGreetInterval  = 2 * ownerGreetInterval
	greetTimeout       = 600 * time.Millisecond
)

// greeting returns this instance's greeting.
func (n *Instance) greeting() *wire.Greeting {
	g := &wire.Greeting{
		Instance: n.settings.Instance, Hall: n.settings.Hall, Boot: n.boot, Addr: n.settings.Listen.Peer,
		Processor: n.processor(), Leaving: n.leaving.Load(), MovesJobs: n.division.several(), LendsLimits: n.division.several(),
		StatesContests: true,
	}
	n.addStoreState(g, clock.Now())
	for name, c := range n.ownCells() {
		g.Cells = append(g.Cells, n.summary(name, c))
	}
	return g
}

// summary returns the summary of an own cell.
func (n *Instance) summary(name string, c *ownCell) *wire.CellSummary {
	d, written := c.driver, c.claim.LastWrite()
	load := d.Load()
	return &wire.CellSummary{
		Name: name, Epoch: d.Claim.Epoch(), Ready: d.Ready(), Keeps: n.storeClient.Reachable(),
		Room: load.Room[sched.MilliCPU], Free: load.Free[sched.MilliCPU], Waiting: load.Waiting,
		LeaseVer: written.Ver, LeaseAgeUs: uint64(clock.Since(written.Begun).Microseconds()),
		Pending: pendingOf(load), Halls: hallRooms(load), Queues: queueLoads(d.QueueLoads()),
		Workers: n.workersToReport(name, d, clock.Now()),
	}
}

// pendingOf returns the number of pending jobs of each queue.
func pendingOf(load cell.Load) []*wire.QueuePending {
	out := make([]*wire.QueuePending, 0, len(load.Pending))
	for q, jobs := range load.Pending {
		out = append(out, &wire.QueuePending{Queue: q, Jobs: uint32(jobs)})
	}
	return out
}

// hallRooms returns the free room of each hall, sorted by name.
func hallRooms(load cell.Load) []*wire.HallRoom {
	halls := make([]*wire.HallRoom, 0, len(load.Halls))
	for _, name := range slices.Sorted(maps.Keys(load.Halls)) {
		halls = append(halls, &wire.HallRoom{Name: name, Free: load.Halls[name]})
	}
	return halls
}

// processor returns this instance's share of a processor, in thousandths.
func (n *Instance) processor() uint32 { return uint32(n.settings.Cluster.Processor * 1000) }

// greetLoop greets other instances until ctx ends.
func (n *Instance) greetLoop(ctx context.Context) {
	last := time.Time{}
	for ctx.Err() == nil {
		now := clock.Now()
		if len(n.ownCells()) > 0 || now.Sub(last) >= idleGreetInterval-ownerGreetInterval/2 {
			last = now
			n.greet(ctx)
		}
		sleep(ctx, ownerGreetInterval)
	}
}

// greet sends one round of greetings. If this instance owns a cell it greets everybody, so that the
// silence of an owner is noticed; otherwise it greets those whose turn it is.
func (n *Instance) greet(ctx context.Context) {
	req := &wire.Request{Body: &wire.Request_Greeting{Greeting: n.greeting()}}
	for _, addr := range n.greetTargets(clock.Now()) {
		go n.greetOne(ctx, addr, req)
	}
}

// greetTargets returns the addresses to greet.
func (n *Instance) greetTargets(now time.Time) []string {
	if len(n.ownCells()) > 0 {
		return n.members.allAddrs(now)
	}
	return n.members.nextRound(now)
}

func (n *Instance) greetOne(ctx context.Context, addr string, req *wire.Request) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	sent := clock.Now()
	reply, err := n.dialer.Do(ctx, addr, req)
	if err == nil {
		n.applyGreeting(reply.GetGreeting())
		n.members.markAnswered(reply.GetGreeting(), sent, clock.Now())
	} else if isRefused(err) {
		n.members.markRefused(addr, clock.Now())
	}
}

// greetAll greets everybody and waits for the answers, at most greetTimeout.
func (n *Instance) greetAll(ctx context.Context) {
	req := &wire.Request{Body: &wire.Request_Greeting{Greeting: n.greeting()}}
	var wg sync.WaitGroup
	for _, addr := range n.members.allAddrs(clock.Now()) {
		wg.Go(func() { n.greetOne(ctx, addr, req) })
	}
	wg.Wait()
}

// applyGreeting applies a received greeting.
func (n *Instance) applyGreeting(g *wire.Greeting) {
	for _, c := range g.GetCells() {
		// The greeting took some time to arrive: the write began no later than that.
		n.learnEpoch(c.Name, c.Epoch)
		n.noteLeaseWrite(c.Name, c.LeaseVer, clock.Now().Add(-time.Duration(c.LeaseAgeUs)*time.Microsecond))
	}
	if n.members.applyGreeting(g, clock.Now()) {
		// A line for each pair of instances: too many for a large fleet's ordinary log.
		level.Debug(n.kit.Log).Log("event", "peer_heard", "peer", g.Instance, "peer_hall", g.Hall, "boot", g.Boot)
	}
	n.applyStoreState(g, clock.Now())
	if g.GetConfigVersion() > n.config.Version() {
		go n.fetchFromPeer(g.Addr, g.GetConfigVersion())
	}
}
