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
)

// Who decides need not be who sends. An order to start a run bears the text of its job, so
// that those of a wide step are many times what decided them: 155 starts a second of 1 KB
// each are more than two thirds of a link of 2 Mbit/s, beside all else that an owner does.
// While orders are held back, another instance of the workers' hall is given the text once
// and sends the orders of a few workers. They bear the owner's fences: an order whose
// carrier is lost is an order without an answer, and no more.

const (
	// carryStays is for how long orders are carried after some were last held back: longer
	// than the pauses between the steps of a load that holds them back.
	carryStays = 2 * time.Second
	// carryAtOnce is how many orders one carrier gets at once: 16 KB at 1 KB each, 64 ms of
	// a carrier's link of 2 Mbit/s, and few enough that its loss concerns few workers.
	carryAtOnce = 16
	// carryTakes is how much longer than the worker's own answer that of a carrier may
	// take: two ways between halls, and some time to be scheduled at both ends.
	carryTakes = 100 * time.Millisecond
)

// StartResult is what became of a StartOrder that was carried.
type StartResult struct {
	Answer StartAnswer
	Err    error
	// Took is how long the worker took to answer.
	Took time.Duration
}

// Carriers are instances that send orders for this one.
type Carriers interface {
	// Ready reports whether there are some.
	Ready() bool
	// Starts has an instance of a hall send orders to start runs of one step, each given
	// limit for its answer, and returns their results in their order. Its error is of kind
	// Unavailable if surely none was sent.
	Starts(ctx context.Context, hall string, orders []StartOrder, limit time.Duration) ([]StartResult, error)
	// Hold has an instance of a hall hold a worker, and gives its answer limit beyond the
	// order's wait. carried is false if no instance brought an answer of the worker or the
	// lack of one.
	Hold(ctx context.Context, hall string, o HoldOrder, limit time.Duration) (a HoldAnswer, carried bool, err error)
}

// noCarriers are the Carriers of a driver that has none.
type noCarriers struct{}

func (noCarriers) Ready() bool { return false }

func (noCarriers) Starts(context.Context, string, []StartOrder, time.Duration) ([]StartResult, error) {
	return nil, kind.New(kind.Unavailable, "there is no carrier")
}

func (noCarriers) Hold(context.Context, string, HoldOrder, time.Duration) (HoldAnswer, bool, error) {
	return HoldAnswer{}, false, nil
}

// sentStart is an order to start a run that is under way.
type sentStart struct {
	StartOrder
	hall string
	// number is that of the order at its worker's link, and limit how long the answer is
	// waited for.
	number uint64
	limit  time.Duration
	// after is a time that the worker's clock was past when the order was sent.
	after int64
}

// carries reports whether orders are carried now. The lock is held.
func (d *Driver) carries(now time.Time) bool {
	return now.Sub(d.heldBack) < carryStays && d.Carriers.Ready()
}

// startRuns sends starts. The lock is held.
func (d *Driver) startRuns(starts []cell.Start, carried bool) {
	var sent []sentStart
	now := clock.Now()
	for i := range starts {
		if o, ok := d.startOrder(&starts[i], now); ok {
			sent = append(sent, o)
		}
	}
	if !carried {
		d.sendEach(sent)
		return
	}
	for len(sent) > 0 {
		first := &sent[0]
		together := func(o sentStart) bool { return stepOf(o.Task) == stepOf(first.Task) }
		var group, rest []sentStart
		for _, o := range sent {
			if len(group) < carryAtOnce && together(o) {
				group = append(group, o)
			} else {
				rest = append(rest, o)
			}
		}
		sent = rest
		d.sendGroup(group)
	}
}

func stepOf(t flow.TaskID) flow.StepID { return flow.StepID{Job: t.Job, Time: t.Time, Step: t.Step} }

// startOrder returns the order for a start. The lock is held.
func (d *Driver) startOrder(s *cell.Start, now time.Time) (sentStart, bool) {
	l := d.links[s.Worker]
	if l == nil || !l.attached {
		// The cell will hear of it when the worker is attached.
		return sentStart{}, false
	}
	o := StartOrder{
		Target: Target{Worker: s.Worker, Addr: l.addr, Fence: l.fence},
		Task:   s.Task, Run: s.Run, Text: s.Text, Saved: s.Saved, Ticket: s.Ticket,
		UntilMS: d.until(l, now),
	}
	level.Debug(d.Log).Log("event", "start", "job", s.Task.Job, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run, "worker", s.Worker, "fence", o.Fence)
	return sentStart{StartOrder: o, hall: l.hall, number: l.sentOrder(now), limit: d.orderTime(l, now), after: l.clockMS}, true
}

// sendEach sends orders from here. The lock is held.
func (d *Driver) sendEach(orders []sentStart) {
	for _, o := range orders {
		s := o.start()
		size := s.Size()
		d.starts.Sent(size)
		d.spawn(func() { d.sendStart(o, size) })
	}
}

// start returns what of a start its size goes by.
func (o *sentStart) start() cell.Start {
	return cell.Start{Text: o.Text, Saved: o.Saved, Ticket: o.Ticket}
}

// sendStart sends one order.
func (d *Driver) sendStart(o sentStart, size int) {
	ctx, cancel := answerWithin(d.ctx, o.limit)
	defer cancel()
	sent := clock.Now()
	a, err := d.Workers.Start(ctx, o.StartOrder)
	took := clock.Since(sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	queued := d.sendOver(size, took, err != nil)
	d.lateness.Saw(o.Worker, queued, clock.Now())
	d.startAnswered(&o, StartResult{Answer: a, Err: err, Took: took})
}

// sendGroup has orders for one step carried, by an instance of the first worker's hall if it
// can be. The lock is held.
func (d *Driver) sendGroup(group []sentStart) {
	size := 0
	for _, o := range group {
		s := o.start()
		size += s.CarriedSize()
	}
	d.starts.Sent(size)
	d.spawn(func() { d.carry(group, size) })
}

// carry has orders carried.
func (d *Driver) carry(group []sentStart, size int) {
	orders := make([]StartOrder, 0, len(group))
	var limit time.Duration
	for _, o := range group {
		orders = append(orders, o.StartOrder)
		limit = max(limit, o.limit)
	}
	ctx, cancel := answerWithin(d.ctx, limit+carryTakes)
	defer cancel()
	sent := clock.Now()
	results, err := d.Carriers.Starts(ctx, group[0].hall, orders, limit)
	took := clock.Since(sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind.Is(err, kind.Unavailable) && d.ctx.Err() == nil {
		d.sendOver(size, took, false)
		d.sendEach(group)
		return
	}
	// What the worker took is no part of the time that the message to the carrier took.
	longest := slices.MaxFunc(append(results, StartResult{}), func(a, b StartResult) int { return int(a.Took - b.Took) })
	d.sendOver(size, took-longest.Took, err != nil)
	if err == nil && len(results) != len(group) {
		err = kind.New(kind.Damaged, "a carrier answered for other orders")
	}
	for i := range group {
		r := StartResult{Err: err}
		if err == nil {
			r = results[i]
		}
		d.startAnswered(&group[i], r)
	}
}

// sendOver takes in that a message of starts is not under way any more, and returns for how
// long it seems to have queued, if its answer came. The lock is held.
func (d *Driver) sendOver(size int, took time.Duration, lost bool) time.Duration {
	if d.cell.HeldBack() {
		notify(d.wake)
	}
	now := clock.Now()
	if lost {
		d.starts.Lost(size, now)
		return 0
	}
	return d.starts.Answered(size, took, now)
}

// startAnswered takes in what became of an order to start a run. The lock is held.
func (d *Driver) startAnswered(o *sentStart, r StartResult) {
	l := d.links[o.Worker]
	if l == nil || d.ctx.Err() != nil {
		return
	}
	if kind.Is(r.Err, kind.NotFound) && o.Addr == l.addr {
		d.dead(l, cell.LossReborn)
		return
	}
	delete(l.orders, o.number)
	if r.Err != nil {
		if kind.Is(r.Err, kind.Fenced) && l.fence == o.Fence {
			go d.lost("worker " + o.Worker + " has seen a higher fence")
			return
		}
		if l.fence == o.Fence {
			level.Info(d.Log).Log("event", "start_lost", "job", o.Task.Job, "worker", o.Worker, "run", o.Run, "limit_ms", o.limit.Milliseconds(), "err", r.Err)
			l.answers.Lost()
			d.cell.OrderLost(o.Worker, clock.Now())
			d.unsure(o.Worker)
			if hungUp(r.Err) {
				d.cell.HungUp(o.Worker, !errors.Is(r.Err, syscall.ECONNREFUSED))
			}
		}
		return
	}
	now, a := clock.Now(), &r.Answer
	l.answers.Answered(r.Took)
	if l.fence == o.Fence && !l.fits(a.ClockMS, o.after, now) {
		level.Info(d.Log).Log("event", "clock_of_another_life", "worker", o.Worker, "job", o.Task.Job, "run", o.Run, "clock_ms", a.ClockMS, "known_ms", l.clockMS, "known_ms_ago", now.Sub(l.clockAt).Milliseconds())
		d.unsure(o.Worker)
		return
	}
	if l.fence == o.Fence {
		l.heardClock(a.ClockMS, now)
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
		if l.anew != nil {
			l.anew()
		}
		notify(l.kick)
	}
	if a.Outcome != cell.Accepted {
		notify(d.wake)
	}
}
