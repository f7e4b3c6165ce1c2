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
	// maxAdviceAttempts is how many instances are asked in turn to put a question to the policy.
	maxAdviceAttempts = 3
	// adviceSlack is added to the time within which a peer should return the answer.
	adviceSlack = 250 * time.Millisecond
	// peerMaxSilence is the longest silence after which a peer is still given questions or orders.
	// Owners greet all peers more often than that.
	peerMaxSilence = 700 * time.Millisecond
	// failedPeerPause is how long a peer that failed to return an answer is given nothing. Without
	// it a peer that refuses connections would always seem to be the least loaded one.
	failedPeerPause = 1500 * time.Millisecond
)

// adviceConcurrency is how many questions to the policy may be in progress at once.
func (n *Instance) adviceConcurrency() int {
	now := clock.Now()
	return 1 + len(n.members.list(now, func(k *member) bool { return k.responsive(now) }))
}

// advise asks the policy through the instance that is expected to have the answer first, and
// through another one if that fails.
func (n *Instance) advise(ctx context.Context, a cell.Ask) (driver.Tickets, error) {
	if n.Advisor == nil {
		return driver.Tickets{}, kind.New(kind.Unavailable, "no policy service is configured")
	}
	for try := 1; ; try++ {
		by := n.adviceCaller(&a)
		if by == nil {
			return n.adviseSelf(ctx, a)
		}
		t, err := n.adviseVia(ctx, by, a)
		if err == nil || try == maxAdviceAttempts || ctx.Err() != nil {
			return t, err
		}
		n.members.markFailed(by.name, clock.Now())
	}
}

func (n *Instance) adviseSelf(ctx context.Context, a cell.Ask) (driver.Tickets, error) {
	n.addAdviceBacklog(a.Takes())
	defer n.addAdviceBacklog(-a.Takes())
	return n.Advisor.Advise(ctx, a.Step, a.Workers)
}

// adviseVia has a peer put a question to the policy.
func (n *Instance) adviseVia(ctx context.Context, by *member, a cell.Ask) (driver.Tickets, error) {
	n.members.addAdviceBacklog(by.name, a.Takes())
	defer n.members.addAdviceBacklog(by.name, -a.Takes())
	ctx, cancel := context.WithTimeout(ctx, by.adviceBacklog+2*a.Takes()+adviceSlack)
	defer cancel()
	reply, err := n.dialer.Do(ctx, by.addr, &wire.Request{Body: &wire.Request_Advice{Advice: &wire.AdviceQuery{
		Job: a.Step.Job, Time: uint32(a.Step.Round), Step: uint32(a.Step.Step), Workers: a.Workers,
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

func (n *Instance) addAdviceBacklog(by time.Duration) {
	n.mu.Lock()
	n.adviceBacklog += by
	n.mu.Unlock()
}

// adviceCaller chooses who puts a question to the policy: the instance whose questions in progress
// are answered first, since the policy handles those of one caller one after another. nil is this
// instance itself. Short questions are asked here while none is in progress here; long ones
// preferably by instances that own no cell.
func (n *Instance) adviceCaller(a *cell.Ask) *member {
	long := a.Long()
	n.mu.Lock()
	ownBacklog := n.adviceBacklog
	n.mu.Unlock()
	if !long && ownBacklog == 0 {
		return nil
	}
	now := clock.Now()
	peers := n.members.list(now, func(k *member) bool { return k.responsive(now) })
	best, bestCost := (*member)(nil), callerCost(ownBacklog, true, false, long)
	for i := range peers {
		p := &peers[i]
		c := callerCost(p.adviceBacklog, len(p.cells) > 0, n.hallDistance(*p) > 0, long)
		if c < bestCost || (best != nil && c == bestCost && n.tieBreak(p.name) < n.tieBreak(best.name)) {
			best, bestCost = p, c
		}
	}
	return best
}

// responsive reports whether a member may be given questions to ask or orders to relay.
func (k *member) responsive(now time.Time) bool {
	return !k.leaving && now.Sub(k.heardAt) < peerMaxSilence && now.Sub(k.failedAt) >= failedPeerPause
}

const (
	// otherHallCost is added for a caller in another hall, for the round trip. ownerCost is added
	// for a caller that owns a cell if the question is long: short ones should not have to wait
	// behind it.
	otherHallCost = 4 * time.Millisecond
	ownerCost     = 250 * time.Millisecond
)

// callerCost ranks a caller by the expected time to answer its questions in progress, whether it
// owns a cell, and whether it is in another hall.
func callerCost(backlog time.Duration, owner, far, long bool) time.Duration {
	c := backlog
	if owner && long {
		c += ownerCost
	}
	if far {
		c += otherHallCost
	}
	return c
}

func (n *Instance) handleAdvice(ctx context.Context, q *wire.AdviceQuery) (*wire.Reply, error) {
	if n.Advisor == nil {
		return nil, kind.New(kind.Unavailable, "no policy service is configured")
	}
	t, err := n.Advisor.Advise(ctx, flow.StepID{Job: q.Job, Round: int(q.Time), Step: int(q.Step)}, q.Workers)
	if err != nil {
		return nil, err
	}
	out := &wire.Advice{ValidUs: t.Valid.Microseconds()}
	for _, row := range t.Rows {
		out.Tickets = append(out.Tickets, &wire.Ticket{Worker: row.Worker, Text: row.Text})
	}
	return &wire.Reply{Body: &wire.Reply_Advice{Advice: out}}, nil
}
