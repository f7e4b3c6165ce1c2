// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math"
	"time"
)

// rate follows how often something happens: an average that forgets half of
// what it knew every half life.
type rate struct {
	perSecond float64
	last      time.Duration
	begun     bool
}

const halfLife = 5 * time.Second

func (r *rate) add(n float64, now time.Duration) {
	r.decay(now)
	r.perSecond += n * math.Ln2 / halfLife.Seconds()
}

func (r *rate) decay(now time.Duration) {
	if r.begun && now > r.last {
		r.perSecond *= math.Exp2(-float64(now-r.last) / float64(halfLife))
	}
	if !r.begun || now > r.last {
		r.last = now
	}
	r.begun = true
}

func (r *rate) at(now time.Duration) float64 {
	r.decay(now)
	return r.perSecond
}

// Reserve works out how much room calls need.
type Reserve struct {
	// Floor is the number of calls that there is always room for.
	Floor    int64
	arrivals rate
	length   float64
	unit     Vec
}

const (
	lengthWeight = 0.05
	// sigmas is how many standard deviations of the number of calls in
	// progress are kept on top of its mean.
	sigmas = 3
)

// Arrived tells of a call that came in, and reports whether the room that one
// call needs has grown.
func (r *Reserve) Arrived(demand Vec, now time.Duration) bool {
	r.arrivals.add(1, now)
	if r.unit.Covers(&demand) {
		return false
	}
	r.unit = r.unit.Max(demand)
	return true
}

// Finished tells of a call that was over after the given time.
func (r *Reserve) Finished(took time.Duration) {
	s := took.Seconds()
	if r.length == 0 {
		r.length = s
		return
	}
	r.length += lengthWeight * (s - r.length)
}

// Calls returns the number of calls at once that room is kept for, those in
// progress included.
func (r *Reserve) Calls(now time.Duration) int64 {
	mean := r.arrivals.at(now) * r.length
	n := int64(math.Ceil(mean + sigmas*math.Sqrt(mean)))
	return max(n, r.Floor)
}

// more returns how many calls room must be kept for when busy of them are
// running.
func (r *Reserve) more(now time.Duration, busy int64) int64 {
	return max(r.Calls(now)-busy, 0)
}
