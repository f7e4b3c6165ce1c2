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
	// holdTenths is the part of a task lease, in tenths, for which a worker holds
	// a watch with nothing to tell. It is below the half that control lasts.
	holdTenths = 4
	// attachFirst and attachMost bound the wait between tries to attach.
	attachFirst = 50 * time.Millisecond
	attachMost  = time.Second
	// commandTime is what a worker may take to answer beyond the hold.
	commandTime = 2 * time.Second
)

// worker is a worker of an owned rack.
type worker struct {
	name string
	addr string
	rack *rack
	api  ports.Worker
	// id is its number in the cell, or sched.NoWorker before the first attach.
	id          sched.WorkerID
	epoch       lease.Epoch
	incarnation string
	attached    bool
	leaving     bool
	// listedLeaving is set when the platform or a peer says that it leaves.
	listedLeaving bool
	// seq is the number of the last change that it told at attaching.
	seq uint64
	// renewed is when the last command was sent that may have renewed its
	// leases.
	renewed time.Time
	// over is set when its leases are surely over and its tasks were settled.
	over bool
	// generation counts attaches, for those who wait for one.
	generation chan struct{}
	// unlisted is set while the platform does not list it.
	unlisted bool
	// idle is set while the owner renews no lease here, because it may have
	// lost the rack without knowing.
	idle bool
	// again ends the watch in progress.
	again  context.CancelFunc
	cancel context.CancelFunc
}

// addWorker starts the loop of a worker. The lock is held.
func (o *Owner) addWorker(r *rack, in ports.Instance) {
	ctx, cancel := context.WithCancel(r.ctx)
	w := &worker{
		name: in.ID, addr: in.Addr, rack: r, api: o.Connect(in.Addr),
		id: sched.NoWorker, epoch: r.epoch, listedLeaving: in.Leaving,
		renewed: clock.Now(), generation: make(chan struct{}), cancel: cancel,
	}
	r.workers[in.ID] = w
	go o.serve(ctx, w)
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

// gate opens or closes a worker for new tasks. The lock is held.
func (o *Owner) gate(w *worker) {
	if w.id == sched.NoWorker {
		return
	}
	open := w.attached && !w.idle && !w.leaving && !w.listedLeaving
	if open && !w.rack.closing && !o.draining {
		o.cell.Open(w.id)
		return
	}
	o.cell.Close(w.id)
}

// suspect stops new tasks on a worker and makes it attach again, under the
// next epoch. The lock is held.
func (o *Owner) suspect(w *worker) {
	w.attached = false
	o.gate(w)
	if w.again != nil {
		w.again()
	}
}

// serve attaches a worker and watches it, again and again, until ctx ends.
func (o *Owner) serve(ctx context.Context, w *worker) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = attachFirst
	wait.MaxInterval = attachMost
	for ctx.Err() == nil {
		if o.attach(ctx, w) && !o.resting(w) {
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

// resting reports whether no lease is to be renewed at the worker.
func (o *Owner) resting(w *worker) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.idle
}

// attach raises the worker's epoch and takes in what it runs.
func (o *Owner) attach(ctx context.Context, w *worker) bool {
	o.mu.Lock()
	api, cmd := w.api, o.nextEpoch(w)
	o.mu.Unlock()
	if fault.Link("worker/"+w.name) != nil {
		return false
	}
	reply, err := api.Attach(ctx, cmd)
	if err != nil {
		o.attachRefused(w, err)
		return false
	}
	fault.At(fault.Attached)
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil || w.epoch != cmd.Epoch {
		return false
	}
	o.sync(w, reply)
	return true
}

// nextEpoch puts the worker under an epoch that was not used with it yet. A
// command of the epochs before cannot be accepted once it attaches.
func (o *Owner) nextEpoch(w *worker) ports.Command {
	if w.epoch.Table < w.rack.epoch.Table {
		w.epoch = w.rack.epoch
	} else {
		w.epoch = w.epoch.NextLocal()
	}
	w.attached = false
	o.gate(w)
	return ports.Command{Owner: o.Name, Epoch: w.epoch}
}

// attachRefused learns from a refusal: a higher local epoch is passed by, a
// higher table epoch means that the rack has another owner.
func (o *Owner) attachRefused(w *worker, err error) {
	var higher *ports.HigherEpoch
	if !errors.As(err, &higher) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if higher.Epoch.Table > w.rack.epoch.Table {
		o.Lost()
		return
	}
	if w.epoch.Less(higher.Epoch) {
		w.epoch = higher.Epoch
	}
}

// sync takes in what a worker runs. The lock is held.
func (o *Owner) sync(w *worker, reply ports.AttachReply) {
	if w.id != sched.NoWorker && w.incarnation != reply.Incarnation {
		o.restarted(w)
	}
	if w.id == sched.NoWorker {
		w.id = o.cell.Add(w.rack.id, reply.Capacity)
		o.cell.Close(w.id)
		o.workers[w.id] = w
	}
	w.incarnation = reply.Incarnation
	w.attached, w.over = true, false
	w.leaving = reply.Leaving
	w.seq = reply.Seq
	w.renewed = clock.Now()
	reported := make(map[string]bool, len(reply.Tasks))
	for _, rep := range reply.Tasks {
		reported[rep.Task.ID] = true
		o.report(w, rep)
	}
	o.settleAbsent(w, reported)
	close(w.generation)
	w.generation = make(chan struct{})
	o.gate(w)
	o.releaseAll(w.rack)
	o.step()
}

// restarted settles the tasks of a worker that came back with nothing running.
func (o *Owner) restarted(w *worker) {
	for _, t := range o.tasksOn(w) {
		t.absent = t.spec.Repeat == ports.RepeatSafe
		o.lose(t, "the worker was restarted")
	}
	o.cell.Remove(w.id)
	delete(o.workers, w.id)
	w.id = sched.NoWorker
}

func (o *Owner) tasksOn(w *worker) []*task {
	var out []*task
	for _, t := range o.byRef {
		if t.worker == w {
			out = append(out, t)
		}
	}
	return out
}

// settleAbsent settles the tasks that were sent under an epoch before this one
// and that the worker does not have: they did not run there and never will.
func (o *Owner) settleAbsent(w *worker, reported map[string]bool) {
	for _, t := range o.tasksOn(w) {
		if reported[t.spec.ID] || !t.sent || !t.epoch.Less(w.epoch) {
			continue
		}
		t.absent = true
		if !t.callerWaits {
			o.neverRan(t)
		}
	}
}

// watch renews the leases of a worker and takes in its changes until that
// fails.
func (o *Owner) watch(ctx context.Context, w *worker) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.mu.Lock()
	w.again = cancel
	req := ports.WatchRequest{
		Command: o.command(w),
		Seq:     w.seq,
		LeaseMS: o.TaskLease.Milliseconds(),
		HoldMS:  o.hold().Milliseconds(),
	}
	attached := w.attached
	o.mu.Unlock()
	for attached && ctx.Err() == nil {
		reply, err := o.watchOnce(ctx, w, req)
		if err != nil {
			o.watchFailed(ctx, w, err)
			return
		}
		req.Seq = reply.Seq
	}
}

// hold is how long a worker holds a watch with nothing to tell.
func (o *Owner) hold() time.Duration { return o.TaskLease * holdTenths / 10 }

func (o *Owner) command(w *worker) ports.Command {
	return ports.Command{Owner: o.Name, Epoch: w.epoch, Incarnation: w.incarnation}
}

func (o *Owner) watchOnce(ctx context.Context, w *worker, req ports.WatchRequest) (ports.WatchReply, error) {
	if err := fault.Link("worker/" + w.name); err != nil {
		return ports.WatchReply{}, err
	}
	o.mu.Lock()
	w.renewed = clock.Now()
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
		o.report(w, rep)
	}
	if reply.Leaving != w.leaving {
		w.leaving = reply.Leaving
		o.gate(w)
	}
	o.step()
	return reply, nil
}

func (o *Owner) watchFailed(ctx context.Context, w *worker, err error) {
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w.attached = false
	o.gate(w)
	level.Debug(o.Log).Log("msg", "worker not watched", "worker", w.name, "err", err)
	if kind.Is(err, kind.Fenced) {
		o.Lost()
	}
}
