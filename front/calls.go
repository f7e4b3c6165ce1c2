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
	Shop     string          `json:"shop"`
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
	w, err := req.bind(f.Tree.Now(), clock.Wall(), tree.Call)
	if err != nil {
		return nil, err
	}
	if err := f.refusals.check(req); err != nil {
		return nil, err
	}
	left := w.Deadline
	if req.DeadlineMS != nil {
		left = time.Duration(*req.DeadlineMS) * time.Millisecond
	}
	// A caller that hangs up does not end its call: what became of it can
	// still be asked for.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	ans, err := f.route(ctx, req, w)
	if err != nil {
		return nil, err
	}
	return ok(ans)
}

// route admits a call and passes it on until it is answered.
func (f *Front) route(ctx context.Context, req *request, w *tree.Workload) (*Answer, error) {
	c := &wire.Call{
		Id: uid.New(), Shop: req.Shop, Key: req.Key, Workload: w.Path,
		Payload: req.Payload, Once: req.Once, FirstTry: req.FirstTry,
	}
	var reply *wire.CallReply
	err := f.limits.allow(w, f.instances())
	if err == nil {
		fault.At(fault.Admitted)
		reply, err = f.passOn(ctx, c, w)
	}
	if err == nil {
		return answerOf(req, reply)
	}
	if !req.Once {
		return nil, err
	}
	row, err := f.settleKeyed(ctx, req, err)
	if err != nil {
		return nil, err
	}
	return f.await(ctx, req, row)
}

// passOn passes a call to one place after another, for as long as each refuses
// it for certain.
func (f *Front) passOn(ctx context.Context, c *wire.Call, w *tree.Workload) (*wire.CallReply, error) {
	f.budget.first()
	var last error = kind.New(kind.NoCapacity, "no owner can be reached")
	for i, t := range f.tries(w.Demand) {
		deadline, _ := ctx.Deadline()
		left := time.Until(deadline)
		if left <= 0 {
			return nil, kind.New(kind.Deadline, "")
		}
		if i > 0 && !t.queue && !f.budget.again() {
			continue
		}
		c.LeftUs, c.Queue = left.Microseconds(), t.queue
		reply, err := f.pass(ctx, t.place, c)
		if err == nil || !passedBy(err) {
			return reply, err
		}
		last = err
	}
	return nil, last
}

// passedBy reports whether an error says that another owner may be asked.
func passedBy(err error) bool {
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

// answerOf checks that an answer is whole and its own, and makes the body.
func answerOf(req *request, reply *wire.CallReply) (*Answer, error) {
	if reply == nil {
		return nil, kind.New(kind.Damaged, "the peer's reply is empty")
	}
	whole := ports.Answer{
		ID: reply.Id, Attempt: reply.Attempt, Length: int(reply.Length),
		Digest: reply.Digest, Body: reply.Body,
	}
	if err := whole.Whole(reply.Id, reply.Attempt); err != nil {
		return nil, kind.Of(err).Uncertain(reply.Id)
	}
	return &Answer{
		ID: reply.Id, Workload: req.Workload, Shop: req.Shop, Worker: reply.Worker,
		WaitedUS: reply.WaitedUs, Length: reply.Length, Digest: reply.Digest, Answer: reply.Body,
	}, nil
}

// pollEvery is how often an earlier try of the same key is asked after.
const pollEvery = 100 * time.Millisecond

// await waits for the end of an earlier try with the same key.
func (f *Front) await(ctx context.Context, req *request, row job.Job) (*Answer, error) {
	for !row.State.Over() && row.State != job.Unknown {
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return nil, kind.New(kind.Lost, "the first try is "+string(row.State)).Uncertain(row.ID)
		}
		next, err := f.find(ctx, row.ID)
		if err != nil {
			return nil, kind.Of(err).Uncertain(row.ID)
		}
		row = next
	}
	return f.ended(ctx, req, row)
}

// ended returns the answer of a call that is over.
func (f *Front) ended(ctx context.Context, req *request, row job.Job) (*Answer, error) {
	switch row.State {
	case job.Done:
		row, err := f.whole(ctx, row)
		if err != nil {
			return nil, err
		}
		return &Answer{
			ID: row.ID, Workload: req.Workload, Shop: req.Shop, Worker: row.Worker,
			Length: int64(row.Answer.Length), Digest: row.Answer.Digest, Answer: row.Answer.Body,
		}, nil
	case job.Refused:
		return nil, kind.New(kind.Cancelled, "the first try was refused: "+row.Why)
	case job.Unknown:
		return nil, kind.New(kind.Lost, row.Why).Uncertain(row.ID)
	default:
		e := kind.New(kind.TaskFailed, row.Why)
		e.ID = row.ID
		return nil, e
	}
}
