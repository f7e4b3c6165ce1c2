// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"time"
)

// Under overload most steps that wait find no worker, decision after decision. The search for workers
// to ask the policy about, or to reserve room on, takes the longer the more of them wait, and an owner
// that is late with its decisions leaves its workers idle, so that still more steps wait. So after a
// decision that has examined many workers, steps repeat that search only now and then, and the number
// of workers that one decision examines is bounded. Whether a step can start now is tried in each
// decision up to that bound, in the order of the steps: a step that were tried less often would be
// overtaken by those behind it.

const (
	// minBackoff and maxBackoff bound the pause between two such searches for a step. Tasks last for
	// half a second and longer, and so do most questions.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
	// maxUrgentBackoff is the longest pause for the most urgent queue.
	maxUrgentBackoff = 20 * time.Millisecond
	// examinedPerDecision limits the workers that a decision examines to some milliseconds' worth, or
	// to examinedPerWorker times the workers in a large cell.
	examinedPerDecision = 50_000
	examinedPerWorker   = 50
	// A decision that has examined 1/crowdedDivisor of the limit makes the next one postpone steps:
	// below it, a decision takes less than the shortest pause between two.
	crowdedDivisor = 10
	// maxUnexamined is how long a step may be postponed by that limit. It is well below the time for
	// which a step may wait while there is room for it.
	maxUnexamined = 500 * time.Millisecond
)

// backoff postpones the next search for a step that could not start.
type backoff struct {
	pause time.Duration
	until time.Time
}

// attempted records an attempt to start tasks.
func (b *backoff) attempted(started bool, most time.Duration, now time.Time) {
	if started {
		*b = backoff{}
		return
	}
	b.pause = min(max(2*b.pause, minBackoff), most)
	b.until = now.Add(b.pause)
}

// maxBackoff returns the longest pause of the steps of a queue.
func (c *Cell) maxBackoff(q *Queue) time.Duration {
	if q.Priority == c.firstPriority {
		return maxUrgentBackoff
	}
	return maxBackoff
}

// backingOff reports whether the search for workers for s is postponed.
func (c *Cell) backingOff(s *stage, now time.Time) bool {
	return c.crowded && now.Before(s.backoff.until)
}

// leftOut reports whether s is left out of the present decision, which has examined enough workers.
// What remains is for the steps that were left out for long.
func (c *Cell) leftOut(s *stage, now time.Time) bool {
	limit := c.examinedLimit()
	if c.examined < limit {
		return false
	}
	return c.examined >= 2*limit || now.Sub(s.examinedAt) < maxUnexamined
}

// examinedLimit returns how many workers a decision may examine before it leaves steps out.
func (c *Cell) examinedLimit() int {
	if c.unlimited {
		return math.MaxInt / 2
	}
	return max(examinedPerDecision, examinedPerWorker*len(c.sortedWorkers))
}
