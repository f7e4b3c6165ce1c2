// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// A worker may be lost while the owner changes, with runs that only the former owner knew of. Each task
// that may have been among them has one loss counted against it, for which it is never blamed.

// noteInheritedLoss records that a worker of a former owner was lost before all of its ends were read.
func (c *Cell) noteInheritedLoss(w *worker, how Loss) {
	if w.inherited && !w.endsRead && how != LossPlanned {
		c.InheritLost(w.Hall, []string{w.ID})
	}
}

// countInheritedLoss counts a presumed loss against a task whose first run, which no record names, a
// former owner may have started on a worker that was lost while the owner changed.
func (c *Cell) countInheritedLoss(s *stage, index int, now time.Time) {
	t := &s.tasks[index]
	if !s.job.restored || t.accounted {
		return
	}
	var lost []string
	for _, hall := range s.startHalls() {
		lost = append(lost, c.inheritedWorkersLost[hall]...)
	}
	if len(lost) > 0 {
		t.accounted = true
		c.addInheritedCrash(s, index, flow.Crash{Run: c.runBaseOf(s.job), Blame: flow.BlameUnlikely, Inherited: true}, lost, now)
	}
}

// InheritLost tells the cell of workers in a hall that were lost under former owners with runs that
// may not be on record.
func (c *Cell) InheritLost(hall string, ids []string) {
	if c.inheritedWorkersLost == nil {
		c.inheritedWorkersLost = make(map[string][]string)
	}
	c.inheritedWorkersLost[hall] = append(c.inheritedWorkersLost[hall], ids...)
}

// InheritedLost returns, by hall, the lost workers of former owners, as long as there is a task that
// may have been lost with one of them and whose record does not say so yet. The next owner must know
// of them.
func (c *Cell) InheritedLost() map[string][]string {
	out := make(map[string][]string)
	for _, s := range c.openStages {
		if len(out) == len(c.inheritedWorkersLost) {
			break
		}
		if !s.job.restored || s.job.state.Final() || !s.mayHaveUnrecordedLoss() {
			continue
		}
		for _, hall := range s.startHalls() {
			if ids := c.inheritedWorkersLost[hall]; len(ids) > 0 {
				out[hall] = ids
			}
		}
	}
	return out
}

// mayHaveUnrecordedLoss reports whether a run of a task of s by a former owner may have been lost
// without the stored record saying so.
func (s *stage) mayHaveUnrecordedLoss() bool {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskWaiting && !t.inStore && (!t.accounted || len(t.crashes) > 0) {
			return true
		}
	}
	return false
}

// startHalls returns the halls in which a former owner may have started tasks of s, and the empty
// name of workers whose hall is not known.
func (s *stage) startHalls() []string {
	halls := append([]string{"", s.job.spec.Hall}, s.inheritedHalls...)
	slices.Sort(halls)
	return slices.Compact(halls)
}

// addInheritedCrash counts a loss of a former owner against a task. workers are those with which the
// run may have been lost.
func (c *Cell) addInheritedCrash(s *stage, index int, crash flow.Crash, workers []string, now time.Time) {
	t := &s.tasks[index]
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run == crash.Run }) {
		return
	}
	t.crashes = append(t.crashes, crash)
	c.inheritedLosses = append(c.inheritedLosses, InheritedLoss{
		Task: s.taskID(index), Run: crash.Run, Blame: crash.Blame, Crashes: len(t.crashes), Workers: workers,
	})
	c.markDirty(s.job)
	c.giveUpIfCrashing(s, index, now)
}
