// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"dewpass.org/internal/fault"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

const (
	// maxInlineAnswer is the size in bytes up to which an answer is stored in the job's row.
	maxInlineAnswer = 16 << 10
	writeTimeout    = 2 * time.Second
	indexPageSize   = 200
	maxActAttempts  = 3
)

// jobState is a job of an owned rack.
type jobState struct {
	row     job.Job
	version uint64
	// stored is the row as the table was last known to have it.
	stored job.Job
	rack   *rack
	task   *task
	// inDoubt is set while it is unknown whether an attempt runs.
	inDoubt bool
	// mustReread is set while the row must be read again before a start, because others may
	// have moved the job.
	mustReread bool
	// dirty is set while the row in the table is out of date.
	dirty  bool
	saving bool
	// acks are the attempts to acknowledge to their workers, which may then forget them, once
	// the row is written.
	acks []ack
	// done is closed when the table has the end of the job, when the job is unknown, or when
	// another owner has it.
	done   chan struct{}
	isDone bool
	err    error
}

func newJobState(row job.Job, version uint64, r *rack) *jobState {
	return &jobState{row: row, version: version, stored: row, rack: r, done: make(chan struct{})}
}

// visible returns the row that callers are shown. An end that the table does not have could still
// be lost with this owner and the worker.
func (js *jobState) visible() job.Job {
	if js.row.State.Final() && !js.stored.State.Final() {
		return js.stored
	}
	return js.row
}

// finish wakes those who wait for the job.
func (js *jobState) finish(err error) {
	if js.isDone {
		return
	}
	js.isDone = true
	js.err = err
	close(js.done)
}

// Submit writes the rows of a new job and queues it. An error of kind Conflict whose cause is a
// commit.Conflict names the rows that existed already.
func (o *Owner) Submit(ctx context.Context, row job.Job) (job.Job, error) {
	w, err := o.Tree.Current().Lookup(row.Workload)
	if err != nil {
		return row, err
	}
	o.mu.Lock()
	r := o.racks[row.Rack]
	refusal := o.checkSubmit(r, w)
	o.mu.Unlock()
	if refusal != nil {
		return row, refusal
	}
	row.State = job.Queued
	js := newJobState(row, 0, r)
	if err := o.createRows(ctx, js); err != nil {
		return row, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.creating, row.ID)
	if o.racks[row.Rack] != r {
		// The next owner loads the row.
		return row, nil
	}
	o.jobs[row.ID] = js
	o.enqueue(js)
	o.schedule()
	return row, nil
}

func (o *Owner) checkSubmit(r *rack, w *tree.Workload) error {
	switch {
	case o.draining:
		return kind.New(kind.Stopping, "")
	case r == nil:
		return kind.New(kind.Fenced, "the rack has another owner")
	case r.closing:
		return kind.New(kind.Fenced, "the rack is being handed over")
	case r.rowVersion == 0:
		return kind.New(kind.CutOff, "the rack was taken without the table")
	}
	waiting := 0
	for _, js := range o.jobs {
		if js.row.Workload == w.Path && js.row.State == job.Queued {
			waiting++
		}
	}
	if waiting >= w.Queue {
		after := max(o.cell.PredictedWait(w.Class, o.now()), time.Second)
		return kind.New(kind.QueueFull, "the workload's queue is full").WithRetryAfter(after)
	}
	return nil
}

// enqueue queues a job for placement, unless it is to be cancelled. The lock is held.
func (o *Owner) enqueue(js *jobState) {
	if js.row.Cancelling {
		o.endJob(js, job.Cancelled, func(*job.Job) {})
		return
	}
	w, err := o.Tree.Current().Lookup(js.row.Workload)
	if err != nil || js.task != nil {
		// The jobs of a workload that was removed from the tree wait until it is added again.
		// See resolveDoubt.
		return
	}
	t := o.newTask(w, ports.Task{
		ID: js.row.ID, Attempt: js.row.Attempt + 1, Account: js.row.Account,
		Repeat: js.row.Repeat, Payload: js.row.Payload, Checkpoint: js.row.Checkpoint,
	})
	t.job, t.rack = js, js.rack
	t.queuedAt = o.now()
	js.task = t
	t.handle = o.cell.Submit(o.schedTask(t), o.now())
}

// startJob sends a placed job to its worker.
func (o *Owner) startJob(t *task) {
	ctx := t.rack.ctx
	if t.spec.Repeat == ports.RepeatNever && !o.writeDispatch(ctx, t) {
		return
	}
	fault.At(fault.Placed)
	o.mu.Lock()
	w := t.worker
	if w == nil || o.tasksByRef[t.ref] != t {
		o.mu.Unlock()
		return
	}
	if !w.attached || t.job.row.Cancelling {
		o.handleNotRun(t)
		o.mu.Unlock()
		return
	}
	api, cmd := w.api, o.command(w)
	t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	o.mu.Unlock()
	err := fault.Link("worker/" + w.name)
	if err == nil {
		fault.AtTask(fault.Sent, w.name, t.spec.Account)
		_, err = api.Start(ctx, cmd, t.spec, o.TaskLease)
	}
	fault.At(fault.Accepted)
	o.handleStartResult(t, err)
}

// handleStartResult handles the result of sending a job to its worker.
func (o *Owner) handleStartResult(t *task, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tasksByRef[t.ref] != t {
		return
	}
	e := kind.Of(err)
	switch {
	case err == nil:
		o.markRunning(t)
	case e.Kind == kind.Leaving:
		t.worker.leaving = true
		o.updateAvailability(t.worker)
		o.handleNotRun(t)
	case e.Kind == kind.Fenced || e.Kind == kind.Unavailable || e.Kind == kind.Conflict:
		o.reattach(t.worker)
		o.handleNotRun(t)
	default:
		// The next attach shows whether the worker has it.
		o.reattach(t.worker)
	}
	o.schedule()
}

// Cancel cancels a job of an owned rack. It returns once the table has the request or the end of
// the job, so that the next owner cancels the job as well.
func (o *Owner) Cancel(ctx context.Context, id string) (job.Job, error) {
	o.mu.Lock()
	js := o.jobs[id]
	if js != nil && !js.row.State.Final() {
		o.beginCancel(js)
	}
	o.mu.Unlock()
	if js == nil {
		return job.Job{}, kind.New(kind.NotFound, "no job with this ID on the owned racks")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := o.awaitCancelStored(ctx, js); err != nil {
		e := kind.Wrap(kind.Unavailable, err, "the table does not have the request to cancel, send it again")
		return job.Job{}, e.WithUnknownOutcome(id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return js.visible(), nil
}

// beginCancel stops a job that is not over, or takes it out of the queue. The lock is held.
func (o *Owner) beginCancel(js *jobState) {
	js.row.Cancelling = true
	o.persist(js)
	t := js.task
	switch {
	case t == nil && js.row.State == job.Queued && !js.inDoubt:
		o.endJob(js, job.Cancelled, func(*job.Job) {})
	case t != nil && t.worker == nil:
		o.endJob(js, job.Cancelled, func(*job.Job) {})
		o.removeJobTask(t)
	case t != nil && t.callerWaits && t.sent:
		go o.sendAction(t, t.worker, ports.ActStop)
	case t != nil:
		o.stopCancelled(t)
	}
}

// stopCancelled stops a task that was sent if its job is to be cancelled. The lock is held.
func (o *Owner) stopCancelled(t *task) {
	if !t.job.row.Cancelling || !t.sent || t.stopped || t.callerWaits {
		return
	}
	t.stopped = true
	go o.sendAction(t, t.worker, ports.ActStop)
}

// cancelPollInterval is how often Cancel checks whether the table has the request.
const cancelPollInterval = 5 * time.Millisecond

// awaitCancelStored waits until the table has a request to cancel a job, or the end of the job.
func (o *Owner) awaitCancelStored(ctx context.Context, js *jobState) error {
	for {
		o.mu.Lock()
		stored, err := js.stored.Cancelling || js.stored.State.Final(), js.err
		o.mu.Unlock()
		if stored || err != nil {
			return err
		}
		select {
		case <-time.After(cancelPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendAction asks a worker to throttle, resume, checkpoint or stop a task. The end of the task
// is reported by the worker's watch or, for a call, on the connection of its caller.
func (o *Owner) sendAction(t *task, w *worker, a ports.Action) {
	for range maxActAttempts {
		o.mu.Lock()
		api, cmd, id, attempt := w.api, o.command(w), t.spec.ID, t.spec.Attempt
		removed := o.tasksByRef[t.ref] != t
		o.mu.Unlock()
		if removed {
			return
		}
		rep, err := api.Act(w.rack.ctx, cmd, id, attempt, a)
		if err == nil {
			o.handleActionResult(t, w, a, rep)
			return
		}
		select {
		case <-time.After(minBackoff):
		case <-w.rack.ctx.Done():
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.stopped = false
	o.cell.RecordPreemptionFailed(t.handle)
	o.reattach(w)
}

func (o *Owner) handleActionResult(t *task, w *worker, a ports.Action, rep ports.TaskReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tasksByRef[t.ref] != t {
		return
	}
	if rep.State.Ended() && !t.callerWaits {
		// The watch reports the end in order. If it were applied here, it could overtake a
		// report that the task runs. That report would then count for the next attempt, and the
		// attempt after that would start while the next one runs.
		return
	}
	if rep.State == ports.TaskThrottled && a == ports.ActThrottle {
		o.cell.RecordThrottled(t.handle)
	}
	o.applyReport(w, rep)
	o.schedule()
}
