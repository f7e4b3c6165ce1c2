// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

const (
	// watchHoldTenths is the time, in tenths of a task lease, for which a worker holds a watch
	// request while it has nothing to report. It is below one half, which is the time after
	// which the owner's control of the worker lapses.
	watchHoldTenths = 4
	// minBackoff and maxBackoff limit the delay between retries.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// commandTimeout is how long a worker may take to answer a watch beyond the time for which
	// it holds it.
	commandTimeout = 2 * time.Second
)

// worker is a worker of an owned rack.
type worker struct {
	name string
	addr string
	rack *rack
	api  ports.Worker
	// id is the worker's ID in the cell, or sched.NoWorker before the first attach.
	id          sched.WorkerID
	epoch       lease.Epoch
	incarnation string
	attached    bool
	leaving     bool
	// reportedLeaving is set when the platform or a peer reports that the worker is leaving.
	reportedLeaving bool
	// watchSeq is the sequence number of the last change contained in the reply to the last
	// attach.
	watchSeq uint64
	// renewedAt is when the last command that may have renewed the worker's leases was sent.
	renewedAt time.Time
	// leasesExpired is set when the worker's leases have certainly expired and its tasks have
	// been dealt with.
	leasesExpired bool
	// nextAttach is closed at the next attach.
	nextAttach chan struct{}
	// ignoredReports is set from a report of an end whose row was not loaded yet until the worker
	// is attached again and reports it once more.
	ignoredReports bool
	// unlisted is set while the platform does not list the worker.
	unlisted bool
	// renewalPaused is set while the owner does not renew leases here, because another owner
	// may have taken over the rack unnoticed.
	renewalPaused bool
	// cancelWatch ends the watch in progress.
	cancelWatch context.CancelFunc
	cancel      context.CancelFunc
}

// addWorker adds a worker and starts its loop. The lock is held.
func (o *Owner) addWorker(r *rack, in ports.Instance) {
	ctx, cancel := context.WithCancel(r.ctx)
	w := &worker{
		name: in.ID, addr: in.Addr, rack: r, api: o.Connect(in.Addr),
		id: sched.NoWorker, epoch: r.epoch, reportedLeaving: in.Leaving,
		renewedAt: clock.Now(), nextAttach: make(chan struct{}), cancel: cancel,
	}
	r.workers[in.ID] = w
	go o.runWorker(ctx, w)
}

func (o *Owner) removeWorker(w *worker) {
	w.cancel()
	if w.id == sched.NoWorker {
		return
	}
	o.cell.Remove(w.id)
	delete(o.workers, w.id)
	w.id = sched.NoWorker
}

// updateAvailability opens or closes a worker for new tasks. The lock is held.
func (o *Owner) updateAvailability(w *worker) {
	if w.id == sched.NoWorker {
		return
	}
	open := w.attached && !w.renewalPaused && !w.leaving && !w.reportedLeaving
	if open && !w.rack.closing && !o.draining {
		o.cell.Open(w.id)
		return
	}
	o.cell.Close(w.id)
}

// reattach stops new tasks on a worker and makes its loop attach it again, under the next
// epoch. The lock is held.
func (o *Owner) reattach(w *worker) {
	w.attached = false
	o.updateAvailability(w)
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// runWorker attaches and watches a worker until ctx ends.
func (o *Owner) runWorker(ctx context.Context, w *worker) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minBackoff
	wait.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if o.attach(ctx, w) && !o.isRenewalPaused(w) {
			wait.Reset()
			o.watch(ctx, w)
			continue
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// isRenewalPaused reports whether the worker's leases must not be renewed.
func (o *Owner) isRenewalPaused(w *worker) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.renewalPaused
}

// attach raises the worker's epoch and applies the reported tasks.
func (o *Owner) attach(ctx context.Context, w *worker) bool {
	o.mu.Lock()
	api, cmd := w.api, o.nextEpoch(w)
	o.mu.Unlock()
	if fault.Link("worker/"+w.name) != nil {
		return false
	}
	reply, err := api.Attach(ctx, cmd)
	if err != nil {
		o.handleAttachError(w, err)
		return false
	}
	fault.At(fault.Attached)
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil || w.epoch != cmd.Epoch {
		return false
	}
	o.applyAttach(w, reply)
	return true
}

// nextEpoch sets an epoch that has not been used with the worker. Once it is attached, the
// worker refuses commands of earlier epochs.
func (o *Owner) nextEpoch(w *worker) ports.Command {
	if w.epoch.Table < w.rack.epoch.Table {
		w.epoch = w.rack.epoch
	} else {
		w.epoch = w.epoch.NextLocal()
	}
	w.attached = false
	o.updateAvailability(w)
	return ports.Command{Owner: o.Name, Epoch: w.epoch}
}

// handleAttachError handles a refusal: it adopts a higher local epoch, so that the next attach
// goes beyond it. A higher table epoch means that the rack has another owner.
func (o *Owner) handleAttachError(w *worker, err error) {
	var higher *ports.HigherEpoch
	if !errors.As(err, &higher) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if higher.Epoch.Table > w.rack.epoch.Table {
		o.OnOwnershipDoubt()
		return
	}
	if w.epoch.Less(higher.Epoch) {
		w.epoch = higher.Epoch
	}
}

// applyAttach applies the reply to an attach. The lock is held.
func (o *Owner) applyAttach(w *worker, reply ports.AttachReply) {
	if w.id != sched.NoWorker && w.incarnation != reply.Incarnation {
		o.handleRestart(w)
	}
	if w.id == sched.NoWorker {
		w.id = o.cell.Add(w.rack.id, reply.Capacity)
		o.cell.Close(w.id)
		o.workers[w.id] = w
	}
	w.incarnation = reply.Incarnation
	w.attached, w.leasesExpired = true, false
	w.leaving = reply.Leaving
	w.watchSeq = reply.Seq
	w.renewedAt = clock.Now()
	w.ignoredReports = false
	reported := make(map[string]bool, len(reply.Tasks))
	for _, rep := range reply.Tasks {
		reported[rep.Task.ID] = true
		o.applyReport(w, rep)
	}
	o.settleAbsent(w, reported)
	close(w.nextAttach)
	w.nextAttach = make(chan struct{})
	o.updateAvailability(w)
	o.resolveDoubts(w.rack)
	o.schedule()
}

// handleRestart ends or requeues the tasks of a worker that was restarted and has lost them.
func (o *Owner) handleRestart(w *worker) {
	for _, t := range o.tasksOn(w) {
		t.absent = t.spec.Repeat == ports.RepeatSafe
		o.handleLostTask(t, "the worker was restarted")
	}
	o.cell.Remove(w.id)
	delete(o.workers, w.id)
	w.id = sched.NoWorker
}

func (o *Owner) tasksOn(w *worker) []*task {
	var out []*task
	for _, t := range o.tasksByRef {
		if t.worker == w {
			out = append(out, t)
		}
	}
	return out
}

// settleAbsent handles tasks that were sent under an earlier epoch and that the worker does not
// have: they did not run there and never will.
func (o *Owner) settleAbsent(w *worker, reported map[string]bool) {
	for _, t := range o.tasksOn(w) {
		if reported[t.spec.ID] || !t.sent || !t.epoch.Less(w.epoch) {
			continue
		}
		t.absent = true
		if !t.callerWaits {
			o.handleNotRun(t)
		}
	}
}

// watch renews the leases of a worker and applies its changes until a request fails.
func (o *Owner) watch(ctx context.Context, w *worker) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.mu.Lock()
	w.cancelWatch = cancel
	req := ports.WatchRequest{
		Command: o.command(w),
		Seq:     w.watchSeq,
		LeaseMS: o.TaskLease.Milliseconds(),
		HoldMS:  o.watchHold().Milliseconds(),
	}
	attached := w.attached
	o.mu.Unlock()
	for attached && ctx.Err() == nil {
		reply, err := o.watchOnce(ctx, w, req)
		if err != nil {
			o.handleWatchError(ctx, w, err)
			return
		}
		req.Seq = reply.Seq
	}
}

// watchHold returns how long a worker holds a watch request while it has nothing to report.
func (o *Owner) watchHold() time.Duration { return o.TaskLease * watchHoldTenths / 10 }

func (o *Owner) command(w *worker) ports.Command {
	return ports.Command{Owner: o.Name, Epoch: w.epoch, Incarnation: w.incarnation}
}

func (o *Owner) watchOnce(ctx context.Context, w *worker, req ports.WatchRequest) (ports.WatchReply, error) {
	if err := fault.Link("worker/" + w.name); err != nil {
		return ports.WatchReply{}, err
	}
	o.mu.Lock()
	w.renewedAt = clock.Now()
	api := w.api
	o.mu.Unlock()
	reply, err := api.Watch(ctx, req)
	if err != nil {
		return reply, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return reply, ctx.Err()
	}
	for _, rep := range reply.Tasks {
		o.applyReport(w, rep)
	}
	if reply.Leaving != w.leaving {
		w.leaving = reply.Leaving
		o.updateAvailability(w)
	}
	o.schedule()
	return reply, nil
}

func (o *Owner) handleWatchError(ctx context.Context, w *worker, err error) {
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w.attached = false
	o.updateAvailability(w)
	level.Debug(o.Log).Log("msg", "watch of worker failed", "worker", w.name, "err", err)
	if kind.Is(err, kind.Fenced) {
		o.OnOwnershipDoubt()
	}
}
