// SPDX-License-Identifier: Apache-2.0

package world

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// crashDowntime is how long a worker is down after a task has crashed it.
	crashDowntime = time.Second
	// staleEntryTime is how long the entry of a worker that has crashed stays in the store.
	staleEntryTime = 3 * heartbeatInterval
	// A process that is being started holds copies of all open sockets until it runs its program, so
	// that an address can be in use for a while after its listener was closed. A restart tries again
	// every addrRetryInterval, for at most addrWait.
	addrRetryInterval = 5 * time.Millisecond
	addrWait          = 2 * time.Second
	// A task that has crashed crashLimit workers may be started maxStartsOverLimit more times;
	// further starts are violations.
	crashLimit, maxStartsOverLimit = 3, 2
)

// crashAfter returns how long after its start a task crashes its worker, and whether it does.
func (j *job) crashAfter(task string) (time.Duration, bool) {
	if !j.Crashes {
		return 0, false
	}
	at := strings.LastIndexByte(task, '.')
	index, err := strconv.Atoi(task[at+1:])
	return j.CrashAfter, err == nil && (j.CrashOnly < 0 || index == j.CrashOnly)
}

// Restart says how a worker restarts after a crash. With the zero value it does not restart.
type Restart struct {
	// Down is the time from the crash to the restart.
	Down time.Duration
	// SameID restarts it under its old id, with no memory of its former runs; otherwise it is a
	// new worker at the same address.
	SameID bool
	// OtherAddr restarts it at another address.
	OtherAddr bool
	// Back is by how much the wall clock of its machine was set back meanwhile.
	Back time.Duration
}

// crashFor crashes the worker on behalf of a run, unless that run has ended.
func (w *Worker) crashFor(r *run) {
	w.mu.Lock()
	running := w.runs[r.task] == r
	w.mu.Unlock()
	if running {
		w.world.Book.recordCrash(r.task)
		w.world.Crash(w, w.world.nextRestart())
	}
}

// nextRestart returns how the worker that crashes now restarts.
func (w *World) nextRestart() Restart {
	if w.options.NextRestart == nil {
		return Restart{Down: crashDowntime}
	}
	return w.options.NextRestart()
}

// Crash ends a worker's process: its connections are closed, new ones are refused, and its entry
// stays in the store for staleEntryTime.
func (w *World) Crash(n *Worker, restart Restart) {
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return
	}
	n.dead = true
	n.runs, n.ends = make(map[string]*run), nil
	server := n.server
	n.mu.Unlock()
	w.Book.recordLoss(n.ID)
	_ = server.Close()
	time.AfterFunc(staleEntryTime, func() {
		if w.latestProcess(n) == n {
			w.Store.Remove("servers", n.ID)
		}
	})
	if restart.Down > 0 {
		time.AfterFunc(restart.Down, func() { w.restart(n, restart, time.Now().Add(addrWait)) })
	}
}

// restart starts a new worker process on the machine of a worker that has crashed. It tries again
// until a time while the address is in use.
func (w *World) restart(old *Worker, r Restart, until time.Time) {
	select {
	case <-w.stop:
		return
	default:
	}
	w.mu.Lock()
	n := w.makeWorker(old.Hall, old.machineNumber)
	n.born -= r.Back.Milliseconds()
	if r.SameID {
		n.ID = old.ID
	}
	var err error
	if r.OtherAddr {
		err = w.listenAtNewAddr(n)
	} else {
		err = w.listenAtAddrOf(n, old)
	}
	if err == nil {
		w.Workers = append(w.Workers, n)
		if r.SameID {
			old.successor = n
		}
	}
	w.mu.Unlock()
	if errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until) {
		time.AfterFunc(addrRetryInterval, func() { w.restart(old, r, until) })
		return
	}
	if err != nil {
		w.Book.addViolation("STAND-IN", "cannot restart worker "+old.ID+": "+err.Error())
		return
	}
	w.Machines.replaceWorker(old, n)
	w.heartbeat(n)
}

// listenAtAddrOf has a worker serve at the address of an earlier one. The lock must be held.
func (w *World) listenAtAddrOf(n, old *Worker) error {
	l, err := net.Listen("tcp", old.listen)
	if err != nil {
		return err
	}
	n.Addr, n.listen = old.Addr, old.listen
	n.server = w.serveOn(l, n)
	return nil
}

// latestProcess returns the latest process that has the id of a worker.
func (w *World) latestProcess(n *Worker) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n.successor != nil {
		n = n.successor
	}
	return n
}

// processName names the latest process with an id: the id alone if there was only one. The name decides
// which steps the policy service lets it run.
func (w *World) processName(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	processes := 0
	for _, n := range w.Workers {
		if n.ID == id {
			processes++
		}
	}
	if processes < 2 {
		return id
	}
	return fmt.Sprintf("%s, life %d", id, processes)
}

// replaceWorker records that a machine now runs n instead of old.
func (m *Machines) replaceWorker(old, n *Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mach := range m.all {
		if mach.worker == old {
			mach.worker = n
		}
	}
}

// serveOn serves h on a listener until the World is closed. The lock must be held, unless the World
// is only being started.
func (w *World) serveOn(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, s)
	// Serve returns once the server is closed.
	go func() { _ = s.Serve(l) }()
	return s
}

// recordCrash records that a task has crashed its worker.
func (b *Book) recordCrash(task string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes[task]++
}

// Crashes returns how many workers each task has crashed.
func (b *Book) Crashes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.crashes))
	for task, n := range b.crashes {
		out[task] = n
	}
	return out
}

// checkCrashLimit records a violation (BUDGET) if a task is started too often after it has
// crashed crashLimit workers. The lock must be held.
func (b *Book) checkCrashLimit(task string) {
	if b.crashes[task] < crashLimit {
		return
	}
	b.startsOverLimit[task]++
	if b.startsOverLimit[task] == maxStartsOverLimit+1 {
		b.violations = append(b.violations, fmt.Sprintf("BUDGET: %s is started %d times after it had crashed %d workers",
			task, b.startsOverLimit[task], crashLimit))
	}
}
