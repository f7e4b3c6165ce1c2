// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

// controlShare is the part of a task lease, as one in this many, that the
// owner's sole control lasts.
const controlShare = 2

// throttledShare is the part of its processors that a throttled task keeps, as
// one in this many.
const throttledShare = 4

// Payload is what the stand-in worker understands of a task's payload.
type Payload struct {
	// MS is how long the task runs.
	MS int64 `json:"ms"`
	// Tag is the caller's own name for the request, for the record.
	Tag string `json:"tag"`
	// Service makes the task run until it is stopped.
	Service bool `json:"service"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
	// Bytes is the size of filler in the answer.
	Bytes int `json:"bytes"`
	// SaveMS makes the task save a checkpoint so often; 0 is never.
	SaveMS int64 `json:"save_ms"`
}

// Body is the answer of the stand-in worker.
type Body struct {
	Task string `json:"task"`
	Shop string `json:"shop"`
	// Sum is the digest of the payload.
	Sum string `json:"sum"`
	// Filler makes the answer as large as the payload asks for.
	Filler string `json:"filler,omitempty"`
}

// Filler returns the n bytes of filler in the answer of a task.
func Filler(id string, n int) string {
	if n == 0 {
		return ""
	}
	return strings.Repeat(id, n/len(id)+1)[:n]
}

// forever is longer than any test.
const forever = 24 * time.Hour

type run struct {
	task    ports.Task
	payload Payload
	state   ports.TaskState
	given   sched.Vec
	answer  *ports.Answer
	saved   string
	seq     uint64
	timer   *time.Timer
	saver   *time.Timer
	began   time.Time
	ran     time.Duration
	// answered says that the end of a call goes out on the connection that
	// started it, so that a watch need not tell of it.
	answered bool
	done     chan struct{}
}

// Worker is the stand-in of one worker.
type Worker struct {
	switches
	id, hall, rack string
	addr           string
	capacity       sched.Vec
	record         *Record
	objects        *Objects

	stateMu      sync.Mutex
	crashed      bool
	leaving      bool
	leavingSince time.Time
	incarnation  int
	epoch        lease.Epoch
	owner        string
	controlUntil time.Time
	leaseUntil   time.Time
	seq          uint64
	changed      chan struct{}
	tasks        map[string]*run
	given        sched.Vec
}

// NewWorker returns a worker that writes its book into p and is listed there
// once p.AddWorker was called.
func NewWorker(p *Platform, id, hall, rack, addr string, capacity sched.Vec) *Worker {
	p.Record.addCapacity(capacity)
	return &Worker{
		id: id, hall: hall, rack: rack, addr: addr,
		capacity:    capacity,
		record:      p.Record,
		objects:     p.Objects,
		incarnation: 1,
		changed:     make(chan struct{}),
		tasks:       make(map[string]*run),
	}
}

func (w *Worker) instance() ports.Instance {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return ports.Instance{
		ID: w.id, Role: ports.RoleWorker, Hall: w.hall, Rack: w.rack,
		Addr: w.addr, Leaving: w.leaving,
	}
}

// Crash ends the worker and all that it runs. It answers nothing until
// Restart.
func (w *Worker) Crash() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.crashed = true
	for id, t := range w.tasks {
		w.end(t, ports.TaskFailed, "crash")
		delete(w.tasks, id)
	}
}

// Restart brings the worker back under the same name, with nothing running.
func (w *Worker) Restart() {
	w.Crash()
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.crashed = false
	w.incarnation++
	w.epoch = lease.Epoch{}
	w.owner = ""
	w.controlUntil = time.Time{}
	w.leaseUntil = time.Time{}
}

// Leave says whether the worker is leaving.
func (w *Worker) Leave(leaving bool) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.leaving = leaving
	w.leavingSince = time.Time{}
	if leaving {
		w.leavingSince = time.Now()
	}
	w.touch()
}

// touch wakes those who watch.
func (w *Worker) touch() uint64 {
	w.seq++
	close(w.changed)
	w.changed = make(chan struct{})
	return w.seq
}

// lapse stops what runs on a lease that is over. It comes first in every
// command, so that a command that lay in a buffer while this process was
// paused cannot renew what has lapsed.
func (w *Worker) lapse(now time.Time) {
	if w.leaseUntil.IsZero() || now.Before(w.leaseUntil) {
		return
	}
	for _, t := range w.tasks {
		if !t.state.Ended() {
			w.end(t, ports.TaskStopped, "lapsed")
		}
	}
}

// expire stops the tasks when their lease ends with nobody asking.
func (w *Worker) expire() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
}

func (w *Worker) renew(length time.Duration) {
	now := time.Now()
	length = w.lasting(length)
	w.leaseUntil = now.Add(length)
	w.controlUntil = now.Add(length / controlShare)
	time.AfterFunc(length+time.Millisecond, w.expire)
}

// Owner returns the name of the owner that attached last, "" after a restart.
func (w *Worker) Owner() string {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return w.owner
}

func (w *Worker) name() string { return w.id + "/" + strconv.Itoa(w.incarnation) }

// fence refuses commands of a lower epoch and for another incarnation.
func (w *Worker) fence(c ports.Command) error {
	if c.Incarnation != w.name() {
		return kind.New(kind.Fenced, "incarnation is "+w.name())
	}
	if c.Epoch != w.epoch || c.Owner != w.owner {
		return w.fenced("the rack is owned by " + w.owner)
	}
	return nil
}

// fenced is the refusal of a command, with the epoch that is held.
func (w *Worker) fenced(detail string) error {
	return kind.Wrap(kind.Fenced, &ports.HigherEpoch{Epoch: w.epoch}, detail)
}

// admit decides on a new owner. One that comes without a newer table epoch
// must wait until the control of the last one has lapsed.
func (w *Worker) admit(c ports.Command) error {
	if !w.epoch.Less(c.Epoch) {
		return w.fenced("the epoch is not above that of " + w.owner)
	}
	held := c.Owner != w.owner && time.Now().Before(w.controlUntil)
	if c.Epoch.Table == w.epoch.Table && held {
		return w.fenced("control is held by " + w.owner)
	}
	return nil
}

// reports tells an owner that attaches of every task.
func (w *Worker) reports() []ports.TaskReport {
	out := []ports.TaskReport{}
	for _, t := range w.tasks {
		t.answered = false
		out = append(out, w.report(t))
	}
	return out
}

func (w *Worker) report(t *run) ports.TaskReport {
	ran := t.ran
	if t.state == ports.TaskRunning {
		ran += time.Since(t.began)
	}
	return ports.TaskReport{
		Task: t.task, State: t.state, Answer: t.answer,
		Checkpoint: t.saved, RanMS: ran.Milliseconds(),
	}
}

func (w *Worker) accept(req *ports.StartRequest) (*run, error) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if err := w.fence(req.Command); err != nil {
		return nil, err
	}
	t := w.tasks[req.Task.ID]
	if t != nil && (!t.state.Ended() || t.task.Attempt >= req.Task.Attempt) {
		return nil, kind.New(kind.Conflict, "an attempt is here already")
	}
	if w.leaving {
		return nil, kind.New(kind.Leaving, w.id)
	}
	return w.launch(req), nil
}

func (w *Worker) launch(req *ports.StartRequest) *run {
	t := &run{task: req.Task, state: ports.TaskRunning, given: req.Task.Demand, done: make(chan struct{})}
	_ = json.Unmarshal(req.Task.Payload, &t.payload)
	w.given = w.given.Add(t.given)
	over := !w.capacity.Covers(&w.given)
	w.record.start(w.id, &t.task, t.payload.Tag, over, w.leavingSince)
	w.tasks[t.task.ID] = t
	t.answered = t.task.Call
	w.renewAtLeast(time.Duration(req.LeaseMS) * time.Millisecond)
	t.began = time.Now()
	t.timer = time.AfterFunc(w.remaining(t), func() { w.finish(t) })
	w.autosave(t)
	return t
}

// renewAtLeast gives the first task of an idle worker its lease.
func (w *Worker) renewAtLeast(length time.Duration) {
	if time.Now().Add(w.lasting(length)).After(w.leaseUntil) {
		w.renew(length)
	}
}

// remaining is how long t still has to run, counted from its checkpoint.
func (w *Worker) remaining(t *run) time.Duration {
	if t.ran == 0 && t.task.Checkpoint != "" {
		var done int64
		_ = json.Unmarshal(w.objects.Get(t.task.Checkpoint), &done)
		t.ran = time.Duration(done) * time.Millisecond
		t.saved = t.task.Checkpoint
	}
	if t.payload.Service {
		return forever
	}
	return max(0, time.Duration(t.payload.MS)*time.Millisecond-t.ran)
}

func (w *Worker) autosave(t *run) {
	if t.payload.SaveMS == 0 {
		return
	}
	t.saver = time.AfterFunc(time.Duration(t.payload.SaveMS)*time.Millisecond, func() {
		w.stateMu.Lock()
		defer w.stateMu.Unlock()
		if t.state.Ended() {
			return
		}
		w.save(t)
		t.seq = w.touch()
		w.autosave(t)
	})
}

func (w *Worker) save(t *run) {
	ran := t.ran
	if t.state == ports.TaskRunning {
		ran += time.Since(t.began)
	}
	t.saved = "checkpoint/" + t.task.ID + "/" + strconv.Itoa(int(t.task.Attempt))
	w.objects.Put(t.saved, strconv.AppendInt(nil, ran.Milliseconds(), 10))
}

func (w *Worker) finish(t *run) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if t.state.Ended() || w.crashed {
		return
	}
	if t.payload.Fail {
		w.end(t, ports.TaskFailed, "failed")
		return
	}
	body, _ := json.Marshal(Body{Task: t.task.ID, Shop: t.task.Shop, Sum: ports.Digest(t.task.Payload), Filler: Filler(t.task.ID, t.payload.Bytes)})
	t.answer = &ports.Answer{
		ID: t.task.ID, Attempt: t.task.Attempt,
		Length: len(body), Digest: ports.Digest(body), Body: body,
	}
	w.end(t, ports.TaskFinished, string(ports.TaskFinished))
	if t.task.Call && t.task.Repeat != ports.RepeatNever {
		// Its answer goes out on the connection; nobody will ask for it again.
		time.AfterFunc(time.Second, func() { w.forget(t.task.ID, t.task.Attempt) })
	}
}

// end takes a task out of what runs. The lock is held.
func (w *Worker) end(t *run, state ports.TaskState, what string) {
	if t.state.Ended() {
		return
	}
	if t.state == ports.TaskRunning {
		t.ran += time.Since(t.began)
	}
	t.state = state
	t.timer.Stop()
	if t.saver != nil {
		t.saver.Stop()
	}
	w.given = w.given.Sub(t.given)
	w.record.end(w.id, what, &t.task, t.given)
	if !t.answered {
		t.seq = w.touch()
	}
	close(t.done)
}

func (w *Worker) carryOut(t *run, a ports.Action) {
	switch a {
	case ports.ActThrottle:
		w.throttle(t)
	case ports.ActResume:
		w.resume(t)
	case ports.ActCheckpoint:
		w.save(t)
		w.end(t, ports.TaskCheckpointed, "checkpointed")
	case ports.ActStop:
		w.end(t, ports.TaskStopped, "stopped")
	}
}

func (w *Worker) throttle(t *run) {
	if t.state != ports.TaskRunning {
		return
	}
	t.ran += time.Since(t.began)
	t.state = ports.TaskThrottled
	t.timer.Stop()
	left := time.Duration(t.payload.MS)*time.Millisecond - t.ran
	t.timer = time.AfterFunc(left*throttledShare, func() { w.finish(t) })
	less := sched.Vec{sched.MilliCPU: t.given[sched.MilliCPU] - t.given[sched.MilliCPU]/throttledShare}
	w.regive(t, sched.Vec{}.Sub(less))
}

func (w *Worker) resume(t *run) {
	if t.state != ports.TaskThrottled {
		return
	}
	t.state = ports.TaskRunning
	t.began = time.Now()
	t.timer.Stop()
	t.timer = time.AfterFunc(w.remaining(t), func() { w.finish(t) })
	w.regive(t, t.task.Demand.Sub(t.given))
	if !w.capacity.Covers(&w.given) {
		w.record.over(w.id, &t.task)
	}
}

func (w *Worker) regive(t *run, delta sched.Vec) {
	t.given = t.given.Add(delta)
	w.given = w.given.Add(delta)
	w.record.adjust(delta)
	t.seq = w.touch()
}

// forget drops a task that is over.
func (w *Worker) forget(id string, attempt uint32) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	t := w.tasks[id]
	if t != nil && t.task.Attempt == attempt && t.state.Ended() {
		delete(w.tasks, id)
	}
}
