// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/platform"
	"dewpass.org/sched"
)

// controlShare is the part of a task lease, as one in this many, that the
// owner's sole control lasts.
const controlShare = 3

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
	// SaveMS makes the task save a checkpoint so often; 0 is never.
	SaveMS int64 `json:"save_ms"`
}

// Body is the answer of the stand-in worker.
type Body struct {
	Task string `json:"task"`
	Shop string `json:"shop"`
	// Sum is the digest of the payload.
	Sum string `json:"sum"`
}

// forever is longer than any test.
const forever = 24 * time.Hour

type run struct {
	task    platform.Task
	payload Payload
	state   platform.TaskState
	given   sched.Vec
	answer  *platform.Answer
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

func (w *Worker) instance() platform.Instance {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return platform.Instance{
		ID: w.id, Role: platform.RoleWorker, Hall: w.hall, Rack: w.rack,
		Addr: w.addr, Leaving: w.leaving,
	}
}

// Handler serves the worker's protocol.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/attach", w.attach)
	r.HandleFunc("/v1/start", w.start)
	r.HandleFunc("/v1/join", w.join)
	r.HandleFunc("/v1/watch", w.watch)
	r.HandleFunc("/v1/act", w.act)
	r.HandleFunc("/v1/ack", w.ack)
	alive := http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		w.stateMu.Lock()
		crashed := w.crashed
		w.stateMu.Unlock()
		if crashed {
			abort()
		}
		r.ServeHTTP(rw, req)
	})
	return w.wrap(alive)
}

// Crash ends the worker and all that it runs. It answers nothing until
// Restart.
func (w *Worker) Crash() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.crashed = true
	for id, t := range w.tasks {
		w.end(t, platform.TaskFailed, "crash")
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
		if !t.state.Over() {
			w.end(t, platform.TaskStopped, "lapsed")
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
	w.leaseUntil = now.Add(length)
	w.controlUntil = now.Add(length / controlShare)
	time.AfterFunc(length+time.Millisecond, w.expire)
}

func (w *Worker) name() string { return w.id + "/" + strconv.Itoa(w.incarnation) }

// fence refuses commands of a lower epoch and for another incarnation.
func (w *Worker) fence(c platform.Command) error {
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
	return kind.Wrap(kind.Fenced, &platform.HigherEpoch{Epoch: w.epoch}, detail)
}

func (w *Worker) attach(rw http.ResponseWriter, r *http.Request) {
	var c platform.Command
	if !readJSON(rw, r, &c) {
		return
	}
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if err := w.admit(c); err != nil {
		refuse(rw, err)
		return
	}
	w.epoch, w.owner = c.Epoch, c.Owner
	writeJSON(rw, platform.AttachReply{
		Worker: w.id, Incarnation: w.name(), Capacity: w.capacity,
		Leaving: w.leaving, Seq: w.seq, Tasks: w.reports(),
	})
}

// admit decides on a new owner. One that comes without a newer table epoch
// must wait until the control of the last one has lapsed.
func (w *Worker) admit(c platform.Command) error {
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
func (w *Worker) reports() []platform.TaskReport {
	out := []platform.TaskReport{}
	for _, t := range w.tasks {
		t.answered = false
		out = append(out, w.report(t))
	}
	return out
}

func (w *Worker) report(t *run) platform.TaskReport {
	ran := t.ran
	if t.state == platform.TaskRunning {
		ran += time.Since(t.began)
	}
	return platform.TaskReport{
		Task: t.task, State: t.state, Answer: t.answer,
		Checkpoint: t.saved, RanMS: ran.Milliseconds(),
	}
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var req platform.StartRequest
	if !readJSON(rw, r, &req) {
		return
	}
	t, err := w.accept(&req)
	if err != nil {
		refuse(rw, err)
		return
	}
	w.answer(rw, r, t)
}

// answer sends the report of a task, for a call once it is over.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, t *run) {
	if t.task.Call {
		select {
		case <-t.done:
		case <-r.Context().Done():
			w.unheard(t)
			return
		}
	}
	w.reply(rw, t)
}

// unheard has a watch tell of the end of a call whose caller hung up.
func (w *Worker) unheard(t *run) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	t.answered = false
	if t.state.Over() {
		t.seq = w.touch()
	}
}

func (w *Worker) join(rw http.ResponseWriter, r *http.Request) {
	var req platform.JoinRequest
	if !readJSON(rw, r, &req) {
		return
	}
	t, err := w.find(&req)
	if err != nil {
		refuse(rw, err)
		return
	}
	w.answer(rw, r, t)
}

func (w *Worker) find(req *platform.JoinRequest) (*run, error) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if err := w.fence(req.Command); err != nil {
		return nil, err
	}
	t := w.tasks[req.ID]
	if t == nil || t.task.Attempt != req.Attempt {
		return nil, kind.New(kind.NotFound, req.ID)
	}
	return t, nil
}

// reply sends the report of a task, cut or crossed if the switches say so.
func (w *Worker) reply(rw http.ResponseWriter, t *run) {
	p := w.next()
	w.stateMu.Lock()
	crashed := w.crashed
	rep := w.report(t)
	w.stateMu.Unlock()
	if crashed {
		abort()
	}
	if rep.Answer != nil && (p.cut || p.cross) {
		bad := *rep.Answer
		if p.cut {
			bad.Body = json.RawMessage(`{"cut":true}`)
		}
		if p.cross {
			bad.ID = "crossed-" + bad.ID
		}
		rep.Answer = &bad
	}
	writeJSON(rw, rep)
}

func (w *Worker) accept(req *platform.StartRequest) (*run, error) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if err := w.fence(req.Command); err != nil {
		return nil, err
	}
	t := w.tasks[req.Task.ID]
	if t != nil && (!t.state.Over() || t.task.Attempt >= req.Task.Attempt) {
		return nil, kind.New(kind.Conflict, "an attempt is here already")
	}
	if w.leaving {
		return nil, kind.New(kind.Leaving, w.id)
	}
	return w.launch(req), nil
}

func (w *Worker) launch(req *platform.StartRequest) *run {
	t := &run{task: req.Task, state: platform.TaskRunning, given: req.Task.Demand, done: make(chan struct{})}
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
	if time.Now().Add(length).After(w.leaseUntil) {
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
		if t.state.Over() {
			return
		}
		w.save(t)
		t.seq = w.touch()
		w.autosave(t)
	})
}

func (w *Worker) save(t *run) {
	ran := t.ran
	if t.state == platform.TaskRunning {
		ran += time.Since(t.began)
	}
	t.saved = "checkpoint/" + t.task.ID + "/" + strconv.Itoa(int(t.task.Attempt))
	w.objects.Put(t.saved, strconv.AppendInt(nil, ran.Milliseconds(), 10))
}

func (w *Worker) finish(t *run) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if t.state.Over() || w.crashed {
		return
	}
	if t.payload.Fail {
		w.end(t, platform.TaskFailed, "failed")
		return
	}
	body, _ := json.Marshal(Body{Task: t.task.ID, Shop: t.task.Shop, Sum: platform.Digest(t.task.Payload)})
	t.answer = &platform.Answer{
		ID: t.task.ID, Attempt: t.task.Attempt,
		Length: len(body), Digest: platform.Digest(body), Body: body,
	}
	w.end(t, platform.TaskFinished, string(platform.TaskFinished))
	if t.task.Call && t.task.Repeat != platform.RepeatNever {
		// Its answer goes out on the connection; nobody will ask for it again.
		time.AfterFunc(time.Second, func() { w.forget(t.task.ID, t.task.Attempt) })
	}
}

// end takes a task out of what runs. The lock is held.
func (w *Worker) end(t *run, state platform.TaskState, what string) {
	if t.state.Over() {
		return
	}
	if t.state == platform.TaskRunning {
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

func (w *Worker) watch(rw http.ResponseWriter, r *http.Request) {
	var req platform.WatchRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.stateMu.Lock()
	w.lapse(time.Now())
	if err := w.fence(req.Command); err != nil {
		w.stateMu.Unlock()
		refuse(rw, err)
		return
	}
	w.renew(time.Duration(req.LeaseMS) * time.Millisecond)
	deadline := time.NewTimer(time.Duration(req.HoldMS) * time.Millisecond)
	defer deadline.Stop()
	for w.seq <= req.Seq {
		changed := w.changed
		w.stateMu.Unlock()
		select {
		case <-changed:
			w.stateMu.Lock()
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		w.stateMu.Lock()
		break
	}
	rep := platform.WatchReply{Seq: w.seq, Leaving: w.leaving}
	if w.seq > req.Seq {
		rep.Tasks = w.changes(req.Seq)
	}
	w.stateMu.Unlock()
	writeJSON(rw, rep)
}

func (w *Worker) changes(after uint64) []platform.TaskReport {
	var out []platform.TaskReport
	for _, t := range w.tasks {
		if t.seq > after {
			out = append(out, w.report(t))
		}
	}
	return out
}

func (w *Worker) act(rw http.ResponseWriter, r *http.Request) {
	var req platform.ActRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.lapse(time.Now())
	if err := w.fence(req.Command); err != nil {
		refuse(rw, err)
		return
	}
	t := w.tasks[req.ID]
	if t == nil || t.task.Attempt != req.Attempt {
		refuse(rw, kind.New(kind.NotFound, req.ID))
		return
	}
	if !t.state.Over() {
		w.carryOut(t, req.Action)
	}
	writeJSON(rw, w.report(t))
}

func (w *Worker) carryOut(t *run, a platform.Action) {
	switch a {
	case platform.ActThrottle:
		w.throttle(t)
	case platform.ActResume:
		w.resume(t)
	case platform.ActCheckpoint:
		w.save(t)
		w.end(t, platform.TaskCheckpointed, "checkpointed")
	case platform.ActStop:
		w.end(t, platform.TaskStopped, "stopped")
	}
}

func (w *Worker) throttle(t *run) {
	if t.state != platform.TaskRunning {
		return
	}
	t.ran += time.Since(t.began)
	t.state = platform.TaskThrottled
	t.timer.Stop()
	left := time.Duration(t.payload.MS)*time.Millisecond - t.ran
	t.timer = time.AfterFunc(left*throttledShare, func() { w.finish(t) })
	less := sched.Vec{sched.Milli: t.given[sched.Milli] - t.given[sched.Milli]/throttledShare}
	w.regive(t, sched.Vec{}.Sub(less))
}

func (w *Worker) resume(t *run) {
	if t.state != platform.TaskThrottled {
		return
	}
	t.state = platform.TaskRunning
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

func (w *Worker) ack(rw http.ResponseWriter, r *http.Request) {
	var req platform.AckRequest
	if readJSON(rw, r, &req) {
		w.forget(req.ID, req.Attempt)
	}
}

// forget drops a task that is over.
func (w *Worker) forget(id string, attempt uint32) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	t := w.tasks[id]
	if t != nil && t.task.Attempt == attempt && t.state.Over() {
		delete(w.tasks, id)
	}
}
