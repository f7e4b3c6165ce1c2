// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

const (
	// awayAfter is how long an instance may not have shown itself in the table
	// before it counts as away. It is shorter than any time to move.
	awayAfter = 4 * time.Second
	// moveLead is how long before others may start a task its owner begins to
	// stop it.
	moveLead = 3 * time.Second
)

// moveOn follows how long the table has not been reached. Work that others may
// start elsewhere by now is stopped. Once the table is back, every row is read
// again before anything is started: jobs may have been moved. The lock is held.
func (o *Owner) moveOn() {
	gone := clock.Since(o.Shown())
	if gone < awayAfter {
		if o.away {
			o.away = false
			o.back()
		}
		return
	}
	o.away = true
	for _, js := range o.jobs {
		w := o.Tree.Now().Workloads[js.row.Workload]
		if w == nil || w.CutOff != tree.Move || js.row.Call {
			continue
		}
		if gone > w.MoveAfter-lease.Margin(w.MoveAfter)-moveLead {
			o.standDown(js)
		}
	}
}

// standDown stops a job, or takes it out of the queue, until its row is read
// again.
func (o *Owner) standDown(js *jobState) {
	t := js.task
	switch {
	case t == nil:
		js.unread = true
	case t.worker == nil:
		js.unread = true
		o.drop(t)
	case !t.stopped && t.spec.Repeat != ports.RepeatNever:
		t.stopped = true
		go o.act(t, t.worker, o.exitAction(t))
	}
}

// back takes every waiting job out of the queue and has its row read.
func (o *Owner) back() {
	for _, js := range o.jobs {
		if js.task != nil && js.task.worker == nil {
			o.drop(js.task)
		}
		if js.task == nil && !js.row.State.Over() {
			js.unread = true
		}
	}
	for _, r := range o.racks {
		if r.row != 0 {
			go o.recheck(r)
		}
	}
}

// recheck reads the rows of a rack's jobs and drops those that were moved.
func (o *Owner) recheck(r *rack) {
	for id := range o.idsOf(r) {
		row, err := o.readRow(r.ctx, job.RowKey(id))
		if err != nil {
			return
		}
		o.mu.Lock()
		o.reread(r, id, row)
		o.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseAll(r)
	o.step()
}

func (o *Owner) idsOf(r *rack) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]bool)
	for id, js := range o.jobs {
		if js.rack == r {
			out[id] = true
		}
	}
	return out
}

// reread takes in the row of a job as it stands. The lock is held.
func (o *Owner) reread(r *rack, id string, row ports.Row) {
	js := o.jobs[id]
	if js == nil || js.rack != r {
		return
	}
	j, err := job.Decode(row.Value)
	if err != nil || row.Version == 0 {
		return
	}
	if j.Rack != r.name {
		o.moved(js)
		return
	}
	js.unread = false
}

// moved drops a job that now belongs to another rack.
func (o *Owner) moved(js *jobState) {
	level.Info(o.Log).Log("msg", "job was moved", "job", js.row.ID)
	delete(o.jobs, js.row.ID)
	js.dirty = false
	t := js.task
	if t == nil {
		return
	}
	t.job, js.task = nil, nil
	if t.worker == nil {
		o.forget(t)
		return
	}
	t.stopped = true
	go o.act(t, t.worker, ports.ActStop)
}

// Moved takes in a job whose row was just moved to a rack of this owner.
func (o *Owner) Moved(ctx context.Context, row job.Job, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.racks[row.Rack]
	if r == nil || ctx.Err() != nil || o.jobs[row.ID] != nil {
		return
	}
	js := newJobState(row, version, r)
	o.jobs[row.ID] = js
	o.enqueue(js)
	o.step()
}
