// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/internal/clock"
	"dewpass.org/wire"
)

// absentAfter is how long an instance must not have answered before the cell lease names it as
// absent: six greetings of an owner.
const absentAfter = 6 * ownerGreetInterval

// markAnswered records the answer to a greeting that was sent at the time sent.
func (m *members) markAnswered(g *wire.Greeting, sent, now time.Time) {
	if g == nil || g.Instance == "" || g.Instance == m.self {
		return
	}
	a := claim.Answer{
		Instance: g.Instance, Hall: g.Hall, Boot: g.Boot, Sent: sent,
		StatesContests: g.StatesContests, Contested: slices.Clone(g.Contested),
	}
	// Earlier builds state only the cells that they own.
	for _, c := range g.Cells {
		a.Contested = append(a.Contested, c.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers.Answered(a, now)
}

// markRefused records that an address refused a connection.
func (m *members) markRefused(addr string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.addr == addr {
			k.refusedAt = now
			m.answers.Refused(k.name, now)
		}
	}
}

// objection returns why the owner of a cell must not go on after its lease, last written by the given
// write, has expired.
func (m *members) objection(cell string, last claim.Write, now time.Time) claim.Objection {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answers.Objection(cell, last, now)
}

// absent returns the instances that the lease of an owner names as absent.
func (m *members) absent(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answers.Absent(now, absentAfter)
}

// contested returns those of the given cells that this instance does not leave to their owner.
func (n *Instance) contested(cells []*wire.CellSummary) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, c := range cells {
		if n.contests.Contested(c.Name, c.Epoch, c.LeaseVer) {
			out = append(out, c.Name)
		}
	}
	return out
}

// contestedHere reports whether this instance has agreed that another one takes its own cell.
func (n *Instance) contestedHere(name string, epoch, ver uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contests.Contested(name, epoch, ver)
}

// learnEpoch records an epoch of a cell lease.
func (n *Instance) learnEpoch(name string, epoch uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contests.Learned(name, epoch)
}

// answeredByAll reports whether no other instance has taken the cell, or may take it now, although
// its lease has expired.
func (n *Instance) answeredByAll(name string, c *claim.Claim) bool {
	now, last := clock.Now(), c.LastWrite()
	o := n.members.objection(name, last, now)
	if n.contestedHere(name, c.Epoch(), last.Ver) {
		o = claim.Objection{Peer: n.settings.Instance, Reason: claim.Contested}
	}
	n.logObjection(name, c.Epoch(), now.Sub(last.Begun), o)
	return o == claim.Objection{}
}

// logObjection logs when the owner of a cell, whose lease has expired, has to stop giving orders, or
// may go on. Which of several instances prevents it may change with each question and is logged once.
func (n *Instance) logObjection(name string, epoch uint64, age time.Duration, o claim.Objection) {
	stopped := o != claim.Objection{}
	n.mu.Lock()
	c := n.cells[name]
	changed := c != nil && (!c.asked || c.stopped != stopped)
	if changed {
		c.asked, c.stopped = true, stopped
	}
	n.mu.Unlock()
	if !changed {
		return
	}
	event := "orders_without_lease"
	if stopped {
		event = "orders_stopped"
	}
	level.Info(n.kit.Log).Log("event", event, "cell", name, "epoch", epoch, "unwritten_ms", age.Milliseconds(), "peer", o.Peer, "why", string(o.Reason))
}
