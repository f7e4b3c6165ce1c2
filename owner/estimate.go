// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dewpass.org/tree"
)

const (
	// The histograms reach from a millisecond to a day with one significant
	// digit: a few hundred bytes each.
	maxEstimateMS  = 24 * 60 * 60 * 1000
	estimateDigits = 1
	// minSamples is how many runs must be known before they count for more
	// than the operator's own estimate.
	minSamples       = 10
	estimateQuantile = 90
)

// estimate learns how long the tasks of a workload run.
type estimate struct {
	histogram *hdrhistogram.Histogram
}

// learn takes in how long a task ran.
func (o *Owner) learn(w *tree.Workload, ran time.Duration) {
	e := o.history[w.Path]
	if e == nil {
		e = &estimate{histogram: hdrhistogram.New(1, maxEstimateMS, estimateDigits)}
		o.history[w.Path] = e
	}
	_ = e.histogram.RecordValue(min(max(ran.Milliseconds(), 1), maxEstimateMS))
}

// estimate returns how long a task of the workload is expected to run.
func (o *Owner) estimate(w *tree.Workload) time.Duration {
	e := o.history[w.Path]
	if e == nil || e.histogram.TotalCount() < minSamples {
		return w.Estimate
	}
	return time.Duration(e.histogram.ValueAtQuantile(estimateQuantile)) * time.Millisecond
}
