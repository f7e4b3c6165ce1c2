// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
)

// unsavedPause is how long a link waits for the store to take the ends that were listed, before
// it renews the lease without observing them.
const unsavedPause = 250 * time.Millisecond

// A worker that leaves within leavingSoon is asked again after leavingPause, as what it lists later
// may never be heard of.
const (
	leavingSoon  = time.Second
	leavingPause = 50 * time.Millisecond
)

// hold attaches the worker, or renews its lease.
func (d *Driver) hold(ctx context.Context, l *link) error {
	d.mu.Lock()
	attach := !l.attached
	if attach {
		attaching := l.attaching
		d.mu.Unlock()
		select {
		case attaching <- struct{}{}:
			defer func() { <-attaching }()
		case <-ctx.Done():
			return ctx.Err()
		}
		d.mu.Lock()
		d.nextFence(l)
	}
	now := clock.Now()
	unsaved := d.cell.Unsaved(l.id)
	o := HoldOrder{Target: Target{Worker: l.id, Addr: l.addr, Fence: l.fence}}
	if !attach {
		// Whoever is attached may be another life, which numbers its own ends from 1.
		o.Observed = d.cell.Observed(l.id)
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
	send := sentHold{HoldOrder: o, sent: now, limit: limit, carried: !attach && d.carries(now), attach: attach, hall: l.hall, born: l.born}
	wanted, anew := context.WithCancel(ctx)
	defer anew()
	l.anew = anew
	d.mu.Unlock()
	if err := d.awaitHold(ctx, wanted, l, send); err != nil || attach {
		return d.ofAddress(l, o.Addr, err)
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
	// hall is the worker's, as its link may learn of another one meanwhile.
	hall string
	// born is that of the life that is known, 0 if it is not, or does not say.
	born int64
}

// ofAddress returns what an error says of a worker that was called at an address: if it is known
// at another one by now, nothing of who is at that one.
func (d *Driver) ofAddress(l *link, addr string, err error) error {
	if !kind.Is(err, kind.NotFound) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.addr == addr {
		return err
	}
	return kind.New(kind.Unavailable, "the worker is not at "+addr+" any more")
}

// awaitHold sends a hold and takes in its answer, for which it waits until wanted ends. An
// answer that comes later is taken in as well: a worker that leaves may not list what it
// says again.
func (d *Driver) awaitHold(ctx, wanted context.Context, l *link, h sentHold) error {
	holding, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	d.spawn(func() {
		defer cancel()
		a, err := d.sendHold(holding, h)
		if err == nil {
			err = d.held(l, h.HoldOrder, a, h.sent, h.attach)
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
func (d *Driver) sendHold(ctx context.Context, h sentHold) (HoldAnswer, error) {
	o := h.HoldOrder
	if h.carried {
		within, cancel := answerWithin(ctx, o.Wait+h.limit+carryTakes)
		a, done, err := d.Carriers.Hold(within, h.hall, o, h.limit)
		cancel()
		// A carrier of an earlier build leaves out which life has answered.
		done = done && (err != nil || a.Lists.Born != 0 || h.born == 0)
		if done || ctx.Err() != nil {
			return a, err
		}
		o.Wait = 0
	}
	within, cancel := answerWithin(ctx, o.Wait+h.limit)
	defer cancel()
	return d.Workers.Hold(within, o)
}

// held takes in the answer to a hold. Its error is of kind Damaged if it does not say which life
// has answered, of a worker that said so before.
func (d *Driver) held(l *link, o HoldOrder, a HoldAnswer, sent time.Time, attach bool) error {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Lists.Born == 0 && l.born != 0 {
		return kind.New(kind.Damaged, "the worker does not say when it started")
	}
	if o.Wait == 0 {
		l.answers.Answered(now.Sub(sent))
	} else if late := now.Sub(sent) - o.Wait; late > 0 {
		d.lateness.Saw(l.id, late, now)
	}
	switch another := l.isAnother(a.Lists.Born); {
	case l.fence != o.Fence || (!attach && !l.attached):
		// Where an order was lost meanwhile, what runs is of before. Its ends are facts: a
		// worker that leaves may not list them again.
		d.cell.EndsListed(l.id, a.Lists, now)
	case another && !attach:
		// Orders for the life before may still reach this one: it is held under a fence that
		// none of them bears before anything follows from what it lists.
		d.logReborn(l, o, &a, attach)
		d.unsure(l.id)
	case attach:
		if another {
			d.reborn(l, o, &a, now)
		}
		d.attached(l, &a, now)
	case a.Brief:
		d.cell.EndsListed(l.id, a.Lists, now)
		l.heardClock(a.ClockMS, now)
	default:
		d.cell.Listed(l.id, a.Lists, sent, now)
		l.listed = now
		l.heardClock(a.ClockMS, now)
	}
	l.heard = now
	d.logHeld(l, o, &a, now.Sub(sent))
	for i := range a.Lists.Finished {
		f := &a.Lists.Finished[i]
		level.Debug(d.Log).Log("event", "end", "job", f.Task.Job, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "how", f.How, "worker", l.id, "born", a.Lists.Born, "number", f.Number)
	}
	if d.cell.Unsaved(l.id) {
		notify(d.write)
	}
	notify(d.wake)
	return nil
}

// attached takes in the lists of a worker under a newer fence. The lock is held.
func (d *Driver) attached(l *link, a *HoldAnswer, now time.Time) {
	if l.lapsed {
		d.listAgain(l)
	}
	if l.supposedBorn() != a.Lists.Born {
		// The next owner has to know which life may run what this one starts.
		d.workerListChanged = true
		notify(d.write)
	}
	l.born = a.Lists.Born
	l.heardClock(a.ClockMS, now)
	d.cell.Attached(l.id, a.Lists, now)
	l.attached, l.lapsed = true, false
	if l.leftover != nil {
		l.leftover()
		l.leftover = nil
	}
	level.Debug(d.Log).Log("event", "worker_attached", "worker", l.id, "born", l.born, "fence", l.fence, "running", len(a.Lists.Running), "finished", len(a.Lists.Finished))
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
	d.mu.Lock()
	pause := unsavedPause
	if l.draining && l.leaves.Sub(clock.Now()) < leavingSoon {
		pause = leavingPause
	}
	d.mu.Unlock()
	timer := time.NewTimer(pause)
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
