// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/admission"
	"dewpass.org/flow"
	"dewpass.org/sched"
)

// countWaiting counts, task by task, the work that waits in each queue, and the work that is done.
func (c *Cell) countWaiting(now time.Time) (waiting map[string]int64, done int64) {
	waiting = make(map[string]int64)
	for _, j := range c.jobs {
		objective := c.queues[j.spec.Queue].objective(j.longestChain)
		for _, s := range j.stages {
			if s.def.LongRunning || j.spec.RepeatCount > 0 {
				continue
			}
			work := s.def.EstimateMS * s.def.Demand[sched.MilliCPU] / 1000
			for i := range s.tasks {
				switch {
				case s.tasks[i].state == taskDone:
					done += work
				case s.tasks[i].state == taskWaiting && !j.state.Final() && now.Sub(j.arrived)+s.chain <= 3*objective:
					waiting[j.spec.Queue] += work
				}
			}
		}
	}
	return waiting, done
}

// loadedReplay returns urgent calls, which use a fifth of the capacity, beside batch jobs, which use
// a part of it that depends on the time.
func loadedReplay(seed uint64, batchShare func(at time.Duration) float64, length time.Duration) *replay {
	r := newReplay(seed, []Queue{
		{Name: "calls", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: "batch", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
	}, nil)
	const workers, perWorker = 60, 16
	for i := range workers {
		room := sched.Vec{sched.MilliCPU: perWorker * 1000, sched.MemoryMiB: 1 << 20, sched.Slots: plenty, sched.Connections: plenty}
		r.worker(fmt.Sprintf("w%02d", i), fmt.Sprintf("h%d", i%4), "r", room, 1)
	}
	r.arrivalsAt(length, func(time.Duration) float64 { return 0.2 * workers * perWorker / 1.8 }, func(at time.Duration, n int) {
		r.job(at, fmt.Sprintf("c%05d", n), "calls", 1, flow.Step{Count: 3, Demand: sched.Vec{sched.MilliCPU: 2000}}, 300*time.Millisecond)
	})
	r.arrivalsAt(length, func(at time.Duration) float64 { return batchShare(at) * workers * perWorker / 60 }, func(at time.Duration, n int) {
		r.job(at, fmt.Sprintf("b%05d", n), "batch", 1+n%2, flow.Step{Count: 10, Demand: sched.Vec{sched.MilliCPU: 2000}, Checkpoints: n%3 == 0}, 2*time.Second)
	})
	return r
}

// admitAll has an instance decide on each scheduled job from the loads of the cell, and returns the
// times at which jobs are refused.
func (r *replay) admitAll() *[]time.Duration {
	refused := new([]time.Duration)
	for _, j := range r.arrivals {
		i := r.arrivalEvent(j)
		submit := r.events[i].do
		r.events[i].do = func() {
			chain := j.spec.CriticalPath(0)
			loads := r.QueueLoads(r.now)
			load := loads.Find(j.spec.Queue)
			d := admission.Decide(admission.Report{Waiting: load.Waiting, Rate: load.Rate, Capacity: loads.Capacity, Age: r.now.Sub(loads.At)},
				admission.Job{ID: j.spec.ID, Objective: j.queue.Objective(chain), Chain: chain})
			if d.Refused {
				*refused = append(*refused, r.now.Sub(r.began))
				delete(r.arrivals, j.spec.ID)
				return
			}
			submit()
		}
	}
	return refused
}

// arrivalEvent returns the index of the event of a job's arrival. No other has its time.
func (r *replay) arrivalEvent(j *replayJob) int {
	for i := range r.events {
		if r.events[i].at.Equal(j.at) {
			return i
		}
	}
	panic("no event of " + j.spec.ID)
}

// inTimeBetween returns the share of the jobs of a queue that were in time, of those that arrived
// between two times.
func (r *replay) inTimeBetween(queue string, from, to time.Duration) float64 {
	all, inTime := 0, 0
	for _, j := range r.arrivals {
		if at := j.at.Sub(r.began); j.spec.Queue == queue && at >= from && at < to {
			all++
			if j.result == flow.Succeeded && j.ended.Sub(j.at) <= j.objective() {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(all)
}

var _ = Describe("the loads of the queues", func() {
	It("equal a recount of all tasks after random events", func() {
		r := loadedReplay(3, func(time.Duration) float64 { return 1.5 }, 20*time.Second)
		r.after(6*time.Second, func() {
			r.Detached("w01", r.now)
			r.Detached("w05", r.now)
		})
		r.after(7*time.Second, func() { r.Attached("w01", Lists{}, r.now) })
		step := flow.Step{Count: 10, EstimateMS: 9000, Demand: sched.Vec{sched.MilliCPU: 2000}, RequiredLabel: "none", LongRunning: true}
		r.arrive(0, &flow.Spec{ID: "long-running", Queue: "batch", Steps: []flow.Step{step}}, time.Second)
		step.LongRunning = false
		r.arrive(0, &flow.Spec{ID: "repeated", Queue: "batch", RepeatCount: 2, StartMS: r.began.UnixMilli(), EveryMS: 1000, Steps: []flow.Step{step}}, time.Second)
		r.QueueLoads(r.now)
		tooLate := 0
		for at := time.Duration(0); at < 20*time.Second; at += 200 * time.Millisecond {
			r.play(at)
			r.Cancel(fmt.Sprintf("b%05d", r.rng.IntN(150)), r.now)
			want, done := r.countWaiting(r.now)
			got := r.waitingWork(r.now)
			Expect(got["calls"]).To(Equal(want["calls"]), "at %v", at)
			Expect(got["batch"]).To(Equal(want["batch"]), "at %v", at)
			if at == 2*time.Second {
				rates := r.completed.rates(r.now)
				Expect(rates["calls"] + rates["batch"]).To(BeNumerically("~", done*1000/at.Milliseconds(), 2))
			}
			for _, s := range r.openStages {
				if s.waiting > 0 && s.useless(r.Cell.queues[s.job.spec.Queue], r.now) {
					tooLate++
				}
			}
		}
		Expect(tooLate).To(BeNumerically(">", 0), "the recount has covered jobs that are too late")
	})

	// A new owner of full workers would refuse jobs because of tasks that are already running.
	It("leave out the tasks that a former owner may have started, until their workers are attached", func() {
		now := time.Unix(1_000_000, 0)
		c := New(0)
		c.Configure([]Queue{{Name: "q", Pool: "p", Target: time.Second}})
		c.Heard(Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: vec(16000, 32000)}, now)
		c.Restore(&flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 10, EstimateMS: 1000, Demand: vec(16000, 10)}}}, nil, now, now)
		Expect(c.QueueLoads(now).Queues).To(BeEmpty())
		c.Attached("w", Lists{}, now)
		Expect(c.QueueLoads(now.Add(queueLoadInterval/2)).Queues).To(BeEmpty(), "the result is kept for a while")
		loads := c.QueueLoads(now.Add(queueLoadInterval))
		Expect(loads.Capacity).To(Equal(int64(16_000)))
		Expect(loads.Find("q")).To(Equal(QueueLoad{Queue: "q", Waiting: 160_000}))
	})

	It("have a rate that is unknown for the first second, and then covers 3 s", func() {
		var w completedWork
		begun := time.Unix(1_000_000, 0)
		at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
		w.begin(begun)
		for ms := 0; ms < 6000; ms += 50 {
			w.add("q", 500, at(ms))
			switch rate := w.rates(at(ms))["q"]; {
			case ms < 1000:
				Expect(rate).To(BeZero())
			default:
				Expect(rate).To(BeNumerically("~", 10_000, 500), "at %d ms", ms)
			}
		}
		Expect(w.rates(at(7500))["q"]).To(BeNumerically("~", 5000, 1000))
		Expect(w.rates(at(9100))).To(BeEmpty())
		Expect(w.byQueue).To(BeEmpty())
	})

	It("sum up the same and more urgent priorities of a pool, but only the own work of a most urgent queue", func() {
		c := New(0)
		c.Configure([]Queue{{Name: "a", Pool: "p"}, {Name: "b", Pool: "p"}, {Name: "c", Pool: "p", Priority: 2}, {Name: "d", Pool: "other", Priority: 1}, {Name: "e", Pool: "other", Priority: 3}})
		work := map[string]int64{"a": 1, "b": 10, "c": 100, "d": 1000}
		loads := c.loadsByPriority(work, work)
		Expect(loads).To(ConsistOf(QueueLoad{"a", 1, 1}, QueueLoad{"b", 10, 10}, QueueLoad{"c", 111, 111}, QueueLoad{"d", 1000, 1000}, QueueLoad{"e", 1000, 1000}))
		for _, l := range loads {
			q, sum := c.queues[l.Queue], int64(0)
			for _, o := range c.queues {
				if q.WaitsFor(o, l.Queue != "c" && l.Queue != "e") {
					sum += work[o.Name]
				}
			}
			Expect(sum).To(Equal(l.Waiting), "instances add the work that they have sent by the same rule")
		}
	})

	// The greetings of an owner with thousands of queues would exceed the links of other instances.
	It("are reported only for the queues with the longest waits", func() {
		c := New(0)
		var queues []Queue
		var loads []QueueLoad
		for i := range 100 {
			queues = append(queues, Queue{Name: fmt.Sprintf("q%03d", i), Target: 10 * time.Second})
			loads = append(loads, QueueLoad{Queue: queues[i].Name, Waiting: int64(i) * 100, Rate: 250})
		}
		c.Configure(queues)
		Expect(c.longestWaits(loads[:13], 1000)).To(BeEmpty(), "waits below half of the target")
		reported := QueueLoads{Queues: c.longestWaits(loads, 1000)}
		Expect(reported.Queues).To(HaveLen(maxQueueLoads))
		Expect(reported.Find("q099").Waiting).To(Equal(int64(9900)))
		Expect(reported.Find("q050").Waiting).To(BeZero())
	})
})

// Guards against accepting what cannot be in time: batch jobs arrived at 1.5 times the capacity for
// 7 s. Those that came up to 10 s later were late too, although fewer came than the workers can run.
var _ = Describe("a burst beyond the capacity", func() {
	It("leaves all accepted jobs in time and is over within seconds if jobs are refused", func() {
		const from, to, length = 4 * time.Second, 11 * time.Second, 30 * time.Second
		play := func(seed uint64, admit bool) (*replay, []time.Duration) {
			r := loadedReplay(seed, func(at time.Duration) float64 {
				if at >= from && at < to {
					return 1.3
				}
				return 0.6
			}, length)
			refused := new([]time.Duration)
			if admit {
				refused = r.admitAll()
			}
			r.play(length + 15*time.Second)
			return r, *refused
		}
		afterBurst := func(r *replay) float64 { return r.inTimeBetween("batch", to, to+5*time.Second) }
		for _, seed := range []uint64{0, 6, 7} {
			without, _ := play(seed, false)
			with, refused := play(seed, true)
			o, last := with.outcomes(), refused[len(refused)-1]
			GinkgoWriter.Printf("seed %d: batch without %v, %.2f after the burst; with %v, %.2f after the burst, %d refused, the last at %v\n", seed,
				without.outcomes()["batch"], afterBurst(without), o["batch"], afterBurst(with), len(refused), last)
			Expect(afterBurst(without)).To(BeNumerically("<", 0.2))
			Expect(afterBurst(with)).To(BeNumerically(">=", 0.99))
			Expect(o["batch"].inTime).To(BeNumerically(">=", 0.99))
			Expect(o["calls"].inTime).To(BeNumerically(">=", 0.99))
			Expect(last).To(BeNumerically("<", to+8*time.Second))
		}
	})
})
