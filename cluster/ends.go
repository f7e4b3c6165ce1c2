// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"sync"
	"time"

	"dewpass.org/internal/clock"
)

const (
	// endsMost bounds the ends that are remembered and endsAtOnce those that one greeting
	// tells: as many as the design size has in an outage of a minute, and in 3 s.
	endsMost   = 20_000
	endsAtOnce = 1024
	// endsKept is for how long an end is remembered at the least: longer than outages of the
	// store are to last, after which it knows.
	endsKept = 5 * time.Minute
	// endTold is how often the same owner is told of an end: an answer to a greeting may be
	// lost, and two in a row hardly are.
	endTold = 3
)

// ends are the jobs of which owners have said that they succeeded before the store kept
// that. They are for the next owner, which reads the store, and for callers while no owner
// is heard.
type ends struct {
	mu    sync.Mutex
	known map[string]*end
	// last are those that were known before known was full, or begun.
	last  map[string]*end
	begun time.Time
}

// end is what is known of one of them.
type end struct {
	// source is the boot of the instance that said so, and to the boot of an owner that was
	// told of it so many times.
	source string
	to     string
	told   int
}

// hear takes in what an instance says.
func (e *ends) hear(ids []string, source string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		if e.get(id) == nil {
			e.age(now)
			e.known[id] = &end{source: source}
		}
	}
}

// age lets the older half go once the newer one is full, or was begun long ago. The lock is
// held.
func (e *ends) age(now time.Time) {
	if e.known == nil || len(e.known) >= endsMost/2 || now.Sub(e.begun) > endsKept {
		e.known, e.last, e.begun = make(map[string]*end), e.known, now
	}
}

// get returns what is known of a job. The lock is held.
func (e *ends) get(id string) *end {
	if x := e.known[id]; x != nil {
		return x
	}
	return e.last[id]
}

// has reports whether a job is known to have succeeded.
func (e *ends) has(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(id) != nil
}

// all returns the jobs that are known.
func (e *ends) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.known)+len(e.last))
	for _, m := range []map[string]*end{e.known, e.last} {
		for id := range m {
			out = append(out, id)
		}
	}
	return out
}

// forOwner returns what an owner should be told: what others have said, a few times.
func (e *ends) forOwner(boot string, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.age(now)
	var out []string
	for _, m := range []map[string]*end{e.known, e.last} {
		for id, x := range m {
			if x.to != boot {
				x.to, x.told = boot, 0
			}
			if x.source != boot && x.told < endTold && len(out) < endsAtOnce {
				x.told++
				out = append(out, id)
			}
		}
	}
	return out
}

// unkept returns the jobs of own cells that others should be told of.
func (n *Instance) unkept(now time.Time) []string {
	var out []string
	for _, c := range n.owned() {
		out = append(out, c.driver.Unkept(now)...)
	}
	return out
}

// shared notes that another instance was told that these jobs have succeeded.
func (n *Instance) shared(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, c := range n.owned() {
		c.driver.Shared(ids)
	}
}

// heardEnds takes in the jobs of which a greeting says that they succeeded.
func (n *Instance) heardEnds(ids []string, source string) {
	if len(ids) == 0 {
		return
	}
	n.ends.hear(ids, source, clock.Now())
	for _, c := range n.owned() {
		c.driver.Heard(ids)
	}
}
