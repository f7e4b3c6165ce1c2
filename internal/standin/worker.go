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

// controlDivisor divides the task lease: for that part of it, no other owner may
// attach without a newer table epoch.
const controlDivisor = 2

// throttleDivisor divides the processors of a task to give what it keeps while it
// is throttled.
const throttleDivisor = 4

// Payload is the payload of a task, which tells the worker how the task behaves.
type Payload struct {
	// MS is how long the task runs.
	MS int64 `json:"ms"`
	// Tag is the caller's own name for the request, for the record.
	Tag string `json:"tag"`
	// Service makes the task run until it is stopped.
	Service bool `json:"service"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
	// Bytes is the size of the filler in the answer.
	Bytes int `json:"bytes"`
	// SaveMS is the interval at which the task saves a checkpoint; 0 means never.
	SaveMS int64 `json:"save_ms"`
}

// Body is the answer of a task.
type Body struct {
	Task    string `json:"task"`
	Account string `json:"shop"`
	// Sum is the digest of the payload.
	Sum string `json:"sum"`
	// Filler brings the answer to the size that the payload asks for.
	Filler string `json:"filler,omitempty"`
}

// Filler returns the n bytes of filler in the answer of a task.
func Filler(id string, n int) string {
	if n == 0 {
		return ""
	}
	return strings.Repeat(id, n/len(id)+1)[:n]
}

// serviceLength is the length of a task that runs until it is stopped; no test lasts
// as long.
const serviceLength = 24 * time.Hour

type run struct {
	task       ports.Task
	payload    Payload
	state      ports.TaskState
	held       sched.Vec
	answer     *ports.Answer
	checkpoint string
	seq        uint64
	timer      *time.Timer
	saveTimer  *time.Timer
	started    time.Time
	ran        time.Duration
	// endInResponse is true if the end of a call is reported in the response to its
	// start or join, so that a watch need not report it.
	endInResponse bool
	done          chan struct{}
}

// Worker is the test double of a worker.
type Worker struct {
	faultInjector
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
	inUse        sched.Vec
}

// NewWorker returns a worker that records its events in p. It is listed there
// only after p.AddWorker.
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

// Crash ends the worker and all its tasks. It does not respond until Restart.
func (w *Worker) Crash() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.crashed = true
	for id, t := range w.tasks {
		w.end(t, ports.TaskFailed, "crash")
		delete(w.tasks, id)
	}
}

// Restart restarts the worker under the same id as a new incarnation, without
// tasks.
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

// Leave sets whether the worker is leaving.
func (w *Worker) Leave(leaving bool) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.leaving = leaving
	w.leavingSince = time.Time{}
	if leaving {
		w.leavingSince = time.Now()
	}
	w.notifyWatches()
}

// notifyWatches counts a change and wakes all watches. The lock must be held.
func (w *Worker) notifyWatches() uint64 {
	w.seq++
	close(w.changed)
	w.changed = make(chan struct{})
	return w.seq
}

// stopIfLeaseEnded stops all tasks if their lease has ended. Every command calls it first,
// so that a command that was buffered while this process was paused cannot renew
// a lease that has lapsed.
func (w *Worker) stopIfLeaseEnded(now time.Time) {
	if w.leaseUntil.IsZero() || now.Before(w.leaseUntil) {
		return
	}
	for _, t := range w.tasks {
		if !t.state.Ended() {
			w.end(t, ports.TaskStopped, "lapsed")
		}
	}
}

// onLeaseTimer stops the tasks whose lease ends without a command in between.
func (w *Worker) onLeaseTimer() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.stopIfLeaseEnded(time.Now())
}

func (w *Worker) renew(length time.Duration) {
	now := time.Now()
	length = w.onMachineClock(length)
	w.leaseUntil = now.Add(length)
	w.controlUntil = now.Add(length / controlDivisor)
	time.AfterFunc(length+time.Millisecond, w.onLeaseTimer)
}

// Owner returns the owner that attached last, "" after a restart.
func (w *Worker) Owner() string {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return w.owner
}

func (w *Worker) incarnationName() string { return w.id + "/" + strconv.Itoa(w.incarnation) }

// checkOwner refuses commands that are not from the owner that attached last, or that
// are for another incarnation.
func (w *Worker) checkOwner(c ports.Command) error {
	if c.Incarnation != w.incarnationName() {
		return kind.New(kind.Fenced, "incarnation is "+w.incarnationName())
	}
	if c.Epoch != w.epoch || c.Owner != w.owner {
		return w.fencedError("the rack is owned by " + w.owner)
	}
	return nil
}

// fencedError returns the error that refuses a command, with the epoch of the owner.
func (w *Worker) fencedError(detail string) error {
	return kind.Wrap(kind.Fenced, &ports.HigherEpoch{Epoch: w.epoch}, detail)
}

// checkAttach decides whether a new owner may attach. One without a newer table epoch
// has to wait until the control of the present owner has ended.
func (w *Worker) checkAttach(c ports.Command) error {
	if !w.epoch.Less(c.Epoch) {
		return w.fencedError("the epoch is not above that of " + w.owner)
	}
	held := c.Owner != w.owner && time.Now().Before(w.controlUntil)
	if c.Epoch.Table == w.epoch.Table && held {
		return w.fencedError("control is held by " + w.owner)
	}
	return nil
}

// reports returns the reports of all tasks, for an owner that attaches. From then
// on it learns of the ends of calls by its watch.
func (w *Worker) reports() []ports.TaskReport {
	out := []ports.TaskReport{}
	for _, t := range w.tasks {
		t.endInResponse = false
		out = append(out, w.report(t))
	}
	return out
}

func (w *Worker) report(t *run) ports.TaskReport {
	ran := t.ran
	if t.state == ports.TaskRunning {
		ran += time.Since(t.started)
	}
	return ports.TaskReport{
		Task: t.task, State: t.state, Answer: t.answer,
		Checkpoint: t.checkpoint, RanMS: ran.Milliseconds(),
	}
}

func (w *Worker) accept(req *ports.StartRequest) (*run, error) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.stopIfLeaseEnded(time.Now())
	if err := w.checkOwner(req.Command); err != nil {
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
	t := &run{task: req.Task, state: ports.TaskRunning, held: req.Task.Demand, done: make(chan struct{})}
	_ = json.Unmarshal(req.Task.Payload, &t.payload)
	w.inUse = w.inUse.Add(t.held)
	over := !w.capacity.Covers(&w.inUse)
	w.record.start(w.id, &t.task, t.payload.Tag, over, w.leavingSince)
	w.tasks[t.task.ID] = t
	t.endInResponse = t.task.Call
	w.ensureLease(time.Duration(req.LeaseMS) * time.Millisecond)
	t.started = time.Now()
	t.timer = time.AfterFunc(w.remaining(t), func() { w.finish(t) })
	w.scheduleSave(t)
	return t
}

// ensureLease renews the lease unless it already lasts longer. A worker without
// tasks may have none.
func (w *Worker) ensureLease(length time.Duration) {
	if time.Now().Add(w.onMachineClock(length)).After(w.leaseUntil) {
		w.renew(length)
	}
}

// remaining returns how long t still has to run, counted from its checkpoint.
func (w *Worker) remaining(t *run) time.Duration {
	if t.ran == 0 && t.task.Checkpoint != "" {
		var done int64
		_ = json.Unmarshal(w.objects.Get(t.task.Checkpoint), &done)
		t.ran = time.Duration(done) * time.Millisecond
		t.checkpoint = t.task.Checkpoint
	}
	if t.payload.Service {
		return serviceLength
	}
	return max(0, time.Duration(t.payload.MS)*time.Millisecond-t.ran)
}

// scheduleSave saves checkpoints of t at the interval in its payload.
func (w *Worker) scheduleSave(t *run) {
	if t.payload.SaveMS == 0 {
		return
	}
	t.saveTimer = time.AfterFunc(time.Duration(t.payload.SaveMS)*time.Millisecond, func() {
		w.stateMu.Lock()
		defer w.stateMu.Unlock()
		if t.state.Ended() {
			return
		}
		w.save(t)
		t.seq = w.notifyWatches()
		w.scheduleSave(t)
	})
}

func (w *Worker) save(t *run) {
	ran := t.ran
	if t.state == ports.TaskRunning {
		ran += time.Since(t.started)
	}
	t.checkpoint = "checkpoint/" + t.task.ID + "/" + strconv.Itoa(int(t.task.Attempt))
	w.objects.Put(t.checkpoint, strconv.AppendInt(nil, ran.Milliseconds(), 10))
}

func (w *Worker) finish(t *run) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.stopIfLeaseEnded(time.Now())
	if t.state.Ended() || w.crashed {
		return
	}
	if t.payload.Fail {
		w.end(t, ports.TaskFailed, "failed")
		return
	}
	body, _ := json.Marshal(Body{Task: t.task.ID, Account: t.task.Account, Sum: ports.Digest(t.task.Payload), Filler: Filler(t.task.ID, t.payload.Bytes)})
	t.answer = &ports.Answer{
		ID: t.task.ID, Attempt: t.task.Attempt,
		Length: len(body), Digest: ports.Digest(body), Body: body,
	}
	w.end(t, ports.TaskFinished, string(ports.TaskFinished))
	if t.task.Call && t.task.Repeat != ports.RepeatNever {
		// Its answer is sent in the response to the start; nobody asks for it again.
		time.AfterFunc(time.Second, func() { w.forget(t.task.ID, t.task.Attempt) })
	}
}

// end ends a task in the given state. The lock must be held.
func (w *Worker) end(t *run, state ports.TaskState, what string) {
	if t.state.Ended() {
		return
	}
	if t.state == ports.TaskRunning {
		t.ran += time.Since(t.started)
	}
	t.state = state
	t.timer.Stop()
	if t.saveTimer != nil {
		t.saveTimer.Stop()
	}
	w.inUse = w.inUse.Sub(t.held)
	w.record.end(w.id, what, &t.task, t.held)
	if !t.endInResponse {
		t.seq = w.notifyWatches()
	}
	close(t.done)
}

func (w *Worker) perform(t *run, a ports.Action) {
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
	t.ran += time.Since(t.started)
	t.state = ports.TaskThrottled
	t.timer.Stop()
	left := time.Duration(t.payload.MS)*time.Millisecond - t.ran
	t.timer = time.AfterFunc(left*throttleDivisor, func() { w.finish(t) })
	freed := sched.Vec{sched.MilliCPU: t.held[sched.MilliCPU] - t.held[sched.MilliCPU]/throttleDivisor}
	w.changeHeld(t, sched.Vec{}.Sub(freed))
}

func (w *Worker) resume(t *run) {
	if t.state != ports.TaskThrottled {
		return
	}
	t.state = ports.TaskRunning
	t.started = time.Now()
	t.timer.Stop()
	t.timer = time.AfterFunc(w.remaining(t), func() { w.finish(t) })
	w.changeHeld(t, t.task.Demand.Sub(t.held))
	if !w.capacity.Covers(&w.inUse) {
		w.record.resumedBeyondCapacity(w.id, &t.task)
	}
}

// changeHeld changes the resources that a task holds.
func (w *Worker) changeHeld(t *run, delta sched.Vec) {
	t.held = t.held.Add(delta)
	w.inUse = w.inUse.Add(delta)
	w.record.adjust(delta)
	t.seq = w.notifyWatches()
}

// forget removes a task that is over.
func (w *Worker) forget(id string, attempt uint32) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	t := w.tasks[id]
	if t != nil && t.task.Attempt == attempt && t.state.Ended() {
		delete(w.tasks, id)
	}
}
