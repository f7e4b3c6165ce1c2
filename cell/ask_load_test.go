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

// Guards against asking the policy about every worker for each step. In a pool of 350 workers,
// seconds after several waves of workers had been taken away and the owner had changed, steps
// waited for 5 s and more (event "step_waits", why "no_advice", 50 to 90 lines in two seconds), and
// the first start of a job took 10 s at the 95th percentile. 2,636 jobs had cost 19,607 questions
// and 1,200 s of the policy's time: while a step waited to open, or for its first tickets to be
// used, all other workers were asked about as well, thirty at a time.

// askLoad returns 20 s of short jobs with a few steps each, in a pool of many workers with room for
// all of them.
func askLoad(seed uint64) *replay {
	r := newReplay(seed, []Queue{
		{Name: "call", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond,
			Advice: &Advice{Decide: 13 * time.Millisecond, Each: 190 * time.Microsecond, Valid: 2 * time.Second}},
	}, map[string]float64{"call": 0.7})
	for i := range 250 {
		room := sched.Vec{sched.MilliCPU: 32_000, sched.MemoryMiB: 131_072, sched.Slots: plenty, sched.Connections: plenty}
		r.worker(fmt.Sprintf("w%03d", i), fmt.Sprintf("h%d", i%4), fmt.Sprintf("r%d", i/8), room, 1)
	}
	r.arrivalsAt(20*time.Second, func(time.Duration) float64 { return 45 }, func(at time.Duration, n int) {
		step := flow.Step{Count: 1 + min(int(r.rng.ExpFloat64()*9), 35), Demand: sched.Vec{sched.MilliCPU: 5_300, sched.MemoryMiB: 9_000}}
		r.job(at, fmt.Sprintf("c%04d", n), "call", 1+n%3, step, 560*time.Millisecond)
	})
	return r
}

var _ = Describe("questions to the policy in a pool of many workers", func() {
	It("number about one per step", func() {
		r := askLoad(1)
		r.play(30 * time.Second)
		steps := 0
		for _, j := range r.arrivals {
			steps += len(j.spec.Steps)
		}
		perStep := float64(r.asked) / float64(steps)
		GinkgoWriter.Printf("%d jobs, %.2f questions per step, %v\n", len(r.arrivals), perStep, r.outcomes()["call"])
		Expect(perStep).To(BeNumerically("<=", 1.3))
		Expect(r.outcomes()["call"].inTime).To(BeNumerically(">=", 0.99))
	})

	It("are not asked about a step that waits for a former owner's workers", func() {
		r := newRig(0)
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Advice: &Advice{Decide: time.Millisecond, Valid: time.Second}}})
		spec := &flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
		r.Restore(spec, &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: []string{"h"}}}}, r.now, r.now)
		r.heard("w0", func(*Worker) {})
		r.Attached("w0", Lists{}, r.now)
		r.heard("w9", func(*Worker) {})
		Expect(r.place().Asks).To(BeEmpty())
		r.WorkerLost("w9", LossSilent, r.now)
		Expect(r.place().Asks).To(HaveLen(1))
	})

	It("are asked about short steps even when more long ones are in flight than the new limit allows", func() {
		r := newRig(1)
		r.Configure([]Queue{
			{Name: "long", Pool: "p", Advice: &Advice{Decide: time.Second, Valid: time.Minute}},
			{Name: "short", Pool: "p", Advice: &Advice{Decide: time.Millisecond, Valid: time.Minute}},
		})
		submit := func(id, queue string) {
			r.Submit(&flow.Spec{ID: id, Queue: queue, Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}, r.now, r.now)
			r.JobStored(id)
		}
		for i := range 6 {
			submit(fmt.Sprint(i), "long")
		}
		Expect(r.Place(r.now, r.now, 9).Asks).To(HaveLen(6))
		submit("s", "short")
		Expect(r.Place(r.now, r.now, 3).Asks).To(HaveLen(1))
	})
})
