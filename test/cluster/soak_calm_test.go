// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

const (
	// settleTimeAfterFault is how long after a disturbance jobs may still stand still because of it.
	settleTimeAfterFault = 4 * time.Second
	// maxRebirthDelay is how long after the end of a fault a worker may still be down because of it.
	maxRebirthDelay = 1500 * time.Millisecond
)

// interval is the time between two moments.
type interval struct{ from, to time.Time }

func (i interval) duration() time.Duration { return i.to.Sub(i.from) }

// intersect returns the time that is in both intervals. Its duration is not positive if there is
// none.
func (i interval) intersect(o interval) interval {
	if o.from.After(i.from) {
		i.from = o.from
	}
	if o.to.Before(i.to) {
		i.to = o.to
	}
	return i
}

// disturb runs a fault and records for how long it may disturb jobs.
func (s *soak) disturb(fault func()) {
	begun := time.Now()
	fault()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = append(s.disturbed, interval{begun, time.Now().Add(maxRebirthDelay)})
}

// calmDown waits until all faults have ended, and then for calmDuration. What a new owner does late
// is seen best if nothing else happens.
func (s *soak) calmDown() {
	GinkgoHelper()
	s.faults.Wait()
	if s.ownerChange {
		Eventually(s.owner).ShouldNot(BeNil())
		s.disturb(func() { s.killInstance(faultParams{choice: slices.Index(s.instances, s.owner())}) })
	}
	s.logf("calm")
	time.Sleep(calmDuration)
}

// calmIntervals returns the intervals up to a time that begin settleTimeAfterFault after all earlier
// disturbances and end with the next one. Disturbances are the faults and the crashes of workers,
// which a task may cause when no fault is injected.
func (s *soak) calmIntervals(starts []world.Entry, until time.Time) []interval {
	disturbed := slices.Clone(s.disturbed)
	for _, e := range starts {
		if e.Outcome == "lost" {
			disturbed = append(disturbed, interval{e.Ended, e.Ended})
		}
	}
	slices.SortFunc(disturbed, func(a, b interval) int { return a.from.Compare(b.from) })
	var out []interval
	from := s.started
	for _, d := range append(disturbed, interval{until, until}) {
		if calm := (interval{from, d.from}); calm.duration() >= maxStall {
			out = append(out, calm)
		}
		if settled := d.to.Add(settleTimeAfterFault); settled.After(from) {
			from = settled
		}
	}
	return out
}
