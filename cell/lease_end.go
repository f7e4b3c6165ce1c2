// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"
)

// The runs on an unreachable worker are certain to be over only when its leases have expired. If
// the policy were asked for other workers only then, its answer would take seconds more, in which
// the users of a long-running task go without it.

// leaseEndLead is how long before the leases of an unreachable worker expire other workers are
// looked for. It is a little shorter than the lifetime of a ticket.
const leaseEndLead = 2 * time.Second

// LeaseEnds sets when the leases of an unreachable worker expire.
func (c *Cell) LeaseEnds(id string, at time.Time) {
	if w := c.workers[id]; w != nil {
		w.leaseEnd = at
	}
}

// askBeforeLeaseEnds marks the steps of long-running tasks that are about to be lost with their
// workers, so that the policy is asked about them, if it permits too few other workers to run them.
func (c *Cell) askBeforeLeaseEnds(now time.Time) {
	var steps []*stage
	lost := make(map[*stage]int)
	for _, w := range c.sortedWorkers {
		if w.attached || w.leaseEnd.IsZero() || w.leaseEnd.Sub(now) > leaseEndLead {
			continue
		}
		for _, r := range w.runList {
			s := r.stage
			if s.unknown || !s.def.LongRunning || s.job.state.Final() {
				continue
			}
			if lost[s]++; lost[s] == 1 {
				steps = append(steps, s)
			}
		}
	}
	for _, s := range steps {
		q := c.queues[s.job.spec.Queue]
		if q == nil || q.Advice == nil || c.countPlaces(s, q, now) >= s.tasksToPlace()+lost[s] {
			continue
		}
		s.needsMove = true
		c.openStage(s)
	}
}
