// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

// A look at a worker renews its lease and brings the ends of its runs, which it answers with
// at once, and how its runs fare. Looks cost the link of the owner more than anything else
// that it does: 240 a second for 120 workers, with all that runs there in each answer, filled
// a link of 2 Mbit/s. So a worker is looked at as often as what runs there has to be watched.

const (
	// minPollInterval is how often a worker is looked at where answer times have to be followed
	// or a run may stand still: as often as workers renew their figures.
	minPollInterval = 500 * time.Millisecond
	// checkpointPollInterval is the same where runs save their work: what the owner knows of it is as
	// old when the worker is lost.
	checkpointPollInterval = time.Second
	// maxPollInterval is as long as a worker waits, a third of the shortest lease.
	maxPollInterval = 2 * time.Second
)

// LookWithin returns for how long a worker may wait for an end before it has to say how its
// runs fare.
func (c *Cell) LookWithin(id string) time.Duration {
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

// pollWithin returns how long r, on w, may go without being looked at.
func (r *run) pollWithin(w *worker) time.Duration {
	def := r.stage.def
	switch {
	case def.TargetMS > 0 && w.fillerRuns > 0:
		// Its answer times say how fast the runs that fill may work.
		return minPollInterval
	case def.Lasting && r.percent >= 100:
		return maxPollInterval
	case def.Checkpoints:
		return min(r.stallAfter(), checkpointPollInterval)
	}
	return r.stallAfter()
}
