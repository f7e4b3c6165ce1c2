// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// batchLoad returns 45 s of calls, of wide batch jobs that alone would fill two thirds of a pool,
// and of long-running services, with one burst of calls and one of batch jobs. The policy takes
// long for questions about batch jobs and permits a third of the workers for them.
func batchLoad(seed uint64) *replay {
	r := newReplay(seed, []Queue{
		{Name: "call", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond,
			Advice: &Advice{Decide: 26 * time.Millisecond, Each: 364 * time.Microsecond, Valid: 2500 * time.Millisecond}},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 4, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advice: &Advice{Decide: 494 * time.Millisecond, Each: 7150 * time.Microsecond, Valid: 2500 * time.Millisecond}},
		{Name: "service", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: 2500 * time.Millisecond,
			Advice: &Advice{Decide: 585 * time.Millisecond, Each: 8450 * time.Microsecond, Valid: 2500 * time.Millisecond}},
	}, map[string]float64{"call": 0.7, "batch": 0.35, "service": 0.35})
	r.callers = 29
	sizes, speeds := []int64{2, 2, 1, 4}, []float64{1, 1, 1.3}
	for i := range 350 {
		size := sizes[i%len(sizes)]
		room := sched.Vec{sched.MilliCPU: 16_000 * size, sched.MemoryMiB: 32_768 * size, sched.Slots: plenty, sched.Connections: plenty}
		r.worker(fmt.Sprintf("w%03d", i), fmt.Sprintf("h%d", i%3), fmt.Sprintf("r%d", i/20), room, speeds[i%len(speeds)])
	}
	burst := func(rate, times float64, from time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= from && at < from+4*time.Second {
				return rate * times
			}
			return rate
		}
	}
	spread := func(mean, by float64, most int) int {
		return max(1, min(int(mean*math.Exp(r.rng.NormFloat64()*by-by*by/2)+0.5), most))
	}
	r.arrivalsAt(45*time.Second, burst(33, 2, 8*time.Second), func(at time.Duration, n int) {
		step := flow.Step{Count: spread(9.5, 0.8, 57), Demand: sched.Vec{sched.MilliCPU: int64(spread(4500, 0.45, 13_000)), sched.MemoryMiB: int64(spread(6400, 0.6, 19_000))}}
		r.job(at, fmt.Sprintf("c%04d", n), "call", 1+min(n%5/2, 1), step, 640*time.Millisecond)
	})
	r.arrivalsAt(45*time.Second, burst(6, 1.8, 20*time.Second), func(at time.Duration, n int) {
		step := flow.Step{Count: spread(21, 0.6, 100), Checkpoints: r.rng.Float64() < 0.8,
			Demand: sched.Vec{sched.MilliCPU: int64(spread(9000, 0.4, 15_000)), sched.MemoryMiB: int64(spread(9100, 0.5, 18_000))}}
		r.job(at, fmt.Sprintf("b%04d", n), "batch", 1+n%3, step, 3800*time.Millisecond)
	})
	addService := func(at time.Duration, id string) {
		step := flow.Step{Count: spread(20, 0.8, 120), LongRunning: true,
			Demand: sched.Vec{sched.MilliCPU: int64(spread(9000, 0.4, 15_000)), sched.MemoryMiB: int64(spread(9000, 0.5, 18_000))}}
		r.job(at, id, "service", 1, step, time.Second)
		stays := time.Duration(spread(45, 0.7, 140)) * time.Second
		r.after(at+stays, func() { r.Cancel(id, r.now) })
	}
	for n := range 13 {
		addService(0, fmt.Sprintf("s%04d", n))
	}
	r.arrivalsAt(45*time.Second, func(time.Duration) float64 { return 0.243 }, func(at time.Duration, n int) { addService(at, fmt.Sprintf("t%04d", n)) })
	for n := range 24 {
		step := flow.Step{Count: spread(21, 0.6, 100), Checkpoints: r.rng.Float64() < 0.8,
			Demand: sched.Vec{sched.MilliCPU: int64(spread(9000, 0.4, 15_000)), sched.MemoryMiB: int64(spread(9100, 0.5, 18_000))}}
		r.job(0, fmt.Sprintf("a%04d", n), "batch", 1+n%3, step, 3800*time.Millisecond)
	}
	return r
}

var _ = Describe("batch jobs that fill most of a pool beside calls and services", func() {
	It("are in time where the policy can barely answer all questions", func() {
		const seeds = 2
		var call, batch float64
		for seed := range uint64(seeds) {
			r := batchLoad(seed)
			r.play(60 * time.Second)
			o := r.outcomes()
			GinkgoWriter.Printf("seed %d: call %v; batch %v; %d questions, %v of policy time\n", seed, o["call"], o["batch"], r.asked, r.policyTime.Round(time.Second))
			call += o["call"].inTime / seeds
			batch += o["batch"].inTime / seeds
		}
		Expect(call).To(BeNumerically(">=", 0.99))
		Expect(batch).To(BeNumerically(">=", 0.94))
	})
})
