// SPDX-License-Identifier: Apache-2.0

package world

import (
	"fmt"
	"sync"
	"time"
)

// Entry is one start in the Book.
type Entry struct {
	Task   string
	Run    int
	Worker string
	Begun  time.Time
	Ended  time.Time
	How    string
	// Observed says that the worker was told to forget the end.
	Observed bool
	// Lapsed says that the worker's lease lapsed or its life ended before the
	// end was observed.
	Lapsed bool
}

// Book holds every start and end on all workers.
type Book struct {
	mu      sync.Mutex
	entries []*Entry
	failed  map[string]int
	found   []string
	// closed says that a task's job was cancelled, by job.
	cancelled map[string]time.Time
	// crashes counts the workers that each task has crashed, and afterCrashes its starts
	// after it had crashed too many.
	crashes, afterCrashes map[string]int
}

func newBook() *Book {
	return &Book{
		failed: make(map[string]int), cancelled: make(map[string]time.Time),
		crashes: make(map[string]int), afterCrashes: make(map[string]int),
	}
}

// started writes a start down. A task must not run twice at a time, nor again
// after an end that is done.
func (b *Book) started(w *Worker, o *order) *Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &Entry{Task: o.Task, Run: o.Run, Worker: w.ID, Begun: time.Now()}
	for _, old := range b.entries {
		if old.Task != o.Task || old.Lapsed {
			continue
		}
		switch {
		case old.Ended.IsZero():
			b.found = append(b.found, fmt.Sprintf("TWICE: %s runs on %s and %s", o.Task, old.Worker, w.ID))
		case old.How == "done":
			b.found = append(b.found, fmt.Sprintf("TWICE: %s is started on %s after it was done on %s", o.Task, w.ID, old.Worker))
		}
	}
	b.startedAfterCrashes(o.Task)
	b.entries = append(b.entries, e)
	return e
}

func (b *Book) ended(e *Entry, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Ended, e.How = time.Now(), how
	if how == "failed" {
		b.failed[e.Task]++
	}
}

func (b *Book) observed(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Observed = true
}

// lapsed writes down that a worker's lease lapsed. The ends that nobody has taken
// note of by then need not be known to anybody.
func (b *Book) lapsed(worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.Worker == worker && !e.Observed && !e.Ended.IsZero() {
			e.Lapsed = true
		}
	}
}

// lost writes down that a worker's life is over.
func (b *Book) lost(worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.Worker == worker && !e.Observed {
			e.Lapsed = true
			if e.Ended.IsZero() {
				e.Ended, e.How = time.Now(), "lost"
			}
		}
	}
}

// fails reports whether a run of a task that fails a number of times fails now.
func (b *Book) fails(task string, times int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed[task] < times
}

func (b *Book) broke(rule, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.found = append(b.found, rule+": "+what)
}

// Broken returns the promises that were broken.
func (b *Book) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.found...)
}

// Starts returns every start so far.
func (b *Book) Starts() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Entry, len(b.entries))
	for i, e := range b.entries {
		out[i] = *e
	}
	return out
}
