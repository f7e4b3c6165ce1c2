// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/commit"
	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/ports"
)

const (
	// overflowDelay is how long a job waits for its own rack before it may be moved to a rack
	// with room.
	overflowDelay = time.Second
	// maxOverflow is the number of jobs that may be moved off a rack per second.
	maxOverflow = 16
)

// overflow moves waiting jobs to racks with room, so that no job waits for a rack that is full
// or whose workers are dead. The lock is held.
func (o *Owner) overflow(r *rack) {
	if r.rowVersion == 0 || o.cutOff || o.draining {
		return
	}
	left := maxOverflow
	for _, js := range o.jobs {
		if left == 0 {
			return
		}
		if js.rack == r && o.mayOverflow(js) {
			left--
			o.moveToOtherRack(js)
		}
	}
}

// mayOverflow reports whether a job has waited long enough and can be moved because no worker
// can be running it.
func (o *Owner) mayOverflow(js *jobState) bool {
	t := js.task
	if t == nil || t.worker != nil || js.inDoubt || js.mustReread || js.dirty || js.saving || js.row.Cancelling {
		return false
	}
	return js.row.State == job.Queued && o.now()-t.queuedAt > overflowDelay && !o.beforeWindow(js)
}

// beforeWindow reports whether the job's earliest start is still to come.
func (o *Owner) beforeWindow(js *jobState) bool {
	return js.row.NotBefore != nil && clock.Wall().Before(*js.row.NotBefore)
}

// moveToOtherRack moves a job to another rack with room, if there is one.
func (o *Owner) moveToOtherRack(js *jobState) {
	t := js.task
	h, rack, ok := o.FindRack(t.spec.Demand, js.rack.name)
	if !ok {
		return
	}
	row := js.row
	row.Hall, row.Rack = h, rack
	change := commit.Change{Checks: o.rowChecks(js), Puts: rowPuts(row)}
	change.Puts = append(change.Puts, ports.Put{Key: job.IndexKey(js.row.Rack, row.ID), Delete: true})
	o.removeJobTask(t)
	js.saving = true
	js.mustReread = true
	go o.commitMove(js, row, change)
}

// commitMove writes a move. The job is already out of the queue; if the move fails, its row
// tells which rack it belongs to.
func (o *Owner) commitMove(js *jobState, row job.Job, change commit.Change) {
	ctx, cancel := context.WithTimeout(js.rack.ctx, writeTimeout)
	defer cancel()
	version, err := o.Journal.Commit(ctx, change)
	if err != nil {
		o.recoverMove(js)
		return
	}
	level.Debug(o.Log).Log("msg", "job moved to another rack", "job", row.ID, "rack", row.Rack)
	o.mu.Lock()
	if o.jobs[row.ID] == js {
		o.depart(js, version)
	}
	js.finish(errMoved())
	_, own := o.racks[row.Rack]
	o.mu.Unlock()
	if own {
		o.AddMovedJob(js.rack.ctx, row, version)
		return
	}
	o.NotifyMoved(row, version)
}

// recoverMove reads the row of a job after a move with an unknown result. The empty change
// makes sure that all earlier transactions of the journal have ended.
func (o *Owner) recoverMove(js *jobState) {
	if _, err := o.Journal.Commit(js.rack.ctx, commit.Change{}); err != nil {
		return
	}
	row, err := o.readRow(js.rack.ctx, job.RowKey(js.row.ID))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if row.Version > 0 {
		js.version = row.Version
	}
	o.applyRow(js.rack, js.row.ID, row)
	o.endSaving(js)
	o.resolveDoubt(js)
	o.schedule()
}
