// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dewpass.org/claim"
	"dewpass.org/wire"
)

const (
	// An instance counts as live if it was heard within sameHallTimeout, or within
	// otherHallTimeout if it is in another hall: those are greeted less often.
	sameHallTimeout  = 1600 * time.Millisecond
	otherHallTimeout = 5 * time.Second
	// forgetAfter is when an address is removed at which no instance has been heard.
	forgetAfter = 40 * time.Second
)

// member is what is known of another instance.
type member struct {
	name    string
	hall    string
	boot    string
	addr    string
	leaving bool
	storeOK bool
	// processor is its share of a processor, in thousandths.
	processor uint32
	// movesJobs says that its build knows of jobs that move between cells.
	movesJobs bool
	// lendsLimits says that its build knows of shares of client accounts' limits.
	lendsLimits bool
	config      uint64
	cells       []*wire.CellSummary
	heardAt     time.Time
	// bootSince is when its current process (boot) was first heard.
	bootSince time.Time
	// refusedAt is when its address last refused a connection.
	refusedAt time.Time
	// sentWork is the work sent to its cells since the last summary, in milliseconds of one
	// processor.
	sentWork int64
	// adviceBacklog is the total expected time to answer the policy questions that it is asking
	// for this instance. failedAt is when it last failed to return an answer, or results of orders.
	adviceBacklog time.Duration
	failedAt      time.Time
	// relayedOrders is how many orders it is sending for this instance.
	relayedOrders int
}

// free reports whether the instance could own a cell and owns none.
func (k *member) free() bool { return !k.leaving && k.storeOK && len(k.cells) == 0 }

// activeWithin reports whether the instance was heard within a time, is not leaving, and has not
// refused a connection since.
func (k *member) activeWithin(now time.Time, within time.Duration) bool {
	return !k.leaving && now.Sub(k.heardAt) < within && k.refusedAt.Before(k.heardAt)
}

// members is what an instance knows of the others. Create it with newMembers.
type members struct {
	self string
	hall string
	addr string

	mu    sync.Mutex
	known map[string]*member
	// answers is what the others have answered to this instance's greetings.
	answers claim.Peers
	// listedSince is when the store was first found to list an instance.
	listedSince map[string]time.Time
	// addrs are addresses at which an instance may listen, with when each was first heard of.
	addrs map[string]time.Time
	// lastPending holds the last known counts of pending jobs of each cell.
	lastPending map[string]pendingReport
	// workers holds what owners last reported of the workers of their cells, by cell.
	workers map[string]workerReport
	// roundCount is the number of rounds of greetings sent.
	roundCount int
	// maxListedProcessor is the largest processor share of the other instances that the store
	// lists.
	maxListedProcessor uint32
	// listedHalls holds the largest processor share of the listed instances of each hall.
	listedHalls map[string]uint32
}

func newMembers(self, hall string, peers []string, selfAddr string, now time.Time) *members {
	m := &members{self: self, hall: hall, addr: selfAddr, known: make(map[string]*member), answers: claim.Peers{Hall: hall}, addrs: make(map[string]time.Time), listedSince: make(map[string]time.Time), lastPending: make(map[string]pendingReport), listedHalls: make(map[string]uint32), workers: make(map[string]workerReport)}
	for _, a := range peers {
		if a != selfAddr {
			m.addrs[a] = now
		}
	}
	return m
}

// applyGreeting records a greeting, and reports whether its sender, or its current process, was
// not known before.
func (m *members) applyGreeting(g *wire.Greeting, now time.Time) bool {
	if g == nil || g.Instance == "" || g.Instance == m.self {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[g.Instance]
	fresh := k == nil || k.boot != g.Boot
	if fresh {
		k = &member{name: g.Instance, bootSince: now}
		m.known[g.Instance] = k
	}
	k.hall, k.boot, k.addr = g.Hall, g.Boot, g.Addr
	k.leaving, k.storeOK, k.config = g.Leaving, g.StoreOk, g.ConfigVersion
	k.cells, k.heardAt, k.sentWork = g.Cells, now, 0
	k.processor, k.movesJobs, k.lendsLimits = g.Processor, g.MovesJobs, g.LendsLimits
	m.answers.Heard(g.Instance, g.Hall, g.Boot, now)
	if g.Leaving {
		m.answers.Leaving(g.Instance)
	}
	m.keepWorkers(g.Cells)
	m.addrs[g.Addr] = now
	for _, c := range g.Cells {
		// An owner that has not loaded its jobs yet cannot report any.
		if c.Ready {
			m.lastPending[c.Name] = pendingReport{pending: c.Pending, heardAt: now}
		}
	}
	for _, p := range g.Peers {
		m.addAddr(p.Addr, now)
	}
	return fresh
}

// knowsBoot reports whether a process of an instance has been heard before.
func (m *members) knowsBoot(name, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[name]
	return k != nil && k.boot == boot
}

// addAddr adds an address if it is not known. The caller must hold m.mu.
func (m *members) addAddr(addr string, now time.Time) {
	if _, ok := m.addrs[addr]; !ok && addr != "" {
		m.addrs[addr] = now
	}
}

// addrCount returns the number of known addresses of other instances.
func (m *members) addrCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.addrs)
}

// addListed adds the instances that the store lists.
func (m *members) addListed(listed []memberRow, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range listed {
		if row.Addr == m.addr {
			continue
		}
		m.addAddr(row.Addr, now)
		if _, ok := m.listedSince[row.name]; !ok {
			m.listedSince[row.name] = now
		}
		if row.name != "" {
			m.answers.Listed(row.name, row.Hall, now)
		}
		m.maxListedProcessor = max(m.maxListedProcessor, row.Processor)
		if row.Hall != "" {
			m.listedHalls[row.Hall] = max(m.listedHalls[row.Hall], row.Processor)
		}
	}
}

// silence returns for how long a listed instance was not heard: at most since it was first found in
// the list.
func (m *members) silence(name string, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.listedSince[name]
	if !ok {
		return 0
	}
	if k := m.known[name]; k != nil && k.heardAt.After(since) {
		since = k.heardAt
	}
	return now.Sub(since)
}

// listedAbove reports whether the store lists an instance with a larger processor share.
func (m *members) listedAbove(processor uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxListedProcessor > processor
}

// live reports whether a member was heard recently and has not refused a connection since.
func (m *members) live(k *member, now time.Time) bool {
	if k.refusedAt.After(k.heardAt) {
		return false
	}
	if k.hall == m.hall {
		return now.Sub(k.heardAt) < sameHallTimeout
	}
	return now.Sub(k.heardAt) < otherHallTimeout
}

// liveInHall counts the live instances of this instance's hall, itself included.
func (m *members) liveInHall(now time.Time) int {
	return 1 + len(m.list(now, func(k *member) bool { return k.hall == m.hall }))
}

// anyLive reports whether match returns true for a live member.
func (m *members) anyLive(now time.Time, match func(*member) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if m.live(k, now) && match(k) {
			return true
		}
	}
	return false
}

// list returns copies of the live members for which keep returns true, sorted by name.
func (m *members) list(now time.Time, keep func(*member) bool) []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []member
	for _, k := range m.known {
		if m.live(k, now) && keep(k) {
			out = append(out, *k)
		}
	}
	slices.SortFunc(out, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	return out
}

// addSentWork adds to the work sent to a member's cells.
func (m *members) addSentWork(name string, work int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.sentWork += work
	}
}

// addAdviceBacklog adds to the expected time of the policy questions that a member is asking for
// this instance.
func (m *members) addAdviceBacklog(name string, by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.adviceBacklog += by
	}
}

// addRelayedOrders adds to the number of orders that a member is sending for this instance.
func (m *members) addRelayedOrders(name string, by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		// The count of a member that has restarted in between began at 0.
		k.relayedOrders = max(k.relayedOrders+by, 0)
	}
}

// markFailed records that a member did not return an answer to a question, or results of orders.
func (m *members) markFailed(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.failedAt = now
	}
}
