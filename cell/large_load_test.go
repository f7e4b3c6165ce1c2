// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Guards against large tasks waiting behind small ones. Large tasks need up to all accelerators of
// a worker, while small tasks of a less urgent queue together ask for nearly all accelerators of
// the pool. A seventh of the large jobs were late and the slowest took 40 s, though they take 4 s
// and come first in the order: a worker that became free was given to a small task at once. The
// policy, which permits four workers of thirteen for a large task, was asked only when one of them
// was free, and half a second later, at the time of its answer, that worker was taken again. No
// room was reserved for the large tasks.

// largeLoad returns a minute of that load: large tasks, alone, a few at a time or in gangs, and
// small ones, which come nearly twice as often in the last third of the time.
func largeLoad(seed uint64, gang bool) *replay {
	r := newReplay(seed, []Queue{
		{Name: "large", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: time.Second,
			Advice: &Advice{Decide: 490 * time.Millisecond, Each: 7 * time.Millisecond, Valid: 2 * time.Second}},
		{Name: "small", Pool: "p", Priority: 2, MaxAttempts: 4, Stretch: 4, Target: 3 * time.Second,
			Advice: &Advice{Decide: 140 * time.Millisecond, Each: 2 * time.Millisecond, Valid: 2 * time.Second}},
	}, map[string]float64{"large": 0.3, "small": 0.45})
	speeds := []float64{0.8, 1, 1.25}
	for i := range 13 {
		room := sched.Vec{sched.MilliCPU: 64_000, sched.MemoryMiB: 131_072, sched.Accelerators: 8, sched.Slots: plenty, sched.Connections: plenty}
		r.worker(fmt.Sprintf("w%02d", i), fmt.Sprintf("h%d", i%4), fmt.Sprintf("r%d", i/3), room, speeds[i%3])
	}
	r.arrivalsAt(time.Minute, func(time.Duration) float64 { return 1.6 }, func(at time.Duration, n int) {
		step := flow.Step{
			Count: 1 + min(int(r.rng.ExpFloat64()*0.9), 4), Gang: gang, Checkpoints: r.rng.Float64() < 0.9,
			Demand: sched.Vec{sched.MilliCPU: 31_000, sched.MemoryMiB: 45_000, sched.Accelerators: []int64{2, 4, 8, 8}[r.rng.IntN(4)]},
		}
		r.job(at, fmt.Sprintf("g%04d", n), "large", 1, step, 3600*time.Millisecond)
	})
	smallRate := func(at time.Duration) float64 {
		if at > 40*time.Second {
			return 3
		}
		return 1.7
	}
	r.arrivalsAt(time.Minute, smallRate, func(at time.Duration, n int) {
		step := flow.Step{
			Count: 1 + min(int(r.rng.ExpFloat64()*3.1), 19), Checkpoints: r.rng.Float64() < 0.8,
			Demand: sched.Vec{sched.MilliCPU: 5_600, sched.MemoryMiB: 11_000, sched.Accelerators: 1},
		}
		r.job(at, fmt.Sprintf("s%04d", n), "small", 1, step, 3800*time.Millisecond)
	})
	return r
}

var _ = Describe("large tasks among small ones that fill the pool", func() {
	const seeds = 4
	for _, gang := range []bool{false, true} {
		It(fmt.Sprintf("are in time, and the small ones too (gangs: %v)", gang), func() {
			var large, small, greedy, inOrder float64
			for seed := range uint64(seeds) {
				base := largeLoad(seed, gang).playGreedy(100*time.Second, false)
				GinkgoWriter.Printf("seed %d, first come first fit: large %v\n", seed, base["large"])
				greedy += base["large"].credit() / seeds
				base = largeLoad(seed, gang).playGreedy(100*time.Second, true)
				GinkgoWriter.Printf("seed %d, strict priority: large %v\n", seed, base["large"])
				inOrder += base["large"].credit() / seeds

				r := largeLoad(seed, gang)
				r.play(100 * time.Second)
				got := r.outcomes()
				GinkgoWriter.Printf("seed %d, the cell: large %v; small %v; %d stops\n", seed, got["large"], got["small"], r.stops)
				large += got["large"].credit() / seeds
				small += got["small"].credit() / seeds
				Expect(r.discardedWork).To(BeZero(), "only tasks with checkpoints yield")
			}
			GinkgoWriter.Printf("large: %.3f, first come first fit %.3f, strict priority %.3f; small: %.3f\n", large, greedy, inOrder, small)
			Expect(large).To(BeNumerically(">=", 0.94))
			Expect(large).To(BeNumerically(">=", inOrder+0.05))
			Expect(large).To(BeNumerically(">=", greedy+0.05))
			Expect(small).To(BeNumerically(">=", 0.97))
		})
	}
})
