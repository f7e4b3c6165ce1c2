// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
)

const (
	// placeInterval is the longest time between two decisions without an event.
	placeInterval = 100 * time.Millisecond
	// batchDelay is how long events are collected before a decision.
	batchDelay = 2 * time.Millisecond
	// decisionDelayFactor is the delay before a decision as a multiple of how long the last one took.
	// It leaves four fifths of the time to orders, answers and group commits: an owner that only
	// decides does not carry out what it has decided.
	decisionDelayFactor = 4
	// maxBatchDelay limits that delay; it is a fifth of what the most urgent queues allow for the
	// start of a job.
	maxBatchDelay = 50 * time.Millisecond
	// pauseThreshold is the gap between two ticks from which the process counts as paused.
	pauseThreshold = 900 * time.Millisecond
)

// placeLoop runs the cell's decisions after events and at regular intervals.
func (d *Driver) placeLoop() {
	tick := time.NewTicker(placeInterval)
	defer tick.Stop()
	last := clock.Now()
	tidied := last
	delay := batchDelay
	for {
		select {
		case <-d.placeNow:
			time.Sleep(delay)
		case <-tick.C:
		case <-d.ctx.Done():
			return
		}
		now := clock.Now()
		if now.Sub(last) > pauseThreshold && !d.confirmLease(now.Sub(last)) {
			return
		}
		last = clock.Now()
		if now.Sub(tidied) > housekeepInterval {
			tidied = now
			d.housekeep(now)
		}
		begun := clock.Now()
		d.place(now)
		delay = decisionDelay(clock.Since(begun))
	}
}

// decisionDelay returns how long events are collected before the decision after one that took the
// given time.
func decisionDelay(took time.Duration) time.Duration {
	return min(max(decisionDelayFactor*took, batchDelay), maxBatchDelay)
}

// mayOrder reports whether orders sent now cannot conflict with those of another owner: the cell
// lease is valid, or all instances that could take it hear this one.
func (d *Driver) mayOrder(now time.Time) bool {
	return d.Claim.Valid(now) || d.HeardByAll()
}

// confirmLease checks after a pause of the process that the cell lease is still held.
func (d *Driver) confirmLease(gap time.Duration) bool {
	level.Warn(d.Log).Log("event", "paused", "gap_ms", gap.Milliseconds())
	d.mu.Lock()
	for id := range d.links {
		d.reattach(id)
	}
	d.mu.Unlock()
	for d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		held, err := d.Claim.Held(ctx)
		cancel()
		if err == nil {
			if !held {
				d.leaseLost("another instance took the cell lease during a pause")
			}
			return held
		}
		if !d.StoreReachable() {
			return true
		}
	}
	return false
}

// place runs one decision of the cell and carries it out.
func (d *Driver) place(now time.Time) {
	d.mu.Lock()
	if d.frozen || !d.mayOrder(now) {
		d.mu.Unlock()
		return
	}
	for id, l := range d.links {
		d.cell.SetUnschedulable(id, l.hasOverdueOrder(now) || d.outages.Suspect(l.hall) || slices.Contains(d.cordoned, l.hall))
		if !l.attached {
			d.cell.LeaseEnds(id, l.leasesEnd)
		}
	}
	if d.cell.SendLimited() {
		d.throttledAt = now
	}
	relayed := d.relaying(now)
	d.cell.SetSendBudget(d.startWindow.Free(), relayed)
	a := d.cell.Place(now, clock.Wall(), d.AskLimit())
	d.sendStarts(a.Starts, relayed)
	for i := range a.Stops {
		d.sendStop(a.Stops[i])
	}
	for i := range a.Paces {
		d.sendPace(a.Paces[i])
	}
	d.logWaits(a.Waits)
	d.logLateStarts(a.Late)
	d.logChanges()
	d.logLostRuns()
	d.logCopies()
	d.logSpeeds()
	for i := range a.Asks {
		ask := a.Asks[i]
		d.spawn(func() { d.askPolicy(ask) })
	}
	d.archiveEnded()
	if d.cell.RunsNeedCheck() {
		// Some runs have to yield: they are stopped by the next decision.
		notify(d.placeNow)
	}
	if d.cell.Dirty() {
		notify(d.commitNow)
	}
	d.mu.Unlock()
}

func (d *Driver) askPolicy(a cell.Ask) {
	ctx, cancel := context.WithTimeout(d.ctx, 2*a.Takes()+time.Second)
	defer cancel()
	sent := clock.Now()
	t, err := d.Advise(ctx, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		level.Info(d.Log).Log("event", "not_advised", "job", a.Step.Job, "step", a.Step.Step, "asked", len(a.Workers), "err", err)
		d.cell.Unadvised(a, clock.Now())
		return
	}
	d.logAdvised(&a, len(t.Rows), clock.Since(sent))
	// The validity of a ticket counts from the policy's answer, which was given some time after
	// sent.
	valid := a.Advice.Valid
	if t.Valid > 0 {
		valid = min(valid, t.Valid)
	}
	d.cell.Advised(a, t.Rows, valid, maxTime(sent.Add(a.Takes()), sent))
	notify(d.placeNow)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
