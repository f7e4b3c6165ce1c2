// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

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

func (w *Worker) attach(rw http.ResponseWriter, r *http.Request) {
	var c ports.Command
	if !readJSON(rw, r, &c) {
		return
	}
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.stopIfLeaseEnded(time.Now())
	if err := w.checkAttach(c); err != nil {
		refuse(rw, err)
		return
	}
	w.epoch, w.owner = c.Epoch, c.Owner
	writeJSON(rw, ports.AttachReply{
		Worker: w.id, Incarnation: w.incarnationName(), Capacity: w.capacity,
		Leaving: w.leaving, Seq: w.seq, Tasks: w.reports(),
	})
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var req ports.StartRequest
	if !readJSON(rw, r, &req) {
		return
	}
	t, err := w.accept(&req)
	if err != nil {
		refuse(rw, err)
		return
	}
	w.replyWhenOver(rw, r, t)
}

// replyWhenOver sends the report of a task; for a call it waits until the task is over.
func (w *Worker) replyWhenOver(rw http.ResponseWriter, r *http.Request, t *run) {
	if t.task.Call {
		select {
		case <-t.done:
		case <-r.Context().Done():
			w.reportByWatch(t)
			return
		}
	}
	w.reply(rw, t)
}

// reportByWatch has the watch report the end of a call, because the connection on which it
// was to be sent is closed.
func (w *Worker) reportByWatch(t *run) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	t.endInResponse = false
	if t.state.Ended() {
		t.seq = w.notifyWatches()
	}
}

func (w *Worker) join(rw http.ResponseWriter, r *http.Request) {
	var req ports.JoinRequest
	if !readJSON(rw, r, &req) {
		return
	}
	t, err := w.find(&req)
	if err != nil {
		refuse(rw, err)
		return
	}
	w.replyWhenOver(rw, r, t)
}

func (w *Worker) find(req *ports.JoinRequest) (*run, error) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.stopIfLeaseEnded(time.Now())
	if err := w.checkOwner(req.Command); err != nil {
		return nil, err
	}
	t := w.tasks[req.ID]
	if t == nil || t.task.Attempt != req.Attempt {
		return nil, kind.New(kind.NotFound, req.ID)
	}
	return t, nil
}

// reply sends the report of a task, with an answer that is truncated or has another
// task's id if such a fault is injected.
func (w *Worker) reply(rw http.ResponseWriter, t *run) {
	p := w.nextPlan()
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

func (w *Worker) watch(rw http.ResponseWriter, r *http.Request) {
	var req ports.WatchRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.stateMu.Lock()
	w.stopIfLeaseEnded(time.Now())
	if err := w.checkOwner(req.Command); err != nil {
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
	rep := ports.WatchReply{Seq: w.seq, Leaving: w.leaving}
	if w.seq > req.Seq {
		rep.Tasks = w.changes(req.Seq)
	}
	w.stateMu.Unlock()
	writeJSON(rw, rep)
}

// changes returns the reports of the tasks that changed after a sequence number.
func (w *Worker) changes(after uint64) []ports.TaskReport {
	var out []ports.TaskReport
	for _, t := range w.tasks {
		if t.seq > after {
			out = append(out, w.report(t))
		}
	}
	return out
}

func (w *Worker) act(rw http.ResponseWriter, r *http.Request) {
	var req ports.ActRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.stopIfLeaseEnded(time.Now())
	if err := w.checkOwner(req.Command); err != nil {
		refuse(rw, err)
		return
	}
	t := w.tasks[req.ID]
	if t == nil || t.task.Attempt != req.Attempt {
		refuse(rw, kind.New(kind.NotFound, req.ID))
		return
	}
	if !t.state.Ended() {
		w.perform(t, req.Action)
	}
	writeJSON(rw, w.report(t))
}

func (w *Worker) ack(rw http.ResponseWriter, r *http.Request) {
	var req ports.AckRequest
	if readJSON(rw, r, &req) {
		w.forget(req.ID, req.Attempt)
	}
}
