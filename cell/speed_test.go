// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
	"dewpass.org/speed"
)

// Guards against calls that are late because they run on slow workers while fast ones have room. A
// quarter of the workers run at 0.55 of the normal speed, on which a call takes longer than its
// objective allows, and no decision took that into account.

// speedLoad returns half a minute of calls and of batch jobs that take about 60% of a pool from the
// beginning. Estimates are off by 0.5 to 0.9, and 3 of 100 tasks take seven times as long.
func speedLoad(seed uint64, useSpeeds bool, slow, others float64) *replay {
	r := newReplay(seed, []Queue{
		{Name: "call", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond,
			Advice: &Advice{Decide: 13 * time.Millisecond, Each: 133 * time.Microsecond, Valid: 2 * time.Second}},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 4, Stretch: 4, Target: 3 * time.Second,
			Advice: &Advice{Decide: 80 * time.Millisecond, Each: 5 * time.Millisecond, Valid: 2 * time.Second}},
	}, map[string]float64{"call": 0.7, "batch": 0.35})
	r.UseSpeeds(useSpeeds)
	r.callers, r.tail, r.tailFactor, r.estimateError = 35, 0.03, 7, [2]float64{0.5, 0.9}
	for i := range 350 {
		room := sched.Vec{sched.MilliCPU: 32_000, sched.MemoryMiB: 65_536, sched.Slots: plenty, sched.Connections: plenty}
		factor := others
		if i%4 == 0 {
			factor = slow
		}
		r.worker(fmt.Sprintf("w%03d", i), fmt.Sprintf("h%d", i/4%4), fmt.Sprintf("r%d", i/12), room, factor)
	}
	call := flow.Step{Count: 3, Demand: sched.Vec{sched.MilliCPU: 5000, sched.MemoryMiB: 6000}}
	batch := flow.Step{Count: 25, Demand: sched.Vec{sched.MilliCPU: 3500, sched.MemoryMiB: 6000}}
	r.arrivalsAt(30*time.Second, func(time.Duration) float64 { return 97 }, func(at time.Duration, n int) {
		r.job(at, fmt.Sprintf("c%04d", n), "call", 1, call, 700*time.Millisecond)
	})
	r.arrivalsAt(30*time.Second, func(time.Duration) float64 { return 19 }, func(at time.Duration, n int) {
		r.job(at, fmt.Sprintf("b%04d", n), "batch", 1+n%2, batch, 2300*time.Millisecond)
	})
	for n := range 55 {
		r.job(0, fmt.Sprintf("a%04d", n), "batch", 1+n%2, batch, 2300*time.Millisecond)
	}
	return r
}

// called returns the shares of the workers of a speed that are called slow and fast.
func (r *replay) called(of float64) (slow, fast float64) {
	all := 0.0
	for _, w := range r.sortedWorkers {
		if r.workers[w.ID].speed != of {
			continue
		}
		all++
		switch w.speed.class {
		case speed.Slow:
			slow++
		case speed.Fast:
			fast++
		}
	}
	return slow / all, fast / all
}

var _ = Describe("workers of different speeds", func() {
	It("are found, and calls are in time more often", func() {
		const seeds = 2
		var with, without, found float64
		for seed := range uint64(seeds) {
			r := speedLoad(seed, false, 0.55, 1.2)
			r.play(40 * time.Second)
			base := r.outcomes()
			r = speedLoad(seed, true, 0.55, 1.2)
			for s := range 40 {
				r.play(time.Duration(s+1) * time.Second)
				slow, _ := r.called(0.55)
				wrong, _ := r.called(1.2)
				Expect(wrong).To(BeNumerically("<", 0.03))
				if s+1 == 10 {
					found += slow / seeds
				}
				if (s+1)%5 == 0 {
					GinkgoWriter.Printf("seed %d, %d s: %.2f of the slow workers and %.3f of the others are called slow\n", seed, s+1, slow, wrong)
				}
			}
			got := r.outcomes()
			GinkgoWriter.Printf("seed %d, without speeds: call %v; batch %v\n", seed, base["call"], base["batch"])
			GinkgoWriter.Printf("seed %d, with speeds:    call %v; batch %v\n", seed, got["call"], got["batch"])
			without += base["call"].inTime / seeds
			with += got["call"].inTime / seeds
		}
		Expect(found).To(BeNumerically(">=", 0.9))
		Expect(with).To(BeNumerically(">=", without+0.03))
	})

	It("are not found among equal ones", func() {
		r := speedLoad(3, true, 1, 1)
		for s := range 40 {
			r.play(time.Duration(s+1) * time.Second)
			slow, fast := r.called(1)
			Expect(slow + fast).To(BeNumerically("<", 0.02))
		}
	})
})

// learned has a worker count as slow or fast.
func (r *rig) learned(id string, class speed.Class, bonus float64) {
	w := r.workers[id]
	w.speed.class, w.speed.bonus = class, bonus
	r.speeds.differ = true
}

var _ = Describe("the speed of a worker", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig(4)
		r.UseSpeeds(true)
		r.speeds.refreshedAt = r.now
		r.Configure([]Queue{
			{Name: "u", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
			{Name: "q", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 4, Target: time.Second},
			{Name: "tight", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 1, Target: time.Second},
		})
	})
	submit := func(queue string, step flow.Step) []Start {
		r.Submit(&flow.Spec{ID: "j", Queue: queue, Hall: "h", Steps: []flow.Step{step}}, r.now, r.now)
		r.JobStored("j")
		return r.startAll()
	}

	DescribeTable("orders the workers with room", func(queue string, step flow.Step, want ...string) {
		r.learned("w1", speed.Slow, -1)
		r.learned("w2", speed.Slow, -1)
		r.learned("w3", speed.Fast, 1)
		var got []string
		for _, s := range submit(queue, step) {
			got = append(got, s.Worker)
		}
		Expect(got).To(ConsistOf(want))
	},
		Entry("an urgent step", "u", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 5000}, "w3"),
		Entry("a step short of slack", "tight", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 5000}, "w3"),
		Entry("a step with slack", "q", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 5000}, "w1"),
		Entry("a step with slack that all workers have to run", "q", flow.Step{Count: 4, Demand: demand(4000), EstimateMS: 5000}, "w0", "w1", "w2", "w3"),
		Entry("a gang with slack", "q", flow.Step{Count: 2, Gang: true, Demand: demand(4000), EstimateMS: 5000}, "w1", "w2"),
		Entry("a gang short of slack", "tight", flow.Step{Count: 2, Gang: true, Demand: demand(4000), EstimateMS: 5000}, "w0", "w3"),
		Entry("a gang that the other workers cannot hold", "tight", flow.Step{Count: 3, Gang: true, Demand: demand(4000), EstimateMS: 5000}, "w0", "w1", "w2"),
		Entry("a long-running step", "u", flow.Step{Count: 1, LongRunning: true, Demand: demand(1000)}, "w0"),
	)

	asStarted := func(s Start) Start { return s }
	DescribeTable("is learned from", func(step flow.Step, how flow.End, before func(s Start) Start, runs int) {
		step.Count, step.Demand, step.EstimateMS = 1, demand(1000), 1000
		start := before(submit("q", step)[0])
		r.now = r.now.Add(time.Second)
		r.end(start, how)
		Expect(r.workers[start.Worker].speed.estimate.Estimate(r.now).Runs).To(Equal(runs))
	},
		Entry("a run that is done", flow.Step{}, flow.EndDone, asStarted, 1),
		Entry("not a run that failed", flow.Step{}, flow.EndFailed, asStarted, 0),
		Entry("not a run that was to stop", flow.Step{}, flow.EndDone, func(s Start) Start {
			r.workers[s.Worker].runList[0].stopping = true
			return s
		}, 0),
		Entry("not a run that resumed from a checkpoint", flow.Step{}, flow.EndDone, func(s Start) Start {
			r.stage(flow.StepID{Job: "j"}).tasks[0].checkpoint = "c"
			r.end(s, flow.EndStopped)
			return r.startAll()[0]
		}, 0),
		Entry("not a member of a gang", flow.Step{Gang: true}, flow.EndDone, asStarted, 0),
		Entry("not a run that fills idle processors", flow.Step{IdleCPUOnly: true}, flow.EndDone, asStarted, 0),
		Entry("not a run on a worker out of reach", flow.Step{}, flow.EndDone, func(s Start) Start {
			r.Detached(s.Worker, r.now)
			return s
		}, 0),
	)

	It("tells how much longer a run without a progress figure takes", func() {
		start := submit("q", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 1000})[0]
		w := r.workers[start.Worker]
		Expect(w.runList[0].remaining(r.now)).To(Equal(time.Second))
		w.speed.class, w.speed.factor = speed.Slow, 0.5
		Expect(w.runList[0].remaining(r.now.Add(500 * time.Millisecond))).To(Equal(1500 * time.Millisecond))
	})

	It("is not known of a new incarnation, and not learned from a run of a former owner", func() {
		r.learned("w1", speed.Slow, -1)
		r.Attached("w1", Lists{Born: 7, Running: []Running{{Task: flow.TaskID{Job: "j"}, Run: 1}}}, r.now)
		w := r.workers["w1"]
		Expect(w.speed).To(BeZero())
		Expect(w.runList).To(HaveLen(1))
		Expect(w.runList[0].timed).To(BeFalse())
	})

	It("ends with its support, and is reported", func() {
		r.learned("w1", speed.Slow, -1)
		r.now = r.now.Add(speedRefreshInterval)
		r.place()
		Expect(r.workers["w1"].speed).To(Equal(workerSpeed{factor: 1}))
		changes := r.SpeedChanges()
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Worker).To(Equal("w1"))
		Expect(changes[0].Class).To(Equal(speed.Normal))
	})

	It("is not learned unless that is enabled", func() {
		r.UseSpeeds(false)
		start := submit("q", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 1000})[0]
		r.now = r.now.Add(time.Second)
		r.end(start, flow.EndDone)
		Expect(r.workers[start.Worker].speed).To(BeZero())
	})
})
