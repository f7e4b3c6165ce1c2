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
	// An owner greets every greetEvery, another instance every restEvery.
	greetEvery = 250 * time.Millisecond
	restEvery  = 2 * greetEvery
	greetTime  = 600 * time.Millisecond
	// tableMembers lists the instances and their addresses.
	tableMembers = "members"
	membersEvery = 5 * time.Second
	// Up to membersFew instances read the list that often. What is read grows with the square
	// of their number: 147 that read it every 5 s read 0.6 MB/s, a third of all that is read
	// of the store. One that starts writes itself into the list, reads it, and greets, so
	// that the others need it only if they heard no greeting.
	membersFew  = 30
	membersMost = 30 * time.Second
	membersSoon = 300 * time.Millisecond
)

// greeting says who this instance is.
func (n *Instance) greeting() *wire.Greeting {
	g := &wire.Greeting{
		Instance: n.settings.Instance, Hall: n.settings.Hall, Boot: n.boot, Addr: n.settings.Listen.Peer,
		Processor: n.processor(), Leaving: n.leaving.Load(), ConfigVersion: n.config.Version(), StoreOk: n.storeClient.DirectOK(),
	}
	for name, c := range n.owned() {
		d, written := c.driver, c.claim.Written()
		load := d.Load()
		sum := &wire.CellSummary{
			Name: name, Epoch: d.Claim.Epoch(), Ready: d.Ready(), Keeps: n.storeClient.Reachable(),
			Room: load.Room[sched.Milli], Free: load.Free[sched.Milli], Waiting: load.Waiting,
			LeaseVer: written.Ver, LeaseAgeUs: uint64(clock.Since(written.Begun).Microseconds()),
		}
		sum.Pending = pendingOf(load)
		sum.Halls = hallRooms(load)
		g.Cells = append(g.Cells, sum)
	}
	g.Succeeded = n.unkept(clock.Now())
	return g
}

// pendingOf returns how many jobs of each queue wait.
func pendingOf(load cell.Load) []*wire.QueuePending {
	out := make([]*wire.QueuePending, 0, len(load.Pending))
	for q, jobs := range load.Pending {
		out = append(out, &wire.QueuePending{Queue: q, Jobs: uint32(jobs)})
	}
	return out
}

// hallRooms returns what is free in each hall, by name.
func hallRooms(load cell.Load) []*wire.HallRoom {
	halls := make([]*wire.HallRoom, 0, len(load.Halls))
	for _, name := range slices.Sorted(maps.Keys(load.Halls)) {
		halls = append(halls, &wire.HallRoom{Name: name, Free: load.Halls[name]})
	}
	return halls
}

// processor returns the share of a processor, in thousandths.
func (n *Instance) processor() uint32 { return uint32(n.settings.Cluster.Processor * 1000) }

// greetLoop greets the others until ctx ends.
func (n *Instance) greetLoop(ctx context.Context) {
	last := time.Time{}
	for ctx.Err() == nil {
		now := clock.Now()
		if len(n.owned()) > 0 || now.Sub(last) >= restEvery-greetEvery/2 {
			last = now
			n.greet(ctx)
		}
		sleep(ctx, greetEvery)
	}
}

// greet greets everybody if this instance owns a cell, since an owner's silence is
// noticed, and those whose turn it is if it does not.
func (n *Instance) greet(ctx context.Context) {
	req := &wire.Request{Body: &wire.Request_Greeting{Greeting: n.greeting()}}
	for _, addr := range n.targets(clock.Now()) {
		go n.greetOne(ctx, addr, req)
	}
}

// targets returns the addresses to greet.
func (n *Instance) targets(now time.Time) []string {
	if len(n.owned()) > 0 {
		return n.members.all(now)
	}
	return n.members.round(now)
}

func (n *Instance) greetOne(ctx context.Context, addr string, req *wire.Request) {
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	sent := clock.Now()
	reply, err := n.dialer.Do(ctx, addr, req)
	if err == nil {
		n.shared(req.GetGreeting().GetSucceeded())
		n.greeted(reply.GetGreeting())
		n.members.answer(reply.GetGreeting().GetInstance(), sent)
	} else if isRefused(err) {
		n.members.refusedAt(addr, clock.Now())
	}
}

// greetNow greets everybody and waits for the answers, for a while.
func (n *Instance) greetNow(ctx context.Context) {
	req := &wire.Request{Body: &wire.Request_Greeting{Greeting: n.greeting()}}
	var all sync.WaitGroup
	for _, addr := range n.members.all(clock.Now()) {
		all.Go(func() { n.greetOne(ctx, addr, req) })
	}
	all.Wait()
}

// greeted takes in a greeting.
func (n *Instance) greeted(g *wire.Greeting) {
	for _, c := range g.GetCells() {
		// The greeting took its time: the write was begun no later than that.
		n.sawWrite(c.Name, c.LeaseVer, clock.Now().Add(-time.Duration(c.LeaseAgeUs)*time.Microsecond))
	}
	n.heardEnds(g.GetSucceeded(), g.GetBoot())
	if n.members.heard(g, clock.Now()) {
		level.Info(n.kit.Log).Log("event", "peer_heard", "peer", g.Instance, "peer_hall", g.Hall, "boot", g.Boot)
	}
	if g.GetConfigVersion() > n.config.Version() {
		go n.fetchConfig(g.Addr, g.GetConfigVersion())
	}
}

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

// register reads the store's list of instances again and again, and writes this instance
// into it where it does not stand there as it is.
func (n *Instance) register(ctx context.Context) {
	own, err := json.Marshal(memberRow{Addr: n.settings.Listen.Peer, Hall: n.settings.Hall, Processor: n.processor()})
	if err != nil {
		return
	}
	put := rows.Tx{Put: []rows.Row{{Key: rows.Key{Table: tableMembers, Name: n.settings.Instance}, Value: own}}}
	written := time.Time{}
	for ctx.Err() == nil {
		pause := membersSoon
		if all, ok := n.readMembers(ctx); ok {
			at := slices.IndexFunc(all, func(r rows.Row) bool { return r.Name == n.settings.Instance })
			if at >= 0 && clock.Since(written) > membersEvery {
				n.listed.Store(true)
			}
			if at >= 0 && bytes.Equal(all[at].Value, own) {
				pause = membersPause(len(all))
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

// membersPause returns when the list is read again that names so many instances: soon while
// the others may still be starting, and seldomer the more there are, as all of them read it.
func membersPause(listed int) time.Duration {
	if listed <= 1 {
		return membersSoon
	}
	return min(max(membersEvery*time.Duration(listed)/membersFew, membersEvery), membersMost)
}

// readMembers reads the store's list of instances.
func (n *Instance) readMembers(ctx context.Context) ([]rows.Row, bool) {
	all, _, err := rows.All(ctx, n.storeClient, rows.Range{Table: tableMembers})
	if err != nil {
		return nil, false
	}
	var listed []memberRow
	for _, r := range all {
		m, err := decodeMember(r.Value)
		if err != nil {
			n.badRows.note([]rows.Bad{{Key: r.Key, Ver: r.Ver, Reason: err.Error()}})
			continue
		}
		listed = append(listed, m)
	}
	n.members.found(listed, clock.Now())
	return all, true
}
