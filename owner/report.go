// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/job"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

// running notes that a worker runs a job.
func (o *Owner) running(t *task) {
	js := t.job
	if js == nil || js.row.State == job.Running || js.row.State.Over() {
		return
	}
	fault.At(fault.Running)
	now := clock.Wall().UTC()
	o.change(js, job.Running, func(j *job.Job) {
		j.Attempt = t.spec.Attempt
		j.Worker = t.worker.name
		j.Incarnation = t.worker.incarnation
		if j.Started == nil {
			j.Started = &now
		}
	})
}

// change puts a job into another state and has its row written.
func (o *Owner) change(js *jobState, s job.State, f func(*job.Job)) bool {
	row, err := js.row.Next(s)
	if err != nil {
		level.Warn(o.Log).Log("msg", "state of job not changed", "job", js.row.ID, "err", err)
		return false
	}
	f(&row)
	js.row = row
	o.persist(js)
	return true
}

// settle ends a job in a final state, or in Unknown.
func (o *Owner) settle(js *jobState, s job.State, f func(*job.Job)) {
	if js == nil || js.row.State.Over() || js.row.State == s {
		return
	}
	now := clock.Wall().UTC()
	t := js.task
	if !o.change(js, s, func(j *job.Job) {
		f(j)
		j.Finished = &now
		if s.Over() {
			expires := now.Add(o.keep(j.Workload))
			j.Expires = &expires
		}
	}) {
		return
	}
	js.finish(nil)
	js.limbo = false
	if t != nil && t.worker != nil && s != job.Unknown {
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
	}
}

// keep is how long a job of a workload is kept after its end.
func (o *Owner) keep(workload string) time.Duration {
	if w := o.Tree.Now().Workloads[workload]; w != nil {
		return w.Keep
	}
	return tree.DefaultKeep
}

// neverRan puts a task back that its worker does not have and never will. The
// lock is held.
func (o *Owner) neverRan(t *task) {
	switch {
	case t.job == nil:
		o.forget(t)
	case t.spec.Call:
		o.settle(t.job, job.Refused, func(j *job.Job) { j.Why = "the worker never had it" })
		o.drop(t)
	default:
		o.again(t)
	}
}

// again makes a job wait for another start.
func (o *Owner) again(t *task) {
	js := t.job
	if js.cancelling {
		o.settle(js, job.Cancelled, func(*job.Job) {})
		o.drop(t)
		return
	}
	if js.row.State != job.Queued {
		o.change(js, job.Queued, func(j *job.Job) {
			j.Attempt = max(j.Attempt, t.spec.Attempt)
			j.Worker, j.Incarnation = "", ""
		})
	}
	js.row.Attempt = max(js.row.Attempt, t.spec.Attempt)
	o.drop(t)
	if o.away && o.movable(js) {
		js.unread = true
		return
	}
	if js.row.State == job.Queued {
		o.enqueue(js)
	}
}

// requeue makes a task wait again that was placed but not sent.
func (o *Owner) requeue(t *task) {
	if o.byRef[t.ref] != t {
		return
	}
	o.cell.Requeue(t.handle, o.now())
	t.worker = nil
}

// drop takes the task of a job off the books.
func (o *Owner) drop(t *task) {
	o.forget(t)
	if t.job != nil && t.job.task == t {
		t.job.task = nil
	}
}

// lose settles a task whose worker is surely not running it any more, but may
// have. The lock is held.
func (o *Owner) lose(t *task, why string) {
	js := t.job
	switch {
	case js == nil || js.row.State.Over():
		o.forget(t)
	case !t.sent:
		o.neverRan(t)
	case t.spec.Repeat == ports.RepeatNever:
		o.settle(js, job.Unknown, func(j *job.Job) { j.Why = why })
		o.drop(t)
	default:
		o.again(t)
	}
}

// report takes in what a worker says of a task. The lock is held.
func (o *Owner) report(w *worker, rep ports.TaskReport) {
	t := o.byID[rep.Task.ID]
	if t == nil || t.spec.Attempt != rep.Task.Attempt {
		t = o.orphan(w, rep)
	}
	if t == nil || t.worker != w {
		return
	}
	if !rep.State.Over() {
		o.progress(t, rep)
		return
	}
	t.stopped = true
	if t.job != nil {
		o.over(t, rep)
		return
	}
	if !t.callerWaits {
		o.forget(t)
		go o.acknowledge(ack{worker: w.api, id: rep.Task.ID, attempt: rep.Task.Attempt})
	}
}

// orphan takes in a task that the books do not have: one of an owner before.
func (o *Owner) orphan(w *worker, rep ports.TaskReport) *task {
	js := o.jobs[rep.Task.ID]
	switch {
	case js == nil && rep.State.Over() && !w.rack.loaded && hasRow(rep.Task):
		// Its row will tell what to do with it.
		w.rack.ignored = true
		return nil
	case rep.State.Over() && (js == nil || o.stale(js, rep)):
		go o.acknowledge(ack{worker: w.api, id: rep.Task.ID, attempt: rep.Task.Attempt})
		return nil
	}
	if js != nil && js.task != nil {
		o.drop(js.task)
	}
	return o.adoptTask(w, rep, js)
}

// hasRow reports whether a task has a row in the table.
func hasRow(t ports.Task) bool { return !t.Call || t.Repeat == ports.RepeatNever }

// stale reports whether the end of an attempt is of no more interest: the job
// is over, or a later attempt runs, or waits and this one brings no answer.
func (o *Owner) stale(js *jobState, rep ports.TaskReport) bool {
	switch {
	case js.row.State.Over():
		return true
	case js.task == nil:
		return rep.Task.Attempt < js.row.Attempt
	case js.task.worker != nil:
		return true
	default:
		return rep.State != ports.TaskFinished
	}
}

func (o *Owner) adoptTask(w *worker, rep ports.TaskReport, js *jobState) *task {
	workload := o.Tree.Now().Workloads[rep.Task.Workload]
	if workload == nil {
		workload = &tree.Workload{Path: rep.Task.Workload}
	}
	t := o.newTask(workload, rep.Task)
	t.spec.Demand = rep.Task.Demand
	t.worker, t.rack, t.job = w, w.rack, js
	t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	if rep.State.Over() {
		if js != nil {
			js.task = t
		}
		return t
	}
	t.handle = o.cell.Adopt(o.schedTask(t), w.id, o.now())
	if rep.State == ports.TaskThrottled {
		o.cell.RecordThrottled(t.handle)
	}
	if js != nil {
		js.task, js.limbo = t, false
		o.running(t)
	}
	return t
}

// progress takes in news of a running task.
func (o *Owner) progress(t *task, rep ports.TaskReport) {
	js := t.job
	if js == nil {
		return
	}
	js.limbo = false
	if js.row.State != job.Running && !t.spec.Call {
		o.running(t)
	}
	if rep.Checkpoint != "" && rep.Checkpoint != js.row.Checkpoint {
		fault.At(fault.Checkpointed)
		js.row.Checkpoint = rep.Checkpoint
		o.cell.RecordCheckpoint(t.handle, o.now())
		o.persist(js)
	}
}

// over takes in the end of a task with a row.
func (o *Owner) over(t *task, rep ports.TaskReport) {
	js := t.job
	if rep.Checkpoint != "" {
		js.row.Checkpoint = rep.Checkpoint
	}
	switch {
	case rep.State == ports.TaskFinished:
		fault.At(fault.Finished)
		o.finished(t, rep)
	case js.cancelling:
		o.settle(js, job.Cancelled, func(*job.Job) {})
		o.drop(t)
	case rep.State == ports.TaskFailed:
		o.failed(t)
	case t.spec.Repeat == ports.RepeatNever:
		o.settle(js, job.Failed, func(j *job.Job) { j.Why = "the worker ended it: " + string(rep.State) })
		o.drop(t)
	default:
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
		js.row.Yields++
		o.again(t)
	}
}

// finished takes in a job's answer, if it is whole.
func (o *Owner) finished(t *task, rep ports.TaskReport) {
	if err := rep.Answer.Whole(t.spec.ID, t.spec.Attempt); err != nil {
		// The worker keeps it; attaching again brings it once more.
		level.Warn(o.Log).Log("msg", "answer not whole", "job", t.spec.ID, "err", err)
		o.suspect(t.worker)
		return
	}
	js := t.job
	o.learn(t.workload, time.Duration(rep.RanMS)*time.Millisecond)
	if js.row.Service {
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
		o.again(t)
		return
	}
	o.settle(js, job.Done, func(j *job.Job) { j.Answer = rep.Answer })
	if !t.callerWaits {
		o.drop(t)
	}
}

func (o *Owner) failed(t *task) {
	js := t.job
	js.row.Failures++
	if t.spec.Repeat == ports.RepeatNever || js.row.Failures > t.workload.Retries && !js.row.Service {
		o.settle(js, job.Failed, func(j *job.Job) { j.Why = "the task failed" })
		o.drop(t)
		return
	}
	js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
	o.again(t)
}
