// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"time"
)

// Under overload most steps that wait find no worker, decision after decision. Trying them all each
// time takes the longer the more of them wait, and an owner that is late with its decisions leaves
// its workers idle, so that still more steps wait. So a decision after one that has examined many
// workers postpones steps that were tried in vain, and the number of workers that one decision examines
// is bounded. Only steps whose workers a policy permits are postponed: the others are passed over
// anyway once one of them found no room (see foundNoRoom), and would be overtaken by those behind them.

const (
	// minBackoff and maxBackoff bound the pause of a step after it was tried in vain. Room for a task
	// comes free every few milliseconds, and tasks last for half a second and longer.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
	// maxUrgentBackoff is the longest pause for the most urgent queue.
	maxUrgentBackoff = 20 * time.Millisecond
	// examinedPerDecision limits the workers that a decision examines to some milliseconds' worth, or
	// to examinedPerWorker times the workers in a large cell.
	examinedPerDecision = 40_000
	examinedPerWorker   = 40
	// A decision that has examined 1/crowdedDivisor of the limit makes the next one postpone steps:
	// below it, a decision takes less than the shortest pause between two.
	crowdedDivisor = 10
	// maxUnexamined is how long a step may be postponed by that limit. It is well below the time for
	// which a step may wait while there is room for it.
	maxUnexamined = 500 * time.Millisecond
)

// backoff postpones a step that was tried in vain.
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

// postponed reports whether s is left out of the present decision.
func (c *Cell) postponed(s *stage, q *Queue, now time.Time) bool {
	if q.Advice != nil && c.crowded && now.Before(s.backoff.until) {
		return true
	}
	limit := c.examinedLimit()
	if c.examined < limit {
		return false
	}
	// What remains is for the steps that were left out for long.
	return c.examined >= 2*limit || now.Sub(s.examinedAt) < maxUnexamined
}

// examinedLimit returns how many workers a decision may examine before it leaves steps out.
func (c *Cell) examinedLimit() int {
	if c.unlimited {
		return math.MaxInt / 2
	}
	return max(examinedPerDecision, examinedPerWorker*len(c.sortedWorkers))
}
