// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

// Evacuate sets the workers to evacuate, replacing the previous set: they are given nothing new,
// and their runs are moved as from a leaving worker. Each may be taken down, with the limits
// described at Evacuated, once patience has passed since it was first named.
func (c *Cell) Evacuate(ids []string, patience time.Duration, now time.Time) {
	for _, w := range c.sortedWorkers {
		switch wanted := slices.Contains(ids, w.ID); {
		case wanted && w.evacuateBy.IsZero():
			w.evacuateBy, c.runsNeedCheck = now.Add(patience), true
		case !wanted:
			w.evacuateBy = time.Time{}
		}
	}
}

// Evacuated reports whether a worker under evacuation may be taken down: it runs nothing and its ends
// are stored, or its deadline has passed and it has no run at work of a step that limits its missing
// tasks.
func (c *Cell) Evacuated(id string, now time.Time) bool {
	w := c.workers[id]
	if w == nil || w.evacuateBy.IsZero() || !w.attached {
		return false
	}
	if w.empty() {
		return true
	}
	return !now.Before(w.evacuateBy) && !slices.ContainsFunc(w.runList, (*run).missed)
}

// missed reports whether r is at work for a step that limits how many of its tasks may be missing
// because of the system's own actions.
func (r *run) missed() bool {
	return !r.stage.unknown && r.stage.def.LongRunning && r.stage.def.MaxUnavailable > 0 && r.atWork()
}

// leaving reports whether w will be gone soon, because it announced so or is being evacuated.
func (w *worker) leaving() bool { return w.Draining || !w.evacuateBy.IsZero() }
