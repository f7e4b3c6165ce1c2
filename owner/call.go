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
	"dewpass.org/platform"
	"dewpass.org/sched"
	"dewpass.org/telemetry"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const (
	// maxPlaces bounds the workers that one call is sent to, one after another
	// refused it for certain.
	maxPlaces = 3
	// resolveTime bounds how long a call waits for its worker to be attached
	// again after its answer was lost.
	resolveTime = 2500 * time.Millisecond
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
	o.cell.CallArrived(w.Demand, now)
	spec := platform.Task{ID: req.Id, Attempt: 1, Shop: req.Shop, Call: true, Payload: req.Payload, Repeat: platform.RepeatSafe}
	if req.Once {
		spec.Repeat = platform.RepeatNever
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
	case verdict == sched.Full:
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
func (o *Owner) runCall(ctx context.Context, t *task, req *wire.Call) (*platform.Answer, error) {
	if t.spec.Repeat == platform.RepeatNever {
		if err := o.writeIntent(ctx, t, req); err != nil {
			return nil, err
		}
		fault.At(fault.IntentWritten)
		return o.runOnce(ctx, t)
	}
	var err error
	for range maxPlaces {
		var ans *platform.Answer
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

// runOnce sends a call that must not be repeated, once.
func (o *Owner) runOnce(ctx context.Context, t *task) (*platform.Answer, error) {
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
func (o *Owner) sendOnce(ctx context.Context, t *task) (*platform.Answer, error) {
	var err error
	for range maxPlaces {
		var ans *platform.Answer
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
func (o *Owner) send(ctx context.Context, t *task) (*platform.Answer, error) {
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
func (o *Owner) startCall(ctx context.Context, t *task) (*platform.Answer, error) {
	ctx, span := o.Tracer.Start(ctx, "worker.start")
	ans, err := o.exchange(ctx, t)
	span.SetAttributes(attribute.String("dewpass.worker", t.worker.name))
	telemetry.Fail(span, err)
	return ans, err
}

func (o *Owner) exchange(ctx context.Context, t *task) (*platform.Answer, error) {
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
func (o *Owner) join(ctx context.Context, t *task, api platform.Worker, cmd platform.Command) (*platform.Answer, error) {
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
func (o *Owner) result(t *task, rep platform.TaskReport) (*platform.Answer, error) {
	switch rep.State {
	case platform.TaskFinished:
		if err := rep.Answer.Whole(t.spec.ID, t.spec.Attempt); err != nil {
			return nil, kind.Of(err).Uncertain(t.spec.ID)
		}
		o.mark(t, rep)
		return rep.Answer, nil
	case platform.TaskFailed:
		o.mark(t, rep)
		return nil, kind.New(kind.TaskFailed, "")
	default:
		o.mark(t, rep)
		e := kind.New(kind.Lost, "the worker ended the call: "+string(rep.State))
		return nil, e.Uncertain(t.spec.ID)
	}
}

// mark notes that a task no longer runs.
func (o *Owner) mark(t *task, rep platform.TaskReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.stopped = true
	if rep.State == platform.TaskFinished {
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
