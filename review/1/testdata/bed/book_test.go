// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// runRecord is what the workers have seen of one run.
type runRecord struct {
	task   string
	run    int
	worker string
	fence  uint64
	begun  time.Time
	// checkpointing says that the task saves its progress.
	checkpointing bool

	// The fields below are guarded by book.mu.
	ended time.Time
	// how is how the run ended, "lost" if its worker crashed.
	how    string
	number int
	// observedAt is when the end was taken note of, zero if it was not. lapsed says that the worker's
	// lease lapsed, or its life ended, before that.
	observedAt time.Time
	lapsed     bool
}

// book records what was sent, answered and run.
type book struct {
	begun time.Time

	mu   sync.Mutex
	out  io.Writer
	runs []*runRecord
	// saving says of which jobs the tasks save their progress.
	saving map[string]bool
}

func newBook(out io.Writer) *book {
	return &book{begun: time.Now(), out: out, saving: make(map[string]bool)}
}

// note writes a line of the record.
func (b *book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (b *book) begin(task string, run int, worker string, fence uint64) *runRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	r := &runRecord{task: task, run: run, worker: worker, fence: fence, begun: time.Now(), checkpointing: b.saving[job]}
	b.runs = append(b.runs, r)
	return r
}

func (b *book) ended(r *runRecord, how string, number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.ended, r.how, r.number = time.Now(), how, number
}

func (b *book) lost(r *runRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.ended, r.how, r.lapsed = time.Now(), "lost", true
}

// lapsed records that a worker's lease is over: ends that were not taken note of by then do not count.
func (b *book) lapsed(worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if r.worker == worker && !r.ended.IsZero() && r.observedAt.IsZero() {
			r.lapsed = true
		}
	}
}

func (b *book) observed(r *runRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.observedAt = time.Now()
}

// ofJob returns copies of the records of a job's runs, by task.
func (b *book) ofJob(job string) map[string][]runRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]runRecord)
	for _, r := range b.runs {
		if strings.HasPrefix(r.task, job+".") {
			out[r.task] = append(out[r.task], *r)
		}
	}
	return out
}

// endings counts a job's runs by how they ended; those under way count as "running".
func (b *book) endings(job string) map[string]int {
	out := make(map[string]int)
	for _, runs := range b.ofJob(job) {
		for _, r := range runs {
			if r.how == "" {
				out["running"]++
			} else {
				out[r.how]++
			}
		}
	}
	return out
}

// twice returns the starts that break the rule TWICE: while another run of the task is under way, or
// after one that ended done where that end is taken note of, then or later, and its worker's lease did
// not lapse in between.
func (b *book) twice(job string) []string {
	var out []string
	all := b.ofJob(job)
	for task, runs := range all {
		slices.SortFunc(runs, func(x, y runRecord) int { return x.begun.Compare(y.begun) })
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				switch {
				case earlier.ended.IsZero() || earlier.ended.After(later.begun):
					out = append(out, fmt.Sprintf("%s: run %d starts on %s at %.3f while run %d is under way on %s", task, later.run, later.worker,
						later.begun.Sub(b.begun).Seconds(), earlier.run, earlier.worker))
				case earlier.how == "done" && !earlier.observedAt.IsZero() && !earlier.lapsed:
					out = append(out, fmt.Sprintf("%s: run %d (fence %d) ends done on %s at %.3f as end %d, taken note of at %.3f; run %d (fence %d) starts on %s at %.3f",
						task, earlier.run, earlier.fence, earlier.worker, earlier.ended.Sub(b.begun).Seconds(), earlier.number,
						earlier.observedAt.Sub(b.begun).Seconds(), later.run, later.fence, later.worker, later.begun.Sub(b.begun).Seconds()))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

// starts returns when the first and the last run of a job began.
func (b *book) starts(job string) (first, last time.Time) {
	for _, runs := range b.ofJob(job) {
		for _, r := range runs {
			if first.IsZero() || r.begun.Before(first) {
				first = r.begun
			}
			if r.begun.After(last) {
				last = r.begun
			}
		}
	}
	return first, last
}

// waiting returns how many of a job's tasks neither have ended done nor are under way, and for how
// long, since it was accepted, nothing of the job has run.
func (b *book) waiting(job string, tasks int, accepted time.Time) (waiting int, idle time.Duration) {
	waiting = tasks
	last := accepted
	for _, runs := range b.ofJob(job) {
		over := false
		for _, r := range runs {
			over = over || r.how == "done" || r.how == ""
			switch {
			case r.how == "":
				last = time.Now()
			case r.ended.After(last):
				last = r.ended
			}
		}
		if over {
			waiting--
		}
	}
	return waiting, time.Since(last)
}
