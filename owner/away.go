// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

const (
	// cutOffAfter is the age of the instance's last heartbeat in the table at which the
	// instance counts as cut off. It is shorter than any MoveAfter.
	cutOffAfter = 4 * time.Second
	// stopLead is how long before others may start a task its owner begins to stop it.
	stopLead = 3 * time.Second
)

// checkCutOff checks how long the instance has not reached the table. It stops work that others
// may start elsewhere from now on. Once the table is back, every row is read again before
// anything is started, because jobs may have been moved. The lock is held.
func (o *Owner) checkCutOff() {
	sinceHeartbeat := clock.Since(o.LastHeartbeat())
	if sinceHeartbeat < cutOffAfter {
		if o.cutOff {
			o.cutOff = false
			o.rereadAll()
		}
		return
	}
	o.cutOff = true
	for _, js := range o.jobs {
		w := o.Tree.Current().Workloads[js.row.Workload]
		if w == nil || w.CutOff != tree.CutOffMove || js.row.Call {
			continue
		}
		if sinceHeartbeat > w.MoveAfter-lease.Margin(w.MoveAfter)-stopLead {
			o.stopUntilReread(js)
		}
	}
}

// stopUntilReread stops a job, or takes it out of the queue, until its row has been read again.
func (o *Owner) stopUntilReread(js *jobState) {
	t := js.task
	switch {
	case t == nil:
		js.mustReread = true
	case t.worker == nil:
		js.mustReread = true
		o.removeJobTask(t)
	case !t.stopped && t.spec.Repeat != ports.RepeatNever:
		t.stopped = true
		go o.sendAction(t, t.worker, o.stopAction(t))
	}
}

// rereadAll takes every waiting job out of the queue and starts to read all rows again.
func (o *Owner) rereadAll() {
	for _, js := range o.jobs {
		if js.task != nil && js.task.worker == nil {
			o.removeJobTask(js.task)
		}
		if js.task == nil && !js.row.State.Final() {
			js.mustReread = true
		}
	}
	for _, r := range o.racks {
		if r.rowVersion != 0 {
			go o.rereadRack(r)
		}
	}
}

// rereadRack reads the rows of a rack's jobs again, drops jobs that were moved and queues the
// others.
func (o *Owner) rereadRack(r *rack) {
	for id := range o.jobIDs(r) {
		row, err := o.readRow(r.ctx, job.RowKey(id))
		if err != nil {
			return
		}
		o.mu.Lock()
		o.applyRow(r, id, row)
		o.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resolveDoubts(r)
	o.schedule()
}

func (o *Owner) jobIDs(r *rack) map[string]bool {
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

// applyRow applies the current row of a job. The lock is held.
func (o *Owner) applyRow(r *rack, id string, row ports.Row) {
	js := o.jobs[id]
	if js == nil || js.rack != r {
		return
	}
	j, err := job.Decode(row.Value)
	if err != nil || row.Version == 0 {
		return
	}
	if j.Rack != r.name {
		o.dropMovedJob(js, row.Version)
		return
	}
	js.mustReread = false
}

// errMoved returns the error for those who wait for a job that now belongs to another rack.
func errMoved() error { return kind.New(kind.Fenced, "the job was moved to another rack") }

// dropMovedJob drops a job that now belongs to another rack; version is that of its row.
func (o *Owner) dropMovedJob(js *jobState, version uint64) {
	level.Info(o.Log).Log("msg", "job was moved to another rack", "job", js.row.ID)
	o.depart(js, version)
	js.dirty = false
	js.finish(errMoved())
	t := js.task
	if t == nil {
		return
	}
	t.job, js.task = nil, nil
	if t.worker == nil {
		o.removeTask(t)
		return
	}
	t.stopped = true
	go o.sendAction(t, t.worker, ports.ActStop)
}

// AddMovedJob adds a job whose row was moved to a rack of this owner. The notice may come late:
// the job is added only if the table still has that row.
func (o *Owner) AddMovedJob(ctx context.Context, row job.Job, version uint64) {
	rows, err := o.Table.Get(ctx, job.RowKey(row.ID))
	if err != nil || rows[0].Version != version {
		// If it waits here, the next scan of the index finds it.
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.racks[row.Rack]
	if r == nil || ctx.Err() != nil || o.jobs[row.ID] != nil || o.hasDeparted(row.ID, version) {
		return
	}
	js := newJobState(row, version, r)
	o.jobs[row.ID] = js
	o.enqueue(js)
	o.schedule()
}
