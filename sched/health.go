// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// health follows how long calls take on one worker, against what they were
// expected to take.
type health struct {
	ratio float64
	calls int
	// until is the time until which the worker gets no calls; 0 is none.
	until time.Duration
}

const (
	healthWeight = 0.2
	// minCalls is how many calls a worker must have finished before it is
	// judged.
	minCalls = 8
	// slowFactor is how much slower than the others a worker must be.
	slowFactor = 4
	// slowTime is how long a slow worker gets no calls. It is judged afresh
	// after that.
	slowTime = 10 * time.Second
	// maxSlowShare bounds the workers that get no calls, as one in this many:
	// when more are slow, the cause is not the workers.
	maxSlowShare = 8
)

// observe takes in how long a call took on w. A worker that is much slower
// than the others gets no calls for a while, so that they do not pile up there.
func (c *Cell) observe(w WorkerID, s *slot, now time.Duration) {
	if s.Estimate <= 0 {
		return
	}
	for int(w) >= len(c.health) {
		c.health = append(c.health, health{})
	}
	ratio := (now - s.started).Seconds() / s.Estimate.Seconds()
	h := &c.health[w]
	h.calls++
	h.ratio += weightOf(h.calls) * (ratio - h.ratio)
	c.typical.calls++
	c.typical.ratio += weightOf(c.typical.calls) / maxSlowShare * (min(ratio, slowFactor*c.typicalRatio()) - c.typical.ratio)
	if h.calls < minCalls || h.ratio < slowFactor*c.typicalRatio() {
		return
	}
	if !c.slow[w] && (c.slowCount+1)*maxSlowShare <= c.open {
		h.until = now + slowTime
		c.slow[w] = true
		c.slowCount++
	}
}

// weightOf lets the first observations count for more than later ones.
func weightOf(n int) float64 { return max(healthWeight, 1/float64(n)) }

// typicalRatio is what calls take on all workers, against expectation.
func (c *Cell) typicalRatio() float64 { return max(c.typical.ratio, 0.1) }

// recoverSlow lets workers have calls again whose time is over.
func (c *Cell) recoverSlow(now time.Duration) {
	if c.slowCount == 0 {
		return
	}
	for w := range c.health {
		if c.slow[w] && now >= c.health[w].until {
			c.slow[w] = false
			c.slowCount--
			c.health[w] = health{}
		}
	}
}

// Slow reports whether w gets no calls at present because it is slow.
func (c *Cell) Slow(w WorkerID) bool { return c.slow[w] }
