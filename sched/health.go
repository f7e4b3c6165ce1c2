// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// latencyStats tracks how long calls take on a worker, as a moving average of the ratio of
// actual to expected duration.
type latencyStats struct {
	ratio   float64
	samples int
	// slowUntil is the time until which the worker gets no calls; 0 if it is not slow.
	slowUntil time.Duration
}

const (
	latencyWeight = 0.2
	// minLatencySamples is how many calls a worker must have finished before it can be marked
	// slow.
	minLatencySamples = 8
	// slowFactor is how many times slower than the overall ratio a worker must be to be marked
	// slow.
	slowFactor = 4
	// slowDuration is how long a slow worker gets no calls. Its statistics start afresh after
	// that.
	slowDuration = 10 * time.Second
	// slowWorkerDivisor limits the workers that are marked slow to 1/slowWorkerDivisor of the
	// open ones: if more are slow, the cause is not the workers.
	slowWorkerDivisor = 8
)

// observeLatency records how long a call took on w. A worker that is much slower than the
// others gets no calls for a while, so that calls do not pile up there.
func (c *Cell) observeLatency(w WorkerID, r *taskRecord, now time.Duration) {
	if r.Estimate <= 0 {
		return
	}
	for int(w) >= len(c.latency) {
		c.latency = append(c.latency, latencyStats{})
	}
	ratio := (now - r.startedAt).Seconds() / r.Estimate.Seconds()
	stats := &c.latency[w]
	stats.samples++
	stats.ratio += sampleWeight(stats.samples) * (ratio - stats.ratio)
	c.overallLatency.samples++
	c.overallLatency.ratio += sampleWeight(c.overallLatency.samples) / slowWorkerDivisor * (min(ratio, slowFactor*c.overallRatio()) - c.overallLatency.ratio)
	if stats.samples < minLatencySamples || stats.ratio < slowFactor*c.overallRatio() {
		return
	}
	if !c.slow[w] && (c.slowCount+1)*slowWorkerDivisor <= c.openCount {
		stats.slowUntil = now + slowDuration
		c.slow[w] = true
		c.slowCount++
	}
}

// sampleWeight returns the weight of the nth sample in the moving average. The first samples
// weigh more than later ones.
func sampleWeight(n int) float64 { return max(latencyWeight, 1/float64(n)) }

// overallRatio returns the ratio of actual to expected call duration over all workers, at least
// 0.1.
func (c *Cell) overallRatio() float64 { return max(c.overallLatency.ratio, 0.1) }

// resetSlow lets workers take calls again once their slowDuration has passed.
func (c *Cell) resetSlow(now time.Duration) {
	if c.slowCount == 0 {
		return
	}
	for w := range c.latency {
		if c.slow[w] && now >= c.latency[w].slowUntil {
			c.slow[w] = false
			c.slowCount--
			c.latency[w] = latencyStats{}
		}
	}
}

// Slow reports whether w gets no calls at present because it is slow.
func (c *Cell) Slow(w WorkerID) bool { return c.slow[w] }
