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
	// overflowAfter is how long a job waits for its own rack before it is moved
	// to another one that has room.
	overflowAfter = time.Second
	// overflowMost bounds the jobs that leave a rack in one second.
	overflowMost = 16
)

// overflow moves jobs that wait to racks that have room. A rack that is full,
// or whose workers are dead, keeps no job waiting for it. The lock is held.
func (o *Owner) overflow(r *rack) {
	if r.row == 0 || o.away || o.draining {
		return
	}
	left := overflowMost
	for _, js := range o.jobs {
		if left == 0 {
			return
		}
		if js.rack == r && o.overflows(js) {
			left--
			o.moveAway(js)
		}
	}
}

// overflows reports whether a job waits, has waited for long enough, and may
// be moved: no worker can be running it.
func (o *Owner) overflows(js *jobState) bool {
	t := js.task
	if t == nil || t.worker != nil || js.limbo || js.unread || js.dirty || js.saving || js.cancelling {
		return false
	}
	return js.row.State == job.Queued && o.now()-t.queued > overflowAfter && !o.early(js)
}

// early reports whether a job's window is still to come.
func (o *Owner) early(js *jobState) bool {
	return js.row.NotBefore != nil && clock.Wall().Before(*js.row.NotBefore)
}

// moveAway writes a job to another rack with room, if there is one.
func (o *Owner) moveAway(js *jobState) {
	t := js.task
	h, rack, ok := o.Elsewhere(t.spec.Demand, js.rack.name)
	if !ok {
		return
	}
	row := js.row
	row.Hall, row.Rack = h, rack
	change := commit.Change{Checks: o.checks(js), Puts: puts(row)}
	change.Puts = append(change.Puts, ports.Put{Key: job.IndexKey(js.row.Rack, row.ID), Delete: true})
	o.drop(t)
	js.saving = true
	js.unread = true
	go o.finishMove(js, row, change)
}

// finishMove commits a move. The job was taken out of the queue before; when
// the move fails, its row tells where it is.
func (o *Owner) finishMove(js *jobState, row job.Job, change commit.Change) {
	ctx, cancel := context.WithTimeout(js.rack.ctx, submitTime)
	defer cancel()
	version, err := o.Journal.Commit(ctx, change)
	if err != nil {
		o.moveFailed(js)
		return
	}
	level.Debug(o.Log).Log("msg", "job moved", "job", row.ID, "rack", row.Rack)
	o.mu.Lock()
	if o.jobs[row.ID] == js {
		delete(o.jobs, row.ID)
	}
	_, own := o.racks[row.Rack]
	o.mu.Unlock()
	if own {
		o.Moved(js.rack.ctx, row, version)
		return
	}
	o.Tell(row, version)
}

// moveFailed reads the row of a job whose move has an unknown end. An empty
// change through the journal settles the fate of those before it.
func (o *Owner) moveFailed(js *jobState) {
	if _, err := o.Journal.Commit(js.rack.ctx, commit.Change{}); err != nil {
		return
	}
	row, err := o.readRow(js.rack.ctx, job.RowKey(js.row.ID))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	js.saving = false
	if row.Version > 0 {
		js.version = row.Version
	}
	o.reread(js.rack, js.row.ID, row)
	o.release(js)
	o.step()
}
