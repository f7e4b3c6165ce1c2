// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dewpass.org/tree"
)

const (
	// The histograms cover a millisecond to a day with one significant digit. Each takes a few
	// hundred bytes.
	maxEstimateMS  = 24 * 60 * 60 * 1000
	estimateDigits = 1
	// minSamples is the number of runs after which the measured durations replace the estimate
	// from the tree.
	minSamples       = 10
	estimateQuantile = 90
)

// durationEstimate holds how long the tasks of a workload ran.
type durationEstimate struct {
	histogram *hdrhistogram.Histogram
}

// recordDuration records how long a task ran.
func (o *Owner) recordDuration(w *tree.Workload, ran time.Duration) {
	e := o.durations[w.Path]
	if e == nil {
		e = &durationEstimate{histogram: hdrhistogram.New(1, maxEstimateMS, estimateDigits)}
		o.durations[w.Path] = e
	}
	_ = e.histogram.RecordValue(min(max(ran.Milliseconds(), 1), maxEstimateMS))
}

// expectedDuration returns how long a task of the workload is expected to run.
func (o *Owner) expectedDuration(w *tree.Workload) time.Duration {
	e := o.durations[w.Path]
	if e == nil || e.histogram.TotalCount() < minSamples {
		return w.Estimate
	}
	return time.Duration(e.histogram.ValueAtQuantile(estimateQuantile)) * time.Millisecond
}
