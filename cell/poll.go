// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

// A poll of a worker renews its lease and returns the ends of its runs, which it reports at once,
// and the progress of its runs. Polls cost more of the owner's link than anything else it does: 240
// polls a second for 120 workers, each answer listing all runs, filled a link of 2 Mbit/s. So each
// worker is polled only as often as its runs have to be watched.

const (
	// minPollInterval applies where latencies have to be followed or a run may stall; workers renew
	// their figures at this interval.
	minPollInterval = 500 * time.Millisecond
	// checkpointPollInterval applies where runs save checkpoints: the owner's knowledge of a
	// checkpoint is up to this old when the worker is lost.
	checkpointPollInterval = time.Second
	// maxPollInterval is the longest poll interval, a third of the shortest lease.
	maxPollInterval = 2 * time.Second
)

// MaxPollWait returns how long a worker may wait for the end of a run before it has to answer a
// poll with the progress of its runs.
func (c *Cell) MaxPollWait(id string) time.Duration {
	w := c.workers[id]
	if w == nil {
		return minPollInterval
	}
	wait := maxPollInterval
	if w.throttlePercent > 0 {
		wait = minPollInterval
	}
	for _, r := range w.runList {
		wait = min(wait, r.pollWithin(w))
	}
	return max(wait, minPollInterval)
}

// pollWithin returns the longest time between polls that r, on w, allows.
func (r *run) pollWithin(w *worker) time.Duration {
	def := r.stage.def
	switch {
	case def.TargetMS > 0 && w.fillerRuns > 0:
		// The speed of the filler runs is set by the latencies of this run.
		return minPollInterval
	case def.LongRunning && r.percent >= 100:
		return maxPollInterval
	case def.Checkpoints:
		return min(r.stallAfter(), checkpointPollInterval)
	}
	return r.stallAfter()
}
