// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the workers, as SYSTEM.md gives them for Kartvela, and what PROTOCOL.md says
// of a worker's lists.
const (
	holdMax        = 10 * time.Second
	heartbeat      = 1500 * time.Millisecond
	finishedAtOnce = 500
	maxWait        = 2 * time.Second
	workerCPU      = 32000
	workerMem      = 65536
	saveInterval   = 500 * time.Millisecond
	workerTick     = 10 * time.Millisecond
	// silentBeats is how many heartbeats of silence remove a worker's entry.
	silentBeats = 3
)

// taskSpec is what the text of a job tells the workers: "ms=3000 fails lasts".
type taskSpec struct {
	length time.Duration
	fails  bool
	lasts  bool
}

func parseSpec(text string) taskSpec {
	var s taskSpec
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "ms":
			n, _ := strconv.Atoi(value)
			s.length = time.Duration(n) * time.Millisecond
		case "fails":
			s.fails = true
		case "lasts":
			s.lasts = true
		}
	}
	return s
}

// activeRun is a run on a worker.
type activeRun struct {
	*runRecord
	spec  taskSpec
	saved string
}

type finishedRun struct {
	number int
	run    *runRecord
	how    string
	saved  string
}

// worker is one life of a worker.
type worker struct {
	id, addr, zone, rack, kind, machine string

	bed     *bed
	started time.Time
	server  *http.Server

	mu       sync.Mutex
	up       bool
	fence    uint64
	runs     map[string]*activeRun
	highest  map[string]int
	finished []finishedRun
	lastEnd  int
	observed int
	lease    time.Time
	changed  chan struct{}
	seq      int
	cut      bool
	stop     chan struct{}
}

// clock returns the worker's steady clock.
func (w *worker) clock() int64 { return 1000 + time.Since(w.started).Milliseconds() }

func (w *worker) timeOf(clock int64) time.Time {
	return w.started.Add(time.Duration(clock-1000) * time.Millisecond)
}

// startWorker starts a life of a worker at an address.
func (b *bed) startWorker(addr, zone, rack, kind, machine string) (*worker, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.lives++
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+b.lives), addr: addr, zone: zone, rack: rack, kind: kind, machine: machine,
		bed: b, started: time.Now(), up: true, runs: make(map[string]*activeRun), highest: make(map[string]int),
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
	b.workers = append(b.workers, w)
	b.mu.Unlock()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.run()
	w.beat()
	return w, nil
}

// run advances the worker until its life ends.
func (w *worker) run() {
	tick, beat := time.NewTicker(workerTick), time.NewTicker(heartbeat)
	defer tick.Stop()
	defer beat.Stop()
	for {
		select {
		case <-tick.C:
			w.advance(time.Now())
		case <-beat.C:
			w.beat()
		case <-w.stop:
			return
		}
	}
}

// beat writes the worker's entry into the store.
func (w *worker) beat() {
	w.mu.Lock()
	w.seq++
	up, seq := w.up && !w.cut, w.seq
	w.mu.Unlock()
	if !up {
		return
	}
	w.bed.store.put("servers", w.id, map[string]any{
		"backend": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
		"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"machine": w.machine, "clock_ms": w.clock(), "seq": seq,
	})
}

// crash ends the life of a worker without a word: its connections close, and its address refuses.
// After down a new life begins there.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	w.up = false
	lost := len(w.runs)
	for _, r := range w.runs {
		w.bed.book.lost(r.runRecord)
	}
	w.runs = make(map[string]*activeRun)
	w.mu.Unlock()
	close(w.stop)
	_ = w.server.Close()
	w.bed.book.note("worker %s crashes with %d runs", w.id, lost)
	time.AfterFunc(silentBeats*heartbeat, func() { w.bed.store.remove("servers", w.id) })
	time.AfterFunc(down, func() {
		n, err := w.bed.startWorker(w.addr, w.zone, w.rack, w.kind, w.machine)
		if err != nil {
			w.bed.book.note("cannot start again at %s: %v", w.addr, err)
			return
		}
		w.bed.book.note("worker %s begins at the address of %s", n.id, w.id)
	})
}

// advance ends the runs that are over, and all of them when the lease is over.
func (w *worker) advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	lapsed := !w.lease.IsZero() && now.After(w.lease)
	for _, r := range w.runs {
		ran := now.Sub(r.begun)
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case r.spec.lasts || ran < r.spec.length:
			if r.checkpointing {
				r.saved = fmt.Sprintf("%08x%s", ran.Truncate(saveInterval).Milliseconds(), r.task[:8])
			}
		case r.spec.fails:
			w.end(r, "failed")
		default:
			w.end(r, "done")
		}
	}
	if lapsed {
		w.bed.book.lapsed(w.id)
	}
}

// end ends a run. The lock is held.
func (w *worker) end(r *activeRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	saved := r.saved
	if how == "done" {
		saved = ""
	}
	w.finished = append(w.finished, finishedRun{number: w.lastEnd, run: r.runRecord, how: how, saved: saved})
	w.bed.book.ended(r.runRecord, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Observed   int    `json:"observed"`
	Wait       int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Dewpass-Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c workerCall
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&c) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.isCut() {
		<-r.Context().Done()
		return
	}
	status, body := w.handle(r.URL.Path, &c)
	if list, ok := body["finished"].([][]any); ok && len(list) == 0 && c.Wait > 0 {
		w.awaitEnd(r, min(time.Duration(c.Wait)*time.Millisecond, maxWait))
		c.Wait = 0
		status, body = w.handle(r.URL.Path, &c)
	}
	if w.isCut() {
		<-r.Context().Done()
		return
	}
	answer(out, status, body)
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// setCut cuts the worker off from all callers and from the store, or ends that. A call that is made
// meanwhile is lost.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	if cut {
		w.bed.book.note("worker %s is cut off, and runs on", w.id)
		time.AfterFunc(silentBeats*heartbeat, func() {
			if w.isCut() {
				w.bed.store.remove("servers", w.id)
			}
		})
		return
	}
	w.bed.book.note("worker %s is reached again", w.id)
	w.beat()
}

func (w *worker) awaitEnd(r *http.Request, wait time.Duration) {
	w.mu.Lock()
	changed := w.changed
	w.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

func (w *worker) handle(path string, c *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{"clock_ms": w.clock()}
	refuse := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	if c.Fence < w.fence {
		return refuse("fence")
	}
	w.fence = c.Fence
	if c.Deadline > 0 {
		until := w.timeOf(c.Deadline)
		if most := time.Now().Add(holdMax); until.After(most) {
			until = most
		}
		if until.After(w.lease) {
			w.lease = until
		}
	}
	switch path {
	case "/dewpass/run-start":
		if r := w.runs[c.Task]; r != nil && r.run == c.Run {
			return http.StatusOK, body
		}
		switch {
		case c.Run <= w.highest[c.Task] || w.runs[c.Task] != nil:
			return refuse("old")
		case w.timeOf(c.Deadline).Before(time.Now()):
			return refuse("late")
		}
		rec := w.bed.book.begin(c.Task, c.Run, w.id, c.Fence)
		w.runs[c.Task] = &activeRun{runRecord: rec, spec: parseSpec(c.Spec), saved: c.Checkpoint}
		return http.StatusOK, body
	case "/dewpass/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if r := w.runs[c.Task]; r != nil && r.run == c.Run {
			w.end(r, "stopped")
		}
		return http.StatusOK, body
	case "/dewpass/pace":
		return http.StatusOK, body
	case "/dewpass/hold":
		w.observe(c.Observed)
		running, finished := [][]any{}, [][]any{}
		for _, r := range w.runs {
			percent := 100
			if !r.spec.lasts && r.spec.length > 0 {
				percent = min(int(100*time.Since(r.begun)/r.spec.length), 99)
			}
			running = append(running, []any{r.task, r.run, r.saved, percent, 10})
		}
		for _, f := range w.finished[:min(len(w.finished), finishedAtOnce)] {
			finished = append(finished, []any{f.number, f.run.task, f.run.run, f.how, f.saved})
		}
		body["running"], body["finished"] = running, finished
		return http.StatusOK, body
	}
	return http.StatusNotFound, body
}

// observe forgets the ends up to a number. The lock is held.
func (w *worker) observe(n int) {
	if n <= w.observed {
		return
	}
	w.observed = n
	for len(w.finished) > 0 && w.finished[0].number <= n {
		w.bed.book.observed(w.finished[0].run)
		w.finished = w.finished[1:]
	}
}

// count returns how many runs there are whose tasks belong to a job, or of all jobs if it is "".
func (w *worker) count(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.runs {
		if job == "" || strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// unobserved returns how many ends wait to be taken note of.
func (w *worker) unobserved() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.finished)
}

// alive reports whether the life of the worker goes on.
func (w *worker) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}
