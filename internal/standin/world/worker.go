// SPDX-License-Identifier: Apache-2.0

package world

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WorkerFaults are the switches of a Worker.
type WorkerFaults struct {
	// Silent leaves every call without an answer and without effect: the worker
	// is cut off and runs on.
	Silent bool
	// Lose is the share of orders that take effect and get no answer; with Late
	// they take effect after that time.
	Lose float64
	Late time.Duration
	// Outlives has a late order reach whoever lives under the worker's id by then.
	Outlives bool
	// FailAll fails every run, Hang lets none make progress.
	FailAll, Hang bool
}

// run is a run on a Worker.
type run struct {
	task     string
	n        int
	spec     job
	begun    time.Time
	worked   time.Duration
	lastTick time.Time
	saved    string
	cpu, mem int64
	// crashAt is when it ends its worker's process, zero if it does not.
	crashAt time.Time
	entry   *Entry
}

type end struct {
	number int
	task   string
	n      int
	how    string
	saved  string
	entry  *Entry
}

// Worker is the stand-in of a worker.
type Worker struct {
	ID   string
	Addr string
	Hall string
	Rack string

	world    *World
	cpu, mem int64
	// hadCPU and hadMem are what it had before its room shrank, which counts until hadUntil.
	hadCPU, hadMem int64
	hadUntil       time.Time
	// slot is the number of its machine in its hall, listen where it listens and server what
	// serves it there.
	slot   int
	listen string
	server *http.Server
	// born is what it says of its own start.
	born int64
	// next is the life after this one under the same id. World.mu guards it.
	next *Worker

	mu       sync.Mutex
	fence    uint64
	runs     map[string]*run
	ends     []end
	number   int
	observed int
	// told is the number of the last end that each owner was told of, by the owners' epochs.
	told map[uint64]int
	// last holds the highest run of each task that stopped or ended here.
	last  map[string]int
	until time.Time
	// lapsed says that the lease that ended at until was noted as lapsed.
	lapsed   bool
	begun    time.Time
	faults   WorkerFaults
	random   *rand.Rand
	changed  chan struct{}
	dead     bool
	draining bool
}

// Fail sets the faults of a worker that lives.
func (w *Worker) Fail(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.dead {
		w.faults = f
	}
}

func (w *Worker) clock() int64 { return 1000 + time.Since(w.begun).Milliseconds() }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Saved    string `json:"checkpoint"`
	Ticket   string `json:"ticket"`
	Observed int    `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

type workerAnswer struct {
	Clock    int64   `json:"clock_ms"`
	Born     int64   `json:"born,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
	// lost says that the answer is not given.
	lost bool
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if life := r.Header.Get("Dewpass-Expect-Instance"); life != "" && life != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	f := w.faults
	lose := f.Lose > 0 && w.random.Float64() < f.Lose
	w.mu.Unlock()
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case lose && f.Late > 0:
		time.AfterFunc(f.Late, func() {
			late := w
			if f.Outlives {
				late = w.world.living(w)
			}
			late.handle(r.URL.Path, &o)
		})
		<-r.Context().Done()
		return
	}
	status, a := w.handle(r.URL.Path, &o)
	if lose {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/dewpass/hold" && status == http.StatusOK && !a.lost && len(a.Finished) == 0 && o.Wait > 0 {
		w.wait(r, time.Duration(o.Wait)*time.Millisecond)
		status, a = w.handle(r.URL.Path, &o)
	}
	if a.lost {
		<-r.Context().Done()
		return
	}
	w.tell(&o, &a)
	writeJSON(out, status, a)
}

// ownerOf returns the epoch of the owner that has given a fence.
func ownerOf(fence uint64) uint64 { return fence / fencesPerOwner }

// fencesPerOwner is how many fences an owner has: those of the next one are all above them.
const fencesPerOwner = 1 << 20

// tell notes which ends the sender of an order is told of by the answer.
func (w *Worker) tell(o *order, a *workerAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range a.Finished {
		if number, ok := row[0].(int); ok {
			w.told[ownerOf(o.Fence)] = max(w.told[ownerOf(o.Fence)], number)
		}
	}
}

// wait waits for an end.
func (w *Worker) wait(r *http.Request, most time.Duration) {
	w.mu.Lock()
	changed := w.changed
	w.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(most):
	case <-r.Context().Done():
	}
}

func (w *Worker) handle(path string, o *order) (int, workerAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := workerAnswer{Clock: w.clock()}
	if w.dead {
		// What had arrived before its process ended is never carried out.
		a.lost = true
		return http.StatusOK, a
	}
	if o.Fence < w.fence {
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	w.fence = o.Fence
	if o.Deadline > 0 {
		w.lease(o.Deadline)
	}
	switch path {
	case "/dewpass/run-start":
		return w.start(o, a)
	case "/dewpass/run-stop":
		w.stop(o)
		return http.StatusOK, a
	case "/dewpass/pace":
		return http.StatusOK, a
	case "/dewpass/hold":
		w.observe(o.Observed, ownerOf(o.Fence))
		a.Born = w.born
		w.list(&a)
		return http.StatusOK, a
	}
	return http.StatusNotFound, a
}

const leaseMost = 10 * time.Second

func (w *Worker) lease(deadline int64) {
	until := w.begun.Add(time.Duration(deadline-1000) * time.Millisecond)
	if most := time.Now().Add(leaseMost); until.After(most) {
		until = most
	}
	if until.After(w.until) {
		w.until, w.lapsed = until, false
	}
}

func (w *Worker) start(o *order, a workerAnswer) (int, workerAnswer) {
	refuse := func(reason string) (int, workerAnswer) {
		a.Reason = reason
		return http.StatusConflict, a
	}
	if r := w.runs[o.Task]; r != nil && r.n == o.Run {
		return http.StatusOK, a
	}
	switch {
	case o.Run <= w.last[o.Task] || w.runs[o.Task] != nil:
		return refuse("old")
	case w.begun.Add(time.Duration(o.Deadline-1000) * time.Millisecond).Before(time.Now()):
		return refuse("late")
	case w.world.Policy.on() && !w.world.Policy.holds(o.Ticket, w):
		return refuse("ticket")
	}
	spec := parseSpec(o.Spec)
	r := &run{
		task: o.Task, n: o.Run, spec: spec, begun: time.Now(), lastTick: time.Now(), saved: o.Saved,
		cpu: spec.CPU, mem: spec.Mem,
	}
	if ms, err := strconv.Atoi(o.Saved); err == nil {
		r.worked = time.Duration(ms) * time.Millisecond
	}
	r.entry = w.world.Book.started(w, o)
	w.runs[o.Task] = r
	w.checkRoom()
	if after, crashes := spec.crashAfter(o.Task); crashes {
		r.crashAt = r.begun.Add(after)
		time.AfterFunc(after, func() { w.crashBy(r) })
		// With no delay the process is gone before the answer to the order.
		a.lost = after == 0
	}
	return http.StatusOK, a
}

// checkRoom writes it down if the worker was given more than it has.
func (w *Worker) checkRoom() {
	var cpu, mem int64
	for _, r := range w.runs {
		cpu += r.cpu
		mem += r.mem
	}
	if most := w.most(time.Now()); cpu > most.CPU || mem > most.Mem {
		w.world.Book.broke("LIMIT", w.ID+" has been given more than it has")
	}
}

func (w *Worker) stop(o *order) {
	w.last[o.Task] = max(w.last[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.n == o.Run {
		w.finish(r, "stopped")
	}
}

// observe forgets the ends up to n on the word of an owner, which must have been told of them.
func (w *Worker) observe(n int, owner uint64) {
	if n <= w.observed {
		return
	}
	w.observed = n
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > n {
			kept = append(kept, e)
			continue
		}
		if e.number > w.told[owner] {
			w.world.Book.broke("OBSERVED", fmt.Sprintf("%s is to forget end %d, of %s, by owner %d, which was told up to %d",
				w.ID, e.number, e.task, owner, w.told[owner]))
		}
		w.world.Book.observed(e.entry)
	}
	w.ends = kept
}

func (w *Worker) list(a *workerAnswer) {
	for _, r := range w.runs {
		percent := 100
		if !r.spec.Lasts && r.spec.Length > 0 {
			percent = int(min(100*r.worked/r.spec.Length, 99))
		}
		a.Running = append(a.Running, []any{r.task, r.n, r.saved, percent, r.cpu})
	}
	for _, e := range w.ends {
		a.Finished = append(a.Finished, []any{e.number, e.task, e.n, e.how, e.saved})
	}
}

// finish ends a run. The lock is held.
func (w *Worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.last[r.task] = max(w.last[r.task], r.n)
	w.number++
	saved := ""
	if how != "done" {
		saved = r.saved
	}
	w.ends = append(w.ends, end{number: w.number, task: r.task, n: r.n, how: how, saved: saved, entry: r.entry})
	w.world.Book.ended(r.entry, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// tick lets time pass.
func (w *Worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := !w.until.IsZero() && now.After(w.until)
	if lapsed && !w.lapsed {
		w.lapsed = true
		w.world.Book.lapsed(w.ID)
	}
	for _, r := range w.runs {
		if lapsed {
			w.finish(r, "lapsed")
			continue
		}
		if !w.faults.Hang {
			r.worked += now.Sub(r.lastTick)
		}
		r.lastTick = now
		if r.spec.Saves {
			r.saved = strconv.FormatInt(r.worked.Milliseconds(), 10)
		}
		if r.spec.Lasts || r.worked < r.spec.Length || r.crashes(now) {
			continue
		}
		if w.faults.FailAll || w.world.Book.fails(r.task, r.spec.Fails) {
			w.finish(r, "failed")
		} else {
			w.finish(r, "done")
		}
	}
}

// crashes reports whether a run has ended its worker's process by now: a machine that was busy may
// bring the crash later than the end.
func (r *run) crashes(now time.Time) bool { return !r.crashAt.IsZero() && !now.Before(r.crashAt) }

// job is what the text of a job says of its tasks: "ms=300 cpu=1000 mem=100
// fails=1 saves lasts crashes=10 only=2".
type job struct {
	Length       time.Duration
	CPU, Mem     int64
	Fails        int
	Saves, Lasts bool
	// Crashes says that a task ends its worker's process CrashAfter its start; of a step it
	// is the one with index CrashOnly alone, where that is not negative.
	Crashes    bool
	CrashAfter time.Duration
	CrashOnly  int
}

func parseSpec(text string) job {
	j := job{CrashOnly: -1}
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			j.Length = time.Duration(n) * time.Millisecond
		case "cpu":
			j.CPU = n
		case "mem":
			j.Mem = n
		case "fails":
			j.Fails = int(n)
		case "saves":
			j.Saves = true
		case "lasts":
			j.Lasts = true
		case "crashes":
			j.Crashes, j.CrashAfter = true, time.Duration(n)*time.Millisecond
		case "only":
			j.CrashOnly = int(n)
		}
	}
	return j
}
