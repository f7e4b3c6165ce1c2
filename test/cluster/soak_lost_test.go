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
	// maxStall is the maximum time for which nothing of a job may run in a calm interval although
	// its account has room.
	maxStall = 3 * time.Second
	// limitCheckInterval is the step in which the check looks at what an account has running.
	limitCheckInterval = 100 * time.Millisecond
)

// idleIntervals returns the intervals from the acceptance of a job to the start of its last run in
// which nothing of it ran.
func idleIntervals(starts []world.Entry, accepted time.Time) []interval {
	starts = slices.Clone(starts)
	slices.SortFunc(starts, func(a, b world.Entry) int { return a.Begun.Compare(b.Begun) })
	var out []interval
	from := accepted
	for _, e := range starts {
		if e.Begun.After(from) {
			out = append(out, interval{from, e.Begun})
		}
		if e.Ended.After(from) {
			from = e.Ended
		}
	}
	return out
}

// stall is an interval in which nothing of a job ran for too long.
type stall struct {
	job string
	interval
}

// checkLost checks that no accepted job stood still for maxStall in a calm interval while its
// account was below its limit, except for jobs that were cancelled or crash workers. Capacity is
// never the reason: the limits of all accounts together fill less than half of the workers.
func (s *soak) checkLost(byJob map[string][]world.Entry) {
	GinkgoHelper()
	var lost []string
	for _, l := range s.stalls(byJob) {
		lost = append(lost, fmt.Sprintf("%s from %.2f to %.2f s", l.job, l.from.Sub(s.started).Seconds(), l.to.Sub(s.started).Seconds()))
	}
	Expect(lost).To(BeEmpty(), "LOST: nothing of a job runs while its account has room")
}

func (s *soak) stalls(byJob map[string][]world.Entry) []stall {
	var all []world.Entry
	account := make(map[string][]world.Entry)
	for _, j := range s.jobs {
		all = append(all, byJob[j.id]...)
		account[j.key] = append(account[j.key], byJob[j.id]...)
	}
	calm := s.calmIntervals(all, time.Now())
	for _, c := range calm {
		s.logf("jobs must not stand still from %.2f to %.2f s", c.from.Sub(s.started).Seconds(), c.to.Sub(s.started).Seconds())
	}
	var out []stall
	for _, j := range s.jobs {
		if !j.accepted || j.cancelled || j.crashes || j.special {
			continue
		}
		for _, p := range stallsOf(idleIntervals(byJob[j.id], j.acceptedAt), calm, account[j.key], s.lostBelow()) {
			out = append(out, stall{j.id, p})
		}
	}
	return out
}

// stallsOf returns the parts of a job's idle intervals that are calm, in which its account was below
// a number of tasks, and that are too long.
func stallsOf(idle, calm []interval, account []world.Entry, below int) []interval {
	var out []interval
	for _, i := range idle {
		for _, c := range calm {
			out = append(out, belowLimit(account, i.intersect(c), below)...)
		}
	}
	return slices.DeleteFunc(out, func(p interval) bool { return p.duration() < maxStall })
}

// belowLimit returns the parts of an interval in which an account ran fewer tasks than a limit.
func belowLimit(starts []world.Entry, p interval, limit int) []interval {
	var out []interval
	from := p.from
	for at := p.from; at.Before(p.to); at = at.Add(limitCheckInterval) {
		if running(starts, at) >= limit {
			out = append(out, interval{from, at})
			from = at.Add(limitCheckInterval)
		}
	}
	return append(out, interval{from, p.to})
}

// running returns the number of runs at a time.
func running(starts []world.Entry, at time.Time) int {
	n := 0
	for _, e := range starts {
		if !e.Begun.After(at) && e.Ended.After(at) {
			n++
		}
	}
	return n
}
