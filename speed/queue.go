// SPDX-License-Identifier: Apache-2.0

package speed

import (
	"math"
	"time"
)

const (
	// assumedEstimateSpread is the standard deviation of the logarithm of durations against their
	// estimates in a queue of which nothing is known: that of estimates between 0.1 and 1.9 times
	// the duration.
	assumedEstimateSpread = 0.7
	// assumedRunSpread is the same for runs of one step on one worker, and minRunSpread its least
	// value: equal durations in the past do not promise that the next one is equal.
	assumedRunSpread = 0.2
	minRunSpread     = 0.05
)

// maxDeviation limits what one run counts: at most three times its expected duration.
var maxDeviation = math.Log(3)

// Queue corrects the estimates of a queue by what its runs took. Its zero value corrects nothing.
type Queue struct {
	weight, mean float64
	at           time.Time
	// estimates is the variance of durations against corrected estimates, and runs that of the runs
	// of one step on one worker.
	estimates, runs variance
}

// Correction returns by what factor the queue's runs take longer than estimated on a worker of
// normal speed.
func (q *Queue) Correction() float64 { return math.Exp(q.mean) }

// observe adds the logarithm of a measured duration, at normal speed, divided by its estimate.
func (q *Queue) observe(ratio float64, now time.Time) {
	deviation := ratio - q.mean
	q.estimates.add(square(clip(deviation, 2*maxDeviation)), now)
	q.weight, q.at = q.weight*decay(q.at, now)+1, now
	q.mean += clip(deviation, maxDeviation) / q.weight
}

// expected returns the logarithm of the work of a task by its estimate, and its variance.
func (q *Queue) expected(estimated time.Duration) (work, variance float64) {
	spread := q.estimates.value(square(assumedEstimateSpread))
	return math.Log(estimated.Seconds()) + q.mean, spread * (1 + 1/max(q.weight, 1))
}

// runVariance returns the variance of the runs of one step on one worker.
func (q *Queue) runVariance() float64 {
	return max(q.runs.value(square(assumedRunSpread)), square(minRunSpread))
}

func square(v float64) float64 { return v * v }
