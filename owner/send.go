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

// reattachTimeout is how long a call waits for its worker to be attached again after a reply
// was lost.
const reattachTimeout = 2500 * time.Millisecond

// runOnce runs a call that must not be repeated.
func (o *Owner) runOnce(ctx context.Context, t *task) (*ports.Answer, error) {
	ans, err := o.sendOnce(ctx, t)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.endJob(t.job, job.Done, func(j *job.Job) { j.Answer = ans })
		return ans, nil
	}
	e := kind.Of(err)
	switch {
	case e.Outcome == kind.NotRun:
		o.endJob(t.job, job.Refused, func(j *job.Job) { j.Why = e.Kind.String() })
		return nil, err
	case t.stopped:
		o.endJob(t.job, job.Failed, func(j *job.Job) { j.Why = e.Kind.String() + " " + e.Detail })
		return nil, kind.Wrap(kind.TaskFailed, err, "the worker ended it: "+e.Detail)
	}
	return nil, e.WithUnknownOutcome(t.spec.ID)
}

// sendOnce sends a call whose row names its worker, so that it cannot be placed elsewhere. It
// is sent to that worker again if the worker definitely refused it because it was being
// attached again.
func (o *Owner) sendOnce(ctx context.Context, t *task) (*ports.Answer, error) {
	var err error
	for range maxPlacements {
		var ans *ports.Answer
		o.awaitAttached(ctx, t)
		ans, err = o.send(ctx, t)
		if err == nil || !o.prepareResend(t, err) {
			return ans, err
		}
	}
	return nil, err
}

// prepareResend reports whether a call may be sent to its worker again, and resets the task for
// that. The earlier attempt must have been definitely refused, and the worker must still be the
// incarnation that the call's row names.
func (o *Owner) prepareResend(t *task, err error) bool {
	e := kind.Of(err)
	if e.Outcome != kind.NotRun || e.Kind != kind.Fenced && e.Kind != kind.Unavailable {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tasksByRef[t.ref] != t || t.worker.incarnation != t.job.row.Incarnation {
		return false
	}
	t.sent, t.absent = false, false
	return true
}

// awaitAttached waits while the worker of a call is being attached again.
func (o *Owner) awaitAttached(ctx context.Context, t *task) {
	ctx, cancel := context.WithTimeout(ctx, reattachTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		attached, nextAttach := t.worker.attached, t.worker.nextAttach
		removed := o.tasksByRef[t.ref] != t
		o.mu.Unlock()
		if attached || removed {
			return
		}
		select {
		case <-nextAttach:
		case <-t.rack.ctx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// send starts a call on its worker and returns the complete answer. If the reply is lost, it
// waits until the worker is attached again and has shown whether it has the call.
func (o *Owner) send(ctx context.Context, t *task) (*ports.Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, kind.New(kind.Deadline, "the deadline passed before the call was sent")
	}
	for {
		ans, err := o.startCall(ctx, t)
		if err == nil || kind.Of(err).Outcome == kind.NotRun || kind.Is(err, kind.TaskFailed) {
			return ans, err
		}
		if reason := o.awaitReattach(ctx, t, err); reason != nil {
			return nil, reason
		}
	}
}

// startCall sends a call to its worker once.
func (o *Owner) startCall(ctx context.Context, t *task) (*ports.Answer, error) {
	ctx, span := o.Tracer.Start(ctx, "worker.start")
	ans, err := o.startOrJoin(ctx, t)
	span.SetAttributes(attribute.String("dewpass.worker", t.worker.name))
	telemetry.EndSpan(span, err)
	return ans, err
}

func (o *Owner) startOrJoin(ctx context.Context, t *task) (*ports.Answer, error) {
	o.mu.Lock()
	w := t.worker
	again := t.sent
	if !again && (!w.attached || o.tasksByRef[t.ref] != t) {
		// A task that is no longer known here has no resources allocated either.
		o.mu.Unlock()
		return nil, kind.New(kind.Unavailable, "the worker is being attached again")
	}
	api, cmd := w.api, o.command(w)
	if !again {
		t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	}
	o.mu.Unlock()
	if again {
		return o.joinCall(ctx, t, api, cmd)
	}
	if err := fault.Link("worker/" + w.name); err != nil {
		return nil, o.handleStartError(t, err)
	}
	fault.AtTask(fault.Sent, w.name, t.spec.Account)
	rep, err := api.Start(ctx, cmd, t.spec, o.TaskLease)
	if err != nil {
		return nil, o.handleStartError(t, err)
	}
	fault.At(fault.Finished)
	return o.checkResult(t, rep)
}

// joinCall waits for the result of a call that was sent before. An error does not mean that the
// call did not run.
func (o *Owner) joinCall(ctx context.Context, t *task, api ports.Worker, cmd ports.Command) (*ports.Answer, error) {
	rep, err := api.Join(ctx, cmd, t.spec.ID, t.spec.Attempt)
	if err == nil {
		return o.checkResult(t, rep)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.job != nil && t.job.row.Answer != nil {
		// Its end was reported, written and acknowledged in the meantime.
		return t.job.row.Answer, nil
	}
	if kind.Is(err, kind.NotFound) {
		t.stopped = true
	} else {
		o.reattach(t.worker)
	}
	return nil, kind.Wrap(kind.Lost, err, "worker "+t.worker.name).WithUnknownOutcome(t.spec.ID)
}

// handleStartError handles an error of a start. Unless the worker definitely refused it, the
// outcome is Unknown.
func (o *Owner) handleStartError(t *task, err error) error {
	e := kind.Of(err)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e.Kind {
	case kind.Fenced, kind.Leaving, kind.Conflict, kind.Unavailable:
		t.absent = true
		if e.Kind == kind.Leaving {
			t.worker.leaving = true
			o.updateAvailability(t.worker)
		} else {
			o.reattach(t.worker)
		}
		return kind.Wrap(e.Kind, err, "")
	}
	o.reattach(t.worker)
	return kind.Wrap(kind.Lost, err, "worker "+t.worker.name).WithUnknownOutcome(t.spec.ID)
}

// checkResult returns the answer or the error in a worker's reply.
func (o *Owner) checkResult(t *task, rep ports.TaskReport) (*ports.Answer, error) {
	switch rep.State {
	case ports.TaskFinished:
		if err := rep.Answer.Verify(t.spec.ID, t.spec.Attempt); err != nil {
			return nil, kind.Of(err).WithUnknownOutcome(t.spec.ID)
		}
		o.markEnded(t, rep)
		return rep.Answer, nil
	case ports.TaskFailed:
		o.markEnded(t, rep)
		return nil, kind.New(kind.TaskFailed, "")
	default:
		o.markEnded(t, rep)
		e := kind.New(kind.Lost, "the worker ended the call: "+string(rep.State))
		return nil, e.WithUnknownOutcome(t.spec.ID)
	}
}

// markEnded records that a task no longer runs.
func (o *Owner) markEnded(t *task, rep ports.TaskReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.stopped = true
	if rep.State == ports.TaskFinished {
		o.recordDuration(t.workload, time.Duration(rep.RanMS)*time.Millisecond)
	}
}

// awaitReattach waits until the worker of a call whose reply was lost is attached again. It
// returns nil if the call can be joined; an error with the outcome NotRun if the worker does
// not have the call and will never have it; and the given error if the worker cannot be asked.
func (o *Owner) awaitReattach(ctx context.Context, t *task, lost error) error {
	o.mu.Lock()
	ended := t.stopped
	nextAttach, attached := t.worker.nextAttach, t.worker.attached
	o.mu.Unlock()
	if ended {
		return lost
	}
	if attached {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reattachTimeout)
	defer cancel()
	select {
	case <-nextAttach:
	case <-ctx.Done():
		return lost
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case t.absent:
		return kind.New(kind.Unavailable, "the worker never received the call")
	case t.incarnation != t.worker.incarnation:
		return lost
	}
	return nil
}
