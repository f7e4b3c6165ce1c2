// SPDX-License-Identifier: Apache-2.0

package world

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// crashDown is how long a worker that a task has crashed is away.
	crashDown = time.Second
	// entryStays is how long the entry of a worker that has crashed stays in the store.
	entryStays = 3 * beatEvery
	// crashesAllowed is how many workers a task may crash before a further start counts, and
	// startsAllowed how many such starts there may be.
	crashesAllowed, startsAllowed = 3, 2
)

// crashAfter returns how long after its start a task ends its worker's process, if it does.
func (j *job) crashAfter(task string) (time.Duration, bool) {
	if !j.Crashes {
		return 0, false
	}
	at := strings.LastIndexByte(task, '.')
	index, err := strconv.Atoi(task[at+1:])
	return j.CrashAfter, err == nil && (j.CrashOnly < 0 || index == j.CrashOnly)
}

// crashBy has a run that still goes on end its worker's process.
func (w *Worker) crashBy(r *run) {
	w.mu.Lock()
	there := w.runs[r.task] == r
	w.mu.Unlock()
	if there {
		w.world.Book.crashed(r.task)
		w.world.Crash(w, crashDown)
	}
}

// Crash ends a worker's process: connections to it end, others are refused, and its entry
// stays for a while. After down, another life is at its address; with none it stays away.
func (w *World) Crash(n *Worker, down time.Duration) {
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return
	}
	n.dead = true
	n.runs, n.ends = make(map[string]*run), nil
	server := n.server
	n.mu.Unlock()
	w.Book.lost(n.ID)
	_ = server.Close()
	time.AfterFunc(entryStays, func() { w.Store.Remove("servers", n.ID) })
	if down > 0 {
		time.AfterFunc(down, func() { w.rebirth(n) })
	}
}

// rebirth starts another life at the address of a worker that has crashed.
func (w *World) rebirth(old *Worker) {
	select {
	case <-w.stop:
		return
	default:
	}
	l, err := net.Listen("tcp", old.listen)
	if err != nil {
		w.Book.broke("STAND-IN", "no new life at "+old.listen+": "+err.Error())
		return
	}
	w.mu.Lock()
	n := w.makeWorker(old.Hall, old.slot)
	n.Addr, n.listen = old.Addr, old.listen
	n.server = w.serveOn(l, n)
	w.Workers = append(w.Workers, n)
	w.mu.Unlock()
	w.Machines.replace(old, n)
	w.beat(n)
}

// replace puts a new life of a machine in the place of the one before.
func (m *Machines) replace(old, n *Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range m.all {
		if one.worker == old {
			one.worker = n
		}
	}
}

// serveOn serves h at a listener until the World is closed.
func (w *World) serveOn(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, s)
	// Serve ends with the server.
	go func() { _ = s.Serve(l) }()
	return s
}

// crashed writes down that a task has crashed its worker.
func (b *Book) crashed(task string) {
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

// startedAfterCrashes checks a start against the crashes before it. The lock is held.
func (b *Book) startedAfterCrashes(task string) {
	if b.crashes[task] < crashesAllowed {
		return
	}
	b.afterCrashes[task]++
	if b.afterCrashes[task] == startsAllowed+1 {
		b.found = append(b.found, fmt.Sprintf("BUDGET: %s is started %d times after it had crashed %d workers",
			task, b.afterCrashes[task], crashesAllowed))
	}
}
