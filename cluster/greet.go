// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

const (
	// An owner greets every ownerGreetInterval, another instance every idleGreetInterval.
	ownerGreetInterval = 250 * time.Millisecond
	idleGreetInterval  = 2 * ownerGreetInterval
	greetTimeout       = 600 * time.Millisecond
	// membersTable is the table with the list of instances and their addresses.
	membersTable        = "members"
	membersReadInterval = 5 * time.Second
	// Up to smallFleet instances each read the list every membersReadInterval, more of them
	// accordingly less often: what is read grows with the square of their number. 147 instances
	// that read it every 5 s read 0.6 MB/s, a third of all reads of the store. An instance that
	// starts writes itself into the list, reads it and greets, so that the others need the list
	// only if they heard no greeting.
	smallFleet             = 30
	maxMembersReadInterval = 30 * time.Second
	membersRetryPause      = 300 * time.Millisecond
)

// greeting returns this instance's greeting.
func (n *Instance) greeting() *wire.Greeting {
	g := &wire.Greeting{
		Instance: n.settings.Instance, Hall: n.settings.Hall, Boot: n.boot, Addr: n.settings.Listen.Peer,
		Processor: n.processor(), Leaving: n.leaving.Load(), ConfigVersion: n.config.Version(), StoreOk: n.storeClient.DirectlyReachable(),
	}
	for name, c := range n.ownCells() {
		d, written := c.driver, c.claim.LastWrite()
		load := d.Load()
		sum := &wire.CellSummary{
			Name: name, Epoch: d.Claim.Epoch(), Ready: d.Ready(), Keeps: n.storeClient.Reachable(),
			Room: load.Room[sched.MilliCPU], Free: load.Free[sched.MilliCPU], Waiting: load.Waiting,
			LeaseVer: written.Ver, LeaseAgeUs: uint64(clock.Since(written.Begun).Microseconds()),
		}
		sum.Pending = pendingOf(load)
		sum.Halls = hallRooms(load)
		sum.Queues = queueLoads(d.QueueLoads())
		g.Cells = append(g.Cells, sum)
	}
	g.Succeeded = n.unstoredSuccesses(clock.Now())
	return g
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
		n.markShared(req.GetGreeting().GetSucceeded())
		n.applyGreeting(reply.GetGreeting())
		n.members.markAnswered(reply.GetGreeting().GetInstance(), sent)
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
		n.noteLeaseWrite(c.Name, c.LeaseVer, clock.Now().Add(-time.Duration(c.LeaseAgeUs)*time.Microsecond))
	}
	n.applySuccesses(g.GetSucceeded(), g.GetBoot())
	if n.members.applyGreeting(g, clock.Now()) {
		level.Info(n.kit.Log).Log("event", "peer_heard", "peer", g.Instance, "peer_hall", g.Hall, "boot", g.Boot)
	}
	if g.GetConfigVersion() > n.config.Version() {
		go n.fetchFromPeer(g.Addr, g.GetConfigVersion())
	}
}

// memberRow is the stored form of an entry of the list of instances.
type memberRow struct {
	Addr string `json:"addr"`
	Hall string `json:"hall"`
	// Processor is the share of a processor, in thousandths.
	Processor uint32 `json:"processor,omitempty"`
}

func decodeMember(raw []byte) (memberRow, error) {
	var m memberRow
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	_, err := netip.ParseAddrPort(m.Addr)
	return m, err
}

// register reads the store's list of instances periodically, and writes this instance's entry if it
// is missing or differs, until ctx ends.
func (n *Instance) register(ctx context.Context) {
	own, err := json.Marshal(memberRow{Addr: n.settings.Listen.Peer, Hall: n.settings.Hall, Processor: n.processor()})
	if err != nil {
		return
	}
	put := rows.Tx{Put: []rows.Row{{Key: rows.Key{Table: membersTable, Name: n.settings.Instance}, Value: own}}}
	written := time.Time{}
	for ctx.Err() == nil {
		pause := membersRetryPause
		if all, ok := n.readMembers(ctx); ok {
			at := slices.IndexFunc(all, func(r rows.Row) bool { return r.Name == n.settings.Instance })
			if at >= 0 && clock.Since(written) > membersReadInterval {
				n.listed.Store(true)
			}
			if at >= 0 && bytes.Equal(all[at].Value, own) {
				pause = membersReadPause(len(all))
			} else if _, err := n.storeClient.Tx(ctx, put); err == nil {
				written = clock.Now()
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// membersReadPause returns when a list of so many instances is read again: soon while the others
// may still be starting, and less often the more there are, as all of them read it.
func membersReadPause(listed int) time.Duration {
	if listed <= 1 {
		return membersRetryPause
	}
	return min(max(membersReadInterval*time.Duration(listed)/smallFleet, membersReadInterval), maxMembersReadInterval)
}

// readMembers reads the store's list of instances, and reports whether that succeeded.
func (n *Instance) readMembers(ctx context.Context) ([]rows.Row, bool) {
	all, _, err := rows.ReadAll(ctx, n.storeClient, rows.Range{Table: membersTable})
	if err != nil {
		return nil, false
	}
	var listed []memberRow
	for _, r := range all {
		m, err := decodeMember(r.Value)
		if err != nil {
			n.badRows.note([]rows.BadRow{{Key: r.Key, Ver: r.Ver, Reason: err.Error()}})
			continue
		}
		listed = append(listed, m)
	}
	n.members.addListed(listed, clock.Now())
	return all, true
}
