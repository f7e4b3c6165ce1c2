// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"time"
)

// An instance that owns no cell greets a few others, always the same ones: those that follow it
// when all addresses are sorted. So the cost of its greetings, and the number of its connections,
// do not grow with the number of instances, and each instance is greeted by as many as it greets.
// Owners greet everybody, so that everybody hears of all cells.
const (
	// maxNear is how many instances of its own hall an instance greets in each round.
	maxNear = 4
	// maxFar is how many other addresses are greeted, each once in farRounds rounds, and in each
	// round during the first newAddrTime after it was learned.
	maxFar      = 8
	farRounds   = 4
	newAddrTime = 3 * time.Second
)

// successors returns up to limit addresses that follow addr in a sorted list, continuing at its
// start.
func successors(sorted []string, addr string, limit int) []string {
	if len(sorted) <= limit {
		return sorted
	}
	at, _ := slices.BinarySearch(sorted, addr)
	out := make([]string, 0, limit)
	for i := range limit {
		out = append(out, sorted[(at+i)%len(sorted)])
	}
	return out
}

// allAddrs returns the addresses of all instances that may be there.
func (m *members) allAddrs(now time.Time) []string {
	near, far := m.addresses(now)
	return append(near, far...)
}

// nextRound returns the addresses to greet in the next round.
func (m *members) nextRound(now time.Time) []string {
	near, far := m.addresses(now)
	out := slices.Clone(successors(near, m.addr, maxNear))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roundCount++
	for i, addr := range successors(far, m.addr, maxFar) {
		if i%farRounds == m.roundCount%farRounds || now.Sub(m.addrs[addr]) < newAddrTime {
			out = append(out, addr)
		}
	}
	return out
}

// addrsAfter returns the addresses of live instances that follow addr, as many as an instance
// greets.
func (m *members) addrsAfter(addr string, now time.Time) []string {
	var all []string
	for _, k := range m.list(now, func(k *member) bool { return k.addr != addr }) {
		all = append(all, k.addr)
	}
	slices.Sort(all)
	return successors(all, addr, maxNear+maxFar)
}

// addresses returns the addresses of the live instances of the own hall (near), and all others
// (far), sorted. It removes addresses at which no instance has been heard for forgetAfter.
func (m *members) addresses(now time.Time) (near, far []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := make(map[string]*member, len(m.known))
	for _, k := range m.known {
		if old := at[k.addr]; old == nil || k.heardAt.After(old.heardAt) {
			at[k.addr] = k
		}
	}
	for addr, since := range m.addrs {
		k := at[addr]
		lost := k == nil || !m.live(k, now)
		switch {
		case lost && now.Sub(since) > forgetAfter:
			delete(m.addrs, addr)
		case !lost && k.hall == m.hall:
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}
