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
	// maxStall is the maximum time for which nothing of a job may run although its account has
	// room. It is checked from settleTimeAfterFault after the last fault.
	maxStall, settleTimeAfterFault = 3 * time.Second, 4 * time.Second
	// maxRebirthDelay is how long after the end of a fault a worker may still be down because of it.
	maxRebirthDelay = 1500 * time.Millisecond
)

// lastFault returns the end of the last fault, which may be a worker crashed by a task after
// the injected faults have ended.
func (s *soak) lastFault(starts []world.Entry) time.Time {
	last := s.faultsEnded.Add(maxRebirthDelay)
	for _, e := range starts {
		if e.Outcome == "lost" && e.Ended.After(last) {
			last = e.Ended
		}
	}
	return last
}

// idleGap is an interval in which nothing of a job ran.
type idleGap struct{ from, to time.Time }

// idleGaps returns the intervals between the runs of a job, from the given time to the start of its
// last run.
func idleGaps(starts []world.Entry, from time.Time) []idleGap {
	starts = slices.Clone(starts)
	slices.SortFunc(starts, func(a, b world.Entry) int { return a.Begun.Compare(b.Begun) })
	var out []idleGap
	for _, e := range starts {
		if e.Begun.After(from) {
			out = append(out, idleGap{from, e.Begun})
		}
		if e.Ended.After(from) {
			from = e.Ended
		}
	}
	return out
}

// checkLost checks that no accepted job stood still for maxStall while its account was below its
// limit, except for jobs that were cancelled or crash workers. Capacity is never the reason: the
// limits of all accounts together fill less than half of the workers.
func (s *soak) checkLost(byJob map[string][]world.Entry) {
	GinkgoHelper()
	var all []world.Entry
	account := make(map[string][]world.Entry)
	for _, j := range s.jobs {
		all = append(all, byJob[j.id]...)
		account[j.key] = append(account[j.key], byJob[j.id]...)
	}
	from := s.lastFault(all).Add(settleTimeAfterFault)
	var lost []string
	for _, j := range s.jobs {
		if !j.accepted || j.cancelled || j.crashes {
			continue
		}
		for _, p := range idleGaps(byJob[j.id], from) {
			if p.to.Sub(p.from) >= maxStall && belowLimit(account[j.key], p) {
				lost = append(lost, fmt.Sprintf("%s from %.2f to %.2f s", j.id, p.from.Sub(s.started).Seconds(), p.to.Sub(s.started).Seconds()))
			}
		}
	}
	Expect(lost).To(BeEmpty(), "LOST: nothing of a job runs while its account has room")
}

// belowLimit reports whether an account ran fewer tasks than its limit throughout an interval.
func belowLimit(starts []world.Entry, p idleGap) bool {
	for at := p.from; at.Before(p.to); at = at.Add(maxStall / 30) {
		n := 0
		for _, e := range starts {
			if !e.Begun.After(at) && e.Ended.After(at) {
				n++
			}
		}
		if n >= accountTaskLimit {
			return false
		}
	}
	return true
}
