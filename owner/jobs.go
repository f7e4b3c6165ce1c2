// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/hall"
	"dewpass.org/internal/fault"
	"dewpass.org/job"
	"dewpass.org/journal"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/platform"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const (
	// maxInline is the size up to which an answer is kept in the job's row.
	maxInline  = 16 << 10
	submitTime = 2 * time.Second
	pageSize   = 200
	actTries   = 3
)

// jobState is a job of an owned rack.
type jobState struct {
	row     job.Job
	version uint64
	rack    *rack
	task    *task
	// limbo is set while nobody can tell yet whether an attempt runs.
	limbo bool
	// unread is set while the row must be read again before a start, because
	// others may have moved the job.
	unread bool
	// cancelling is set once its caller asked for its end.
	cancelling bool
	// dirty is set while the row in the table is behind.
	dirty  bool
	saving bool
	// acks are the attempts that their workers may forget once the row is
	// written.
	acks []ack
	// done is closed when the job is over, or lost to this owner.
	done    chan struct{}
	settled bool
	err     error
}

type ack struct {
	worker  platform.Worker
	id      string
	attempt uint32
}

func newJobState(row job.Job, version uint64, r *rack) *jobState {
	return &jobState{row: row, version: version, rack: r, done: make(chan struct{})}
}

// finish tells those who wait for the job.
func (js *jobState) finish(err error) {
	if js.settled {
		return
	}
	js.settled = true
	js.err = err
	close(js.done)
}

// checks are the conditions under which an owner may write a job's row.
func (o *Owner) checks(js *jobState) []platform.Check {
	return []platform.Check{
		{Key: hall.RackKey(o.Hall, js.rack.name), Version: js.rack.row},
		{Key: job.RowKey(js.row.ID), Version: js.version},
	}
}

func puts(row job.Job) []platform.Put {
	index := platform.Put{Key: job.IndexKey(row.Rack, row.ID)}
	if row.State.Over() {
		index.Delete = true
	} else {
		index.Value = []byte("{}")
	}
	return []platform.Put{{Key: job.RowKey(row.ID), Value: job.Encode(row)}, index}
}

// keyed adds the row of the request key to a new job's change.
func keyed(c journal.Change, row job.Job, digest string) journal.Change {
	if row.Key == "" {
		return c
	}
	key := job.KeyRow(row.Shop, row.Key)
	c.Checks = append(c.Checks, platform.Check{Key: key})
	value := job.Encode(job.Key{ID: row.ID, Digest: digest})
	c.Puts = append(c.Puts, platform.Put{Key: key, Value: value})
	return c
}

// Submit writes a new job down and takes it in. An error of kind Conflict
// whose cause is a journal.Conflict names the rows that came first.
func (o *Owner) Submit(ctx context.Context, row job.Job) (job.Job, error) {
	w, err := o.Tree.Now().Lookup(row.Workload)
	if err != nil {
		return row, err
	}
	o.mu.Lock()
	r := o.racks[row.Rack]
	refusal := o.mayAccept(r, w)
	o.mu.Unlock()
	if refusal != nil {
		return row, refusal
	}
	row.State = job.Queued
	js := newJobState(row, 0, r)
	if err := o.create(ctx, js); err != nil {
		return row, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.racks[row.Rack] != r {
		// The next owner finds the row.
		return row, nil
	}
	o.jobs[row.ID] = js
	o.enqueue(js)
	o.step()
	return row, nil
}

func (o *Owner) mayAccept(r *rack, w *tree.Workload) error {
	switch {
	case o.draining:
		return kind.New(kind.Stopping, "")
	case r == nil:
		return kind.New(kind.Fenced, "the rack has another owner")
	case r.row == 0:
		return kind.New(kind.CutOff, "the rack was taken without the table")
	}
	waiting := 0
	for _, js := range o.jobs {
		if js.row.Workload == w.Path && js.row.State == job.Queued {
			waiting++
		}
	}
	if waiting >= w.Queue {
		after := max(o.cell.PredictedWait(w.Class, o.now()), time.Second)
		return kind.New(kind.QueueFull, "the workload's queue is full").After(after)
	}
	return nil
}

// create writes a new job's rows.
func (o *Owner) create(ctx context.Context, js *jobState) error {
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	digest := job.RequestDigest(js.row.Workload, js.row.Payload)
	change := keyed(journal.Change{Checks: o.checks(js), Puts: puts(js.row)}, js.row, digest)
	version, err := o.Journal.Commit(ctx, change)
	if kind.Is(err, kind.Lost) {
		go o.recoverCreate(js)
	}
	if err != nil {
		return createError(err, js)
	}
	js.version = version
	return nil
}

// recoverCreate finds out what became of the rows of a new job whose
// transaction has an unknown fate. Its caller was told so, and it was sent
// nowhere: a job that is there goes on, a call that is there is refused, and
// what is not there is written down as refused, so that the question for its
// id has an answer.
func (o *Owner) recoverCreate(js *jobState) {
	ctx := js.rack.ctx
	// The journal writes one transaction after another: when this empty one is
	// through, the fate of those before it is settled.
	if _, err := o.Journal.Commit(ctx, journal.Change{}); err != nil {
		return
	}
	row, err := o.readRow(ctx, job.RowKey(js.row.ID))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.racks[js.rack.name] != js.rack || o.jobs[js.row.ID] != nil {
		return
	}
	js.version = row.Version
	js.task = nil
	o.jobs[js.row.ID] = js
	if row.Version > 0 && !js.row.Call {
		o.enqueue(js)
		o.step()
		return
	}
	js.row.State = job.Dispatched
	o.settle(js, job.Refused, func(j *job.Job) { j.Why = "the table did not answer in time" })
}

// readRow reads a row again and again until the table answers.
func (o *Owner) readRow(ctx context.Context, key string) (platform.Row, error) {
	for {
		rows, err := o.Table.Get(ctx, key)
		if err == nil {
			return rows[0], nil
		}
		select {
		case <-time.After(attachMost):
		case <-ctx.Done():
			return platform.Row{}, ctx.Err()
		}
	}
}

func createError(err error, js *jobState) error {
	switch kind.Of(err).Kind {
	case kind.Unavailable:
		return kind.Wrap(kind.CutOff, err, "").After(time.Second)
	case kind.Lost:
		return kind.Of(err).Uncertain(js.row.ID)
	}
	return err
}

// writeIntent writes the row of a call that must not be repeated before it is
// sent.
func (o *Owner) writeIntent(ctx context.Context, t *task, req *wire.Call) error {
	o.mu.Lock()
	r := t.rack
	row := job.Job{
		ID: req.Id, Shop: req.Shop, Key: req.Key, Workload: req.Workload, Payload: req.Payload,
		Repeat: platform.RepeatNever, Call: true, Hall: o.Hall, Rack: r.name,
		State: job.Dispatched, Attempt: 1, Worker: t.worker.name, Incarnation: t.worker.incarnation,
		Submitted: time.Now().UTC(),
	}
	js := newJobState(row, 0, r)
	js.task = t
	cutOff := r.row == 0
	o.mu.Unlock()
	if cutOff {
		return kind.New(kind.CutOff, "the rack was taken without the table").After(time.Second)
	}
	ctx, cancel := context.WithTimeout(ctx, intentTime)
	defer cancel()
	if err := o.create(ctx, js); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.racks[r.name] != r {
		return kind.New(kind.Lost, "the rack changed hands").Uncertain(req.Id)
	}
	t.job = js
	o.jobs[row.ID] = js
	return nil
}

// enqueue lets a job wait for a worker. The lock is held.
func (o *Owner) enqueue(js *jobState) {
	w, err := o.Tree.Now().Lookup(js.row.Workload)
	if err != nil || js.task != nil {
		// A workload that was taken out of the tree holds its jobs; they go on
		// when it is back. See release.
		return
	}
	t := o.newTask(w, platform.Task{
		ID: js.row.ID, Attempt: js.row.Attempt + 1, Shop: js.row.Shop,
		Repeat: js.row.Repeat, Payload: js.row.Payload, Checkpoint: js.row.Checkpoint,
	})
	t.job, t.rack = js, js.rack
	t.queued = o.now()
	js.task = t
	t.handle = o.cell.Submit(o.schedTask(t), o.now())
}

// startJob sends a placed job to its worker.
func (o *Owner) startJob(t *task) {
	ctx := t.rack.ctx
	if t.spec.Repeat == platform.RepeatNever && !o.writeDispatch(ctx, t) {
		return
	}
	fault.At(fault.Placed)
	o.mu.Lock()
	w := t.worker
	if w == nil || o.byRef[t.ref] != t {
		o.mu.Unlock()
		return
	}
	if !w.attached {
		o.neverRan(t)
		o.mu.Unlock()
		return
	}
	api, cmd := w.api, o.command(w)
	t.epoch, t.incarnation, t.sent = w.epoch, w.incarnation, true
	o.mu.Unlock()
	err := fault.Link("worker/" + w.name)
	if err == nil {
		fault.At(fault.Sent)
		_, err = api.Start(ctx, cmd, t.spec, o.TaskLease)
	}
	fault.At(fault.Accepted)
	o.started(t, err)
}

// writeDispatch writes down where a job that must not be repeated is sent,
// before it is. It reports false when the job was not dispatched.
func (o *Owner) writeDispatch(ctx context.Context, t *task) bool {
	o.mu.Lock()
	js := t.job
	if t.worker == nil || js.saving {
		o.requeue(t)
		o.mu.Unlock()
		return false
	}
	row, err := js.row.Next(job.Dispatched)
	if err != nil {
		o.forget(t)
		o.mu.Unlock()
		return false
	}
	row.Worker, row.Incarnation, row.Attempt = t.worker.name, t.worker.incarnation, t.spec.Attempt
	js.saving = true
	checks := o.checks(js)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	version, err := o.Journal.Commit(ctx, journal.Change{Checks: checks, Puts: puts(row)})
	o.mu.Lock()
	defer o.mu.Unlock()
	js.saving = false
	if err != nil {
		o.conflict(js, err)
		o.requeue(t)
		return false
	}
	js.row, js.version = row, version
	return o.byRef[t.ref] == t
}

// started takes in the outcome of a job's start.
func (o *Owner) started(t *task, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRef[t.ref] != t {
		return
	}
	e := kind.Of(err)
	switch {
	case err == nil:
		o.running(t)
	case e.Kind == kind.Leaving:
		t.worker.leaving = true
		o.gate(t.worker)
		o.neverRan(t)
	case e.Kind == kind.Fenced || e.Kind == kind.Unavailable || e.Kind == kind.Conflict:
		o.suspect(t.worker)
		o.neverRan(t)
	default:
		// Attaching again shows whether the worker has it.
		o.suspect(t.worker)
	}
	o.step()
}

// running notes that a worker runs a job.
func (o *Owner) running(t *task) {
	js := t.job
	if js == nil || js.row.State == job.Running || js.row.State.Over() {
		return
	}
	fault.At(fault.Running)
	now := time.Now().UTC()
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
	now := time.Now().UTC()
	t := js.task
	if !o.change(js, s, func(j *job.Job) {
		f(j)
		j.Finished = &now
	}) {
		return
	}
	js.finish(nil)
	js.limbo = false
	if t != nil && t.worker != nil && s != job.Unknown {
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
	}
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
	case !t.sent && !t.spec.Call:
		o.again(t)
	case t.spec.Repeat == platform.RepeatNever:
		o.settle(js, job.Unknown, func(j *job.Job) { j.Why = why })
		o.drop(t)
	default:
		o.again(t)
	}
}

// report takes in what a worker says of a task. The lock is held.
func (o *Owner) report(w *worker, rep platform.TaskReport) {
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
func (o *Owner) orphan(w *worker, rep platform.TaskReport) *task {
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
func hasRow(t platform.Task) bool { return !t.Call || t.Repeat == platform.RepeatNever }

// stale reports whether the end of an attempt is of no more interest: the job
// is over, or a later attempt runs, or waits and this one brings no answer.
func (o *Owner) stale(js *jobState, rep platform.TaskReport) bool {
	switch {
	case js.row.State.Over():
		return true
	case js.task == nil:
		return rep.Task.Attempt < js.row.Attempt
	case js.task.worker != nil:
		return true
	default:
		return rep.State != platform.TaskFinished
	}
}

func (o *Owner) adoptTask(w *worker, rep platform.TaskReport, js *jobState) *task {
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
	if rep.State == platform.TaskThrottled {
		o.cell.Throttled(t.handle)
	}
	if js != nil {
		js.task, js.limbo = t, false
		o.running(t)
	}
	return t
}

// progress takes in news of a running task.
func (o *Owner) progress(t *task, rep platform.TaskReport) {
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
		o.cell.Saved(t.handle, o.now())
		o.persist(js)
	}
}

// over takes in the end of a task with a row.
func (o *Owner) over(t *task, rep platform.TaskReport) {
	js := t.job
	if rep.Checkpoint != "" {
		js.row.Checkpoint = rep.Checkpoint
	}
	switch {
	case rep.State == platform.TaskFinished:
		fault.At(fault.Finished)
		o.finished(t, rep)
	case js.cancelling:
		o.settle(js, job.Cancelled, func(*job.Job) {})
		o.drop(t)
	case rep.State == platform.TaskFailed:
		o.failed(t)
	case t.spec.Repeat == platform.RepeatNever:
		o.settle(js, job.Failed, func(j *job.Job) { j.Why = "the worker ended it: " + string(rep.State) })
		o.drop(t)
	default:
		js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
		js.row.Yields++
		o.again(t)
	}
}

// finished takes in a job's answer, if it is whole.
func (o *Owner) finished(t *task, rep platform.TaskReport) {
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
	if t.spec.Repeat == platform.RepeatNever || js.row.Failures > t.workload.Retries && !js.row.Service {
		o.settle(js, job.Failed, func(j *job.Job) { j.Why = "the task failed" })
		o.drop(t)
		return
	}
	js.acks = append(js.acks, ack{worker: t.worker.api, id: t.spec.ID, attempt: t.spec.Attempt})
	o.again(t)
}

// Cancel ends a job of an owned rack.
func (o *Owner) Cancel(id string) (job.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	js := o.jobs[id]
	if js == nil {
		return job.Job{}, kind.New(kind.NotFound, "the job is not here")
	}
	if js.row.State.Over() {
		return js.row, nil
	}
	js.cancelling = true
	t := js.task
	switch {
	case t == nil && js.row.State == job.Queued && !js.limbo:
		o.settle(js, job.Cancelled, func(*job.Job) {})
	case t != nil && t.worker == nil:
		o.settle(js, job.Cancelled, func(*job.Job) {})
		o.drop(t)
	case t != nil && t.worker != nil && t.sent:
		go o.act(t, t.worker, platform.ActStop)
	}
	return js.row, nil
}

// act throttles, resumes, saves or stops a task at its worker.
func (o *Owner) act(t *task, w *worker, a platform.Action) {
	for range actTries {
		o.mu.Lock()
		api, cmd, id, attempt := w.api, o.command(w), t.spec.ID, t.spec.Attempt
		gone := o.byRef[t.ref] != t
		o.mu.Unlock()
		if gone {
			return
		}
		rep, err := api.Act(w.rack.ctx, cmd, id, attempt, a)
		if err == nil {
			o.acted(t, w, a, rep)
			return
		}
		select {
		case <-time.After(attachFirst):
		case <-w.rack.ctx.Done():
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.stopped = false
	o.cell.Refused(t.handle)
	o.suspect(w)
}

func (o *Owner) acted(t *task, w *worker, a platform.Action, rep platform.TaskReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRef[t.ref] != t {
		return
	}
	if rep.State == platform.TaskThrottled && a == platform.ActThrottle {
		o.cell.Throttled(t.handle)
	}
	o.report(w, rep)
	o.step()
}

// persist has the row of a job written. The lock is held.
func (o *Owner) persist(js *jobState) {
	js.dirty = true
	if js.saving || js.rack.row == 0 {
		return
	}
	js.saving = true
	go o.save(js)
}

// save writes the row of a job until the table has its latest state.
func (o *Owner) save(js *jobState) {
	for {
		o.mu.Lock()
		if !js.dirty || js.rack.ctx.Err() != nil || js.rack.row == 0 {
			js.saving = false
			o.mu.Unlock()
			return
		}
		js.dirty = false
		row, checks, acks := js.row, o.checks(js), js.acks
		js.acks = nil
		ctx := js.rack.ctx
		o.mu.Unlock()
		o.saveOnce(ctx, js, row, checks, acks)
	}
}

func (o *Owner) saveOnce(ctx context.Context, js *jobState, row job.Job, checks []platform.Check, acks []ack) {
	row, err := o.outsource(ctx, row)
	var version uint64
	if err == nil {
		version, err = o.Journal.Commit(ctx, journal.Change{Checks: checks, Puts: puts(row)})
	}
	if err != nil {
		o.saveFailed(ctx, js, acks, err)
		return
	}
	o.mu.Lock()
	js.version = version
	if js.row.State.Over() && !js.dirty {
		delete(o.jobs, js.row.ID)
	}
	o.mu.Unlock()
	for _, a := range acks {
		o.acknowledge(a)
	}
}

func (o *Owner) saveFailed(ctx context.Context, js *jobState, acks []ack, err error) {
	o.mu.Lock()
	js.dirty = true
	js.acks = append(acks, js.acks...)
	o.conflict(js, err)
	o.mu.Unlock()
	select {
	case <-time.After(attachMost):
	case <-ctx.Done():
	}
}

// conflict learns from a conflict: the version of the job's row when only that
// changed, or that the rack may be another's. The lock is held.
func (o *Owner) conflict(js *jobState, err error) {
	var c *journal.Conflict
	if !errors.As(err, &c) {
		return
	}
	for _, r := range c.Rows {
		if r.Key != job.RowKey(js.row.ID) {
			o.Lost()
			continue
		}
		if j, err := job.Decode(r.Value); err == nil && r.Version > 0 && j.Rack != js.rack.name {
			o.moved(js)
			return
		}
		js.version = r.Version
	}
}

// outsource puts a large answer into the object store.
func (o *Owner) outsource(ctx context.Context, row job.Job) (job.Job, error) {
	if row.Answer == nil || len(row.Answer.Body) <= maxInline || row.AnswerObject != "" {
		return row, nil
	}
	key := "answer/" + row.ID
	if err := o.Objects.PutObject(ctx, key, row.Answer.Body); err != nil {
		return row, err
	}
	small := *row.Answer
	small.Body = nil
	row.Answer, row.AnswerObject = &small, key
	return row, nil
}

func (o *Owner) acknowledge(a ack) {
	ctx, cancel := context.WithTimeout(o.base, submitTime)
	defer cancel()
	if err := a.worker.Ack(ctx, a.id, a.attempt); err != nil {
		level.Debug(o.Log).Log("msg", "not acknowledged", "task", a.id, "err", err)
	}
}

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
// cancelled or moved while nobody could tell the worker.
func (o *Owner) stopStrays(r *rack) {
	for _, t := range o.byRef {
		if t.rack == r && t.worker != nil && t.job == nil && hasRow(t.spec) && !t.stopped {
			t.stopped = true
			go o.act(t, t.worker, platform.ActStop)
		}
	}
}

func (o *Owner) loadPage(r *rack, index []platform.Row) error {
	keys := make([]string, len(index))
	for i, row := range index {
		keys[i] = job.RowKey(job.IndexedID(r.name, row.Key))
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
		if err != nil || row.Version == 0 || o.jobs[j.ID] != nil {
			continue
		}
		o.takeIn(newJobState(j, row.Version, r))
	}
	return nil
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
	case js.row.Repeat == platform.RepeatNever && js.row.State != job.Queued:
		o.releaseOnce(js)
	case js.row.Repeat == platform.RepeatNever || o.nobodyRuns(js):
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
		if time.Since(js.rack.since) > stopped {
			return true
		}
	}
	if o.othersStopped(js.rack, time.Now()) {
		return true
	}
	for name, worker := range js.rack.workers {
		if !worker.attached && !c.Lost[o.Hall+"/"+name] {
			return false
		}
	}
	return true
}
