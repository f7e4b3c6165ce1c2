// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// callLoad is a load of calls: the processors and the mean work of their 3 tasks, and their rate in
// jobs per second.
type callLoad struct {
	demand int64
	work   time.Duration
	rate   float64
}

var (
	smallCalls = callLoad{2500, 800 * time.Millisecond, 14}
	largeCalls = callLoad{5000, 680 * time.Millisecond, 10}
)

// headroomLoad returns calls whose rate doubles for 4 s, beside more batch tasks than the workers
// can run. The tasks of a batch step run on different workers, so that they do not end together on
// one. Without headroom, batch tasks refill each part of a worker that comes free, and calls wait
// until enough of it comes free at once.
func headroomLoad(seed uint64, headroom bool, load callLoad, batchPriority int) *replay {
	r := newReplay(seed, []Queue{
		{Name: "call", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: "batch", Pool: "p", Priority: batchPriority, MaxAttempts: 4, Stretch: 4, Target: 3 * time.Second},
	}, nil)
	r.Headroom = headroom
	r.Configure(r.queues)
	for i := range 60 {
		r.worker(fmt.Sprintf("w%03d", i), fmt.Sprintf("h%d", i%3), fmt.Sprintf("r%d", i/20), vec(16_000, 65_536), 1)
	}
	calls := func(at time.Duration) float64 {
		if at >= 8*time.Second && at < 12*time.Second {
			return 2 * load.rate
		}
		return load.rate
	}
	r.arrivalsAt(20*time.Second, calls, func(at time.Duration, n int) {
		step := flow.Step{Count: 3, Demand: sched.Vec{sched.MilliCPU: load.demand, sched.MemoryMiB: 2000}}
		r.job(at, fmt.Sprintf("c%04d", n), "call", 1, step, load.work)
	})
	r.arrivalsAt(20*time.Second, func(time.Duration) float64 { return 11 }, func(at time.Duration, n int) {
		step := flow.Step{Count: 25, MaxPerWorker: 1, Demand: sched.Vec{sched.MilliCPU: 1700, sched.MemoryMiB: 2000}}
		r.job(at, fmt.Sprintf("b%04d", n), "batch", 1, step, 3400*time.Millisecond)
	})
	return r
}

// TestCallsAreInTimeBesideBatchTasksThatFillAllWorkers guards against calls that wait because batch
// tasks have refilled all room that came free, and against incomplete units that are refilled
// before they are complete, which left 0.88 of the large calls of seed 0 in time.
func TestCallsAreInTimeBesideBatchTasksThatFillAllWorkers(t *testing.T) {
	const seeds = 2
	for name, load := range map[string]callLoad{"small": smallCalls, "large": largeCalls} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			inTime := make(map[bool]float64)
			for seed := range uint64(seeds) {
				for _, headroom := range []bool{true, false} {
					r := headroomLoad(seed, headroom, load, 2)
					r.play(22 * time.Second)
					o := r.outcomes()
					t.Logf("seed %d, headroom %v: call %v; batch %v; %d started", seed, headroom, o["call"], o["batch"], r.Counts().Started)
					inTime[headroom] += o["call"].inTime / seeds
				}
			}
			g.Expect(inTime[true]).To(BeNumerically(">=", 0.99))
			g.Expect(inTime[false]).To(BeNumerically("<", 0.8))
		})
	}
}

func TestPoolWithOnePriorityDecidesAsWithoutHeadroom(t *testing.T) {
	ends := make(map[bool]map[string]time.Time)
	for _, headroom := range []bool{true, false} {
		r := headroomLoad(1, headroom, smallCalls, 0)
		r.play(22 * time.Second)
		ends[headroom] = make(map[string]time.Time)
		for id, j := range r.arrivals {
			ends[headroom][id] = j.ended
		}
	}
	NewWithT(t).Expect(ends[true]).To(Equal(ends[false]))
}

// headroomRig returns workers that each hold 4 tasks, with headroom for the calls of queue q. One
// call of 2 tasks has just ended, so that 2 + 3 units are needed: of 4 workers, a quarter is kept.
func headroomRig(workers int) *rig {
	r := newRig(workers)
	r.Headroom = true
	r.Configure([]Queue{
		{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: time.Second},
	})
	r.add("call", flow.Step{Count: 2, Demand: demand(1000)})
	for _, s := range r.startAll() {
		r.end(s, flow.EndDone)
	}
	return r
}

func (r *rig) addBatch(id string, step flow.Step) {
	r.Submit(&flow.Spec{ID: id, Queue: "batch", Steps: []flow.Step{step}}, r.now, r.now)
	r.JobStored(id)
}

func TestHeadroomConcernsTasksOfLessUrgentQueues(t *testing.T) {
	for name, k := range map[string]struct {
		step flow.Step
		// started counts the tasks that start, and next those of a call of 4 tasks after them.
		started, next int
	}{
		"tasks":                    {flow.Step{Count: 20, Demand: demand(1000)}, 12, 4},
		"tasks smaller than units": {flow.Step{Count: 40, Demand: demand(500)}, 24, 4},
		"a gang that leaves it":    {flow.Step{Count: 12, Demand: demand(1000), Gang: true}, 12, 4},
		"a gang as a whole":        {flow.Step{Count: 13, Demand: demand(1000), Gang: true}, 0, 4},
		"long-running tasks":       {flow.Step{Count: 20, Demand: demand(1000), LongRunning: true}, 16, 0},
		"tasks in idle time":       {flow.Step{Count: 20, Demand: sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 2000}, IdleCPUOnly: true}, 16, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := headroomRig(4)
			r.addBatch("batch", k.step)
			g.Expect(r.startAll()).To(HaveLen(k.started))
			r.add("next", flow.Step{Count: 4, Demand: demand(1000)})
			g.Expect(r.startAll()).To(HaveLen(k.next))
		})
	}
}

func TestGangThatHeadroomHoldsBackTakesNoUnits(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(4)
	r.addBatch("batch1", flow.Step{Count: 13, Demand: demand(1000), Gang: true})
	r.addBatch("batch2", flow.Step{Count: 20, Demand: demand(1000)})
	g.Expect(r.startAll()).To(HaveLen(12))
}

func TestLessUrgentTaskPrefersAWorkerWhereItCostsNoUnit(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(4)
	r.heard("w2", func(w *Worker) { w.Room = vec(3500, 8000) })
	r.addBatch("batch", flow.Step{Count: 1, Demand: demand(500)})
	starts := r.startAll()
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Worker).To(Equal("w2"))
}

// TestHeadroomCountsWorkersThatThePolicyForbids guards against room that is kept where calls may not
// run.
func TestHeadroomCountsWorkersThatThePolicyForbids(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(20)
	kept, free := r.HeadroomUnits()
	g.Expect([]int64{kept, free}).To(Equal([]int64{5, 80}))
	r.Configure([]Queue{
		{Name: "q", Pool: "p", MaxAttempts: 2, Advice: &Advice{Valid: time.Second}},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 2},
	})
	kept, _ = r.HeadroomUnits()
	g.Expect(kept).To(Equal(int64(10)), "the policy is assumed to permit half of the workers")
}

func TestHeadroomIsGivenBackWhenNoCallComes(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(4)
	r.addBatch("batch", flow.Step{Count: 20, Demand: demand(1000)})
	g.Expect(r.startAll()).To(HaveLen(12))
	kept, free := r.HeadroomUnits()
	g.Expect([]int64{kept, free}).To(Equal([]int64{4, 4}))
	given := 0
	for range 70 {
		r.now = r.now.Add(100 * time.Millisecond)
		given += len(r.startAll())
	}
	g.Expect(given).To(Equal(4))
	kept, free = r.HeadroomUnits()
	g.Expect([]int64{kept, free}).To(Equal([]int64{0, 0}))
}

func TestRunningCallsUseTheHeadroom(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(4)
	r.add("next", flow.Step{Count: 3, Demand: demand(1000)})
	running := r.startAll()
	r.addBatch("batch", flow.Step{Count: 20, Demand: demand(1000)})
	g.Expect(r.startAll()).To(HaveLen(9), "3 + 4 units are needed, and 3 of them are in use")
	for _, s := range running {
		r.end(s, flow.EndDone)
	}
	g.Expect(r.startAll()).To(HaveLen(3), "at most a quarter of the pool is kept")
	r.Headroom = false
	r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2}, {Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 2}})
	g.Expect(r.startAll()).To(HaveLen(4))
}

// TestTaskKeepsRunningOnALeavingWorkerWhileHeadroomLeavesItNoOther guards against a task that is
// stopped to be moved and then held back.
func TestTaskKeepsRunningOnALeavingWorkerWhileHeadroomLeavesItNoOther(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(4)
	r.addBatch("batch", flow.Step{Count: 12, Demand: demand(1000), EstimateMS: 60_000})
	g.Expect(r.startAll()).To(HaveLen(12))
	r.heard("w0", func(w *Worker) { w.Draining, w.Remaining = true, 10*time.Second })
	g.Expect(r.place().Stops).To(HaveLen(1), "3 of the 12 units that remain are kept, and 4 are free")
}

// TestPolicyIsNotAskedAboutStepsThatHeadroomHoldsBack guards against questions, which take long for
// batch steps, about workers whose room is kept for calls.
func TestPolicyIsNotAskedAboutStepsThatHeadroomHoldsBack(t *testing.T) {
	g := NewWithT(t)
	r := headroomRig(4)
	r.queues["batch"].Advice = &Advice{Decide: 100 * time.Millisecond, Valid: time.Second}
	r.addBatch("batch", flow.Step{Count: 20, Demand: demand(1000)})
	asked, started := 0, 0
	for range 25 {
		a := r.place()
		started += len(a.Starts)
		for _, ask := range a.Asks {
			asked++
			var tickets []Ticket
			for _, w := range ask.Workers {
				tickets = append(tickets, Ticket{Worker: w})
			}
			r.Advised(ask, tickets, time.Second, r.now)
		}
		r.now = r.now.Add(100 * time.Millisecond)
	}
	g.Expect(started).To(Equal(12))
	g.Expect(asked).To(Equal(1))
}

// BenchmarkHeadroom measures what headroom adds to a decision in which 100 batch steps wait for
// room on 6,000 workers.
func BenchmarkHeadroom(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("headroom=%v", on), func(b *testing.B) {
			r := newRig(6000)
			r.Headroom = on
			r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2}, {Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 2}})
			r.add("call", flow.Step{Count: 300, Demand: demand(1000)})
			r.startAll()
			r.addBatch("batch", flow.Step{Count: 30_000, Demand: demand(900)})
			r.startAll()
			for i := range 100 {
				r.addBatch(fmt.Sprint(i), flow.Step{Count: 1, Demand: demand(900)})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Place(r.now, r.now, 0)
			}
		})
	}
}
