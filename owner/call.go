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
	// maxPlacements is the number of workers that a call is sent to in turn, each after a
	// definite refusal by the one before.
	maxPlacements = 3
	// intentTimeout is the timeout for writing the row of a call that must not be repeated.
	intentTimeout = 1500 * time.Millisecond
)

// pendingCall is a call whose caller waits for a placement.
type pendingCall struct {
	result chan error
}

func newPendingCall() *pendingCall { return &pendingCall{result: make(chan error, 1)} }

// fail ends the wait with an error.
func (p *pendingCall) fail(err error) { p.complete(err) }

func (p *pendingCall) complete(err error) {
	select {
	case p.result <- err:
	default:
	}
}

// Call runs a call on one of the owned workers and returns the complete answer. An error with
// the outcome NotRun means that the call was not sent, or was definitely refused wherever it
// was sent.
func (o *Owner) Call(ctx context.Context, req *wire.Call) (*wire.CallReply, error) {
	ctx, span := o.Tracer.Start(ctx, "owner.call")
	span.SetAttributes(attribute.String("dewpass.id", req.Id), attribute.String("dewpass.workload", req.Workload))
	reply, err := o.call(ctx, req)
	telemetry.EndSpan(span, err)
	return reply, err
}

func (o *Owner) call(ctx context.Context, req *wire.Call) (*wire.CallReply, error) {
	w, err := o.Tree.Current().Lookup(req.Workload)
	if err != nil {
		return nil, err
	}
	left := time.Duration(req.LeftUs) * time.Microsecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	began := clock.Now()
	t, err := o.placeOrWait(ctx, w, req, left)
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

// placeOrWait places a call, or waits until there is room.
func (o *Owner) placeOrWait(ctx context.Context, w *tree.Workload, req *wire.Call, left time.Duration) (*task, error) {
	o.mu.Lock()
	t, err := o.startOrQueue(w, req, left)
	o.mu.Unlock()
	if err != nil || t.worker != nil {
		return t, err
	}
	select {
	case err = <-t.pending.result:
	case <-ctx.Done():
		err = o.expireCall(t)
	}
	if err != nil {
		return nil, err
	}
	return t, nil
}

// startOrQueue places a call at once or queues it. The lock is held.
func (o *Owner) startOrQueue(w *tree.Workload, req *wire.Call, left time.Duration) (*task, error) {
	o.checkPause()
	if o.draining {
		return nil, kind.New(kind.Stopping, "")
	}
	if o.tasksByID[req.Id] != nil {
		return nil, kind.New(kind.Conflict, "a call with this ID is in progress")
	}
	now := o.now()
	o.cell.RecordCallArrival(w.Demand, now)
	spec := ports.Task{ID: req.Id, Attempt: 1, Account: req.Account, Call: true, Payload: req.Payload, Repeat: ports.RepeatSafe}
	if req.Once {
		spec.Repeat = ports.RepeatNever
	}
	t := o.newTask(w, spec)
	t.callerWaits = true
	st := o.schedTask(t)
	st.StartBy = o.startBy(w, now, left)
	if h, id, ok := o.cell.TryStart(st, now); ok {
		o.recordPlacement(t, h, id)
		return t, nil
	}
	if err := o.checkAdmission(&st, req, now); err != nil {
		delete(o.tasksByRef, t.ref)
		delete(o.tasksByID, t.spec.ID)
		return nil, err
	}
	t.pending = newPendingCall()
	t.handle = o.cell.Submit(st, now)
	o.schedule()
	return t, nil
}

// startBy returns the latest time at which the call may start.
func (o *Owner) startBy(w *tree.Workload, now, left time.Duration) time.Duration {
	by := now + left - o.expectedDuration(w)
	if w.StartWithin > 0 {
		by = min(by, now+w.StartWithin)
	}
	return max(by, now+1)
}

func (o *Owner) checkAdmission(st *sched.Task, req *wire.Call, now time.Duration) error {
	verdict, after := o.cell.Admit(st, now)
	switch {
	case verdict == sched.QueueFull:
		return kind.New(kind.QueueFull, "").WithRetryAfter(after)
	case verdict == sched.TooLate:
		return kind.New(kind.Deadline, "the predicted wait is too long").WithRetryAfter(after)
	case !req.Queue:
		return kind.New(kind.NoCapacity, "").WithRetryAfter(after)
	}
	return nil
}

// recordPlacement records where a task was placed. The lock is held.
func (o *Owner) recordPlacement(t *task, h sched.Handle, id sched.WorkerID) {
	t.handle = h
	t.worker = o.workers[id]
	t.rack = t.worker.rack
	t.placedAt = o.now()
}

// expireCall removes a call from the queue when its time is up.
func (o *Owner) expireCall(t *task) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.worker != nil {
		// It was placed in the meantime, but has not been sent.
		o.removeTask(t)
	}
	if o.tasksByRef[t.ref] != nil {
		o.removeTask(t)
	}
	return kind.New(kind.Deadline, "no worker had room before the deadline").WithRetryAfter(o.retryAfter(t))
}

func (o *Owner) retryAfter(t *task) time.Duration {
	return max(o.cell.PredictedWait(t.workload.Class, o.now()), minRetryAfter)
}

const minRetryAfter = 100 * time.Millisecond

// endCall removes a call, unless its worker may still run it.
func (o *Owner) endCall(t *task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.callerWaits = false
	if t.sent && !t.absent && !t.stopped {
		// Its worker may still run it; the next report decides.
		return
	}
	if t.absent && t.job != nil {
		o.endJob(t.job, job.Refused, func(j *job.Job) { j.Why = "the worker never had it" })
	}
	o.removeTask(t)
	o.schedule()
}

// runCall sends a placed call to its worker and, after a definite refusal, to another one.
func (o *Owner) runCall(ctx context.Context, t *task, req *wire.Call) (*ports.Answer, error) {
	if t.spec.Repeat == ports.RepeatNever {
		if err := o.writeIntent(ctx, t, req); err != nil {
			return nil, err
		}
		fault.At(fault.IntentWritten)
		return o.runOnce(ctx, t)
	}
	var err error
	for range maxPlacements {
		var ans *ports.Answer
		ans, err = o.send(ctx, t)
		if err == nil || kind.Of(err).Outcome != kind.NotRun || ctx.Err() != nil {
			return ans, err
		}
		if !o.placeAgain(t) {
			return nil, err
		}
	}
	return nil, err
}

// placeAgain places a call again after its worker definitely refused it.
func (o *Owner) placeAgain(t *task) bool {
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
	o.recordPlacement(t, h, id)
	t.spec.Attempt++
	o.tasksByRef[t.ref], o.tasksByID[t.spec.ID] = t, t
	return true
}
