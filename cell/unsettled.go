// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"

	"dewpass.org/sched"
)

// unsettled describes the workers that may have runs which a former owner started and this one does
// not know yet.
type unsettled struct {
	// any means that there may be such workers in any hall.
	any   bool
	halls map[string]bool
	// room is the total capacity of these workers.
	room sched.Vec
}

// unsettled returns the workers that are not settled.
func (c *Cell) unsettled() unsettled {
	u := unsettled{any: len(c.sortedWorkers) == 0}
	for _, w := range c.sortedWorkers {
		if w.settled {
			continue
		}
		if u.halls == nil {
			u.halls = make(map[string]bool)
		}
		u.halls[w.Hall] = true
		u.room = u.room.Add(w.Room)
		u.any = u.any || w.Hall == ""
	}
	return u
}

// heldUp reports whether a former owner may have started tasks of s on a worker that has not listed
// all of its runs and ends to this owner yet.
func (c *Cell) heldUp(s *stage, unsettled *unsettled) bool {
	return s.job.restored && (unsettled.any ||
		unsettled.halls[s.job.spec.Hall] || slices.ContainsFunc(s.inheritedHalls, func(h string) bool { return unsettled.halls[h] }))
}
