// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"dewpass.org/cell"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

const (
	// adviseTries is how many instances are asked in turn to ask a question.
	adviseTries = 3
	// adviseSlack is added to the time that a peer should take for the answer.
	adviseSlack = 250 * time.Millisecond
	// askedWithin is how lately a peer must have been heard to be given a question.
	// An owner greets all of them more often.
	askedWithin = 700 * time.Millisecond
	// shunTime is how long a peer that did not bring an answer is asked nothing.
	// Without it the one that refuses connections would always be the one with
	// the least to do.
	shunTime = 1500 * time.Millisecond
)

// callers is how many questions to the policy may be under way at once.
func (n *Instance) callers() int {
	now := clock.Now()
	return 1 + len(n.members.list(now, func(k *member) bool { return k.asks(now) }))
}

// advise asks the policy, by the instance that will have the answer first, and by
// another one if that brings none.
func (n *Instance) advise(ctx context.Context, a cell.Ask) (driver.Tickets, error) {
	if n.Advisor == nil {
		return driver.Tickets{}, kind.New(kind.Unavailable, "there is no policy service")
	}
	for try := 1; ; try++ {
		by := n.caller(&a)
		if by == nil {
			return n.adviseSelf(ctx, a)
		}
		t, err := n.adviseBy(ctx, by, a)
		if err == nil || try == adviseTries || ctx.Err() != nil {
			return t, err
		}
		n.members.failed(by.name, clock.Now())
	}
}

func (n *Instance) adviseSelf(ctx context.Context, a cell.Ask) (driver.Tickets, error) {
	n.addAsking(a.Takes())
	defer n.addAsking(-a.Takes())
	return n.Advisor.Advise(ctx, a.Step, a.Workers)
}

// adviseBy has a peer ask a question.
func (n *Instance) adviseBy(ctx context.Context, by *member, a cell.Ask) (driver.Tickets, error) {
	n.members.asks(by.name, a.Takes())
	defer n.members.asks(by.name, -a.Takes())
	ctx, cancel := context.WithTimeout(ctx, by.asking+2*a.Takes()+adviseSlack)
	defer cancel()
	reply, err := n.dialer.Do(ctx, by.addr, &wire.Request{Body: &wire.Request_Advice{Advice: &wire.AdviceQuery{
		Job: a.Step.Job, Time: uint32(a.Step.Time), Step: uint32(a.Step.Step), Workers: a.Workers,
	}}})
	if err != nil {
		return driver.Tickets{}, err
	}
	t := driver.Tickets{Valid: time.Duration(reply.GetAdvice().GetValidUs()) * time.Microsecond}
	for _, row := range reply.GetAdvice().GetTickets() {
		t.Rows = append(t.Rows, cell.Ticket{Worker: row.Worker, Text: row.Text})
	}
	return t, nil
}

func (n *Instance) addAsking(by time.Duration) {
	n.mu.Lock()
	n.asking += by
	n.mu.Unlock()
}

// caller chooses who asks a question: the instance whose questions under way are answered
// first, since the policy takes those of one caller in turn; nil is this instance itself.
// Short ones are asked here while nothing is under way here, long ones by instances that
// own no cell.
func (n *Instance) caller(a *cell.Ask) *member {
	long := a.Long()
	n.mu.Lock()
	own := n.asking
	n.mu.Unlock()
	if !long && own == 0 {
		return nil
	}
	now := clock.Now()
	peers := n.members.list(now, func(k *member) bool { return k.asks(now) })
	best, bestCost := (*member)(nil), cost(own, true, false, long)
	for i := range peers {
		p := &peers[i]
		c := cost(p.asking, len(p.cells) > 0, n.farther(*p) > 0, long)
		if c < bestCost || (best != nil && c == bestCost && n.draw(p.name) < n.draw(best.name)) {
			best, bestCost = p, c
		}
	}
	return best
}

// asks reports whether a member may be given questions to ask.
func (k *member) asks(now time.Time) bool {
	return !k.leaving && now.Sub(k.heard) < askedWithin && now.Sub(k.failed) >= shunTime
}

const (
	// farCost is what a caller in another hall counts for, the way there and back, and
	// ownerCost what one that owns a cell does for a long question: short ones should not
	// have to wait behind it.
	farCost   = 4 * time.Millisecond
	ownerCost = 250 * time.Millisecond
)

// cost ranks a caller by how long the answers to its questions under way take, whether it
// owns a cell, and whether it is in another hall.
func cost(asking time.Duration, owner, far, long bool) time.Duration {
	c := asking
	if owner && long {
		c += ownerCost
	}
	if far {
		c += farCost
	}
	return c
}

func (n *Instance) handleAdvice(ctx context.Context, q *wire.AdviceQuery) (*wire.Reply, error) {
	if n.Advisor == nil {
		return nil, kind.New(kind.Unavailable, "there is no policy service")
	}
	t, err := n.Advisor.Advise(ctx, flow.StepID{Job: q.Job, Time: int(q.Time), Step: int(q.Step)}, q.Workers)
	if err != nil {
		return nil, err
	}
	out := &wire.Advice{ValidUs: t.Valid.Microseconds()}
	for _, row := range t.Rows {
		out.Tickets = append(out.Tickets, &wire.Ticket{Worker: row.Worker, Text: row.Text})
	}
	return &wire.Reply{Body: &wire.Reply_Advice{Advice: out}}, nil
}
