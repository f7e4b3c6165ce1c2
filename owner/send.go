// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"dewpass.org/internal/fault"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/telemetry"
)

// resolveTime bounds how long a call waits for its worker to be attached again
// after its answer was lost.
const resolveTime = 2500 * time.Millisecond

// runOnce sends a call that must not be repeated, once.
func (o *Owner) runOnce(ctx context.Context, t *task) (*ports.Answer, error) {
	ans, err := o.sendOnce(ctx, t)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.settle(t.job, job.Done, func(j *job.Job) { j.Answer = ans })
		return ans, nil
	}
	e := kind.Of(err)
	switch {
	case e.Outcome == kind.NotRun:
		o.settle(t.job, job.Refused, func(j *job.Job) { j.Why = e.Kind.String() })
		return nil, err
	case t.stopped:
		o.settle(t.job, job.Failed, func(j *job.Job) { j.Why = e.Kind.String() + " " + e.Detail })
		return nil, kind.Wrap(kind.TaskFailed, err, "the worker ended it: "+e.Detail)
	}
	return nil, e.Uncertain(t.spec.ID)
}

// sendOnce sends a call whose row names its worker, so that it cannot be placed
// anew. Where the worker refused it for certain because it was being attached
// again, it is sent there once more.
func (o *Owner) sendOnce(ctx context.Context, t *task) (*ports.Answer, error) {
	var err error
	for range maxPlaces {
		var ans *ports.Answer
		o.awaitAttached(ctx, t)
		ans, err = o.send(ctx, t)
		if err == nil || !o.sendAgain(t, err) {
			return ans, err
		}
	}
	return nil, err
}

// sendAgain reports whether a call may be sent to its worker once more: what
// was sent before was refused for certain, and the worker is the one that the
// call's row names.
func (o *Owner) sendAgain(t *task, err error) bool {
	e := kind.Of(err)
	if e.Outcome != kind.NotRun || e.Kind != kind.Fenced && e.Kind != kind.Unavailable {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRef[t.ref] != t || t.worker.incarnation != t.job.row.Incarnation {
		return false
	}
	t.sent, t.absent = false, false
	return true
}

// awaitAttached waits while the worker of a call is being attached again.
func (o *Owner) awaitAttached(ctx context.Context, t *task) {
	ctx, cancel := context.WithTimeout(ctx, resolveTime)
	defer cancel()
	for {
		o.mu.Lock()
		attached, generation := t.worker.attached, t.worker.generation
		gone := o.byRef[t.ref] != t
		o.mu.Unlock()
		if attached || gone {
			return
		}
		select {
		case <-generation:
		case <-t.rack.ctx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// send starts a call at its worker and returns the whole answer. When the
// answer is lost, the worker is attached again, and tells whether it has the
// call.
func (o *Owner) send(ctx context.Context, t *task) (*ports.Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, kind.New(kind.Deadline, "the deadline passed before the call was sent")
	}
	for {
		ans, err := o.startCall(ctx, t)
		if err == nil || kind.Of(err).Outcome == kind.NotRun || kind.Is(err, kind.TaskFailed) {
			return ans, err
		}
		if gone := o.resolve(ctx, t, err); gone != nil {
			return nil, gone
		}
	}
}

// startCall makes one attempt at a start.
func (o *Owner) startCall(ctx context.Context, t *task) (*ports.Answer, error) {
	ctx, span := o.Tracer.Start(ctx, "worker.start")
	ans, err := o.exchange(ctx, t)
	span.SetAttributes(attribute.String("dewpass.worker", t.worker.name))
	telemetry.Fail(span, err)
	return ans, err
}

func (o *Owner) exchange(ctx context.Context, t *task) (*ports.Answer, error) {
	o.mu.Lock()
	w := t.worker
	again := t.sent
	if !again && (!w.attached || o.byRef[t.ref] != t) {
		// What is not on the books has no room booked for it either.
		o.mu.Unlock()
		return nil, kind.New(kind.Unavailable, "the worker is being attached again")
	}
	api, cmd := w.api, o.command(w)
	if !again {
		t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	}
	o.mu.Unlock()
	if again {
		return o.join(ctx, t, api, cmd)
	}
	if err := fault.Link("worker/" + w.name); err != nil {
		return nil, o.refused(t, err)
	}
	fault.AtTask(fault.Sent, w.name, t.spec.Shop)
	rep, err := api.Start(ctx, cmd, t.spec, o.TaskLease)
	if err != nil {
		return nil, o.refused(t, err)
	}
	fault.At(fault.Finished)
	return o.result(t, rep)
}

// join asks a worker for a call that it was sent before. No refusal of it says
// that the call did not run.
func (o *Owner) join(ctx context.Context, t *task, api ports.Worker, cmd ports.Command) (*ports.Answer, error) {
	rep, err := api.Join(ctx, cmd, t.spec.ID, t.spec.Attempt)
	if err == nil {
		return o.result(t, rep)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.job != nil && t.job.row.Answer != nil {
		// Its end was reported, written and acknowledged meanwhile.
		return t.job.row.Answer, nil
	}
	if kind.Is(err, kind.NotFound) {
		t.stopped = true
	} else {
		o.suspect(t.worker)
	}
	return nil, kind.Wrap(kind.Lost, err, "worker "+t.worker.name).Uncertain(t.spec.ID)
}

// refused takes in an error of a start. Unless it is final, its outcome is
// Unknown.
func (o *Owner) refused(t *task, err error) error {
	e := kind.Of(err)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e.Kind {
	case kind.Fenced, kind.Leaving, kind.Conflict, kind.Unavailable:
		t.absent = true
		if e.Kind == kind.Leaving {
			t.worker.leaving = true
			o.gate(t.worker)
		} else {
			o.suspect(t.worker)
		}
		return kind.Wrap(e.Kind, err, "")
	}
	o.suspect(t.worker)
	return kind.Wrap(kind.Lost, err, "worker "+t.worker.name).Uncertain(t.spec.ID)
}

// result checks what a worker answered.
func (o *Owner) result(t *task, rep ports.TaskReport) (*ports.Answer, error) {
	switch rep.State {
	case ports.TaskFinished:
		if err := rep.Answer.Whole(t.spec.ID, t.spec.Attempt); err != nil {
			return nil, kind.Of(err).Uncertain(t.spec.ID)
		}
		o.mark(t, rep)
		return rep.Answer, nil
	case ports.TaskFailed:
		o.mark(t, rep)
		return nil, kind.New(kind.TaskFailed, "")
	default:
		o.mark(t, rep)
		e := kind.New(kind.Lost, "the worker ended the call: "+string(rep.State))
		return nil, e.Uncertain(t.spec.ID)
	}
}

// mark notes that a task no longer runs.
func (o *Owner) mark(t *task, rep ports.TaskReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.stopped = true
	if rep.State == ports.TaskFinished {
		o.learn(t.workload, time.Duration(rep.RanMS)*time.Millisecond)
	}
}

// resolve waits until the worker of a call whose answer was lost is attached
// again. It returns nil when the worker has the call, so that it can be joined;
// an error with outcome NotRun when the worker does not have it and never
// will; and the error as it was when the worker cannot be asked.
func (o *Owner) resolve(ctx context.Context, t *task, lost error) error {
	o.mu.Lock()
	over := t.stopped
	generation, attached := t.worker.generation, t.worker.attached
	o.mu.Unlock()
	if over {
		return lost
	}
	if attached {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTime)
	defer cancel()
	select {
	case <-generation:
	case <-ctx.Done():
		return lost
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case t.absent:
		return kind.New(kind.Unavailable, "the worker never had the call")
	case t.incarnation != t.worker.incarnation:
		return lost
	}
	return nil
}
