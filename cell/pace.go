// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

const (
	// Tasks that fill are slowed down when the tail of a task that serves beside
	// them is above paceHigh hundredths of its target, and let go on when it is
	// below paceLow.
	paceHigh = 90
	paceLow  = 65
	// paceDown and paceUp are the steps, in hundredths of full speed: fast down,
	// slow up, each no sooner than the tail can show what the last one did.
	paceDown      = 50
	paceUp        = 20
	paceDownEvery = 700 * time.Millisecond
	paceUpEvery   = 2 * time.Second
)

// Pace sets how fast a run may work, in hundredths.
type Pace struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
	Percent      int
}

// paces decides how fast the runs that fill may work on each worker.
func (c *Cell) paces(a *Actions, now time.Time) {
	for _, w := range c.order {
		if !w.attached || (w.fills == 0 && w.withheld == 0) {
			continue
		}
		w.setPace(now)
		for _, r := range w.held {
			if !r.stage.def.Fills || r.confirmed.IsZero() || r.stopping || r.withheld == w.withheld {
				continue
			}
			r.withheld = w.withheld
			a.Paces = append(a.Paces, Pace{Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.n, Percent: 100 - r.withheld})
		}
	}
}

// setPace follows the worst tail of the tasks that serve on w.
func (w *worker) setPace(now time.Time) {
	worst := w.worstTail()
	since := now.Sub(w.paced)
	switch {
	case worst > paceHigh && w.withheld < 100 && since >= paceDownEvery:
		w.withheld = min(w.withheld+paceDown, 100)
	case worst < paceLow && w.withheld > 0 && since >= paceUpEvery:
		w.withheld = max(w.withheld-paceUp, 0)
	default:
		return
	}
	w.paced = now
}

// worstTail returns the highest tail of a task that serves, in hundredths of its
// target; 0 if none serves.
func (w *worker) worstTail() int64 {
	var worst int64
	for _, r := range w.held {
		if target := r.stage.def.TargetMS; target > 0 {
			worst = max(worst, r.tail*100/target)
		}
	}
	return worst
}
