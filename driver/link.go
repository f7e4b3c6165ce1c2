// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/rtt"
)

const (
	// An order whose answer takes much longer than those of its worker do is taken for
	// lost, between orderLeast and orderMost after it was sent: the worker is held under
	// the next fence at once, and what did not begin starts again. Answers take 2 to 12 ms
	// between halls; an owner that is short of a processor needs some tens to read them.
	orderLeast = 100 * time.Millisecond
	orderMost  = 700 * time.Millisecond
	// attachMost is how many workers of one hall are attached at once. Each answer lists
	// what runs, about 1 KB: those of five halls take 0.16 s on a link of 2 Mbit/s, within
	// the time that a first answer has, and all 220 workers of a hall 0.2 s on a fast one.
	// Those of a hall that is out of reach do not hold up the others.
	attachMost = 8
	// quiet is how long an order may go without an answer before the worker is
	// given nothing more; answers take a few milliseconds.
	quiet = 150 * time.Millisecond
	// retryFirst and retryMost space the tries to reach a worker.
	retryFirst = 20 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// goneAfter is how long a worker's entry may be missing before nothing is
	// placed there: entries come back after the store was away.
	goneAfter = 2200 * time.Millisecond
)

// link is what a Driver knows of a worker beyond the cell: what holds whichever life answers
// under its id, and what holds for one life alone.
type link struct {
	id, addr, hall string
	fence          uint64
	attached       bool
	life
	entryWord
	// anew says that the worker is to be held anew, without the answer of the hold that waits
	// there.
	anew context.CancelFunc
	// leftover cancels such a hold: its answer may list ends that come no second time, until
	// the worker is attached again and has listed everything.
	leftover context.CancelFunc
	cancel   context.CancelFunc
	// missing is since when the worker's entry is gone.
	missing time.Time
	// answers are those of the worker to starts, and to holds that do not wait.
	answers rtt.Estimate
	// orders holds when each order without an answer was sent.
	orders map[uint64]time.Time
	count  uint64
	kick   chan struct{}
	// attaching has room for as many as may be attached at once.
	attaching chan struct{}
	// ver is the version of the newest entry.
	ver uint64
}

// connect starts the link to a worker. The lock is held.
func (d *Driver) connect(id, addr, hall string) {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{
		id: id, addr: addr, hall: hall, cancel: cancel, kick: make(chan struct{}, 1),
		// It may be back after it was given up, and then has seen fences of this owner.
		fence: max(d.Claim.Epoch()*fencesPerEpoch, d.topFence),
	}
	// A former owner that still lives gives its last orders before its cell lease is no longer
	// valid.
	l.over = d.began.Add(d.Former + claim.Margin + stretch(d.Lease))
	d.links[id] = l
	l.attaching = d.attachingIn(hall)
	d.workerListChanged = true
	d.spawn(func() { d.runLink(ctx, l) })
}

// nextFence raises the fence of a worker, and returns it. The lock is held.
func (d *Driver) nextFence(l *link) uint64 {
	l.fence++
	d.topFence = max(d.topFence, l.fence)
	return l.fence
}

// attachingIn returns the places of the workers of a hall that are being attached. The lock is
// held.
func (d *Driver) attachingIn(hall string) chan struct{} {
	if d.attaching[hall] == nil {
		d.attaching[hall] = make(chan struct{}, attachMost)
	}
	return d.attaching[hall]
}

// sentOrder notes an order and returns its number. The lock is held.
func (l *link) sentOrder(now time.Time) uint64 {
	if l.orders == nil {
		l.orders = make(map[uint64]time.Time)
	}
	l.count++
	l.orders[l.count] = now
	return l.count
}

// orderTime returns how long the answer to an order is waited for where nothing else is late.
func (l *link) orderTime() time.Duration { return l.answers.Wait(orderLeast, orderMost) }

// orderTime returns how long the answer to an order is waited for: longer while the answers
// of several workers are late, which is then no sign that one is lost. The lock is held.
func (d *Driver) orderTime(l *link, now time.Time) time.Duration {
	return min(l.orderTime()+d.lateness.By(now), orderMost)
}

// lateTimer is how late a timer may be served before it says that this process was not
// running: its limit is then no sign of how long a worker took.
const lateTimer = 20 * time.Millisecond

// answerWithin returns a context that ends when no answer has come within limit. Where this
// process itself was not running meanwhile, the answer may have been waiting to be read
// for long, and the limit begins again, once.
func answerWithin(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancelCause(parent)
	due := clock.Now().Add(limit)
	end := func() { stop(context.DeadlineExceeded) }
	timer := time.AfterFunc(limit, func() {
		if clock.Since(due) < lateTimer {
			end()
			return
		}
		again := time.AfterFunc(limit, end)
		context.AfterFunc(ctx, func() { again.Stop() })
	})
	return ctx, func() {
		timer.Stop()
		stop(context.Canceled)
	}
}

// silent reports whether an order has gone without an answer for too long.
func (l *link) silent(now time.Time) bool {
	for _, sent := range l.orders {
		if now.Sub(sent) > quiet {
			return true
		}
	}
	return false
}

// runLink keeps hold of a worker until ctx ends or the worker is no more.
func (d *Driver) runLink(ctx context.Context, l *link) {
	wait := retryFirst
	for ctx.Err() == nil {
		err := d.hold(ctx, l)
		if err == nil {
			wait = retryFirst
			continue
		}
		if ctx.Err() != nil || d.holdFailed(l, err) {
			return
		}
		select {
		case <-time.After(wait):
		case <-l.kick:
		case <-ctx.Done():
		}
		wait = min(2*wait, retryMost)
	}
}

// unsure makes a link attach again. The lock is held.
func (d *Driver) unsure(id string) {
	l := d.links[id]
	if l == nil || !l.attached {
		return
	}
	d.cell.Unsure(id, clock.Now())
	l.attached = false
	if l.anew != nil {
		l.anew()
	}
	notify(l.kick)
}

// stopRun sends a stop. The lock is held.
func (d *Driver) stopRun(s cell.Stop) {
	l := d.links[s.Worker]
	if l == nil || !l.attached {
		return
	}
	level.Debug(d.Log).Log("event", "stop", "job", s.Task.Job, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run, "worker", s.Worker)
	o := StopOrder{Target: Target{Worker: s.Worker, Addr: l.addr, Fence: l.fence}, Task: s.Task, Run: s.Run}
	d.order(o.Target, func(ctx context.Context) error { return d.Workers.Stop(ctx, o) })
}

// paceRun sends how fast a run may work. The lock is held.
func (d *Driver) paceRun(p cell.Pace) {
	l := d.links[p.Worker]
	if l == nil || !l.attached {
		return
	}
	level.Debug(d.Log).Log("event", "pace", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index, "run", p.Run, "worker", p.Worker, "percent", p.Percent)
	o := PaceOrder{Target: Target{Worker: p.Worker, Addr: l.addr, Fence: l.fence}, Task: p.Task, Run: p.Run, Percent: p.Percent}
	d.order(o.Target, func(ctx context.Context) error { return d.Workers.Pace(ctx, o) })
}

// order sends an order whose outcome the worker's lists show. If its answer is
// lost, the worker is attached again. The lock is held.
func (d *Driver) order(t Target, send func(context.Context) error) {
	limit := d.orderTime(d.links[t.Worker], clock.Now())
	d.spawn(func() {
		ctx, cancel := answerWithin(d.ctx, limit)
		defer cancel()
		err := send(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		if l := d.links[t.Worker]; err != nil && l != nil && l.fence == t.Fence {
			d.unsure(t.Worker)
		}
	})
}
