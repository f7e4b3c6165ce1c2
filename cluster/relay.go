// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"dewpass.org/cell"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

// relays sends orders through other instances: those of the workers' hall that have the fewest
// orders in progress. It implements driver.Relays.
type relays struct{ n *Instance }

// Ready implements driver.Relays. The orders of an owner that does not reach the store itself are
// not relayed. Such an owner does not learn from the store that a worker leaves or that a job was
// cancelled, and relays that do reach it would carry out its outdated orders.
func (s relays) Ready() bool { return s.n.storeClient.DirectlyReachable() }

// Starts implements driver.Relays.
func (s relays) Starts(ctx context.Context, hall string, orders []driver.StartOrder, limit time.Duration) ([]driver.StartResult, error) {
	job := orders[0].Task.Job
	by, hasText := s.n.startRelay(hall, job, len(orders))
	if by == nil {
		return nil, kind.New(kind.Unavailable, "no other instance is live")
	}
	s.n.members.addRelayedOrders(by.name, len(orders))
	defer s.n.members.addRelayedOrders(by.name, -len(orders))
	m := startOrders(orders, limit)
	if hasText {
		m.Text = ""
	}
	reply, err := s.n.dialer.Do(ctx, by.addr, &wire.Request{Body: &wire.Request_Starts{Starts: m}})
	if hasText && kind.Is(err, kind.Conflict) {
		// Nothing was sent: the relay has restarted, or has evicted the text from its cache.
		m.Text = orders[0].Text
		reply, err = s.n.dialer.Do(ctx, by.addr, &wire.Request{Body: &wire.Request_Starts{Starts: m}})
	}
	if err != nil {
		s.n.members.markFailed(by.name, clock.Now())
		return nil, err
	}
	s.n.textHolders.add(job, by.name, clock.Now())
	return startResults(reply.GetStarts()), nil
}

// startRelay chooses the instance that relays orders to start runs of a job, nil if there is none.
// It reports whether that instance was already sent the job's text.
func (n *Instance) startRelay(hall, job string, orders int) (*member, bool) {
	now := clock.Now()
	holders := n.textHolders.holders(job, now)
	peers := n.members.list(now, func(k *member) bool {
		return k.responsive(now) && slices.Contains(holders, k.name) && k.relayedOrders+orders <= maxRelayedOrders
	})
	if by := n.leastLoadedRelay(peers); by != nil {
		return by, true
	}
	return n.relayFor(hall), false
}

// maxRelayedOrders is how many orders an instance that has the text of a job may have in progress
// before the text is sent to another one, which takes as much of its link as one order.
const maxRelayedOrders = 32

// relayFor chooses the instance that relays orders to the workers of a hall, nil if there is none:
// one of that hall if any is live.
func (n *Instance) relayFor(hall string) *member {
	now := clock.Now()
	peers := n.members.list(now, func(k *member) bool { return k.hall == hall && k.responsive(now) })
	if len(peers) == 0 {
		peers = n.members.list(now, func(k *member) bool { return k.responsive(now) })
	}
	return n.leastLoadedRelay(peers)
}

// leastLoadedRelay returns the member that has the fewest orders in progress, nil if there is none.
func (n *Instance) leastLoadedRelay(peers []member) *member {
	var best *member
	for i := range peers {
		p := &peers[i]
		if best == nil || p.relayedOrders < best.relayedOrders || (p.relayedOrders == best.relayedOrders && n.tieBreak(p.name) < n.tieBreak(best.name)) {
			best = p
		}
	}
	return best
}

// startOrders returns the message for orders, all of one step.
func startOrders(orders []driver.StartOrder, limit time.Duration) *wire.StartOrders {
	task := orders[0].Task
	m := &wire.StartOrders{Text: orders[0].Text, Job: task.Job, Time: uint32(task.Round), Step: uint32(task.Step)}
	for i := range orders {
		o := &orders[i]
		m.Orders = append(m.Orders, &wire.StartOrder{
			Worker: o.Worker, Addr: o.Addr, Fence: o.Fence, Index: uint32(o.Task.Index), Run: uint64(o.Run),
			Saved: o.Saved, Ticket: o.Ticket, UntilMs: o.LeaseUntilMS, LimitUs: uint32(limit.Microseconds()),
		})
	}
	return m
}

func startResults(m *wire.StartResults) []driver.StartResult {
	out := make([]driver.StartResult, 0, len(m.GetResults()))
	for _, r := range m.GetResults() {
		out = append(out, driver.StartResult{
			Answer: driver.StartAnswer{ClockMS: r.ClockMs, Outcome: cell.Outcome(r.Outcome)},
			Err:    wire.ErrorOf(r.Error), Took: time.Duration(r.TookUs) * time.Microsecond,
		})
	}
	return out
}

// Hold implements driver.Relays.
func (s relays) Hold(ctx context.Context, hall string, o driver.HoldOrder, limit time.Duration) (driver.HoldAnswer, bool, error) {
	by := s.n.relayFor(hall)
	if by == nil {
		return driver.HoldAnswer{}, false, nil
	}
	s.n.members.addRelayedOrders(by.name, 1)
	defer s.n.members.addRelayedOrders(by.name, -1)
	reply, err := s.n.dialer.Do(ctx, by.addr, &wire.Request{Body: &wire.Request_Hold{Hold: &wire.HoldOrder{
		Worker: o.Worker, Addr: o.Addr, Fence: o.Fence, Observed: uint64(o.Observed), UntilMs: o.LeaseUntilMS,
		WaitMs: uint32(o.Wait.Milliseconds()), LimitMs: uint32(limit.Milliseconds()), Brief: o.EndsOnly,
	}}})
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) != context.Canceled {
			s.n.members.markFailed(by.name, clock.Now())
		}
		return driver.HoldAnswer{}, false, err
	}
	a, err := holdAnswer(reply.GetHold())
	return a, true, err
}

func holdAnswer(m *wire.HoldResult) (driver.HoldAnswer, error) {
	if err := wire.ErrorOf(m.GetError()); err != nil {
		return driver.HoldAnswer{}, err
	}
	a := driver.HoldAnswer{ClockMS: m.GetClockMs(), Lists: cell.Lists{Born: m.GetBornMs(), Truncated: m.GetCut(), RunsIncomplete: m.GetBrief()}}
	for _, r := range m.GetRunning() {
		a.Lists.Running = append(a.Lists.Running, cell.Running{
			Task: taskID(r.Task), Run: int(r.Run), Checkpoint: r.Saved, Percent: int(r.Percent), Tail: r.Tail,
		})
	}
	for _, f := range m.GetFinished() {
		a.Lists.Finished = append(a.Lists.Finished, cell.Finished{
			Number: int(f.Number), Task: taskID(f.Task), Run: int(f.Run), How: flow.End(f.How), Checkpoint: f.Saved,
		})
	}
	return a, nil
}

func taskID(t *wire.TaskName) flow.TaskID {
	return flow.TaskID{Job: t.GetJob(), Round: int(t.GetTime()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

func taskName(t flow.TaskID) *wire.TaskName {
	return &wire.TaskName{Job: t.Job, Time: uint32(t.Round), Step: uint32(t.Step), Index: uint32(t.Index)}
}

// handleHold relays a hold order to a worker for the cell's owner.
func (n *Instance) handleHold(ctx context.Context, m *wire.HoldOrder) *wire.Reply {
	wait := time.Duration(m.WaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+time.Duration(m.LimitMs)*time.Millisecond)
	defer cancel()
	a, err := n.RelayWorkers.Hold(ctx, driver.HoldOrder{
		Target:   driver.Target{Worker: m.Worker, Addr: m.Addr, Fence: m.Fence},
		Observed: int(m.Observed), LeaseUntilMS: m.UntilMs, Wait: wait,
	})
	out := &wire.HoldResult{
		Error: wire.ToError(err), ClockMs: a.ClockMS, BornMs: a.Lists.Born, Cut: a.Lists.Truncated, Brief: m.Brief && len(a.Lists.Finished) > 0,
	}
	for i := range a.Lists.Running {
		if out.Brief {
			break
		}
		r := &a.Lists.Running[i]
		out.Running = append(out.Running, &wire.RunningRow{
			Task: taskName(r.Task), Run: uint64(r.Run), Saved: r.Checkpoint, Percent: int32(r.Percent), Tail: r.Tail,
		})
	}
	for i := range a.Lists.Finished {
		f := &a.Lists.Finished[i]
		out.Finished = append(out.Finished, &wire.FinishedRow{
			Number: uint64(f.Number), Task: taskName(f.Task), Run: uint64(f.Run), How: string(f.How), Saved: f.Checkpoint,
		})
	}
	return &wire.Reply{Body: &wire.Reply_Hold{Hold: out}}
}

// handleStarts relays start orders to workers for the cell's owner. It returns once all are
// answered or have timed out.
func (n *Instance) handleStarts(ctx context.Context, m *wire.StartOrders) (*wire.Reply, error) {
	if m.Text == "" {
		if m.Text = n.texts.get(m.Job); m.Text == "" {
			return nil, kind.New(kind.Conflict, "the text of the job is not cached here")
		}
	}
	n.texts.set(m.Job, m.Text)
	results := make([]*wire.StartResult, len(m.Orders))
	var wg sync.WaitGroup
	for i, o := range m.Orders {
		wg.Go(func() { results[i] = n.sendStart(ctx, m, o) })
	}
	wg.Wait()
	return &wire.Reply{Body: &wire.Reply_Starts{Starts: &wire.StartResults{Results: results}}}, nil
}

func (n *Instance) sendStart(ctx context.Context, m *wire.StartOrders, o *wire.StartOrder) *wire.StartResult {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.LimitUs)*time.Microsecond)
	defer cancel()
	sent := clock.Now()
	a, err := n.RelayWorkers.Start(ctx, driver.StartOrder{
		Target: driver.Target{Worker: o.Worker, Addr: o.Addr, Fence: o.Fence},
		Task:   flow.TaskID{Job: m.Job, Round: int(m.Time), Step: int(m.Step), Index: int(o.Index)},
		Run:    int(o.Run), Text: m.Text, Saved: o.Saved, Ticket: o.Ticket, LeaseUntilMS: o.UntilMs,
	})
	return &wire.StartResult{
		Error: wire.ToError(err), Outcome: uint32(a.Outcome), ClockMs: a.ClockMS, TookUs: uint32(clock.Since(sent).Microseconds()),
	}
}
