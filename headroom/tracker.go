// SPDX-License-Identifier: Apache-2.0

package headroom

import (
	"time"

	"dewpass.org/sched"
)

// Window is the length of a window. A peak counts until the end of the window after its own: long
// enough to span the pauses between a customer's calls.
const Window = 3 * time.Second

// Tracker follows the urgent tasks of a pool. Its zero value has no history.
type Tracker struct {
	present, previous window
	windowEnd         time.Time
}

// window is what was observed in one window.
type window struct {
	// peak is the largest number of tasks observed at once.
	peak int64
	// tasks and demand are the sums over all observations.
	tasks  int64
	demand sched.Vec
}

// Observe records how many urgent tasks run or wait now, and the sum of their demands.
func (t *Tracker) Observe(now time.Time, tasks int64, demand sched.Vec) {
	if now.After(t.windowEnd) {
		t.previous, t.present = t.present, window{}
		if now.After(t.windowEnd.Add(Window)) {
			t.previous = window{}
		}
		t.windowEnd = now.Add(Window)
	}
	w := &t.present
	w.peak = max(w.peak, tasks)
	w.tasks += tasks
	w.demand = w.demand.Add(demand)
}

// Need returns the number of units that urgent work needs, including what it uses now.
func (t *Tracker) Need() int64 {
	peak := max(t.present.peak, t.previous.peak)
	return peak + twiceRoot(peak)
}

// twiceRoot returns twice the square root of n, rounded up.
func twiceRoot(n int64) int64 {
	var root int64
	for root*root < 4*n {
		root++
	}
	return root
}

// Unit returns the mean demand of the observed tasks, rounded up. It is zero if there were none.
func (t *Tracker) Unit() sched.Vec {
	tasks := t.present.tasks + t.previous.tasks
	if tasks == 0 {
		return sched.Vec{}
	}
	unit := t.present.demand.Add(t.previous.demand)
	for d := range unit {
		unit[d] = (unit[d] + tasks - 1) / tasks
	}
	return unit
}
