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

// Rebirth says how a worker comes back after a crash. The zero value is that it stays away.
type Rebirth struct {
	// Down is how long it is away.
	Down time.Duration
	// SameID has it come back under its id, knowing nothing of before; else it is another
	// worker at the same address.
	SameID bool
	// OtherAddr has it come back at another address.
	OtherAddr bool
	// Back is by how much its machine's time of day was set back meanwhile.
	Back time.Duration
}

// crashBy has a run that still goes on end its worker's process.
func (w *Worker) crashBy(r *run) {
	w.mu.Lock()
	there := w.runs[r.task] == r
	w.mu.Unlock()
	if there {
		w.world.Book.crashed(r.task)
		w.world.Crash(w, w.world.next())
	}
}

// next returns how the next worker comes back.
func (w *World) next() Rebirth {
	if w.options.Next == nil {
		return Rebirth{Down: crashDown}
	}
	return w.options.Next()
}

// Crash ends a worker's process: connections to it end, others are refused, and its entry
// stays for a while.
func (w *World) Crash(n *Worker, after Rebirth) {
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
	time.AfterFunc(entryStays, func() {
		if w.living(n) == n {
			w.Store.Remove("servers", n.ID)
		}
	})
	if after.Down > 0 {
		time.AfterFunc(after.Down, func() { w.rebirth(n, after) })
	}
}

// rebirth starts another life on the machine of a worker that has crashed.
func (w *World) rebirth(old *Worker, how Rebirth) {
	select {
	case <-w.stop:
		return
	default:
	}
	w.mu.Lock()
	n := w.makeWorker(old.Hall, old.slot)
	n.born -= how.Back.Milliseconds()
	if how.SameID {
		n.ID, old.next = old.ID, n
	}
	var err error
	if how.OtherAddr {
		err = w.listenAnew(n)
	} else {
		err = w.listenAt(n, old)
	}
	if err == nil {
		w.Workers = append(w.Workers, n)
	}
	w.mu.Unlock()
	if err != nil {
		w.Book.broke("STAND-IN", "no new life of "+old.ID+": "+err.Error())
		return
	}
	w.Machines.replace(old, n)
	w.beat(n)
}

// listenAt has a worker serve where another one did. The lock is held.
func (w *World) listenAt(n, old *Worker) error {
	l, err := net.Listen("tcp", old.listen)
	if err != nil {
		return err
	}
	n.Addr, n.listen = old.Addr, old.listen
	n.server = w.serveOn(l, n)
	return nil
}

// living returns the last life under the id of a worker.
func (w *World) living(n *Worker) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n.next != nil {
		n = n.next
	}
	return n
}

// lifeOf names the last life under an id: the id alone for the first one.
func (w *World) lifeOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	lives := 0
	for _, n := range w.Workers {
		if n.ID == id {
			lives++
		}
	}
	if lives < 2 {
		return id
	}
	return fmt.Sprintf("%s, life %d", id, lives)
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

// serveOn serves h at a listener until the World is closed. The lock is held, or nothing runs yet.
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
