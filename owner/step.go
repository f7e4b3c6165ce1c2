// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

// schedule runs a step of the cell and executes its decisions. The lock is held.
func (o *Owner) schedule() {
	if o.draining {
		return
	}
	now := o.now()
	o.decisions = o.cell.Step(now, o.decisions[:0])
	o.decisions = o.cell.ResumeThrottled(now, o.decisions)
	for _, d := range o.decisions {
		t := o.tasksByRef[d.Ref]
		if t == nil {
			continue
		}
		o.execute(t, d)
	}
}

func (o *Owner) execute(t *task, d sched.Decision) {
	switch d.Op {
	case sched.OpStart:
		o.recordPlacement(t, d.Task, d.Worker)
		if t.pending != nil {
			t.pending.complete(nil)
			return
		}
		go o.startJob(t)
	case sched.OpExpire:
		t.pending.fail(kind.New(kind.Deadline, "no worker had room before the deadline").WithRetryAfter(o.retryAfter(t)))
		o.removeTask(t)
	case sched.OpThrottle:
		go o.sendAction(t, t.worker, ports.ActThrottle)
	case sched.OpResume:
		go o.sendAction(t, t.worker, ports.ActResume)
	case sched.OpCheckpoint:
		go o.sendAction(t, t.worker, ports.ActCheckpoint)
	case sched.OpStop:
		go o.sendAction(t, t.worker, ports.ActStop)
	}
}

// Drain stops new work; running tasks continue. It is the first action of a planned shutdown.
func (o *Owner) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	for _, t := range o.tasksByRef {
		if t.worker == nil && t.pending != nil {
			t.pending.fail(kind.New(kind.Stopping, ""))
			o.removeTask(t)
		}
	}
}

// Flush waits until every outdated row has been written, or ctx ends.
func (o *Owner) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		if o.unsavedJobs() == 0 {
			return
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
		}
	}
}

func (o *Owner) unsavedJobs() int {
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
