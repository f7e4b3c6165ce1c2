// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"sync"
	"time"

	"dewpass.org/internal/clock"
)

const (
	// maxSuccesses limits the jobs that are remembered, and maxSuccessesPerGreeting those in one
	// greeting: as many as end at the design size in an outage of a minute, and in 3 s.
	maxSuccesses            = 20_000
	maxSuccessesPerGreeting = 1024
	// successRetention is the minimum time for which a job is remembered: longer than outages of
	// the store are expected to last, after which the store has the end.
	successRetention = 5 * time.Minute
	// successRepeats is how often the same owner is told of a job: the answer to a greeting may be
	// lost, but hardly two in a row.
	successRepeats = 3
)

// reportedSuccesses are the jobs that owners have reported as succeeded before the store had their
// end. They are for the next owner, which loads the jobs from the store, and for callers while no
// owner is heard. The zero value is empty.
type reportedSuccesses struct {
	mu      sync.Mutex
	current map[string]*reportedSuccess
	// previous is the former current, replaced when that is full or old (begun is its start).
	previous map[string]*reportedSuccess
	begun    time.Time
}

// reportedSuccess is one of these jobs.
type reportedSuccess struct {
	// reportedBy is the boot of the instance that reported the job. toldTo is the boot of the last
	// owner that was told of it, toldCount times.
	reportedBy string
	toldTo     string
	toldCount  int
}

// add records jobs reported by an instance.
func (e *reportedSuccesses) add(ids []string, boot string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		if e.get(id) == nil {
			e.rotate(now)
			e.current[id] = &reportedSuccess{reportedBy: boot}
		}
	}
}

// rotate drops the older half once the newer one is full or old. The caller must hold e.mu.
func (e *reportedSuccesses) rotate(now time.Time) {
	if e.current == nil || len(e.current) >= maxSuccesses/2 || now.Sub(e.begun) > successRetention {
		e.current, e.previous, e.begun = make(map[string]*reportedSuccess), e.current, now
	}
}

// get returns what is known of a job, nil if nothing. The caller must hold e.mu.
func (e *reportedSuccesses) get(id string) *reportedSuccess {
	if x := e.current[id]; x != nil {
		return x
	}
	return e.previous[id]
}

// has reports whether a job is known to have succeeded.
func (e *reportedSuccesses) has(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(id) != nil
}

// all returns all remembered jobs.
func (e *reportedSuccesses) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.current)+len(e.previous))
	for _, m := range []map[string]*reportedSuccess{e.current, e.previous} {
		for id := range m {
			out = append(out, id)
		}
	}
	return out
}

// forOwner returns the jobs to tell an owner of: those that others have reported, each a few times.
func (e *reportedSuccesses) forOwner(boot string, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate(now)
	var out []string
	for _, m := range []map[string]*reportedSuccess{e.current, e.previous} {
		for id, x := range m {
			if x.toldTo != boot {
				x.toldTo, x.toldCount = boot, 0
			}
			if x.reportedBy != boot && x.toldCount < successRepeats && len(out) < maxSuccessesPerGreeting {
				x.toldCount++
				out = append(out, id)
			}
		}
	}
	return out
}

// unstoredSuccesses returns the jobs of own cells that have succeeded but whose end is not stored
// yet, for the next greeting.
func (n *Instance) unstoredSuccesses(now time.Time) []string {
	var out []string
	for _, c := range n.ownCells() {
		out = append(out, c.driver.UnsavedSuccesses(now)...)
	}
	return out
}

// markShared records that another instance was told that these jobs have succeeded.
func (n *Instance) markShared(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, c := range n.ownCells() {
		c.driver.SuccessesReported(ids)
	}
}

// applySuccesses records the jobs that a greeting reports as succeeded.
func (n *Instance) applySuccesses(ids []string, boot string) {
	if len(ids) == 0 {
		return
	}
	n.successes.add(ids, boot, clock.Now())
	for _, c := range n.ownCells() {
		c.driver.ApplySuccesses(ids)
	}
}
