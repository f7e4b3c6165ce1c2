// SPDX-License-Identifier: Apache-2.0

package share_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/sched"
	"dewpass.org/share"
)

func vec(cpu, mem, accelerators int64) sched.Vec {
	return sched.Vec{sched.MilliCPU: cpu, sched.MemoryMiB: mem, sched.Accelerators: accelerators}
}

func TestLevel(t *testing.T) {
	for name, c := range map[string]struct {
		capacity sched.Vec
		// weights are those of the accounts that compete, the first of which has the level.
		weights []float64
		used    sched.Vec
		level   int
	}{
		"nothing used":                    {vec(9000, 9000, 0), []float64{1, 1, 1}, vec(0, 0, 0), 0},
		"the fair share":                  {vec(9000, 9000, 0), []float64{1, 1, 1}, vec(3000, 0, 0), share.PerFairShare},
		"just below the fair share":       {vec(9000, 9000, 0), []float64{1, 1, 1}, vec(2999, 0, 0), share.PerFairShare - 1},
		"all of the pool":                 {vec(9000, 9000, 0), []float64{1, 1, 1}, vec(9000, 0, 0), 3 * share.PerFairShare},
		"alone":                           {vec(9000, 9000, 0), []float64{7}, vec(9000, 0, 0), share.PerFairShare},
		"the dominant resource":           {vec(9000, 9000, 0), []float64{1, 1, 1}, vec(300, 3000, 0), share.PerFairShare},
		"accelerators":                    {vec(9000, 9000, 4), []float64{1, 1}, vec(100, 100, 2), share.PerFairShare},
		"a resource that the pool lacks":  {vec(9000, 9000, 0), []float64{1, 1}, vec(0, 0, 2), 0},
		"slots do not count":              {sched.Vec{sched.Slots: 4}, []float64{1, 1}, sched.Vec{sched.Slots: 4}, 0},
		"the fair share of weight 3 of 4": {vec(8000, 8000, 0), []float64{3, 1}, vec(6000, 0, 0), share.PerFairShare},
		"without a weight":                {vec(8000, 8000, 0), []float64{0, 3}, vec(2000, 0, 0), share.PerFairShare},
		"an empty pool":                   {sched.Vec{}, []float64{1, 1}, vec(2000, 0, 0), 0},
		"a weight of almost nothing":      {vec(8000, 8000, 0), []float64{math.SmallestNonzeroFloat64, 1}, vec(2000, 0, 0), 1 << 30},
	} {
		t.Run(name, func(t *testing.T) {
			p := share.Pool{Capacity: c.capacity}
			for _, w := range c.weights {
				p.Compete(w)
			}
			NewWithT(t).Expect(p.Level(c.weights[0], c.used)).To(Equal(c.level))
		})
	}
}

func TestFull(t *testing.T) {
	for name, c := range map[string]struct {
		capacity, free sched.Vec
		full           bool
	}{
		"a tenth is free":        {vec(1000, 1000, 0), vec(100, 100, 0), false},
		"processors are used up": {vec(1000, 1000, 0), vec(99, 1000, 0), true},
		"memory is used up":      {vec(1000, 1000, 0), vec(1000, 99, 0), true},
		"overcommitted":          {vec(1000, 1000, 0), vec(-50, 1000, 0), true},
		"no workers":             {vec(0, 0, 0), vec(0, 0, 0), false},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(share.Full(c.capacity, c.free)).To(Equal(c.full)) })
	}
}

// Guards against an order of work that changes with each task that ends in a full pool.
func TestGateStaysOpenAfterThePoolWasFull(t *testing.T) {
	g := NewWithT(t)
	var gate share.Gate
	now := time.Unix(1_000, 0)
	g.Expect(gate.Open(false, now)).To(BeFalse())
	g.Expect(gate.Open(true, now)).To(BeTrue())
	g.Expect(gate.Open(false, now.Add(share.HoldTime-time.Millisecond))).To(BeTrue())
	g.Expect(gate.Open(false, now.Add(share.HoldTime))).To(BeFalse())
}
