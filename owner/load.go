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

// load reads the jobs of a rack that was adopted.
func (o *Owner) load(r *rack) {
	for r.ctx.Err() == nil {
		err := o.loadAll(r)
		if err == nil {
			return
		}
		level.Warn(o.Log).Log("msg", "jobs of rack not loaded", "rack", r.name, "err", err)
		select {
		case <-time.After(attachMost):
		case <-r.ctx.Done():
		}
	}
}

func (o *Owner) loadAll(r *rack) error {
	after := ""
	for {
		index, err := o.Table.Scan(r.ctx, job.IndexPrefix(r.name), after, pageSize)
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
		// What its workers said before the rows were known is asked again.
		if w.attached && r.ignored {
			o.suspect(w)
		}
	}
	o.stopStrays(r)
	o.releaseAll(r)
	o.step()
	return nil
}

// stopStrays ends the tasks of a rack whose job is not one of its own: it was
// cancelled or moved while nobody could tell the worker. A call whose caller
// waits here is no stray: its row is just being written.
func (o *Owner) stopStrays(r *rack) {
	for _, t := range o.byRef {
		if t.callerWaits || t.stopped {
			continue
		}
		if t.rack == r && t.worker != nil && t.job == nil && hasRow(t.spec) {
			t.stopped = true
			go o.act(t, t.worker, ports.ActStop)
		}
	}
}

func (o *Owner) loadPage(r *rack, index []ports.Row) error {
	keys := o.missing(r, index)
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
		o.takeIn(newJobState(j, row.Version, r))
	}
	return nil
}

// missing returns the keys of the rows of indexed jobs that are not known here.
// A look at the index of a rack that has long been owned finds hardly any.
func (o *Owner) missing(r *rack, index []ports.Row) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for _, row := range index {
		if id := job.IndexedID(r.name, row.Key); o.jobs[id] == nil {
			keys = append(keys, job.RowKey(id))
		}
	}
	return keys
}

// takeIn takes in a job that was another owner's. It stays in limbo until its
// workers have shown whether they run it.
func (o *Owner) takeIn(js *jobState) {
	o.jobs[js.row.ID] = js
	if js.row.State.Over() {
		// Only its index row is left.
		o.persist(js)
		return
	}
	js.limbo = true
	t := o.byID[js.row.ID]
	if t == nil || t.worker == nil {
		return
	}
	t.job, js.task, js.limbo = js, t, false
	if !t.spec.Call {
		o.running(t)
	}
}

// releaseAll looks at the jobs in limbo of a rack again.
func (o *Owner) releaseAll(r *rack) {
	if !r.loaded {
		return
	}
	for _, js := range o.jobs {
		if js.rack == r {
			o.release(js)
		}
	}
}

// release ends the limbo of a job as soon as it is certain that no worker runs
// it. The lock is held.
func (o *Owner) release(js *jobState) {
	if js.task != nil || js.row.State.Over() || js.unread {
		return
	}
	if !js.limbo {
		if js.row.State == job.Queued {
			o.enqueue(js)
		}
		return
	}
	switch {
	case js.row.Repeat == ports.RepeatNever && js.row.State != job.Queued:
		o.releaseOnce(js)
	case js.row.Repeat == ports.RepeatNever || o.nobodyRuns(js):
		js.limbo = false
		if js.cancelling {
			o.settle(js, job.Cancelled, func(*job.Job) {})
			return
		}
		if js.row.State != job.Queued {
			o.change(js, job.Queued, func(j *job.Job) { j.Worker, j.Incarnation = "", "" })
		}
		o.enqueue(js)
	}
}

// movable reports whether others may move a job while this instance is away.
func (o *Owner) movable(js *jobState) bool {
	w := o.Tree.Now().Workloads[js.row.Workload]
	return w != nil && w.CutOff == tree.Move
}

// releaseOnce settles work that must not be repeated once the worker that it
// was sent to has shown that it does not have it.
func (o *Owner) releaseOnce(js *jobState) {
	w := js.rack.workers[js.row.Worker]
	if w == nil || !w.attached || js.row.State == job.Unknown && w.incarnation != js.row.Incarnation {
		return
	}
	if w.incarnation == js.row.Incarnation {
		js.limbo = false
		o.settle(js, job.Refused, func(j *job.Job) { j.Why = "the worker never had it" })
		return
	}
	o.settle(js, job.Unknown, func(j *job.Job) { j.Why = "the worker was restarted" })
}

// nobodyRuns reports whether no worker of the rack can be running a job: every
// one is attached and does not have it, or is set as lost, or has surely
// stopped it, as most workers of the rack bear out or by the rule for halls
// that are cut off.
func (o *Owner) nobodyRuns(js *jobState) bool {
	c := o.Tree.Now()
	if c.Lost[o.Hall] {
		return true
	}
	w := c.Workloads[js.row.Workload]
	if w != nil && w.CutOff == tree.Move {
		stopped := w.MoveAfter + lease.Margin(w.MoveAfter) + 2*o.TaskLease
		if clock.Since(js.rack.since) > stopped {
			return true
		}
	}
	if o.othersStopped(js.rack, clock.Now()) {
		return true
	}
	for name, worker := range js.rack.workers {
		if !worker.attached && !c.Lost[o.Hall+"/"+name] {
			return false
		}
	}
	return true
}
