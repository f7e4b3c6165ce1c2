// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/internal/uid"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

// Answer is the body of the answer to a call.
type Answer struct {
	ID       string          `json:"id"`
	Workload string          `json:"workload"`
	Account  string          `json:"shop"`
	Worker   string          `json:"worker,omitempty"`
	WaitedUS int64           `json:"waited_us"`
	Length   int64           `json:"length"`
	Digest   string          `json:"digest"`
	Answer   json.RawMessage `json:"answer"`
}

func (f *Front) call(r *http.Request) (*response, error) {
	req, err := decodeRequest(r)
	if err != nil {
		return nil, err
	}
	ctx := r.Context()
	f.Confirm(ctx)
	w, err := req.bind(f.Tree.Current(), clock.Wall(), tree.Call)
	if err != nil {
		return f.refuseCall(ctx, req, err)
	}
	if err := f.refusals.check(req); err != nil {
		return nil, err
	}
	timeout := w.Deadline
	if req.DeadlineMS != nil {
		timeout = time.Duration(*req.DeadlineMS) * time.Millisecond
	}
	// A call goes on if its caller disconnects; its outcome can still be
	// asked for.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	ans, err := f.executeCall(ctx, req, w)
	if err != nil {
		return nil, err
	}
	return ok(ans)
}

// refuseCall answers a call that is not admitted.
func (f *Front) refuseCall(ctx context.Context, req *request, cause error) (*response, error) {
	if !req.Once || req.Key == "" {
		return nil, cause
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	ans, err := f.settleCall(ctx, req, cause)
	if err != nil {
		return nil, err
	}
	return ok(ans)
}

// settleCall decides the answer to a call with a key that got no result: that of an earlier call
// with the key if there is one.
func (f *Front) settleCall(ctx context.Context, req *request, cause error) (*Answer, error) {
	row, err := f.settleKeyed(ctx, req, cause)
	if err != nil {
		return nil, err
	}
	return f.awaitEarlier(ctx, req, row)
}

// executeCall admits a call and forwards it. If a call that must not be repeated
// gets no result, its key decides the answer.
func (f *Front) executeCall(ctx context.Context, req *request, w *tree.Workload) (*Answer, error) {
	c := &wire.Call{
		Id: uid.New(), Account: req.Account, Key: req.Key, Workload: w.Path,
		Payload: req.Payload, Once: req.Once, FirstTry: req.FirstTry,
	}
	var reply *wire.CallReply
	err := f.rates.allow(w, f.instances())
	if err == nil {
		fault.At(fault.Admitted)
		reply, err = f.forward(ctx, c, w)
	}
	if err == nil {
		return newAnswer(req, reply)
	}
	if !req.Once {
		return nil, err
	}
	return f.settleCall(ctx, req, err)
}

// forward sends a call to one owner after another while each certainly refuses it.
func (f *Front) forward(ctx context.Context, c *wire.Call, w *tree.Workload) (*wire.CallReply, error) {
	f.budget.addFirstTry()
	var lastErr error = kind.New(kind.NoCapacity, "no owner can be reached")
	for i, t := range f.attempts(w.Demand) {
		deadline, _ := ctx.Deadline()
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, kind.New(kind.Deadline, "")
		}
		if i > 0 && !t.queue && !f.budget.takeRetry() {
			continue
		}
		c.LeftUs, c.Queue = remaining.Microseconds(), t.queue
		reply, err := f.forwardTo(ctx, t.candidate, c)
		if err == nil || !mayTryNext(err) {
			return reply, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// mayTryNext reports whether an error allows another owner to be tried.
func mayTryNext(err error) bool {
	e := kind.Of(err)
	if e.Outcome != kind.NotRun {
		return false
	}
	switch e.Kind {
	case kind.NoCapacity, kind.QueueFull, kind.Stopping, kind.Fenced, kind.Unavailable, kind.Leaving:
		return true
	}
	return false
}

// newAnswer returns the body for a reply after checking that the reply is complete.
func newAnswer(req *request, reply *wire.CallReply) (*Answer, error) {
	if reply == nil {
		return nil, kind.New(kind.Damaged, "the peer's reply is empty")
	}
	answer := ports.Answer{
		ID: reply.Id, Attempt: reply.Attempt, Length: int(reply.Length),
		Digest: reply.Digest, Body: reply.Body,
	}
	if err := answer.Verify(reply.Id, reply.Attempt); err != nil {
		return nil, kind.Of(err).WithUnknownOutcome(reply.Id)
	}
	return &Answer{
		ID: reply.Id, Workload: req.Workload, Account: req.Account, Worker: reply.Worker,
		WaitedUS: reply.WaitedUs, Length: reply.Length, Digest: reply.Digest, Answer: reply.Body,
	}, nil
}

// pollInterval is the time between queries for an earlier request with the same key.
const pollInterval = 100 * time.Millisecond

// awaitEarlier waits for the end of an earlier request with the same key.
func (f *Front) awaitEarlier(ctx context.Context, req *request, row job.Job) (*Answer, error) {
	for !row.State.Final() && row.State != job.Unknown {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, kind.New(kind.Lost, "the first try is "+string(row.State)).WithUnknownOutcome(row.ID)
		}
		next, err := f.findJob(ctx, row.ID)
		if err != nil {
			return nil, kind.Of(err).WithUnknownOutcome(row.ID)
		}
		row = next
	}
	return f.resultOf(ctx, req, row)
}

// resultOf returns the answer of a finished call.
func (f *Front) resultOf(ctx context.Context, req *request, row job.Job) (*Answer, error) {
	switch row.State {
	case job.Done:
		row, err := f.loadAnswer(ctx, row)
		if err != nil {
			return nil, err
		}
		return &Answer{
			ID: row.ID, Workload: req.Workload, Account: req.Account, Worker: row.Worker,
			Length: int64(row.Answer.Length), Digest: row.Answer.Digest, Answer: row.Answer.Body,
		}, nil
	case job.Refused:
		return nil, kind.New(kind.Cancelled, "the first try was refused: "+row.Why)
	case job.Unknown:
		return nil, kind.New(kind.Lost, row.Why).WithUnknownOutcome(row.ID)
	default:
		e := kind.New(kind.TaskFailed, row.Why)
		e.ID = row.ID
		return nil, e
	}
}
