// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/internal/clock"
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
	// anew says that the worker is to be held anew, without the answer of the hold that waits
	// there.
	anew context.CancelFunc
	// leftover cancels such a hold: its answer may list ends that come no second time, until
	// the worker is attached again and has listed everything.
	leftover context.CancelFunc
	cancel   context.CancelFunc
	// missing is since when the worker's entry is gone.
	missing time.Time
	// draining says that the worker has said that it leaves, and leaves is when it does at the
	// earliest.
	draining bool
	leaves   time.Time
	// answers are those of the worker to starts, and to holds that do not wait.
	answers rtt.Estimate
	// orders holds when each order without an answer was sent.
	orders map[uint64]time.Time
	count  uint64
	kick   chan struct{}
	// listed is when the worker last listed what runs there, and heard when a hold last had
	// an answer.
	listed, heard time.Time
	// attaching has room for as many as may be attached at once.
	attaching chan struct{}
	// ver is the version of the newest entry.
	ver uint64
	// born is that of the life that last listed what runs there, 0 if it did not say.
	born int64
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
	if d.attaching[hall] == nil {
		d.attaching[hall] = make(chan struct{}, attachMost)
	}
	l.attaching = d.attaching[hall]
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
	d.mu.Lock()
	attach := !l.attached
	if attach {
		d.mu.Unlock()
		select {
		case l.attaching <- struct{}{}:
			defer func() { <-l.attaching }()
		case <-ctx.Done():
			return ctx.Err()
		}
		d.mu.Lock()
		l.fence++
	}
	now := clock.Now()
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
		o.Wait = d.lookWithin(l, now)
		o.Brief = now.Sub(l.listed) < o.Wait
	}
	limit := d.orderTime(l, now)
	// Where a carried hold brings no word of the worker it is sent from here as well.
	send := sentHold{HoldOrder: o, sent: now, limit: limit, carried: !attach && d.carries(now), attach: attach}
	wanted, anew := context.WithCancel(ctx)
	defer anew()
	l.anew = anew
	d.mu.Unlock()
	if err := d.awaitHold(ctx, wanted, l, send); err != nil || attach {
		return err
	}
	d.waitKept(ctx, l)
	return nil
}

// sentHold is a hold on its way to a worker.
type sentHold struct {
	HoldOrder
	sent            time.Time
	limit           time.Duration
	carried, attach bool
}

// awaitHold sends a hold and takes in its answer, for which it waits until wanted ends. An
// answer that comes later is taken in as well: a worker that leaves may not list what it
// says again.
func (d *Driver) awaitHold(ctx, wanted context.Context, l *link, h sentHold) error {
	holding, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	d.spawn(func() {
		defer cancel()
		a, err := d.sendHold(holding, l.hall, h.HoldOrder, h.limit, h.carried)
		if err == nil {
			d.held(l, h.HoldOrder, a, h.sent, h.attach)
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-wanted.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l.leftover = cancel
	return kind.New(kind.Lost, "the worker is held anew")
}

// lookWithin returns for how long a worker may wait before it answers a look: longer while
// this side is late, as looks are the first that its link can do without. The lock is held.
func (d *Driver) lookWithin(l *link, now time.Time) time.Duration {
	wait := d.cell.LookWithin(l.id)
	late := d.lateness.By(now)
	return min(wait+wait*time.Duration(late/lateStep), max(wait, lookLateMost))
}

const (
	// For each lateStep that answers are late, looks come that much seldomer, down to one
	// in lookLateMost, a third of the shortest lease. At 0.15 s, a third of them is left.
	lateStep     = 50 * time.Millisecond
	lookLateMost = 2 * time.Second
)

// sendHold sends a hold, by another instance if carried is set. A hold that is renewed may be
// sent twice: it orders nothing.
func (d *Driver) sendHold(ctx context.Context, hall string, o HoldOrder, limit time.Duration, carried bool) (HoldAnswer, error) {
	if carried {
		within, cancel := answerWithin(ctx, o.Wait+limit+carryTakes)
		a, done, err := d.Carriers.Hold(within, hall, o, limit)
		cancel()
		if done || ctx.Err() != nil {
			return a, err
		}
		o.Wait = 0
	}
	within, cancel := answerWithin(ctx, o.Wait+limit)
	defer cancel()
	return d.Workers.Hold(within, o)
}

// held takes in the answer to a hold.
func (d *Driver) held(l *link, o HoldOrder, a HoldAnswer, sent time.Time, attach bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Wait == 0 {
		l.answers.Answered(now.Sub(sent))
	} else if late := now.Sub(sent) - o.Wait; late > 0 {
		d.lateness.Saw(l.id, late, now)
	}
	l.heardClock(a.ClockMS, now)
	l.heard = now
	d.logReborn(l, o, &a, attach)
	if attach && l.lapsed && l.fence == o.Fence {
		d.listAgain(l)
	}
	switch {
	case l.fence != o.Fence || a.Brief || (!attach && !l.attached):
		// Where an order was lost meanwhile, what runs is of before. Its ends are facts: a
		// worker that leaves may not list them again.
		d.cell.EndsListed(l.id, a.Lists.Finished, now)
	case attach:
		d.cell.Attached(l.id, a.Lists, now)
		l.attached, l.lapsed = true, false
		if l.leftover != nil {
			l.leftover()
			l.leftover = nil
		}
		level.Debug(d.Log).Log("event", "worker_attached", "worker", l.id, "fence", l.fence, "running", len(a.Lists.Running), "finished", len(a.Lists.Finished))
	default:
		d.cell.Listed(l.id, a.Lists, sent, now)
		l.listed = now
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
		d.workerDead(l.id, cell.LossReborn)
		return true
	}
	now := clock.Now()
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
	if hungUp(err) {
		d.cell.HungUp(l.id, l.attached && !errors.Is(err, syscall.ECONNREFUSED))
	}
	l.attached = false
	if now.After(l.over) && !l.lapsed {
		l.lapsed = true
		d.Scope.Counter("leases_over_total").Inc(1)
		d.logLeaseOver(l, now)
		d.cell.Lapsed(l.id, lossBy(err), now)
		notify(d.wake)
	}
	if l.lapsed && !l.missing.IsZero() && now.Sub(l.missing) > goneAfter {
		d.forget(l, cell.LossSilent, now)
		return true
	}
	return false
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
