// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/internal/rtt"
	"dewpass.org/kind"
)

const (
	// An order whose answer takes much longer than those of its worker do is taken for
	// lost, between orderLeast and orderMost after it was sent: the worker is held under
	// the next fence at once, and what did not begin starts again. Answers take 2 to 12 ms
	// between halls; an owner that is short of a processor needs some tens to read them.
	orderLeast = 100 * time.Millisecond
	orderMost  = 700 * time.Millisecond
	// waitTime is how long a worker may wait for an end before it answers.
	waitTime = 500 * time.Millisecond
	// quiet is how long an order may go without an answer before the worker is
	// given nothing more; answers take a few milliseconds.
	quiet = 150 * time.Millisecond
	// retryFirst and retryMost space the tries to reach a worker.
	retryFirst = 20 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// unsavedPause is how long a link waits for the store to take the ends that
	// were listed, before it renews the lease without observing them.
	unsavedPause = 250 * time.Millisecond
	// clockShare is how much slower than this clock a worker's may run, in
	// hundredths, with some to spare.
	clockShare = 3
	// leaseSlack is added to the end of a lease for what was rounded.
	leaseSlack = 60 * time.Millisecond
	// goneAfter is how long a worker's entry may be missing before nothing is
	// placed there: entries come back after the store was away.
	goneAfter = 2200 * time.Millisecond
)

// link is what a Driver knows of a worker beyond the cell.
type link struct {
	id, addr, hall string
	fence          uint64
	attached       bool
	// clockMS was read on the worker's clock at the moment clockAt or before.
	clockMS int64
	clockAt time.Time
	// over is when the lease of all that runs there is surely over.
	over   time.Time
	lapsed bool
	// waiting cancels the hold that waits at the worker.
	waiting context.CancelFunc
	cancel  context.CancelFunc
	// missing is since when the worker's entry is gone.
	missing time.Time
	// answers are those of the worker to starts, and to holds that do not wait.
	answers rtt.Estimate
	// orders holds when each order without an answer was sent.
	orders map[uint64]time.Time
	count  uint64
	kick   chan struct{}
	// ver is the version of the newest entry.
	ver uint64
}

// connect starts the link to a worker. The lock is held.
func (d *Driver) connect(id, addr, hall string) {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{
		id: id, addr: addr, hall: hall, cancel: cancel, kick: make(chan struct{}, 1),
		fence: d.Claim.Epoch() * fencesPerEpoch,
		// A former owner that still lives gives its last orders before its cell lease is
		// no longer valid.
		over: d.began.Add(d.Former + claim.Margin + stretch(d.Lease)),
	}
	d.links[id] = l
	d.workerListChanged = true
	d.spawn(func() { d.runLink(ctx, l) })
}

// stretch returns how long a lease of d may last on a slow clock.
func stretch(d time.Duration) time.Duration {
	return d + d*clockShare/100 + leaseSlack
}

// until returns the end of a new lease on the worker's clock, 0 if that is not
// known yet, and notes when it is surely over. The lock is held.
func (d *Driver) until(l *link, now time.Time) int64 {
	if l.clockMS == 0 {
		return 0
	}
	until := l.clockMS + now.Sub(l.clockAt).Milliseconds() + d.Lease.Milliseconds()
	left := time.Duration(until-l.clockMS) * time.Millisecond
	if over := l.clockAt.Add(stretch(left)); over.After(l.over) {
		l.over = over
	}
	return until
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

// orderTime returns how long the answer to an order is waited for. The lock is held.
func (l *link) orderTime() time.Duration { return l.answers.Wait(orderLeast, orderMost) }

// lateTimer is how late a timer may be served before it says that this process was not
// running: its limit is then no sign of how long a worker took.
const lateTimer = 20 * time.Millisecond

// answerWithin returns a context that ends when no answer has come within limit. Where this
// process itself was not running meanwhile, the answer may have been waiting to be read
// for long, and the limit begins again, once.
func answerWithin(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancelCause(parent)
	due := time.Now().Add(limit)
	end := func() { stop(context.DeadlineExceeded) }
	timer := time.AfterFunc(limit, func() {
		if time.Since(due) < lateTimer {
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

func (l *link) heardClock(ms int64, now time.Time) {
	if ms > 0 {
		l.clockMS, l.clockAt = ms, now
	}
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

// hold attaches the worker, or renews its lease.
func (d *Driver) hold(ctx context.Context, l *link) error {
	now := time.Now()
	d.mu.Lock()
	attach := !l.attached
	if attach {
		l.fence++
	}
	unsaved := d.cell.Unsaved(l.id)
	o := HoldOrder{
		Target:   Target{Worker: l.id, Addr: l.addr, Fence: l.fence},
		Observed: d.cell.Observed(l.id),
	}
	// A worker that may not answer gets no longer lease: its end would never be
	// certain.
	if !attach && d.mayOrder(now) {
		o.UntilMS = d.until(l, now)
	}
	if !attach && !unsaved {
		o.Wait = waitTime
	}
	holding, cancel := answerWithin(ctx, o.Wait+l.orderTime())
	l.waiting = cancel
	d.mu.Unlock()
	a, err := d.Workers.Hold(holding, o)
	cancel()
	if err != nil {
		return err
	}
	d.held(l, o, a, now, attach)
	if attach {
		return nil
	}
	d.waitKept(ctx, l)
	return nil
}

// held takes in the answer to a hold.
func (d *Driver) held(l *link, o HoldOrder, a HoldAnswer, sent time.Time, attach bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Wait == 0 {
		l.answers.Answered(now.Sub(sent))
	}
	l.heardClock(a.ClockMS, now)
	if l.fence != o.Fence {
		// An order was lost meanwhile; this answer is of before.
		return
	}
	if attach && l.lapsed {
		d.listAgain(l)
	}
	if attach {
		d.cell.Attached(l.id, a.Lists, now)
		l.attached, l.lapsed = true, false
		level.Debug(d.Log).Log("event", "worker_attached", "worker", l.id, "fence", l.fence, "running", len(a.Lists.Running), "finished", len(a.Lists.Finished))
	} else if l.attached {
		d.cell.Listed(l.id, a.Lists, sent, now)
	}
	for i := range a.Lists.Finished {
		f := &a.Lists.Finished[i]
		level.Debug(d.Log).Log("event", "end", "job", f.Task.Job, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "how", f.How, "worker", l.id, "number", f.Number)
	}
	if d.cell.Unsaved(l.id) {
		notify(d.write)
	}
	notify(d.wake)
}

// listAgain puts a worker whose leases were over on the worker list again. While its
// entry is missing as well nothing is placed there: a next owner might not know of it.
// The lock is held.
func (d *Driver) listAgain(l *link) {
	d.workerListChanged = true
	if !l.missing.IsZero() {
		d.cell.Missing(l.id)
	}
}

// waitKept waits until the ends that were listed are kept, for a while.
func (d *Driver) waitKept(ctx context.Context, l *link) {
	timer := time.NewTimer(unsavedPause)
	defer timer.Stop()
	for {
		d.mu.Lock()
		unsaved, kept := d.cell.Unsaved(l.id) && l.attached, d.kept
		d.mu.Unlock()
		if !unsaved {
			return
		}
		select {
		case <-kept:
		case <-timer.C:
			return
		case <-l.kick:
			return
		case <-ctx.Done():
			return
		}
	}
}

// holdFailed takes in that a hold had no answer, and reports whether the link
// is over.
func (d *Driver) holdFailed(l *link, err error) bool {
	if kind.Is(err, kind.NotFound) {
		d.workerDead(l.id, "another life is at its address")
		return true
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind.Is(err, kind.Fenced) {
		go d.lost("worker " + l.id + " has seen a higher fence")
		l.attached = false
		return false
	}
	if l.attached && kind.Is(err, kind.Lost) {
		// A hold that was given up as the worker is held anew says nothing of it.
		l.answers.Lost()
	}
	if l.attached {
		level.Info(d.Log).Log("event", "worker_unreachable", "worker", l.id, "err", err)
	}
	d.cell.Unsure(l.id, now)
	l.attached = false
	if now.After(l.over) && !l.lapsed {
		l.lapsed = true
		d.Scope.Counter("leases_over_total").Inc(1)
		level.Info(d.Log).Log("event", "lease_over", "worker", l.id)
		d.cell.Lapsed(l.id, now)
		notify(d.wake)
	}
	if l.lapsed && !l.missing.IsZero() && now.Sub(l.missing) > goneAfter {
		d.forget(l, now)
		return true
	}
	return false
}

// forget ends a link. The lock is held.
func (d *Driver) forget(l *link, now time.Time) {
	d.cell.Forget(l.id, now)
	l.cancel()
	delete(d.links, l.id)
	d.workerListChanged = true
	notify(d.wake)
}

// workerDead takes in that a life of a worker is surely over.
func (d *Driver) workerDead(id, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[id]; l != nil {
		level.Info(d.Log).Log("event", "worker_dead", "worker", id, "why", why)
		d.forget(l, time.Now())
	}
}

// unsure makes a link attach again. The lock is held.
func (d *Driver) unsure(id string) {
	l := d.links[id]
	if l == nil || !l.attached {
		return
	}
	d.cell.Unsure(id, time.Now())
	l.attached = false
	if l.waiting != nil {
		l.waiting()
	}
	notify(l.kick)
}

// startRun sends a start. The lock is held.
func (d *Driver) startRun(s cell.Start) {
	l := d.links[s.Worker]
	if l == nil || !l.attached {
		// The cell will hear of it when the worker is attached.
		return
	}
	o := StartOrder{
		Target: Target{Worker: s.Worker, Addr: l.addr, Fence: l.fence},
		Task:   s.Task, Run: s.Run, Text: s.Text, Saved: s.Saved, Ticket: s.Ticket,
		UntilMS: d.until(l, time.Now()),
	}
	level.Debug(d.Log).Log("event", "start", "job", s.Task.Job, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run, "worker", s.Worker, "fence", o.Fence)
	number, limit := l.sentOrder(time.Now()), l.orderTime()
	d.spawn(func() { d.sendStart(o, number, limit) })
}

func (d *Driver) sendStart(o StartOrder, number uint64, limit time.Duration) {
	ctx, cancel := answerWithin(d.ctx, limit)
	defer cancel()
	sent := time.Now()
	a, err := d.Workers.Start(ctx, o)
	if kind.Is(err, kind.NotFound) {
		d.workerDead(o.Worker, "another life is at its address")
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[o.Worker]
	if l == nil || d.ctx.Err() != nil {
		return
	}
	delete(l.orders, number)
	if err != nil {
		if kind.Is(err, kind.Fenced) && l.fence == o.Fence {
			go d.lost("worker " + o.Worker + " has seen a higher fence")
			return
		}
		if l.fence == o.Fence {
			level.Info(d.Log).Log("event", "start_lost", "job", o.Task.Job, "worker", o.Worker, "run", o.Run, "limit_ms", limit.Milliseconds(), "err", err)
			l.answers.Lost()
			d.unsure(o.Worker)
		}
		return
	}
	l.answers.Answered(now.Sub(sent))
	l.heardClock(a.ClockMS, now)
	if a.Outcome != cell.Accepted {
		level.Info(d.Log).Log("event", "start_refused", "job", o.Task.Job, "step", o.Task.Step, "index", o.Task.Index, "worker", o.Worker, "run", o.Run, "outcome", int(a.Outcome))
	}
	if l.fence != o.Fence && a.Outcome != cell.Accepted {
		return
	}
	d.cell.Started(o.Worker, o.Task, o.Run, a.Outcome, now)
	if a.Outcome == cell.NoRoom {
		l.attached = false
		if l.waiting != nil {
			l.waiting()
		}
		notify(l.kick)
	}
	if a.Outcome != cell.Accepted {
		notify(d.wake)
	}
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
	limit := d.links[t.Worker].orderTime()
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
