// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

const (
	// Filler tasks are slowed down when the tail latency of a serving task on the same worker is
	// above slowDownAbove percent of its target, and sped up again when it is below speedUpBelow
	// percent.
	slowDownAbove = 90
	speedUpBelow  = 65
	// The steps, in percent of full speed, and the intervals between them: fast down and slow up,
	// and no faster than the tail latency can show the effect of the previous step.
	slowDownStep     = 50
	speedUpStep      = 20
	slowDownInterval = 700 * time.Millisecond
	speedUpInterval  = 2 * time.Second
)

// Pace sets how fast a run may work, in percent of full speed.
type Pace struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
	Percent      int
}

// decidePaces sets how fast the filler runs on each worker may work.
func (c *Cell) decidePaces(a *Actions, now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached || (w.fillerRuns == 0 && w.throttlePercent == 0) {
			continue
		}
		w.setPace(now)
		for _, r := range w.runList {
			if !r.stage.def.IdleCPUOnly || r.confirmedAt.IsZero() || r.stopping || r.throttlePercent == w.throttlePercent {
				continue
			}
			r.throttlePercent = w.throttlePercent
			a.Paces = append(a.Paces, Pace{Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.number, Percent: 100 - r.throttlePercent})
		}
	}
}

// setPace adjusts the throttling on w to the worst tail latency of the serving tasks there.
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

// worstTail returns the highest tail latency of a serving task, in percent of its target; 0 if
// there is none.
func (w *worker) worstTail() int64 {
	var worst int64
	for _, r := range w.runList {
		if target := r.stage.def.TargetMS; target > 0 {
			worst = max(worst, r.tail*100/target)
		}
	}
	return worst
}
