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

// What happened: while a burst nearly doubled the calls, and while a hall was cut off and its
// work had to be done elsewhere, a cell had a tenth of its room left in pieces. Fifteen calls
// at a time waited for up to a second, which is more than they have to spare, beside batch
// that saves its work, has seconds to spare and held a third of the room.

// burstLoad is that load for 20 s: batch that fills the cell, calls at half of what is left,
// and three times as many of them from 8 s to 12 s.
func burstLoad(seed uint64) *replay {
	r := newReplay(seed, []Queue{
		{Name: "calls", Pool: "p", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond,
			Advice: &Advice{Decide: 33 * time.Millisecond, Each: 470 * time.Microsecond, Valid: 2500 * time.Millisecond}},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advice: &Advice{Decide: 100 * time.Millisecond, Each: time.Millisecond, Valid: 2500 * time.Millisecond}},
	}, map[string]float64{"calls": 0.7, "batch": 0.5})
	for i := range 30 {
		room := sched.Vec{sched.Milli: 16_000, sched.MiB: 1 << 20, sched.Slots: plenty, sched.Conns: plenty}
		r.worker(fmt.Sprintf("w%02d", i), fmt.Sprintf("h%d", i%3), fmt.Sprintf("r%d", i/5), room, 1)
	}
	callRate := func(at time.Duration) float64 {
		if at > 8*time.Second && at < 12*time.Second {
			return 9
		}
		return 3
	}
	r.arrivalsAt(20*time.Second, callRate, func(at time.Duration, n int) {
		step := flow.Step{Count: 4 + r.rng.IntN(16), Demand: sched.Vec{sched.Milli: 3500, sched.MiB: 100}}
		r.job(at, fmt.Sprintf("c%04d", n), "calls", 1, step, time.Second)
	})
	r.arrivalsAt(18*time.Second, func(time.Duration) float64 { return 0.75 }, func(at time.Duration, n int) {
		step := flow.Step{Count: 5 + r.rng.IntN(20), Checkpoints: true, Demand: sched.Vec{sched.Milli: 4500, sched.MiB: 100}}
		r.job(at, fmt.Sprintf("b%04d", n), "batch", 1, step, 4*time.Second)
	})
	return r
}

var _ = Describe("a burst of calls in a cell that batch fills", func() {
	It("makes batch that saves its work yield, and calls gain more than batch loses", func() {
		const seeds = 5
		var calls, batch, inOrder, inOrderBatch float64
		for seed := range uint64(seeds) {
			base := burstLoad(seed).playGreedy(40*time.Second, true)
			inOrder += base["calls"].worth() / seeds
			inOrderBatch += base["batch"].worth() / seeds
			r := burstLoad(seed)
			r.play(40 * time.Second)
			got := r.outcomes()
			GinkgoWriter.Printf("seed %d, strict priority: calls %v, batch %v; the cell: calls %v, batch %v, %d stops\n",
				seed, base["calls"], base["batch"], got["calls"], got["batch"], r.stops)
			calls += got["calls"].worth() / seeds
			batch += got["batch"].worth() / seeds
			Expect(r.thrown).To(BeZero(), "only tasks that save their work yield")
			Expect(r.stops).To(BeNumerically(">", 0))
		}
		GinkgoWriter.Printf("calls %.3f (strict priority %.3f), batch %.3f (%.3f)\n", calls, inOrder, batch, inOrderBatch)
		Expect(calls).To(BeNumerically(">", inOrder+0.1))
		Expect(batch).To(BeNumerically(">", inOrderBatch-0.15))
	})

	It("stops no more than it needs, and nothing for a call that is late anyway", func() {
		c := New(0)
		c.Configure([]Queue{
			{Name: "calls", Pool: "p", Priority: 0, Stretch: 1.5, Target: 250 * time.Millisecond},
			{Name: "batch", Pool: "p", Priority: 2, Stretch: 3, Target: time.Second},
		})
		now := time.Unix(1000, 0)
		c.Heard(Worker{ID: "w", Pool: "p", Hall: "h", Room: sched.Vec{sched.Milli: 10_000, sched.MiB: 1 << 20}}, now)
		c.Attached("w", Lists{}, now)
		submit := func(id, queue string, n int, milli int64, saves bool, arrived time.Time) {
			step := flow.Step{Count: n, Checkpoints: saves, EstimateMS: 5000, Demand: sched.Vec{sched.Milli: milli}}
			if queue == "calls" {
				step.EstimateMS = 1000
			}
			c.Submit(&flow.Spec{ID: id, Queue: queue, Cell: "c", Hall: "h", Steps: []flow.Step{step}}, arrived, now)
			c.Keep(id)
		}
		submit("batch", "batch", 4, 2000, true, now)
		submit("rigid", "batch", 1, 2000, false, now)
		a := c.Place(now, now, 0)
		Expect(a.Starts).To(HaveLen(5))
		for _, s := range a.Starts {
			c.Started(s.Worker, s.Task, s.Run, Accepted, now)
		}
		submit("call", "calls", 2, 1500, false, now)
		stops := func(at time.Duration) []Stop {
			c.Place(now.Add(at), now.Add(at), 0)
			return c.Place(now.Add(at+time.Millisecond), now.Add(at+time.Millisecond), 0).Stops
		}
		Expect(stops(urgentAfter/2)).To(BeEmpty(), "room may come free by itself")
		got := stops(urgentAfter)
		Expect(got).To(HaveLen(2))
		for _, s := range got {
			Expect(s.Task.Job).To(Equal("batch"), "what does not save its work goes on")
		}
		Expect(stops(2*urgentAfter)).To(BeEmpty(), "room for it is coming free")
		for _, s := range got {
			c.Listed("w", Lists{Finished: []Finished{{Number: c.workers["w"].seen + 1, Task: s.Task, Run: s.Run, How: flow.EndStopped, Saved: "x"}}}, now.Add(3*urgentAfter), now.Add(3*urgentAfter))
		}
		Expect(c.stopsTake()).To(BeNumerically("<", stopTakes))
		Expect(c.Place(now.Add(3*urgentAfter), now.Add(3*urgentAfter), 0).Starts).NotTo(BeEmpty())
		submit("late", "calls", 2, 1500, false, now.Add(-5*time.Second))
		for at := 4 * urgentAfter; at < 10*urgentAfter; at += urgentEvery {
			Expect(stops(at)).To(BeEmpty())
		}
	})
})
