// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/telemetry"
)

// The instance that decides need not be the one that sends. A start order contains the
// specification of its job, so the orders of a wide step take many times the traffic of the
// decision, and fill a thin link beside everything else that an owner sends. While orders are held
// back, another instance in the workers' hall (a relay) receives the specification once and sends
// the orders for a few workers. They bear the owner's fences: an order whose relay fails is simply an
// order without an answer.

const (
	// relayPeriod is for how long orders are relayed after some were last held back. It exceeds the
	// gaps between the steps of a load that causes throttling.
	relayPeriod = 2 * time.Second
	// maxRelayBatch is how many orders a relay gets at once: a fraction of a second of a thin link,
	// and few enough that the loss of a relay affects few workers.
	maxRelayBatch = 16
	// relayOverhead is the extra time for an answer through a relay: a round trip between halls
	// plus scheduling delays at both ends.
	relayOverhead = 100 * time.Millisecond
)

// StartResult is the result of a StartOrder sent by a relay.
type StartResult struct {
	Answer StartAnswer
	Err    error
	// Took is the worker's response time.
	Took time.Duration
}

// Relays are instances that send orders on behalf of this one.
type Relays interface {
	// Ready reports whether relays are available.
	Ready() bool
	// Starts has an instance in hall send orders to start runs of one step, waiting up to limit for
	// each answer, and returns the results in the order of orders. It returns an error of kind
	// Unavailable if certainly none was sent.
	Starts(ctx context.Context, hall string, orders []StartOrder, limit time.Duration) ([]StartResult, error)
	// Hold has an instance in hall send a hold order to a worker and wait for the answer up to
	// limit beyond the order's wait. relayed is false if no instance returned the worker's answer
	// or reported that there was none.
	Hold(ctx context.Context, hall string, o HoldOrder, limit time.Duration) (a HoldAnswer, relayed bool, err error)
}

// noRelays is used when no Relays are configured.
type noRelays struct{}

func (noRelays) Ready() bool { return false }

func (noRelays) Starts(context.Context, string, []StartOrder, time.Duration) ([]StartResult, error) {
	return nil, kind.New(kind.Unavailable, "no relays configured")
}

func (noRelays) Hold(context.Context, string, HoldOrder, time.Duration) (HoldAnswer, bool, error) {
	return HoldAnswer{}, false, nil
}

// pendingStart is a start order in flight.
type pendingStart struct {
	StartOrder
	hall string
	// orderNumber identifies the order at its worker's link, and limit is the timeout of its
	// answer.
	orderNumber uint64
	limit       time.Duration
	// minClockMS is a lower bound of the worker's clock when the order was sent.
	minClockMS int64
}

// relaying reports whether orders are sent through relays now. The lock is held.
func (d *Driver) relaying(now time.Time) bool {
	return now.Sub(d.throttledAt) < relayPeriod && d.Relays.Ready()
}

// sendStarts sends start orders, directly or through relays. The lock is held.
func (d *Driver) sendStarts(starts []cell.Start, relayed bool) {
	var sent []pendingStart
	now := clock.Now()
	for i := range starts {
		if o, ok := d.newStartOrder(&starts[i], now); ok {
			sent = append(sent, o)
		}
	}
	if !relayed {
		d.sendDirect(sent)
		return
	}
	for len(sent) > 0 {
		first := &sent[0]
		together := func(o pendingStart) bool { return stepOf(o.Task) == stepOf(first.Task) }
		var group, rest []pendingStart
		for _, o := range sent {
			if len(group) < maxRelayBatch && together(o) {
				group = append(group, o)
			} else {
				rest = append(rest, o)
			}
		}
		sent = rest
		d.sendRelayed(group)
	}
}

func stepOf(t flow.TaskID) flow.StepID { return flow.StepID{Job: t.Job, Round: t.Round, Step: t.Step} }

// newStartOrder returns the order for a start, false if the worker is not attached. The lock is
// held.
func (d *Driver) newStartOrder(s *cell.Start, now time.Time) (pendingStart, bool) {
	l := d.links[s.Worker]
	if l == nil || !l.attached {
		// The cell learns of it when the worker is attached again.
		return pendingStart{}, false
	}
	o := StartOrder{
		Target: Target{Worker: s.Worker, Addr: l.addr, Fence: l.fence},
		Task:   s.Task, Run: s.Run, Text: s.Text, Saved: s.Checkpoint, Ticket: s.Ticket,
		LeaseUntilMS: d.newLeaseEnd(l, now),
	}
	level.Debug(d.Log).Log("event", "start", "job", s.Task.Job, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run, "worker", s.Worker, "fence", o.Fence, "recorded", s.Recorded, "waited_ms", s.Waited.Milliseconds())
	if s.Recorded {
		d.Scope.Histogram("start_recorded_seconds", telemetry.LatencyBuckets()).RecordDuration(s.Waited)
	}
	return pendingStart{StartOrder: o, hall: l.hall, orderNumber: l.addOrder(now), limit: d.orderTimeout(l, now), minClockMS: l.clockMS}, true
}

// sendDirect sends orders from this instance. The lock is held.
func (d *Driver) sendDirect(orders []pendingStart) {
	for _, o := range orders {
		s := o.sizedStart()
		size := s.Size()
		d.startWindow.Sent(size)
		d.spawn(func() { d.sendStart(o, size) })
	}
}

// sizedStart returns the parts of a start that determine its size.
func (o *pendingStart) sizedStart() cell.Start {
	return cell.Start{Text: o.Text, Checkpoint: o.Saved, Ticket: o.Ticket}
}

// sendStart sends one order and applies its result.
func (d *Driver) sendStart(o pendingStart, size int) {
	ctx, cancel := withAnswerTimeout(d.ctx, o.limit)
	defer cancel()
	sent := clock.Now()
	a, err := d.Workers.Start(ctx, o.StartOrder)
	took := clock.Since(sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	queued := d.sendFinished(size, took, err != nil)
	d.lateness.Observe(o.Worker, queued, clock.Now())
	d.startAnswered(&o, StartResult{Answer: a, Err: err, Took: took})
}

// sendRelayed sends orders for one step through a relay, preferably one in the first worker's
// hall. The lock is held.
func (d *Driver) sendRelayed(group []pendingStart) {
	size := 0
	for _, o := range group {
		s := o.sizedStart()
		size += s.RelayedSize()
	}
	d.startWindow.Sent(size)
	d.spawn(func() { d.relayStarts(group, size) })
}

// relayStarts has a relay send the orders and applies the results. If none was sent, they are sent
// directly.
func (d *Driver) relayStarts(group []pendingStart, size int) {
	orders := make([]StartOrder, 0, len(group))
	var limit time.Duration
	for _, o := range group {
		orders = append(orders, o.StartOrder)
		limit = max(limit, o.limit)
	}
	ctx, cancel := withAnswerTimeout(d.ctx, limit+relayOverhead)
	defer cancel()
	sent := clock.Now()
	results, err := d.Relays.Starts(ctx, group[0].hall, orders, limit)
	took := clock.Since(sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind.Is(err, kind.Unavailable) && d.ctx.Err() == nil {
		d.sendFinished(size, took, false)
		d.sendDirect(group)
		return
	}
	// The workers' response time is not part of the time that the message to the relay took.
	longest := slices.MaxFunc(append(results, StartResult{}), func(a, b StartResult) int { return int(a.Took - b.Took) })
	d.sendFinished(size, took-longest.Took, err != nil)
	if err == nil && len(results) != len(group) {
		err = kind.New(kind.Damaged, "relay returned a wrong number of results")
	}
	for i := range group {
		r := StartResult{Err: err}
		if err == nil {
			r = results[i]
		}
		d.startAnswered(&group[i], r)
	}
}

// sendFinished notes that a message with start orders is no longer in flight, and returns for how
// long it probably queued, if it was answered. The lock is held.
func (d *Driver) sendFinished(size int, took time.Duration, lost bool) time.Duration {
	if d.cell.SendLimited() {
		notify(d.placeNow)
	}
	now := clock.Now()
	if lost {
		d.startWindow.Lost(size, now)
		return 0
	}
	return d.startWindow.Answered(size, took, now)
}

// startAnswered applies the result of a start order. The lock is held.
func (d *Driver) startAnswered(o *pendingStart, r StartResult) {
	l := d.links[o.Worker]
	if l == nil || d.ctx.Err() != nil {
		return
	}
	if kind.Is(r.Err, kind.NotFound) && o.Addr == l.addr {
		d.dropDeadWorker(l, cell.LossReborn)
		return
	}
	delete(l.pendingOrders, o.orderNumber)
	if r.Err != nil {
		if kind.Is(r.Err, kind.Fenced) && l.fence == o.Fence {
			go d.leaseLost("worker " + o.Worker + " has seen a higher fence")
			return
		}
		if l.fence == o.Fence {
			level.Info(d.Log).Log("event", "start_lost", "job", o.Task.Job, "worker", o.Worker, "run", o.Run, "limit_ms", o.limit.Milliseconds(), "err", r.Err)
			l.answerTimes.Lost()
			d.cell.OrderLost(o.Worker, clock.Now())
			d.outages.Failed(l.hall, o.Worker, clock.Now())
			d.reattach(o.Worker)
			if closedByPeer(r.Err) {
				d.cell.HungUp(o.Worker, !errors.Is(r.Err, syscall.ECONNREFUSED))
			}
		}
		return
	}
	now, a := clock.Now(), &r.Answer
	d.outages.Answered(l.hall, now)
	l.answerTimes.Answered(r.Took)
	if l.fence == o.Fence && !l.plausibleClock(a.ClockMS, o.minClockMS, now) {
		level.Info(d.Log).Log("event", "clock_of_another_life", "worker", o.Worker, "job", o.Task.Job, "run", o.Run, "clock_ms", a.ClockMS, "known_ms", l.clockMS, "known_ms_ago", now.Sub(l.clockAt).Milliseconds())
		d.reattach(o.Worker)
		return
	}
	if l.fence == o.Fence {
		l.updateClock(a.ClockMS, now)
	}
	if a.Outcome != cell.Accepted {
		level.Info(d.Log).Log("event", "start_refused", "job", o.Task.Job, "step", o.Task.Step, "index", o.Task.Index, "worker", o.Worker, "run", o.Run, "outcome", int(a.Outcome))
	}
	if l.fence != o.Fence && a.Outcome != cell.Accepted {
		return
	}
	d.cell.Started(o.Worker, o.Task, o.Run, a.Outcome, now)
	if a.Outcome == cell.NoRoom {
		l.attached = false
		if l.rehold != nil {
			l.rehold()
		}
		notify(l.retryNow)
	}
	if a.Outcome != cell.Accepted {
		notify(d.placeNow)
	}
}
