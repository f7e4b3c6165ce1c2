// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

// A look at a worker renews its lease and brings the ends of its runs, which it answers with
// at once, and how its runs fare. Looks cost the link of the owner more than anything else
// that it does: 240 a second for 120 workers, with all that runs there in each answer, filled
// a link of 2 Mbit/s. So a worker is looked at as often as what runs there has to be watched.

const (
	// lookLeast is how often a worker is looked at where answer times have to be followed
	// or a run may stand still: as often as workers renew their figures.
	lookLeast = 500 * time.Millisecond
	// lookSaving is the same where runs save their work: what the owner knows of it is as
	// old when the worker is lost.
	lookSaving = time.Second
	// lookMost is as long as a worker waits, a third of the shortest lease.
	lookMost = 2 * time.Second
)

// LookWithin returns for how long a worker may wait for an end before it has to say how its
// runs fare.
func (c *Cell) LookWithin(id string) time.Duration {
	w := c.workers[id]
	if w == nil {
		return lookLeast
	}
	wait := lookMost
	if w.withheld > 0 {
		wait = lookLeast
	}
	for _, r := range w.held {
		wait = min(wait, r.lookWithin(w))
	}
	return max(wait, lookLeast)
}

// lookWithin returns how long r, on w, may go without being looked at.
func (r *run) lookWithin(w *worker) time.Duration {
	def := r.stage.def
	switch {
	case def.TargetMS > 0 && w.fills > 0:
		// Its answer times say how fast the runs that fill may work.
		return lookLeast
	case def.Lasting && r.percent >= 100:
		return lookMost
	case def.Checkpoints:
		return min(r.stallAfter(), lookSaving)
	}
	return r.stallAfter()
}
