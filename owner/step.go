// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

// step carries out what the cell decides. The lock is held.
func (o *Owner) step() {
	if o.draining {
		return
	}
	now := o.now()
	o.out = o.cell.Step(now, o.out[:0])
	o.out = o.cell.ResumeThrottled(now, o.out)
	for _, d := range o.out {
		t := o.byRef[d.Ref]
		if t == nil {
			continue
		}
		o.carryOut(t, d)
	}
}

func (o *Owner) carryOut(t *task, d sched.Decision) {
	switch d.Op {
	case sched.OpStart:
		o.book(t, d.Task, d.Worker)
		if t.call != nil {
			t.call.settle(nil)
			return
		}
		go o.startJob(t)
	case sched.OpExpire:
		t.call.fail(kind.New(kind.Deadline, "no room before the deadline").After(o.retryAfter(t)))
		o.forget(t)
	case sched.OpThrottle:
		go o.act(t, t.worker, ports.ActThrottle)
	case sched.OpResume:
		go o.act(t, t.worker, ports.ActResume)
	case sched.OpCheckpoint:
		go o.act(t, t.worker, ports.ActCheckpoint)
	case sched.OpStop:
		go o.act(t, t.worker, ports.ActStop)
	}
}

// Drain stops new work; what runs goes on. It is the first act of a planned
// stop.
func (o *Owner) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	for _, t := range o.byRef {
		if t.worker == nil && t.call != nil {
			t.call.fail(kind.New(kind.Stopping, ""))
			o.forget(t)
		}
	}
}

// Flush waits until every row that is behind was written, or ctx ends.
func (o *Owner) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		if o.behind() == 0 {
			return
		}
		select {
		case <-time.After(tickEvery):
		case <-ctx.Done():
		}
	}
}

func (o *Owner) behind() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, js := range o.jobs {
		if js.dirty || js.saving {
			n++
		}
	}
	return n
}
