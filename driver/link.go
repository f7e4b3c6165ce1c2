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
	// An order whose answer takes much longer than usual for its worker is considered lost, between
	// minOrderTimeout and maxOrderTimeout after it was sent: the worker is attached again at once
	// under the next fence, and runs that did not begin are started again. The lower bound leaves an
	// owner with little CPU time the time to read the answers.
	minOrderTimeout = 100 * time.Millisecond
	maxOrderTimeout = 700 * time.Millisecond
	// maxAttaching is how many workers of one hall are attached at once. Each answer lists the runs
	// and ends of a worker, and those of all halls together have to arrive within the timeout of a
	// first answer, also over a thin link. The limit is per hall so that an unreachable hall does not
	// delay the others.
	maxAttaching = 8
	// overdueAfter is how long an order may have no answer before its worker gets no new runs.
	overdueAfter = 150 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to reach a worker.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// missingGrace is how long a worker's entry may be missing before nothing is placed there:
	// entries reappear after an outage of the store.
	missingGrace = 2200 * time.Millisecond
)

// link is the driver's state of a worker, apart from that in the cell. Fields outside incarnation
// and entryInfo hold across the worker's incarnations.
type link struct {
	id, addr, hall string
	fence          uint64
	attached       bool
	incarnation
	entryInfo
	// rehold makes the link attach the worker again without waiting for the answer to the present
	// hold.
	rehold context.CancelFunc
	// cancelAbandoned cancels a hold that is no longer waited for. Its answer may list ends that
	// are not listed again, so it is cancelled only once the worker has been attached again and has
	// listed everything.
	cancelAbandoned context.CancelFunc
	cancel          context.CancelFunc
	// unlisted means that the worker list in the store, or the one that is being written, leaves the
	// worker out since nothing could run there any more.
	unlisted bool
	// missingSince is when the worker's entry was first missing, zero while there is one.
	missingSince time.Time
	// answerTimes estimates the worker's response time to starts and to holds that do not wait.
	answerTimes rtt.Estimate
	// pendingOrders holds, by number, when each order without an answer was sent.
	pendingOrders map[uint64]time.Time
	orderCount    uint64
	retryNow      chan struct{}
	// attachSlots is the semaphore of the workers of the hall that are being attached.
	attachSlots chan struct{}
	// entryVer is the version of the newest entry.
	entryVer uint64
}

// connect starts the link to a worker. The lock is held.
func (d *Driver) connect(id, addr, hall string) {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{
		id: id, addr: addr, hall: hall, cancel: cancel, retryNow: make(chan struct{}, 1),
		// The worker may have been given up before, and then has seen fences of this owner.
		fence: max(d.Claim.Epoch()*fencesPerEpoch, d.topFence),
	}
	// A former owner that is still alive sends its last orders before its cell lease expires.
	l.leasesEnd = d.startedAt.Add(d.FormerGrace + claim.TakeoverMargin + slowClockDuration(d.WorkerLease))
	d.links[id] = l
	l.attachSlots = d.attachSlotsOf(hall)
	d.listChanged()
	d.spawn(func() { d.runLink(ctx, l) })
}

// nextFence raises the fence of a worker and returns it. The lock is held.
func (d *Driver) nextFence(l *link) uint64 {
	l.fence++
	d.topFence = max(d.topFence, l.fence)
	if l.fence >= (d.Claim.Epoch()+1)*fencesPerEpoch-fenceReserve {
		go d.leaseLost("the fences of its epoch are used up")
	}
	return l.fence
}

// attachSlotsOf returns the semaphore of the workers of a hall that are being attached. The lock is
// held.
func (d *Driver) attachSlotsOf(hall string) chan struct{} {
	if d.attachSlots[hall] == nil {
		d.attachSlots[hall] = make(chan struct{}, maxAttaching)
	}
	return d.attachSlots[hall]
}

// addOrder records an order in flight and returns its number. The lock is held.
func (l *link) addOrder(now time.Time) uint64 {
	if l.pendingOrders == nil {
		l.pendingOrders = make(map[uint64]time.Time)
	}
	l.orderCount++
	l.pendingOrders[l.orderCount] = now
	return l.orderCount
}

// orderTimeout returns the timeout of an order by the worker's own response times.
func (l *link) orderTimeout() time.Duration {
	return l.answerTimes.Timeout(minOrderTimeout, maxOrderTimeout)
}

// orderTimeout returns the timeout of an order. It is longer while the answers of several workers
// are late, which is then no sign that a single one is lost. The lock is held.
func (d *Driver) orderTimeout(l *link, now time.Time) time.Duration {
	return min(l.orderTimeout()+d.lateness.Current(now), maxOrderTimeout)
}

// timerDelayThreshold is the timer delay from which this process counts as not having run: the
// timeout then says nothing about the worker's response time.
const timerDelayThreshold = 20 * time.Millisecond

// withAnswerTimeout returns a context that ends after limit. If this process did not run meanwhile,
// the answer may be waiting to be read, and the limit is granted once more.
func withAnswerTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancelCause(parent)
	due := clock.Now().Add(limit)
	end := func() { stop(context.DeadlineExceeded) }
	timer := time.AfterFunc(limit, func() {
		if clock.Since(due) < timerDelayThreshold {
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

// hasOverdueOrder reports whether an order has had no answer for longer than overdueAfter.
func (l *link) hasOverdueOrder(now time.Time) bool {
	for _, sent := range l.pendingOrders {
		if now.Sub(sent) > overdueAfter {
			return true
		}
	}
	return false
}

// runLink attaches a worker and polls it until ctx ends or the worker is gone.
func (d *Driver) runLink(ctx context.Context, l *link) {
	wait := minRetryDelay
	for ctx.Err() == nil {
		err := d.hold(ctx, l)
		if err == nil {
			wait = minRetryDelay
			continue
		}
		if ctx.Err() != nil || d.holdFailed(l, err) {
			return
		}
		select {
		case <-time.After(wait):
		case <-l.retryNow:
		case <-ctx.Done():
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// reattach makes the link attach its worker again. The lock is held.
func (d *Driver) reattach(id string) {
	l := d.links[id]
	if l == nil || !l.attached {
		return
	}
	d.cell.Detached(id, clock.Now())
	l.attached = false
	if l.rehold != nil {
		l.rehold()
	}
	notify(l.retryNow)
}

// sendStop sends an order to stop a run. The lock is held.
func (d *Driver) sendStop(s cell.Stop) {
	l := d.links[s.Worker]
	if l == nil || !l.attached {
		return
	}
	level.Debug(d.Log).Log("event", "stop", "job", s.Task.Job, "step", s.Task.Step, "index", s.Task.Index, "run", s.Run, "worker", s.Worker)
	o := StopOrder{Target: Target{Worker: s.Worker, Addr: l.addr, Fence: l.fence}, Task: s.Task, Run: s.Run}
	d.sendOrder(o.Target, func(ctx context.Context) error { return d.Workers.Stop(ctx, o) })
}

// sendPace sends an order that limits the speed of a run. The lock is held.
func (d *Driver) sendPace(p cell.Pace) {
	l := d.links[p.Worker]
	if l == nil || !l.attached {
		return
	}
	level.Debug(d.Log).Log("event", "pace", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index, "run", p.Run, "worker", p.Worker, "percent", p.Percent)
	o := PaceOrder{Target: Target{Worker: p.Worker, Addr: l.addr, Fence: l.fence}, Task: p.Task, Run: p.Run, Percent: p.Percent}
	d.sendOrder(o.Target, func(ctx context.Context) error { return d.Workers.Pace(ctx, o) })
}

// sendOrder sends an order whose effect shows in the worker's lists. If the answer is lost, the
// worker is attached again. The lock is held.
func (d *Driver) sendOrder(t Target, send func(context.Context) error) {
	limit := d.orderTimeout(d.links[t.Worker], clock.Now())
	d.spawn(func() {
		ctx, cancel := withAnswerTimeout(d.ctx, limit)
		defer cancel()
		err := send(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		if l := d.links[t.Worker]; err != nil && l != nil && l.fence == t.Fence {
			d.reattach(t.Worker)
		}
	})
}
