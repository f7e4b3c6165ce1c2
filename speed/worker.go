// SPDX-License-Identifier: Apache-2.0

package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// assumedWorkerSpread is the standard deviation of the speeds of workers of which nothing is
	// known.
	assumedWorkerSpread = 0.35
	// minRuns is the number of runs that a speed needs as support, and minWeight their least weight:
	// that of as many runs which are one half-life old.
	minRuns   = 3
	minWeight = minRuns / 2.0
	// minDifference is the least difference from the median that is used, as a factor.
	minDifference = 1.15
	// minCertainty is how many standard deviations the difference has to be. The deviations are on the
	// large side: of 350 equal workers, at most two are beyond it at any time in the tests.
	minCertainty = 2.5
)

// Class tells whether a worker's speed is used, and how it differs.
type Class uint8

// The classes of workers.
const (
	// Normal means that the worker's speed is not known to differ from that of others.
	Normal Class = iota
	Slow
	Fast
)

func (c Class) String() string { return [...]string{"normal", "slow", "fast"}[c] }

// Worker estimates the speed of one worker. Its zero value is a worker of which nothing is known.
type Worker struct {
	// told is the sum of all comparisons, and weight the weight of the runs; both decay. runs is the
	// number of runs.
	told   comparison
	weight float64
	runs   int
	at     time.Time
}

// comparison holds what comparisons tell about a worker's speed, in sums that can be added and taken
// away: the count, the weights, which are inverse variances, the weighted speeds and squared speeds.
type comparison struct {
	count, weight, sum, squares float64
}

func (c comparison) times(f float64) comparison {
	return comparison{c.count * f, c.weight * f, c.sum * f, c.squares * f}
}

func (c comparison) plus(o comparison) comparison {
	return comparison{c.count + o.count, c.weight + o.weight, c.sum + o.sum, c.squares + o.squares}
}

// minus takes o away. Rounding leaves nothing below zero.
func (c comparison) minus(o comparison) comparison {
	return comparison{max(c.count-o.count, 0), max(c.weight-o.weight, 0), c.sum - o.sum, max(c.squares-o.squares, 0)}
}

// dispersion returns by what factor the comparisons differ more among each other than their variances
// explain, at least 1. It is not known from a single comparison.
func (c comparison) dispersion() float64 {
	if c.count <= 1 || c.weight <= 0 {
		return 1
	}
	return max((c.squares-square(c.sum)/c.weight)/(c.count-1), 1)
}

// speed returns the logarithm of the speed and its variance, given that speeds are usually about 1.
func (c comparison) speed() (mean, variance float64) {
	f := c.dispersion()
	weight := c.weight/f + 1/square(assumedWorkerSpread)
	return c.sum / f / weight, 1 / weight
}

func (w *Worker) decayTo(now time.Time) {
	f := decay(w.at, now)
	w.told, w.weight, w.at = w.told.times(f), w.weight*f, now
}

// Estimate is what is known of a worker's speed at a time.
type Estimate struct {
	// Log is the natural logarithm of the speed, and Deviation its standard deviation.
	Log, Deviation float64
	// Runs is the number of runs that support it, and Weight their weight, which decays.
	Runs   int
	Weight float64
}

// Estimate returns what is known at a time.
func (w *Worker) Estimate(now time.Time) Estimate {
	f := decay(w.at, now)
	mean, variance := w.told.times(f).speed()
	return Estimate{Log: mean, Deviation: math.Sqrt(variance), Runs: w.runs, Weight: w.weight * f}
}

// Supported reports whether enough runs support the estimate.
func (e Estimate) Supported() bool { return e.Runs >= minRuns && e.Weight >= minWeight }

// Relative returns the class of a worker and the logarithm of its speed relative to the median of
// the pool, which is 0 unless the evidence supports that the two differ.
func (e Estimate) Relative(median float64) (Class, float64) {
	difference := e.Log - median
	if !e.Supported() || math.Abs(difference) < max(math.Log(minDifference), minCertainty*e.Deviation) {
		return Normal, 0
	}
	if difference < 0 {
		return Slow, difference
	}
	return Fast, difference
}

// Median returns the median of the logarithms of the speeds of a pool, 0 if there are none. It
// reorders them.
func Median(speeds []float64) float64 {
	if len(speeds) == 0 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}
