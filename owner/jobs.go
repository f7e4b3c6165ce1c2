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
	// maxInline is the size up to which an answer is kept in the job's row.
	maxInline  = 16 << 10
	submitTime = 2 * time.Second
	pageSize   = 200
	actTries   = 3
)

// jobState is a job of an owned rack.
type jobState struct {
	row     job.Job
	version uint64
	rack    *rack
	task    *task
	// limbo is set while nobody can tell yet whether an attempt runs.
	limbo bool
	// unread is set while the row must be read again before a start, because
	// others may have moved the job.
	unread bool
	// cancelling is set once its caller asked for its end.
	cancelling bool
	// dirty is set while the row in the table is behind.
	dirty  bool
	saving bool
	// acks are the attempts that their workers may forget once the row is
	// written.
	acks []ack
	// done is closed when the job is over, or lost to this owner.
	done    chan struct{}
	settled bool
	err     error
}

func newJobState(row job.Job, version uint64, r *rack) *jobState {
	return &jobState{row: row, version: version, rack: r, done: make(chan struct{})}
}

// finish tells those who wait for the job.
func (js *jobState) finish(err error) {
	if js.settled {
		return
	}
	js.settled = true
	js.err = err
	close(js.done)
}

// Submit writes a new job down and takes it in. An error of kind Conflict
// whose cause is a commit.Conflict names the rows that came first.
func (o *Owner) Submit(ctx context.Context, row job.Job) (job.Job, error) {
	w, err := o.Tree.Now().Lookup(row.Workload)
	if err != nil {
		return row, err
	}
	o.mu.Lock()
	r := o.racks[row.Rack]
	refusal := o.mayAccept(r, w)
	o.mu.Unlock()
	if refusal != nil {
		return row, refusal
	}
	row.State = job.Queued
	js := newJobState(row, 0, r)
	if err := o.create(ctx, js); err != nil {
		return row, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.creating, row.ID)
	if o.racks[row.Rack] != r {
		// The next owner finds the row.
		return row, nil
	}
	o.jobs[row.ID] = js
	o.enqueue(js)
	o.step()
	return row, nil
}

func (o *Owner) mayAccept(r *rack, w *tree.Workload) error {
	switch {
	case o.draining:
		return kind.New(kind.Stopping, "")
	case r == nil:
		return kind.New(kind.Fenced, "the rack has another owner")
	case r.closing:
		return kind.New(kind.Fenced, "the rack is being handed over")
	case r.row == 0:
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
		return kind.New(kind.QueueFull, "the workload's queue is full").After(after)
	}
	return nil
}

// enqueue lets a job wait for a worker. The lock is held.
func (o *Owner) enqueue(js *jobState) {
	w, err := o.Tree.Now().Lookup(js.row.Workload)
	if err != nil || js.task != nil {
		// A workload that was taken out of the tree holds its jobs; they go on
		// when it is back. See release.
		return
	}
	t := o.newTask(w, ports.Task{
		ID: js.row.ID, Attempt: js.row.Attempt + 1, Shop: js.row.Shop,
		Repeat: js.row.Repeat, Payload: js.row.Payload, Checkpoint: js.row.Checkpoint,
	})
	t.job, t.rack = js, js.rack
	t.queued = o.now()
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
	if w == nil || o.byRef[t.ref] != t {
		o.mu.Unlock()
		return
	}
	if !w.attached {
		o.neverRan(t)
		o.mu.Unlock()
		return
	}
	api, cmd := w.api, o.command(w)
	t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	o.mu.Unlock()
	err := fault.Link("worker/" + w.name)
	if err == nil {
		fault.AtTask(fault.Sent, w.name, t.spec.Shop)
		_, err = api.Start(ctx, cmd, t.spec, o.TaskLease)
	}
	fault.At(fault.Accepted)
	o.started(t, err)
}

// started takes in the outcome of a job's start.
func (o *Owner) started(t *task, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRef[t.ref] != t {
		return
	}
	e := kind.Of(err)
	switch {
	case err == nil:
		o.running(t)
	case e.Kind == kind.Leaving:
		t.worker.leaving = true
		o.gate(t.worker)
		o.neverRan(t)
	case e.Kind == kind.Fenced || e.Kind == kind.Unavailable || e.Kind == kind.Conflict:
		o.suspect(t.worker)
		o.neverRan(t)
	default:
		// Attaching again shows whether the worker has it.
		o.suspect(t.worker)
	}
	o.step()
}

// Cancel ends a job of an owned rack.
func (o *Owner) Cancel(id string) (job.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	js := o.jobs[id]
	if js == nil {
		return job.Job{}, kind.New(kind.NotFound, "the job is not here")
	}
	if js.row.State.Over() {
		return js.row, nil
	}
	js.cancelling = true
	t := js.task
	switch {
	case t == nil && js.row.State == job.Queued && !js.limbo:
		o.settle(js, job.Cancelled, func(*job.Job) {})
	case t != nil && t.worker == nil:
		o.settle(js, job.Cancelled, func(*job.Job) {})
		o.drop(t)
	case t != nil && t.worker != nil && t.sent:
		go o.act(t, t.worker, ports.ActStop)
	}
	return js.row, nil
}

// act throttles, resumes, saves or stops a task at its worker. That a task is over
// is then told by the worker's watch, or, for a call, on its caller's connection.
func (o *Owner) act(t *task, w *worker, a ports.Action) {
	for range actTries {
		o.mu.Lock()
		api, cmd, id, attempt := w.api, o.command(w), t.spec.ID, t.spec.Attempt
		gone := o.byRef[t.ref] != t
		o.mu.Unlock()
		if gone {
			return
		}
		rep, err := api.Act(w.rack.ctx, cmd, id, attempt, a)
		if err == nil {
			o.acted(t, w, a, rep)
			return
		}
		select {
		case <-time.After(attachFirst):
		case <-w.rack.ctx.Done():
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.stopped = false
	o.cell.RecordPreemptionFailed(t.handle)
	o.suspect(w)
}

func (o *Owner) acted(t *task, w *worker, a ports.Action, rep ports.TaskReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRef[t.ref] != t {
		return
	}
	if rep.State.Over() && !t.callerWaits {
		// The watch tells of it in order. Taken in here, an end may overtake a report
		// that the task runs, and the attempt after the next starts beside the next.
		return
	}
	if rep.State == ports.TaskThrottled && a == ports.ActThrottle {
		o.cell.RecordThrottled(t.handle)
	}
	o.report(w, rep)
	o.step()
}
