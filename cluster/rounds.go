// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"time"
)

// What an instance spends on greetings does not grow with the number of instances,
// unless it owns a cell: each round reaches a few of them in turn, and a silence
// counts the later the more rounds it takes to reach all.
const (
	// nearMost is how many instances of the own hall a round reaches.
	nearMost = 12
	// A round reaches other addresses so that each is reached within farRounds
	// rounds, but no fewer than farLeast and no more than farMost of them.
	farRounds = 8
	farLeast  = 4
	farMost   = 10
)

// rotation takes some of a list at a time, each in its turn. The zero value is ready
// for use.
type rotation struct {
	at     int
	rounds int
}

// next returns the next most of a sorted list.
func (r *rotation) next(all []string, most int) []string {
	if len(all) <= most {
		r.at, r.rounds = 0, 1
		return all
	}
	r.rounds = (len(all) + most - 1) / most
	out := make([]string, 0, most)
	for range most {
		r.at %= len(all)
		out = append(out, all[r.at])
		r.at++
	}
	return out
}

// stretch returns how many times as long as the usual number of rounds it takes to
// reach all.
func (r *rotation) stretch(usual int) time.Duration {
	return time.Duration(max(1, (r.rounds+usual-1)/usual))
}

// all returns the addresses of all instances that may be there.
func (m *members) all(now time.Time) []string {
	near, far := m.addresses(now)
	return append(near, far...)
}

// round returns the addresses to greet in the next round.
func (m *members) round(now time.Time) []string {
	near, far := m.addresses(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	most := min(max((len(far)+farRounds-1)/farRounds, farLeast), farMost)
	return append(m.near.next(near, nearMost), m.far.next(far, most)...)
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
