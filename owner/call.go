// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/telemetry"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const (
	// maxPlaces bounds the workers that one call is sent to, one after another
	// refused it for certain.
	maxPlaces = 3
	// intentTime bounds the write of the row of a call that must not be
	// repeated.
	intentTime = 1500 * time.Millisecond
)

// pendingCall is a call whose caller waits for a place.
type pendingCall struct {
	placed chan error
}

func newPendingCall() *pendingCall { return &pendingCall{placed: make(chan error, 1)} }

// fail ends the wait without a place.
func (p *pendingCall) fail(err error) { p.settle(err) }

func (p *pendingCall) settle(err error) {
	select {
	case p.placed <- err:
	default:
	}
}

// Call runs a call on one of the owned workers and returns its whole answer.
// An error with outcome NotRun means that it was sent nowhere, or was refused
// for certain wherever it was sent.
func (o *Owner) Call(ctx context.Context, req *wire.Call) (*wire.CallReply, error) {
	ctx, span := o.Tracer.Start(ctx, "owner.call")
	span.SetAttributes(attribute.String("dewpass.id", req.Id), attribute.String("dewpass.workload", req.Workload))
	reply, err := o.call(ctx, req)
	telemetry.Fail(span, err)
	return reply, err
}

func (o *Owner) call(ctx context.Context, req *wire.Call) (*wire.CallReply, error) {
	w, err := o.Tree.Now().Lookup(req.Workload)
	if err != nil {
		return nil, err
	}
	left := time.Duration(req.LeftUs) * time.Microsecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	began := clock.Now()
	t, err := o.admit(ctx, w, req, left)
	if err != nil {
		return nil, err
	}
	defer o.endCall(t)
	waited := clock.Since(began)
	o.Scope.Tagged(map[string]string{"workload": w.Path}).Timer("wait").Record(waited)
	fault.At(fault.Placed)
	ans, err := o.runCall(ctx, t, req)
	if err != nil {
		return nil, err
	}
	fault.At(fault.Answering)
	return &wire.CallReply{
		Id: ans.ID, Attempt: ans.Attempt, Length: int64(ans.Length), Digest: ans.Digest,
		Body: ans.Body, Worker: t.worker.name, WaitedUs: waited.Microseconds(),
	}, nil
}

// admit places a call, or lets it wait until there is room.
func (o *Owner) admit(ctx context.Context, w *tree.Workload, req *wire.Call, left time.Duration) (*task, error) {
	o.mu.Lock()
	t, err := o.enter(w, req, left)
	o.mu.Unlock()
	if err != nil || t.worker != nil {
		return t, err
	}
	select {
	case err = <-t.call.placed:
	case <-ctx.Done():
		err = o.withdraw(t)
	}
	if err != nil {
		return nil, err
	}
	return t, nil
}

// enter books a call or queues it. The lock is held.
func (o *Owner) enter(w *tree.Workload, req *wire.Call, left time.Duration) (*task, error) {
	o.checkPause()
	if o.draining {
		return nil, kind.New(kind.Stopping, "")
	}
	if o.byID[req.Id] != nil {
		return nil, kind.New(kind.Conflict, "this call is in progress here")
	}
	now := o.now()
	o.cell.RecordCallArrival(w.Demand, now)
	spec := ports.Task{ID: req.Id, Attempt: 1, Shop: req.Shop, Call: true, Payload: req.Payload, Repeat: ports.RepeatSafe}
	if req.Once {
		spec.Repeat = ports.RepeatNever
	}
	t := o.newTask(w, spec)
	t.callerWaits = true
	st := o.schedTask(t)
	st.StartBy = o.startBy(w, now, left)
	if h, id, ok := o.cell.TryStart(st, now); ok {
		o.book(t, h, id)
		return t, nil
	}
	if err := o.mayWait(&st, req, now); err != nil {
		delete(o.byRef, t.ref)
		delete(o.byID, t.spec.ID)
		return nil, err
	}
	t.call = newPendingCall()
	t.handle = o.cell.Submit(st, now)
	o.step()
	return t, nil
}

// startBy is the latest time at which the call may start.
func (o *Owner) startBy(w *tree.Workload, now, left time.Duration) time.Duration {
	by := now + left - o.estimate(w)
	if w.StartWithin > 0 {
		by = min(by, now+w.StartWithin)
	}
	return max(by, now+1)
}

func (o *Owner) mayWait(st *sched.Task, req *wire.Call, now time.Duration) error {
	verdict, after := o.cell.Admit(st, now)
	switch {
	case verdict == sched.QueueFull:
		return kind.New(kind.QueueFull, "").After(after)
	case verdict == sched.TooLate:
		return kind.New(kind.Deadline, "the predicted wait is too long").After(after)
	case !req.Queue:
		return kind.New(kind.NoCapacity, "").After(after)
	}
	return nil
}

// book notes where a task was placed. The lock is held.
func (o *Owner) book(t *task, h sched.Handle, id sched.WorkerID) {
	t.handle = h
	t.worker = o.workers[id]
	t.rack = t.worker.rack
	t.placed = o.now()
}

// withdraw takes a call out of the queue whose time is up.
func (o *Owner) withdraw(t *task) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.worker != nil {
		// It was placed at this very moment; it has not been sent.
		o.forget(t)
	}
	if o.byRef[t.ref] != nil {
		o.forget(t)
	}
	return kind.New(kind.Deadline, "no room before the deadline").After(o.retryAfter(t))
}

func (o *Owner) retryAfter(t *task) time.Duration {
	return max(o.cell.PredictedWait(t.workload.Class, o.now()), minRetryAfter)
}

const minRetryAfter = 100 * time.Millisecond

// endCall takes a call off the books, unless its worker may still run it.
func (o *Owner) endCall(t *task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.callerWaits = false
	if t.sent && !t.absent && !t.stopped {
		// Its worker may still run it; the next report settles it.
		return
	}
	if t.absent && t.job != nil {
		o.settle(t.job, job.Refused, func(j *job.Job) { j.Why = "the worker never had it" })
	}
	o.forget(t)
	o.step()
}

// runCall sends a placed call to its worker, and to another one as long as it
// is refused for certain.
func (o *Owner) runCall(ctx context.Context, t *task, req *wire.Call) (*ports.Answer, error) {
	if t.spec.Repeat == ports.RepeatNever {
		if err := o.writeIntent(ctx, t, req); err != nil {
			return nil, err
		}
		fault.At(fault.IntentWritten)
		return o.runOnce(ctx, t)
	}
	var err error
	for range maxPlaces {
		var ans *ports.Answer
		ans, err = o.send(ctx, t)
		if err == nil || kind.Of(err).Outcome != kind.NotRun || ctx.Err() != nil {
			return ans, err
		}
		if !o.replace(t) {
			return nil, err
		}
	}
	return nil, err
}

// replace places a call anew that its worker refused for certain.
func (o *Owner) replace(t *task) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.cell.Finish(t.handle, o.now())
	st := o.schedTask(t)
	t.sent, t.absent = false, false
	h, id, ok := o.cell.TryStart(st, o.now())
	if !ok {
		return false
	}
	o.book(t, h, id)
	t.spec.Attempt++
	o.byRef[t.ref], o.byID[t.spec.ID] = t, t
	return true
}
