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
	// silence is how long an instance of the own hall may not have been heard
	// and still count as live; farSilence is for those of other halls, which
	// are greeted less often.
	silence    = 1600 * time.Millisecond
	farSilence = 5 * time.Second
	// cellSilence is how long a summary of a cell holds.
	cellSilence = claim.ValidLeast + 2*claim.Margin
	// answerWithin is how lately all must have answered, below cellSilence, of
	// those that were heard within answerWhile.
	answerWithin = claim.ValidLeast
	answerWhile  = 30 * time.Second
	// absentAfter is for how long an instance must not have answered before the cell lease
	// names it as absent: six greetings of an owner.
	absentAfter = 6 * greetEvery
	// pendingSilence is how long an owner's counts stand in for those of the
	// next one. They may be too high for a while, which harms nobody.
	pendingSilence = 20 * time.Second
	// forgetAfter is when the address of an instance that is not heard any more
	// is given up.
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
	config    uint64
	cells     []*wire.CellSummary
	heard     time.Time
	// since is when its present boot was first heard.
	since time.Time
	// refused is when its address last refused a connection.
	refused time.Time
	// answered is when it last answered a greeting.
	answered time.Time
	// work is what was sent to its cells since the last summary, in milliseconds
	// of one processor.
	work int64
	// asking is how long the answers take to the questions to the policy that it asks for
	// this instance, and failed is when it last brought no answer to one.
	asking time.Duration
	failed time.Time
	// carrying is how many orders it is sending for this instance.
	carrying int
}

// free reports whether an instance could own a cell and owns none.
func (k *member) free() bool { return !k.leaving && k.storeOK && len(k.cells) == 0 }

// drives reports whether an owner was heard within a time, and neither leaves nor has
// refused a connection since.
func (k *member) drives(now time.Time, within time.Duration) bool {
	return !k.leaving && now.Sub(k.heard) < within && k.refused.Before(k.heard)
}

// members is what an instance knows of the others. Make one with newMembers.
type members struct {
	self string
	hall string
	addr string

	mu    sync.Mutex
	known map[string]*member
	// addrs are addresses at which somebody may be, with when each was first
	// heard of.
	addrs map[string]time.Time
	// last holds what the owner of each cell said when it was last heard.
	last map[string]lastWord
	// rounds counts the rounds of greetings.
	rounds int
	// strongest is the largest processor of others that the store lists.
	strongest uint32
}

// lastWord is what an owner said when it was last heard.
type lastWord struct {
	pending []*wire.QueuePending
	heard   time.Time
}

func newMembers(self, hall string, first []string, own string, now time.Time) *members {
	m := &members{self: self, hall: hall, addr: own, known: make(map[string]*member), addrs: make(map[string]time.Time), last: make(map[string]lastWord)}
	for _, a := range first {
		if a != own {
			m.addrs[a] = now
		}
	}
	return m
}

// heard takes in a greeting, and reports whether its sender was not known.
func (m *members) heard(g *wire.Greeting, now time.Time) bool {
	if g == nil || g.Instance == "" || g.Instance == m.self {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[g.Instance]
	fresh := k == nil || k.boot != g.Boot
	if fresh {
		k = &member{name: g.Instance, since: now}
		m.known[g.Instance] = k
	}
	k.hall, k.boot, k.addr = g.Hall, g.Boot, g.Addr
	k.leaving, k.storeOK, k.config = g.Leaving, g.StoreOk, g.ConfigVersion
	k.cells, k.heard, k.work = g.Cells, now, 0
	k.processor = g.Processor
	m.addrs[g.Addr] = now
	for _, c := range g.Cells {
		// An owner that has not read its jobs yet knows of none.
		if c.Ready {
			m.last[c.Name] = lastWord{pending: c.Pending, heard: now}
		}
	}
	for _, p := range g.Peers {
		m.learn(p.Addr, now)
	}
	return fresh
}

// note keeps what this instance knew of a cell that it owned.
func (m *members) note(cell string, pending []*wire.QueuePending, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last[cell] = lastWord{pending: pending, heard: now}
}

// knows reports whether a start of an instance was heard before.
func (m *members) knows(name, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[name]
	return k != nil && k.boot == boot
}

// learn adds an address. The lock is held.
func (m *members) learn(addr string, now time.Time) {
	if _, ok := m.addrs[addr]; !ok && addr != "" {
		m.addrs[addr] = now
	}
}

// found adds the addresses of instances that the store lists.
func (m *members) found(listed []memberRow, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range listed {
		if row.Addr == m.addr {
			continue
		}
		m.learn(row.Addr, now)
		m.strongest = max(m.strongest, row.Processor)
	}
}

// listedAbove reports whether the store lists an instance with more of a processor.
func (m *members) listedAbove(processor uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strongest > processor
}

// live reports whether k was heard lately.
func (m *members) live(k *member, now time.Time) bool {
	if k.refused.After(k.heard) {
		return false
	}
	if k.hall == m.hall {
		return now.Sub(k.heard) < silence
	}
	return now.Sub(k.heard) < farSilence
}

// inHall counts the live instances of this instance's hall, itself included.
func (m *members) inHall(now time.Time) int {
	return 1 + len(m.list(now, func(k *member) bool { return k.hall == m.hall }))
}

// list returns copies of the live members for which keep holds, by name.
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

// owned is a cell with the member that owns it.
type owned struct {
	member
	cell *wire.CellSummary
}

// cells returns the cells whose owners are heard, each with its newest owner.
func (m *members) cells(now time.Time) []owned {
	newest := m.newest(now)
	out := make([]owned, 0, len(newest))
	for _, o := range newest {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b owned) int { return cmp.Compare(a.cell.Name, b.cell.Name) })
	return out
}

// newest returns the cells whose owners are heard, by name.
func (m *members) newest(now time.Time) map[string]owned {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string]owned)
	for _, k := range m.known {
		if len(k.cells) == 0 || now.Sub(k.heard) >= cellSilence {
			continue
		}
		for _, c := range k.cells {
			if old, ok := newest[c.Name]; !ok || old.cell.Epoch < c.Epoch {
				newest[c.Name] = owned{member: *k, cell: c}
			}
		}
	}
	return newest
}

// owner returns the owner of a cell, nil if none is heard.
func (m *members) owner(name string, now time.Time) *member {
	o, ok := m.newest(now)[name]
	if !ok {
		return nil
	}
	return &o.member
}

// answer notes that a member has answered a greeting that was sent at sent.
func (m *members) answer(name string, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.answered = sent
	}
}

// pending returns how many jobs of a queue wait in the cells that skip does not
// hold for, as their owners last said.
func (m *members) pending(queue string, now time.Time, skip func(cell string) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for name, w := range m.last {
		if skip(name) || now.Sub(w.heard) > pendingSilence {
			continue
		}
		for _, q := range w.pending {
			if q.Queue == queue {
				sum += int(q.Jobs)
			}
		}
	}
	return sum
}

// refusedAt notes that nobody listens at an address any more.
func (m *members) refusedAt(addr string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.addr == addr {
			k.refused = now
		}
	}
}

// allAnswer reports whether every member that was heard in a while has answered
// lately, or has no process any more: one that starts there has to watch a cell lease
// for longer before it may take it. A refused connection shows that only from a hall
// of which another member answers: one that is cut off may refuse them all.
// The excused need not answer: they may not take it so soon.
func (m *members) allAnswer(now time.Time, excused []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := map[string]bool{m.hall: true}
	for _, k := range m.known {
		open[k.hall] = open[k.hall] || now.Sub(k.answered) <= answerWithin
	}
	for _, k := range m.known {
		gone := now.Sub(k.refused) <= answerWithin && open[k.hall]
		harmless := now.Sub(k.answered) <= answerWithin || gone
		if now.Sub(k.heard) < answerWhile && !harmless && !slices.Contains(excused, k.name) {
			return false
		}
	}
	return len(m.known) > 0
}

// absent returns the instances that were heard in a while and have not answered for some
// time, by name; none if they are half of all or more, as this instance may then be the one
// that is cut off, and the others are to take its cells without delay.
func (m *members) absent(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, silent := 0, []string(nil)
	for _, k := range m.known {
		if now.Sub(k.heard) >= answerWhile {
			continue
		}
		all++
		if now.Sub(k.answered) > absentAfter && now.Sub(k.heard) > absentAfter {
			silent = append(silent, k.name)
		}
	}
	if 2*len(silent) >= all {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// sent notes work that was sent to a member's cell.
func (m *members) sent(name string, work int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.work += work
	}
}

// asks adds to how long the answers to the questions take that a member asks for this
// instance.
func (m *members) asks(name string, by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.asking += by
	}
}

// carries adds to how many orders a member is sending for this instance.
func (m *members) carries(name string, by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		// A member that has started anew meanwhile counts from nothing.
		k.carrying = max(k.carrying+by, 0)
	}
}

// failed notes that a member brought no answer to a question, or to orders.
func (m *members) failed(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[name]; k != nil {
		k.failed = now
	}
}
