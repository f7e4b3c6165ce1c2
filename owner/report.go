// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/job"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

// markRunning records that a worker runs a job.
func (o *Owner) markRunning(t *task) {
	js := t.job
	if js == nil || js.row.State == job.Running || js.row.State.Final() {
		return
	}
	fault.At(fault.Running)
	now := clock.Wall().UTC()
	o.setState(js, job.Running, func(j *job.Job) {
		j.Attempt = t.spec.Attempt
		j.Worker = t.worker.name
		j.Incarnation = t.worker.incarnation
		if j.Started == nil {
			j.Started = &now
		}
	})
}

// setState changes the state of a job and writes its row.
func (o *Owner) setState(js *jobState, s job.State, f func(*job.Job)) bool {
	row, err := js.row.Transition(s)
	if err != nil {
		level.Warn(o.Log).Log("msg", "invalid job state transition", "job", js.row.ID, "err", err)
		return false
	}
	f(&row)
	js.row = row
	o.persist(js)
	return true
}

// endJob puts a job into a final state, or into Unknown.
func (o *Owner) endJob(js *jobState, s job.State, f func(*job.Job)) {
	if js == nil || js.row.State.Final() || js.row.State == s {
		return
	}
	now := clock.Wall().UTC()
	t := js.task
	if !o.setState(js, s, func(j *job.Job) {
		f(j)
		j.Finished = &now
		if s.Final() {
			expires := now.Add(o.retention(j.Workload))
			j.Expires = &expires
		}
	}) {
		return
	}
	if !s.Final() {
		js.finish(nil)
	}
	js.inDoubt = false
	if t != nil && t.worker != nil && s != job.Unknown {
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
	}
}

// retention returns how long a job of a workload is kept after its end.
func (o *Owner) retention(workload string) time.Duration {
	if w := o.Tree.Current().Workloads[workload]; w != nil {
		return w.Keep
	}
	return tree.DefaultKeep
}

// handleNotRun requeues or ends a task that its worker does not have and will never have. The
// lock is held.
func (o *Owner) handleNotRun(t *task) {
	switch {
	case t.job == nil:
		o.removeTask(t)
	case t.spec.Call:
		o.endJob(t.job, job.Refused, func(j *job.Job) { j.Why = "the worker never had it" })
		o.removeJobTask(t)
	default:
		o.retryJob(t)
	}
}

// retryJob queues a job for its next attempt.
func (o *Owner) retryJob(t *task) {
	js := t.job
	if js.row.Cancelling {
		o.endJob(js, job.Cancelled, func(*job.Job) {})
		o.removeJobTask(t)
		return
	}
	if js.row.State != job.Queued {
		o.setState(js, job.Queued, func(j *job.Job) {
			j.Attempt = max(j.Attempt, t.spec.Attempt)
			j.Worker, j.Incarnation = "", ""
		})
	}
	js.row.Attempt = max(js.row.Attempt, t.spec.Attempt)
	o.removeJobTask(t)
	if o.cutOff && o.movableWhenCutOff(js) {
		js.mustReread = true
		return
	}
	if js.row.State == job.Queued {
		o.enqueue(js)
	}
}

// requeue queues a task again that was placed but not sent.
func (o *Owner) requeue(t *task) {
	if o.tasksByRef[t.ref] != t {
		return
	}
	o.cell.Requeue(t.handle, o.now())
	t.worker = nil
}

// removeJobTask removes the task of a job.
func (o *Owner) removeJobTask(t *task) {
	o.removeTask(t)
	if t.job != nil && t.job.task == t {
		t.job.task = nil
	}
}

// handleLostTask requeues or ends a task that has certainly stopped on its worker, but may have
// run there. The lock is held.
func (o *Owner) handleLostTask(t *task, why string) {
	js := t.job
	switch {
	case js == nil || js.row.State.Final():
		o.removeTask(t)
	case !t.sent:
		o.handleNotRun(t)
	case t.spec.Repeat == ports.RepeatNever:
		o.endJob(js, job.Unknown, func(j *job.Job) { j.Why = why })
		o.removeJobTask(t)
	default:
		o.retryJob(t)
	}
}

// applyReport applies a worker's report on a task. The lock is held.
func (o *Owner) applyReport(w *worker, rep ports.TaskReport) {
	t := o.tasksByID[rep.Task.ID]
	if t == nil || t.spec.Attempt != rep.Task.Attempt {
		t = o.adoptReported(w, rep)
	}
	if t == nil || t.worker != w {
		return
	}
	if !rep.State.Ended() {
		o.applyProgress(t, rep)
		return
	}
	t.stopped = true
	if t.job != nil {
		o.applyEnd(t, rep)
		return
	}
	if t.callerWaits {
		return
	}
	o.removeTask(t)
	if !w.rack.loaded && hasRow(rep.Task) {
		// Its row will tell what to do with it.
		w.ignoredReports = true
		return
	}
	go o.acknowledge(ack{worker: w.api, id: rep.Task.ID, attempt: rep.Task.Attempt})
}

// adoptReported handles a report on a task or attempt that is not known here, for example one
// that an earlier owner started. It returns the task if it is adopted.
func (o *Owner) adoptReported(w *worker, rep ports.TaskReport) *task {
	js := o.jobs[rep.Task.ID]
	switch {
	case js == nil && rep.State.Ended() && !w.rack.loaded && hasRow(rep.Task):
		// Its row will tell what to do with it.
		w.ignoredReports = true
		return nil
	case rep.State.Ended() && (js == nil || o.staleReport(js, rep)):
		o.forget(js, ack{worker: w.api, id: rep.Task.ID, attempt: rep.Task.Attempt})
		return nil
	}
	if js != nil && js.task != nil {
		o.removeJobTask(js.task)
	}
	return o.adoptTask(w, rep, js)
}

// forget acknowledges an attempt that no longer matters; js is nil if its job is not on this
// rack. What makes the attempt not matter may be known here alone: it is acknowledged once the
// table has it. The lock is held.
func (o *Owner) forget(js *jobState, a ack) {
	switch {
	case js == nil || !js.dirty && !js.saving:
		go o.acknowledge(a)
	case !slices.Contains(js.acks, a):
		js.acks = append(js.acks, a)
		o.persist(js)
	}
}

// hasRow reports whether a task has a row in the table.
func hasRow(t ports.Task) bool { return !t.Call || t.Repeat == ports.RepeatNever }

// staleReport reports whether the end of an attempt no longer matters: the job is over, a later
// attempt has been placed, or a later attempt waits and this one has no answer.
func (o *Owner) staleReport(js *jobState, rep ports.TaskReport) bool {
	switch {
	case js.row.State.Final():
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
	workload := o.Tree.Current().Workloads[rep.Task.Workload]
	if workload == nil {
		workload = &tree.Workload{Path: rep.Task.Workload}
	}
	t := o.newTask(workload, rep.Task)
	t.spec.Demand = rep.Task.Demand
	t.worker, t.rack, t.job = w, w.rack, js
	t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	if rep.State.Ended() {
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
		js.task, js.inDoubt = t, false
		o.markRunning(t)
	}
	return t
}

// applyProgress applies a report on a running task.
func (o *Owner) applyProgress(t *task, rep ports.TaskReport) {
	js := t.job
	if js == nil {
		return
	}
	js.inDoubt = false
	if js.row.State != job.Running && !t.spec.Call {
		o.markRunning(t)
	}
	o.stopCancelled(t)
	if rep.Checkpoint != "" && rep.Checkpoint != js.row.Checkpoint {
		fault.At(fault.Checkpointed)
		js.row.Checkpoint = rep.Checkpoint
		o.cell.RecordCheckpoint(t.handle, o.now())
		o.persist(js)
	}
}

// applyEnd applies the end of a task with a row.
func (o *Owner) applyEnd(t *task, rep ports.TaskReport) {
	js := t.job
	if rep.Checkpoint != "" {
		js.row.Checkpoint = rep.Checkpoint
	}
	switch {
	case rep.State == ports.TaskFinished:
		fault.At(fault.Finished)
		o.applyFinished(t, rep)
	case js.row.Cancelling:
		o.endJob(js, job.Cancelled, func(*job.Job) {})
		o.removeJobTask(t)
	case rep.State == ports.TaskFailed:
		o.applyFailed(t)
	case t.spec.Repeat == ports.RepeatNever:
		o.endJob(js, job.Failed, func(j *job.Job) { j.Why = "the worker ended it: " + string(rep.State) })
		o.removeJobTask(t)
	default:
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
		js.row.Yields++
		o.retryJob(t)
	}
}

// applyFinished stores a job's answer if it is complete.
func (o *Owner) applyFinished(t *task, rep ports.TaskReport) {
	if err := rep.Answer.Verify(t.spec.ID, t.spec.Attempt); err != nil {
		// The worker keeps the answer, and reports it again at the next attach.
		level.Warn(o.Log).Log("msg", "incomplete answer from worker, attaching it again", "job", t.spec.ID, "err", err)
		o.reattach(t.worker)
		return
	}
	js := t.job
	o.recordDuration(t.workload, time.Duration(rep.RanMS)*time.Millisecond)
	if js.row.Service {
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
		o.retryJob(t)
		return
	}
	o.endJob(js, job.Done, func(j *job.Job) { j.Answer = rep.Answer })
	if !t.callerWaits {
		o.removeJobTask(t)
	}
}

func (o *Owner) applyFailed(t *task) {
	js := t.job
	js.row.Failures++
	if t.spec.Repeat == ports.RepeatNever || js.row.Failures > t.workload.Retries && !js.row.Service {
		o.endJob(js, job.Failed, func(j *job.Job) { j.Why = "the task failed" })
		o.removeJobTask(t)
		return
	}
	js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
	o.retryJob(t)
}
