// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"time"
)

// An instance that owns no cell greets a few others, the same ones again and again:
// those that follow it when all addresses are sorted. What it spends on greetings,
// and how many connections it keeps, does not grow with the number of instances, and
// each is greeted by as many as it greets. Owners greet everybody, so that everybody
// hears of all cells.
const (
	// nearMost is how many instances of the own hall a round reaches.
	nearMost = 4
	// farMost is how many other addresses are greeted, each once in farRounds rounds,
	// and in each round while it is new.
	farMost   = 8
	farRounds = 4
	newFor    = 3 * time.Second
)

// following returns the most addresses that follow own in a sorted list, which goes
// on at its beginning.
func following(sorted []string, own string, most int) []string {
	if len(sorted) <= most {
		return sorted
	}
	at, _ := slices.BinarySearch(sorted, own)
	out := make([]string, 0, most)
	for i := range most {
		out = append(out, sorted[(at+i)%len(sorted)])
	}
	return out
}

// all returns the addresses of all instances that may be there.
func (m *members) all(now time.Time) []string {
	near, far := m.addresses(now)
	return append(near, far...)
}

// round returns the addresses to greet in the next round.
func (m *members) round(now time.Time) []string {
	near, far := m.addresses(now)
	out := slices.Clone(following(near, m.addr, nearMost))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rounds++
	for i, addr := range following(far, m.addr, farMost) {
		if i%farRounds == m.rounds%farRounds || now.Sub(m.addrs[addr]) < newFor {
			out = append(out, addr)
		}
	}
	return out
}

// some returns the addresses of live instances that follow an address, as many as an
// instance greets.
func (m *members) some(addr string, now time.Time) []string {
	var all []string
	for _, k := range m.list(now, func(k *member) bool { return k.addr != addr }) {
		all = append(all, k.addr)
	}
	slices.Sort(all)
	return following(all, addr, nearMost+farMost)
}

// addresses returns the addresses of the live instances of the own hall, and all
// others, sorted. An address at which nobody was heard for forgetAfter is given up.
func (m *members) addresses(now time.Time) (near, far []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := make(map[string]*member, len(m.known))
	for _, k := range m.known {
		if old := at[k.addr]; old == nil || k.heard.After(old.heard) {
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
