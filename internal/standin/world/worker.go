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

// WorkerFaults are the faults that can be injected into a Worker.
type WorkerFaults struct {
	// Silent ignores every call and never responds, as if the worker were partitioned
	// from its callers; its runs go on.
	Silent bool
	// Lose is the fraction of orders that take effect but get no response. They take
	// effect only after Late if it is set.
	Lose float64
	Late time.Duration
	// Outlives delivers a late order to whichever process has the worker's id by then.
	Outlives bool
	// FailAll fails every run; Hang stops the progress of all runs.
	FailAll, Hang bool
}

// run is a run of a task on a Worker.
type run struct {
	task string
	// number is the number of the run among those of its task.
	number  int
	spec    job
	started time.Time
	// progress is how far the run is, counted from the beginning of its task.
	progress time.Duration
	lastTick time.Time
	// checkpoint is the saved progress in milliseconds.
	checkpoint string
	cpu, mem   int64
	// crashAt is when the run crashes its worker, zero if it does not.
	crashAt time.Time
	entry   *Entry
}

// end is the end of a run, which the worker reports until an owner has acknowledged it. number
// counts the ends of the worker; run is the number of the run.
type end struct {
	number     int
	task       string
	run        int
	outcome    string
	checkpoint string
	entry      *Entry
}

// Worker is the test double of a worker: one process, which a crash or an upkeep ends.
type Worker struct {
	ID   string
	Addr string
	Hall string
	Rack string

	world    *World
	cpu, mem int64
	// prevCPU and prevMem are the capacity before it shrank, which counts until prevUntil.
	prevCPU, prevMem int64
	prevUntil        time.Time
	// machineNumber is the number of its machine in its hall, listen the address of its listener (Addr
	// may be that of a proxy) and server its HTTP server.
	machineNumber int
	listen        string
	server        *http.Server
	// born is the start time that it reports, in Unix milliseconds.
	born int64
	// successor is the following process with the same id. World.mu guards it.
	successor *Worker

	mu sync.Mutex
	// fence is the highest fencing token seen in an order.
	fence uint64
	runs  map[string]*run
	// ends holds the ends that no owner has acknowledged yet, lastEnd the number of the latest end,
	// observedEnd that of the latest acknowledged one.
	ends        []end
	lastEnd     int
	observedEnd int
	// reportedEnd holds, by the epoch of each owner, the number of the latest end reported to it.
	reportedEnd map[uint64]int
	// highestRun holds the highest run of each task that was stopped or ended here.
	highestRun map[string]int
	// leaseUntil is when the lease ends.
	leaseUntil time.Time
	// lapseRecorded is true once the end of the lease at leaseUntil is in the Book.
	lapseRecorded bool
	started       time.Time
	faults        WorkerFaults
	random        *rand.Rand
	// changed is closed and replaced when a run ends.
	changed  chan struct{}
	dead     bool
	draining bool
}

// SetFaults replaces the injected faults, unless the worker is dead.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.dead {
		w.faults = f
	}
}

// clock returns the worker's own clock in milliseconds; it starts at 1000.
func (w *Worker) clock() int64 { return 1000 + time.Since(w.started).Milliseconds() }

// order is the body of any request to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Observed   int    `json:"observed"`
	Wait       int64  `json:"wait_ms"`
}

// workerAnswer is the body of any response of a worker.
type workerAnswer struct {
	Clock    int64   `json:"clock_ms"`
	Born     int64   `json:"born,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
	// dropped is true if the response is never sent.
	dropped bool
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Dewpass-Expect-Instance"); expected != "" && expected != w.ID {
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
			target := w
			if f.Outlives {
				target = w.world.latestProcess(w)
			}
			target.handle(r.URL.Path, &o)
		})
		<-r.Context().Done()
		return
	}
	status, a := w.handle(r.URL.Path, &o)
	if lose {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/dewpass/hold" && status == http.StatusOK && !a.dropped && len(a.Finished) == 0 && o.Wait > 0 {
		w.awaitEnd(r, time.Duration(min(o.Wait, maxHoldWaitMS))*time.Millisecond)
		status, a = w.handle(r.URL.Path, &o)
	}
	if a.dropped {
		<-r.Context().Done()
		return
	}
	w.noteReported(&o, &a)
	writeJSON(out, status, a)
}

// ownerOf returns the epoch of the owner that issued a fencing token.
func ownerOf(fence uint64) uint64 { return fence / fencesPerOwner }

// fencesPerOwner is the number of fencing tokens of an owner; those of the next owner are higher.
const fencesPerOwner = 1 << 20

// noteReported notes the ends that a response reports to the sender of an order.
func (w *Worker) noteReported(o *order, a *workerAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range a.Finished {
		if number, ok := row[0].(int); ok {
			w.reportedEnd[ownerOf(o.Fence)] = max(w.reportedEnd[ownerOf(o.Fence)], number)
		}
	}
}

// awaitEnd waits until a run ends or the given time has passed.
func (w *Worker) awaitEnd(r *http.Request, timeout time.Duration) {
	w.mu.Lock()
	changed := w.changed
	w.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(timeout):
	case <-r.Context().Done():
	}
}

func (w *Worker) handle(path string, o *order) (int, workerAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := workerAnswer{Clock: w.clock()}
	if w.dead {
		// Orders that arrived before the process ended are never carried out.
		a.dropped = true
		return http.StatusOK, a
	}
	if o.Fence < w.fence {
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	w.fence = o.Fence
	if o.Deadline > 0 {
		w.extendLease(o.Deadline)
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
		w.addRuns(&a)
		return http.StatusOK, a
	}
	return http.StatusNotFound, a
}

const maxLease = 10 * time.Second

// extendLease extends the lease to a deadline on the worker's clock, but to at most maxLease from now.
func (w *Worker) extendLease(deadline int64) {
	until := w.started.Add(time.Duration(deadline-1000) * time.Millisecond)
	if most := time.Now().Add(maxLease); until.After(most) {
		until = most
	}
	if until.After(w.leaseUntil) {
		w.leaseUntil, w.lapseRecorded = until, false
	}
}

func (w *Worker) start(o *order, a workerAnswer) (int, workerAnswer) {
	refuse := func(reason string) (int, workerAnswer) {
		a.Reason = reason
		return http.StatusConflict, a
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, a
	}
	switch {
	case o.Run <= w.highestRun[o.Task] || w.runs[o.Task] != nil:
		return refuse("old")
	case w.started.Add(time.Duration(o.Deadline-1000) * time.Millisecond).Before(time.Now()):
		return refuse("late")
	case w.world.Policy.enabled() && !w.world.Policy.ticketValid(o.Ticket, w):
		return refuse("ticket")
	}
	spec := parseSpec(o.Spec)
	r := &run{
		task: o.Task, number: o.Run, spec: spec, started: time.Now(), lastTick: time.Now(), checkpoint: o.Checkpoint,
		cpu: spec.CPU, mem: spec.Mem,
	}
	if ms, err := strconv.Atoi(o.Checkpoint); err == nil {
		r.progress = time.Duration(ms) * time.Millisecond
	}
	r.entry = w.world.Book.recordStart(w, o)
	w.runs[o.Task] = r
	w.checkCapacity()
	if after, crashes := spec.crashAfter(o.Task); crashes {
		r.crashAt = r.started.Add(after)
		time.AfterFunc(after, func() { w.crashFor(r) })
		// Without a delay the process ends before it responds to the order.
		a.dropped = after == 0
	}
	return http.StatusOK, a
}

// checkCapacity records a violation (LIMIT) if the runs together exceed the worker's capacity.
func (w *Worker) checkCapacity() {
	var cpu, mem int64
	for _, r := range w.runs {
		cpu += r.cpu
		mem += r.mem
	}
	if most := w.maxCapacity(time.Now()); cpu > most.CPU || mem > most.Mem {
		w.world.Book.addViolation("LIMIT", w.ID+" was given more than its capacity")
	}
}

func (w *Worker) stop(o *order) {
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.finish(r, "stopped")
	}
}

// observe forgets the ends up to n, which an owner has acknowledged. It is a violation (OBSERVED) if
// one of them was never reported to that owner.
func (w *Worker) observe(n int, owner uint64) {
	if n <= w.observedEnd {
		return
	}
	w.observedEnd = n
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > n {
			kept = append(kept, e)
			continue
		}
		if e.number > w.reportedEnd[owner] {
			w.world.Book.addViolation("OBSERVED", fmt.Sprintf("%s is asked to forget end %d, of %s, by owner %d, to which ends up to %d were reported",
				w.ID, e.number, e.task, owner, w.reportedEnd[owner]))
		}
		w.world.Book.recordObserved(e.entry)
	}
	w.ends = kept
}

func (w *Worker) addRuns(a *workerAnswer) {
	for _, r := range w.runs {
		percent := 100
		if !r.spec.Lasts && r.spec.Length > 0 {
			percent = int(min(100*r.progress/r.spec.Length, 99))
		}
		a.Running = append(a.Running, []any{r.task, r.number, r.checkpoint, percent, r.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEndsListed)] {
		a.Finished = append(a.Finished, []any{e.number, e.task, e.run, e.outcome, e.checkpoint})
	}
}

// finish ends a run. The lock must be held.
func (w *Worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.lastEnd++
	saved := ""
	if how != "done" {
		saved = r.checkpoint
	}
	w.ends = append(w.ends, end{number: w.lastEnd, task: r.task, run: r.number, outcome: how, checkpoint: saved, entry: r.entry})
	w.world.Book.recordEnd(r.entry, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// tick advances the runs to a time: it ends those that are over, or all of them once the lease has
// lapsed.
func (w *Worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := !w.leaseUntil.IsZero() && now.After(w.leaseUntil)
	if lapsed && !w.lapseRecorded {
		w.lapseRecorded = true
		w.world.Book.recordLapse(w.ID)
	}
	for _, r := range w.runs {
		if lapsed {
			w.finish(r, "lapsed")
			continue
		}
		if !w.faults.Hang {
			r.progress += now.Sub(r.lastTick)
		}
		r.lastTick = now
		if r.spec.Saves {
			r.checkpoint = strconv.FormatInt(r.progress.Milliseconds(), 10)
		}
		if r.spec.Lasts || r.progress < r.spec.Length || r.crashDue(now) {
			continue
		}
		if w.faults.FailAll || w.world.Book.shouldFail(r.task, r.spec.Fails) {
			w.finish(r, "failed")
		} else {
			w.finish(r, "done")
		}
	}
}

// crashDue reports whether the crash of a run is due: on a busy machine the timer of the crash may
// fire only after the run's length has passed.
func (r *run) crashDue(now time.Time) bool { return !r.crashAt.IsZero() && !now.Before(r.crashAt) }

// job is how the tasks of a job behave, parsed from the text of the job: "ms=300 cpu=1000
// mem=100 fails=1 saves lasts crashes=10 only=2".
type job struct {
	Length       time.Duration
	CPU, Mem     int64
	Fails        int
	Saves, Lasts bool
	// Crashes makes a task crash its worker CrashAfter its start. If CrashOnly is not negative,
	// only the task of a step with this index does so.
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
