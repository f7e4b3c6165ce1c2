// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math"
	"time"
)

// decayingRate is an exponentially decaying average of the number of events per second, with
// the half-life rateHalfLife.
type decayingRate struct {
	perSecond float64
	updatedAt time.Duration
	started   bool
}

const rateHalfLife = 5 * time.Second

func (r *decayingRate) add(n float64, now time.Duration) {
	r.decay(now)
	r.perSecond += n * math.Ln2 / rateHalfLife.Seconds()
}

func (r *decayingRate) decay(now time.Duration) {
	if r.started && now > r.updatedAt {
		r.perSecond *= math.Exp2(-float64(now-r.updatedAt) / float64(rateHalfLife))
	}
	if !r.started || now > r.updatedAt {
		r.updatedAt = now
	}
	r.started = true
}

func (r *decayingRate) at(now time.Duration) float64 {
	r.decay(now)
	return r.perSecond
}

// CallReserve computes how much capacity to reserve for calls.
type CallReserve struct {
	// Floor is the least number of concurrent calls to reserve capacity for.
	Floor        int64
	arrivals     decayingRate
	meanDuration float64
	unit         Vec
}

const (
	durationWeight = 0.05
	// reserveStdDevs is how many standard deviations are added to the mean number of concurrent
	// calls.
	reserveStdDevs = 3
)

// RecordArrival counts a call. It reports whether the demand of one call, which is the largest
// seen in each dimension, has grown.
func (r *CallReserve) RecordArrival(demand Vec, now time.Duration) bool {
	r.arrivals.add(1, now)
	if r.unit.Covers(&demand) {
		return false
	}
	r.unit = r.unit.Max(demand)
	return true
}

// RecordDuration records how long a call took.
func (r *CallReserve) RecordDuration(took time.Duration) {
	s := took.Seconds()
	if r.meanDuration == 0 {
		r.meanDuration = s
		return
	}
	r.meanDuration += durationWeight * (s - r.meanDuration)
}

// Target returns the number of concurrent calls to reserve capacity for, including those in
// progress.
func (r *CallReserve) Target(now time.Duration) int64 {
	mean := r.arrivals.at(now) * r.meanDuration
	n := int64(math.Ceil(mean + reserveStdDevs*math.Sqrt(mean)))
	return max(n, r.Floor)
}

// shortfall returns how many more calls to reserve capacity for while busy calls are in
// progress.
func (r *CallReserve) shortfall(now time.Duration, busy int64) int64 {
	return max(r.Target(now)-busy, 0)
}
