// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

// loadJobs reads the jobs of an adopted rack, with retries.
func (o *Owner) loadJobs(r *rack) {
	for r.ctx.Err() == nil {
		err := o.loadIndex(r)
		if err == nil {
			return
		}
		level.Warn(o.Log).Log("msg", "loading the jobs of a rack failed, retrying", "rack", r.name, "err", err)
		select {
		case <-time.After(maxBackoff):
		case <-r.ctx.Done():
		}
	}
}

func (o *Owner) loadIndex(r *rack) error {
	after := ""
	for {
		index, err := o.Table.Scan(r.ctx, job.IndexPrefix(r.name), after, indexPageSize)
		if err != nil {
			return err
		}
		if len(index) == 0 {
			break
		}
		if err := o.loadPage(r, index); err != nil {
			return err
		}
		after = index[len(index)-1].Key
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.loaded = true
	for _, w := range r.workers {
		// Ask again for what the workers reported before the rows were known.
		if w.attached && w.ignoredReports {
			o.reattach(w)
		}
	}
	o.stopUnownedTasks(r)
	o.resolveDoubts(r)
	o.schedule()
	return nil
}

// stopUnownedTasks stops the tasks of a rack that have no job there: the job was cancelled or
// moved while the worker could not be told. A call whose caller waits here is left alone,
// because its row is just being written.
func (o *Owner) stopUnownedTasks(r *rack) {
	for _, t := range o.tasksByRef {
		if t.callerWaits || t.stopped {
			continue
		}
		if t.rack == r && t.worker != nil && t.job == nil && hasRow(t.spec) {
			t.stopped = true
			go o.sendAction(t, t.worker, ports.ActStop)
		}
	}
}

func (o *Owner) loadPage(r *rack, index []ports.Row) error {
	keys := o.unknownRowKeys(r, index)
	if len(keys) == 0 {
		return nil
	}
	rows, err := o.Table.Get(r.ctx, keys...)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.racks[r.name] != r {
		return nil
	}
	for _, row := range rows {
		j, err := job.Decode(row.Value)
		if err != nil || row.Version == 0 || o.jobs[j.ID] != nil || o.creating[j.ID] != nil {
			continue
		}
		if j.Rack != r.name || o.hasDeparted(j.ID, row.Version) {
			continue
		}
		o.addLoadedJob(newJobState(j, row.Version, r))
	}
	return nil
}

// unknownRowKeys returns the keys of the rows of indexed jobs that are not known here. Once a
// rack has been owned for some time, there are hardly any.
func (o *Owner) unknownRowKeys(r *rack, index []ports.Row) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for _, row := range index {
		if id := job.IDFromIndexKey(r.name, row.Key); o.jobs[id] == nil {
			keys = append(keys, job.RowKey(id))
		}
	}
	return keys
}

// addLoadedJob adds a job that belonged to another owner. It is in doubt until the workers have
// shown whether they run it.
func (o *Owner) addLoadedJob(js *jobState) {
	o.jobs[js.row.ID] = js
	if js.row.State.Final() {
		// Only its index row is left to delete.
		o.persist(js)
		return
	}
	js.inDoubt = true
	t := o.tasksByID[js.row.ID]
	if t == nil || t.worker == nil {
		return
	}
	t.job, js.task, js.inDoubt = js, t, false
	if !t.spec.Call {
		o.markRunning(t)
	}
	o.stopCancelled(t)
}

// resolveDoubts calls resolveDoubt for all jobs of a rack.
func (o *Owner) resolveDoubts(r *rack) {
	if !r.loaded {
		return
	}
	for _, js := range o.jobs {
		if js.rack == r {
			o.resolveDoubt(js)
		}
	}
}

// resolveDoubt queues a job, or ends it, as soon as it is certain that no worker runs it. The
// lock is held.
func (o *Owner) resolveDoubt(js *jobState) {
	if js.task != nil || js.row.State.Final() || js.mustReread {
		return
	}
	if !js.inDoubt {
		if js.row.State == job.Queued {
			o.enqueue(js)
		}
		return
	}
	switch {
	case js.row.Repeat == ports.RepeatNever && js.row.State != job.Queued:
		o.resolveNoRepeat(js)
	case js.row.Repeat == ports.RepeatNever || o.noWorkerRuns(js):
		js.inDoubt = false
		if js.row.State != job.Queued {
			o.setState(js, job.Queued, func(j *job.Job) { j.Worker, j.Incarnation = "", "" })
		}
		o.enqueue(js)
	}
}

// movableWhenCutOff reports whether others may move a job while this instance is cut off.
func (o *Owner) movableWhenCutOff(js *jobState) bool {
	w := o.Tree.Current().Workloads[js.row.Workload]
	return w != nil && w.CutOff == tree.CutOffMove
}

// resolveNoRepeat ends work that must not be repeated once the worker that it was sent to has
// shown that it does not have it.
func (o *Owner) resolveNoRepeat(js *jobState) {
	w := js.rack.workers[js.row.Worker]
	if w == nil || !w.attached || js.row.State == job.Unknown && w.incarnation != js.row.Incarnation {
		return
	}
	if w.incarnation == js.row.Incarnation {
		js.inDoubt = false
		o.endJob(js, job.Refused, func(j *job.Job) { j.Why = "the worker never had it" })
		return
	}
	o.endJob(js, job.Unknown, func(j *job.Job) { j.Why = "the worker was restarted" })
}

// noWorkerRuns reports whether it is certain that no worker of the rack runs a job. This is so
// if the hall is declared lost in the tree; if every worker is attached and does not have the
// job, or is declared lost; if the workers that are not attached have certainly stopped (see
// detachedStopped); or if the time has passed after which jobs are moved out of a hall that is
// cut off.
func (o *Owner) noWorkerRuns(js *jobState) bool {
	c := o.Tree.Current()
	if c.Lost[o.Hall] {
		return true
	}
	for _, worker := range js.rack.workers {
		if worker.ignoredReports && !worker.leasesExpired {
			// It may have reported the end of the job.
			return false
		}
	}
	w := c.Workloads[js.row.Workload]
	if w != nil && w.CutOff == tree.CutOffMove {
		stopped := w.MoveAfter + lease.Margin(w.MoveAfter) + 2*o.TaskLease
		if clock.Since(js.rack.ownedSince) > stopped {
			return true
		}
	}
	if o.detachedStopped(js.rack, clock.Now()) {
		return true
	}
	for name, worker := range js.rack.workers {
		if !worker.attached && !c.Lost[o.Hall+"/"+name] {
			return false
		}
	}
	return true
}
