// SPDX-License-Identifier: Apache-2.0

package world

import (
	"fmt"
	"sync"
	"time"
)

// Entry is the record of one run in the Book.
type Entry struct {
	Task   string
	Run    int
	Worker string
	Begun  time.Time
	Ended  time.Time
	// Outcome is how the run ended: done, failed, stopped, lapsed or lost.
	Outcome string
	// Observed is true once an owner has acknowledged the end, so that the worker
	// may forget it.
	Observed bool
	// Lapsed is true if the worker's lease lapsed or its process ended before the
	// end was observed: the owner cannot know of the end then.
	Lapsed bool
}

// Book records every start and end on all workers and the violations found in them.
type Book struct {
	mu      sync.Mutex
	entries []*Entry
	// failed counts the failed runs of each task.
	failed     map[string]int
	violations []string
	// cancelled is not used.
	cancelled map[string]time.Time
	// crashes counts the workers that each task has crashed, startsOverLimit its starts
	// after it had crashed crashLimit workers.
	crashes, startsOverLimit map[string]int
}

func newBook() *Book {
	return &Book{
		failed: make(map[string]int), cancelled: make(map[string]time.Time),
		crashes: make(map[string]int), startsOverLimit: make(map[string]int),
	}
}

// recordStart records a start. It is a violation (TWICE) if the task still runs elsewhere
// or has ended as done before.
func (b *Book) recordStart(w *Worker, o *order) *Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &Entry{Task: o.Task, Run: o.Run, Worker: w.ID, Begun: time.Now()}
	for _, old := range b.entries {
		if old.Task != o.Task || old.Lapsed {
			continue
		}
		switch {
		case old.Ended.IsZero():
			b.violations = append(b.violations, fmt.Sprintf("TWICE: %s runs on %s and %s", o.Task, old.Worker, w.ID))
		case old.Outcome == "done":
			b.violations = append(b.violations, fmt.Sprintf("TWICE: %s is started on %s after it was done on %s", o.Task, w.ID, old.Worker))
		}
	}
	b.checkCrashLimit(o.Task)
	b.entries = append(b.entries, e)
	return e
}

func (b *Book) recordEnd(e *Entry, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Ended, e.Outcome = time.Now(), how
	if how == "failed" {
		b.failed[e.Task]++
	}
}

func (b *Book) recordObserved(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Observed = true
}

// recordLapse records that a worker's lease lapsed. Ends that were not observed by then
// need not be known to any owner.
func (b *Book) recordLapse(worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.Worker == worker && !e.Observed && !e.Ended.IsZero() {
			e.Lapsed = true
		}
	}
}

// recordLoss records that a worker's process has ended: its runs end as lost.
func (b *Book) recordLoss(worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.Worker == worker && !e.Observed {
			e.Lapsed = true
			if e.Ended.IsZero() {
				e.Ended, e.Outcome = time.Now(), "lost"
			}
		}
	}
}

// shouldFail reports whether a task has failed fewer than the given number of times and so
// has to fail again.
func (b *Book) shouldFail(task string, times int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed[task] < times
}

func (b *Book) addViolation(rule, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, rule+": "+what)
}

// Violations returns the violations found so far, each as the name of the rule and what
// was seen.
func (b *Book) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.violations...)
}

// Starts returns a copy of the records of all runs, in the order of their starts.
func (b *Book) Starts() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Entry, len(b.entries))
	for i, e := range b.entries {
		out[i] = *e
	}
	return out
}
