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

// maxPersistWait is how long a link waits for the store to persist the listed ends before it renews
// the leases without acknowledging them.
const maxPersistWait = 250 * time.Millisecond

// A worker that leaves within leavingSoon is polled again after leavingPersistWait, since ends that
// it lists later may never be received.
const (
	leavingSoon        = time.Second
	leavingPersistWait = 50 * time.Millisecond
)

// hold attaches the worker, or renews the leases of its runs.
func (d *Driver) hold(ctx context.Context, l *link) error {
	d.mu.Lock()
	attach := !l.attached
	if attach {
		attaching := l.attachSlots
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
		// The worker may be in another incarnation, which numbers its ends from 1 again.
		o.Observed = d.cell.Observed(l.id)
	}
	// A worker that might not answer gets no longer lease: otherwise the end of the lease would
	// never be certain.
	if !attach && d.mayOrder(now) {
		o.LeaseUntilMS = d.newLeaseEnd(l, now)
	}
	// The next page of ends is there already, or there is none, which is to be known at once.
	if !attach && !unsaved && !d.cell.MoreEnds(l.id) {
		o.Wait = d.holdWait(l, now)
		o.EndsOnly = now.Sub(l.listedAt) < o.Wait
	}
	limit := d.orderTimeout(l, now)
	// If a relay gets no answer from the worker, the hold is sent directly as well.
	send := pendingHold{HoldOrder: o, sent: now, limit: limit, relayed: !attach && d.relaying(now), attach: attach, hall: l.hall, born: l.born}
	waitCtx, abandon := context.WithCancel(ctx)
	defer abandon()
	l.rehold = abandon
	d.mu.Unlock()
	if err := d.awaitHold(ctx, waitCtx, l, send); err != nil || attach {
		return d.ignoreOldAddress(l, o.Addr, err)
	}
	d.waitPersisted(ctx, l)
	d.waitForNextPage(ctx, l, o.Observed)
	return nil
}

// pendingHold is a hold order in flight.
type pendingHold struct {
	HoldOrder
	sent            time.Time
	limit           time.Duration
	relayed, attach bool
	// hall is the worker's hall when the hold was sent; that of the link may change meanwhile.
	hall string
	// born identifies the worker's known incarnation; 0 if it is unknown or the worker does not
	// report it.
	born int64
}

// ignoreOldAddress turns a NotFound error into Unavailable if the worker's address has changed
// since the call: the error then says nothing about the worker at the new one.
func (d *Driver) ignoreOldAddress(l *link, addr string, err error) error {
	if !kind.Is(err, kind.NotFound) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.addr == addr {
		return err
	}
	return kind.New(kind.Unavailable, "the worker has moved from "+addr+" to another address")
}

// awaitHold sends a hold and waits for the answer until waitCtx ends. A later answer is still
// applied: a worker that leaves may not list the same ends again.
func (d *Driver) awaitHold(ctx, waitCtx context.Context, l *link, h pendingHold) error {
	holding, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	d.spawn(func() {
		defer cancel()
		a, err := d.sendHold(holding, h)
		if err == nil {
			err = d.holdAnswered(l, h.HoldOrder, a, h.sent, h.attach)
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-waitCtx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l.cancelAbandoned = cancel
	return kind.New(kind.Lost, "hold abandoned to attach the worker again")
}

// holdWait returns for how long a worker may delay its answer to a long poll. The time grows while
// answers are late on this side, since the link can do without long polls first. The lock is held.
func (d *Driver) holdWait(l *link, now time.Time) time.Duration {
	wait := d.cell.MaxPollWait(l.id)
	late := d.lateness.Current(now)
	return min(wait+wait*time.Duration(late/latenessStep), max(wait, maxHoldWait))
}

const (
	// For each latenessStep of lateness the polling interval grows by its normal length, up to
	// maxHoldWait, a third of the shortest lease.
	latenessStep = 50 * time.Millisecond
	maxHoldWait  = 2 * time.Second
)

// sendHold sends a hold, through a relay if relayed is set. If the relay gets no answer it is
// sent again directly: a hold may be delivered twice.
func (d *Driver) sendHold(ctx context.Context, h pendingHold) (HoldAnswer, error) {
	o := h.HoldOrder
	if h.relayed {
		within, cancel := withAnswerTimeout(ctx, o.Wait+h.limit+relayOverhead)
		a, done, err := d.Relays.Hold(within, h.hall, o, h.limit)
		cancel()
		// Relays of earlier versions omit which incarnation has answered.
		done = done && (err != nil || a.Lists.Born != 0 || h.born == 0)
		if done || ctx.Err() != nil {
			return a, err
		}
		o.Wait = 0
	}
	within, cancel := withAnswerTimeout(ctx, o.Wait+h.limit)
	defer cancel()
	return d.Workers.Hold(within, o)
}

// holdAnswered applies the answer to a hold. It returns an error of kind Damaged if the answer does
// not say which incarnation has given it although the worker did so before.
func (d *Driver) holdAnswered(l *link, o HoldOrder, a HoldAnswer, sent time.Time, attach bool) error {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Lists.Born == 0 && l.born != 0 {
		return kind.New(kind.Damaged, "the worker does not state its start time any more")
	}
	if o.Wait == 0 {
		l.answerTimes.Answered(now.Sub(sent))
	} else if late := now.Sub(sent) - o.Wait; late > 0 {
		d.lateness.Observe(l.id, late, now)
	}
	switch another := l.isOtherIncarnation(a.Lists.Born); {
	case l.fence != o.Fence || (!attach && !l.attached):
		// An order was lost meanwhile, so the running runs in the answer are out of date. Ended
		// runs remain valid, and a worker that leaves may not list them again.
		d.cell.EndsListed(l.id, a.Lists, now)
	case another && !attach:
		// Orders for the previous incarnation may still reach the new one. It is attached under a
		// fence above theirs before anything else in its lists is used.
		d.logReborn(l, o, &a, attach)
		d.reattach(l.id)
	case attach:
		if another {
			d.replaceIncarnation(l, o, &a, now)
		}
		d.workerAttached(l, &a, now)
	default:
		d.cell.Listed(l.id, a.Lists, sent, now)
		if !a.Lists.RunsIncomplete {
			l.listedAt = now
		}
		l.updateClock(a.ClockMS, now)
	}
	if d.cell.HasUnmatchedEnds() {
		notify(d.scanNow)
	}
	l.answeredAt = now
	d.outages.Answered(l.hall, now)
	l.lastObserved = o.Observed
	if n := len(a.Lists.Finished); n > 0 {
		l.lastEnd = a.Lists.Finished[n-1].Number
	}
	d.logHeld(l, o, &a, now.Sub(sent))
	for i := range a.Lists.Finished {
		f := &a.Lists.Finished[i]
		level.Debug(d.Log).Log("event", "end", "job", f.Task.Job, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "how", f.How, "worker", l.id, "born", a.Lists.Born, "number", f.Number)
	}
	if d.cell.Unsaved(l.id) {
		notify(d.commitNow)
	}
	notify(d.placeNow)
	return nil
}

// workerAttached applies the lists of a worker that answered under a new fence. The lock is held.
func (d *Driver) workerAttached(l *link, a *HoldAnswer, now time.Time) {
	if l.lapsed || l.unlisted {
		d.relist(l)
	}
	if l.likelyBorn() != a.Lists.Born {
		// The next owner must know which incarnation may execute the runs that this owner starts.
		d.workerListChanged = true
		notify(d.commitNow)
	}
	l.born = a.Lists.Born
	l.updateClock(a.ClockMS, now)
	d.cell.Attached(l.id, a.Lists, now)
	l.attached, l.lapsed = true, false
	if l.cancelAbandoned != nil {
		l.cancelAbandoned()
		l.cancelAbandoned = nil
	}
	level.Debug(d.Log).Log("event", "worker_attached", "worker", l.id, "born", l.born, "fence", l.fence, "running", len(a.Lists.Running), "finished", len(a.Lists.Finished), "more_ends", a.Lists.Truncated)
}

// relist puts a worker that answers again back on the worker list, which may have left it out.
// Nothing is placed there while its directory entry is missing as well, because a next owner might
// not know of the worker. The lock is held.
func (d *Driver) relist(l *link) {
	d.listChanged()
	d.cell.SetListed(l.id, false)
	if !l.missingSince.IsZero() {
		d.cell.EntryMissing(l.id)
	}
}

// waitPersisted waits, for a limited time, until the listed ends are persisted.
func (d *Driver) waitPersisted(ctx context.Context, l *link) {
	d.mu.Lock()
	pause := maxPersistWait
	if l.draining && l.leavesAt.Sub(clock.Now()) < leavingSoon {
		pause = leavingPersistWait
	}
	d.mu.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		d.mu.Lock()
		unsaved, kept := d.cell.Unsaved(l.id) && l.attached, d.persisted
		d.mu.Unlock()
		if !unsaved {
			return
		}
		select {
		case <-kept:
		case <-timer.C:
			return
		case <-l.retryNow:
			return
		case <-ctx.Done():
			return
		}
	}
}

// nextPageRetry is how long a link waits before it holds a worker again whose next page of ends it
// cannot ask for yet. It is a little longer than orders usually take.
const nextPageRetry = 20 * time.Millisecond

// waitForNextPage waits for nextPageRetry if the worker has more ends and cannot be told yet to forget
// those that it has listed: it would only list them again. observed is what it was told last.
func (d *Driver) waitForNextPage(ctx context.Context, l *link, observed int) {
	d.mu.Lock()
	wait := l.attached && d.cell.MoreEnds(l.id) && d.cell.Observed(l.id) <= observed
	d.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-time.After(nextPageRetry):
	case <-l.retryNow:
	case <-ctx.Done():
	}
}

// holdFailed handles a hold without an answer, and reports whether the link has ended.
func (d *Driver) holdFailed(l *link, err error) bool {
	if kind.Is(err, kind.NotFound) {
		d.workerDead(l.id, cell.LossReborn)
		return true
	}
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind.Is(err, kind.Fenced) {
		go d.leaseLost("worker " + l.id + " has seen a higher fence")
		l.attached = false
		return false
	}
	if l.attached && kind.Is(err, kind.Lost) {
		// A hold that was abandoned in order to attach the worker again says nothing about the
		// worker.
		l.answerTimes.Lost()
	}
	if l.attached {
		d.logUnreachable(l, err, now)
		d.outages.Failed(l.hall, l.id, now)
	}
	d.cell.Detached(l.id, now)
	if closedByPeer(err) {
		d.cell.HungUp(l.id, l.attached && !errors.Is(err, syscall.ECONNREFUSED))
	}
	l.attached = false
	if now.After(l.leasesEnd) && !l.lapsed {
		l.lapsed = true
		d.Scope.Counter("leases_over_total").Inc(1)
		d.logLeaseOver(l, now)
		d.cell.WorkerLost(l.id, lossCause(err), now)
		d.noteLost(l)
		notify(d.placeNow)
	}
	if l.lapsed && !l.missingSince.IsZero() && now.Sub(l.missingSince) > missingGrace {
		d.dropLink(l, cell.LossSilent, now)
		return true
	}
	return false
}
