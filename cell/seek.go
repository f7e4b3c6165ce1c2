// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

// What runs on a worker that is out of reach is over for certain only with its leases. Where a
// policy says who may run a step, the question about it takes seconds more if it is asked only
// then, for which the users of a task that lasts go without it.

// leaseEndLead is how long before the leases of a worker out of reach end places are looked for. Tickets
// hold a little longer.
const leaseEndLead = 2 * time.Second

// LeaseEnds says when the leases of a worker that is out of reach are over.
func (c *Cell) LeaseEnds(id string, at time.Time) {
	if w := c.workers[id]; w != nil {
		w.leaseEnd = at
	}
}

// askBeforeLeaseEnds has the policy asked about the steps of tasks that last and are about to be lost with
// their workers, where it lets too few others run them.
func (c *Cell) askBeforeLeaseEnds(now time.Time) {
	var steps []*stage
	lost := make(map[*stage]int)
	for _, w := range c.sortedWorkers {
		if w.attached || w.leaseEnd.IsZero() || w.leaseEnd.Sub(now) > leaseEndLead {
			continue
		}
		for _, r := range w.runList {
			s := r.stage
			if s.unknown || !s.def.Lasting || s.job.state.Final() {
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
		if !slices.Contains(c.openStages, s) {
			c.openStages = append(c.openStages, s)
		}
	}
}
