// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

const (
	// Tasks that fill are slowed down when the tail of a task that serves beside
	// them is above slowDownAbove hundredths of its target, and let go on when it is
	// below paceLow.
	slowDownAbove = 90
	speedUpBelow  = 65
	// slowDownStep and paceUp are the steps, in hundredths of full speed: fast down,
	// slow up, each no sooner than the tail can show what the last one did.
	slowDownStep     = 50
	speedUpStep      = 20
	slowDownInterval = 700 * time.Millisecond
	speedUpInterval  = 2 * time.Second
)

// Pace sets how fast a run may work, in hundredths.
type Pace struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
	Percent      int
}

// decidePaces decides how fast the runs that fill may work on each worker.
func (c *Cell) decidePaces(a *Actions, now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached || (w.fillerRuns == 0 && w.throttlePercent == 0) {
			continue
		}
		w.setPace(now)
		for _, r := range w.runList {
			if !r.stage.def.Fills || r.confirmedAt.IsZero() || r.stopping || r.throttlePercent == w.throttlePercent {
				continue
			}
			r.throttlePercent = w.throttlePercent
			a.Paces = append(a.Paces, Pace{Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.number, Percent: 100 - r.throttlePercent})
		}
	}
}

// setPace follows the worst tail of the tasks that serve on w.
func (w *worker) setPace(now time.Time) {
	worst := w.worstTail()
	since := now.Sub(w.pacedAt)
	switch {
	case worst > slowDownAbove && w.throttlePercent < 100 && since >= slowDownInterval:
		w.throttlePercent = min(w.throttlePercent+slowDownStep, 100)
	case worst < speedUpBelow && w.throttlePercent > 0 && since >= speedUpInterval:
		w.throttlePercent = max(w.throttlePercent-speedUpStep, 0)
	default:
		return
	}
	w.pacedAt = now
}

// worstTail returns the highest tail of a task that serves, in hundredths of its
// target; 0 if none serves.
func (w *worker) worstTail() int64 {
	var worst int64
	for _, r := range w.runList {
		if target := r.stage.def.TargetMS; target > 0 {
			worst = max(worst, r.tail*100/target)
		}
	}
	return worst
}
