// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"
)

// Empty has just these workers emptied: they are given nothing new, and what runs
// there moves as it does from a worker that leaves. Each counts as leaving patience
// after it was named first.
func (c *Cell) Empty(ids []string, patience time.Duration, now time.Time) {
	for _, w := range c.sortedWorkers {
		switch wanted := slices.Contains(ids, w.ID); {
		case wanted && w.evacuateBy.IsZero():
			w.evacuateBy, c.runsNeedCheck = now.Add(patience), true
		case !wanted:
			w.evacuateBy = time.Time{}
		}
	}
}

// Emptied reports whether a worker that is being emptied may go: nothing runs there,
// or it has been waited for long enough and no step would miss more of its tasks than
// it may.
func (c *Cell) Emptied(id string, now time.Time) bool {
	w := c.workers[id]
	if w == nil || w.evacuateBy.IsZero() || !w.attached {
		return false
	}
	if len(w.runs) == 0 {
		return true
	}
	return !now.Before(w.evacuateBy) && !slices.ContainsFunc(w.runList, (*run).missed)
}

// missed reports whether r is at work for a step that may miss only some of its tasks
// by the system's doing.
func (r *run) missed() bool {
	return !r.stage.unknown && r.stage.def.Lasting && r.stage.def.MayMiss > 0 && r.atWork()
}

// leaving reports whether w is given up soon, by itself or for its upkeep.
func (w *worker) leaving() bool { return w.Draining || !w.evacuateBy.IsZero() }
