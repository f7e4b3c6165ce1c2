// SPDX-License-Identifier: Apache-2.0

package speed

import (
	"math"
	"time"
)

// halfLife is the time after which a run counts half.
const halfLife = 10 * time.Second

// decay returns the weight at a time of what had weight 1 at an earlier one.
func decay(from, to time.Time) float64 {
	if !to.After(from) {
		return 1
	}
	return math.Exp2(-float64(to.Sub(from)) / float64(halfLife))
}

// clip limits v to the range from -limit to limit.
func clip(v, limit float64) float64 { return min(max(v, -limit), limit) }

// variance is a decaying mean of squared deviations, which begins with an assumed value.
type variance struct {
	weight, sum float64
	at          time.Time
}

// assumedWeight is how many deviations the assumed value of a variance counts for.
const assumedWeight = 4

func (v *variance) add(square float64, now time.Time) {
	f := decay(v.at, now)
	v.weight, v.sum, v.at = v.weight*f+1, v.sum*f+square, now
}

func (v *variance) value(assumed float64) float64 {
	return (v.sum + assumedWeight*assumed) / (v.weight + assumedWeight)
}
