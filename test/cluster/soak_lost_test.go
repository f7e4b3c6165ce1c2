// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

const (
	// lostAfter is for how long nothing of a job may run while it could, from calmFor after the
	// last fault on.
	lostAfter, calmFor = 3 * time.Second, 4 * time.Second
	// latestRebirth is how long after the end of a fault a worker may still be away by it.
	latestRebirth = 1500 * time.Millisecond
)

// lastFault returns when the last fault ended: tasks may go on crashing their workers.
func (s *soak) lastFault(starts []world.Entry) time.Time {
	last := s.calm.Add(latestRebirth)
	for _, e := range starts {
		if e.How == "lost" && e.Ended.After(last) {
			last = e.Ended
		}
	}
	return last
}

// pause is a time in which nothing of a job ran.
type pause struct{ from, to time.Time }

// pauses returns the times between the runs of a job, from a moment to the end of the last run.
func pauses(starts []world.Entry, from time.Time) []pause {
	starts = slices.Clone(starts)
	slices.SortFunc(starts, func(a, b world.Entry) int { return a.Begun.Compare(b.Begun) })
	var out []pause
	for _, e := range starts {
		if e.Begun.After(from) {
			out = append(out, pause{from, e.Begun})
		}
		if e.Ended.After(from) {
			from = e.Ended
		}
	}
	return out
}

// checkLost holds the pauses of all jobs that were done against the time that they may take. Of
// the workers less than half is in use throughout: what their accounts allow fills no more.
func (s *soak) checkLost(byJob map[string][]world.Entry) {
	GinkgoHelper()
	var all []world.Entry
	account := make(map[string][]world.Entry)
	for _, j := range s.jobs {
		all = append(all, byJob[j.id]...)
		account[j.key] = append(account[j.key], byJob[j.id]...)
	}
	from := s.lastFault(all).Add(calmFor)
	var lost []string
	for _, j := range s.jobs {
		if !j.accepted || j.cancelled || j.crashes {
			continue
		}
		for _, p := range pauses(byJob[j.id], from) {
			if p.to.Sub(p.from) >= lostAfter && mayRun(account[j.key], p) {
				lost = append(lost, fmt.Sprintf("%s from %.2f to %.2f s", j.id, p.from.Sub(s.begun).Seconds(), p.to.Sub(s.begun).Seconds()))
			}
		}
	}
	Expect(lost).To(BeEmpty(), "LOST: nothing of a job runs while it could")
}

// mayRun reports whether an account had less running than its limit all through a pause.
func mayRun(starts []world.Entry, p pause) bool {
	for at := p.from; at.Before(p.to); at = at.Add(lostAfter / 30) {
		n := 0
		for _, e := range starts {
			if !e.Begun.After(at) && e.Ended.After(at) {
				n++
			}
		}
		if n >= soakLimit {
			return false
		}
	}
	return true
}
