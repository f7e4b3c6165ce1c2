// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

const (
	teamCalls TeamID = iota
	teamBatch
	teamOther
)

// The workload mixes of two users, with their workers. The batch tasks of each mix ask for more
// than the cell has.
var (
	comharWorker   = Vec{16000, 32 << 10, 0, 8, 64}
	kartvelaWorker = Vec{32000, 64 << 10, 0, 8, 64}

	lookup        = source{name: "shade-lookup", rate: 1200, length: 8 * time.Millisecond, deadline: 1500 * time.Millisecond, task: Task{Class: Urgent, Call: true, Rack: AnyRack, Team: teamCalls, Demand: Vec{500, 256, 0, 1, 1}}}
	formulaMatch  = source{name: "formula-match", rate: 50, length: 250 * time.Millisecond, deadline: 8 * time.Second, task: Task{Class: Standard, Call: true, Rack: AnyRack, Team: teamCalls, Demand: Vec{2000, 2048, 0, 1, 1}}}
	recalibration = source{name: "recalibration", rate: 170, length: 2 * time.Second, saturating: true, task: Task{Class: Bulk, Rack: AnyRack, Team: teamBatch, Preemption: MayThrottle | MayCheckpoint, Demand: Vec{3000, 4096, 0, 1, 1}}}

	addressReading = source{name: "address-reading", rate: 160, length: 1500 * time.Millisecond, task: Task{Class: Standard, Rack: AnyRack, Team: teamBatch, Preemption: MayThrottle | MayCheckpoint, Demand: Vec{4000, 8192, 0, 1, 1}}}
	routePlan      = source{name: "route-plan", rate: 30, length: time.Second, deadline: 5 * time.Second, task: Task{Class: Urgent, Rack: AnyRack, Team: teamCalls, Demand: Vec{6000, 8192, 0, 1, 1}}}
	trace          = source{name: "trace", rate: 30, length: 4 * time.Second, saturating: true, task: Task{Class: Bulk, Rack: AnyRack, Team: teamOther, Preemption: MayThrottle | MayCheckpoint | MayStop, Demand: Vec{8000, 12288, 0, 1, 1}}}

	comhar   = []source{lookup, formulaMatch, recalibration}
	kartvela = []source{addressReading, routePlan, trace}
)

func newCell(workers int, capacity Vec) *cellPolicy {
	p := &cellPolicy{}
	for range workers {
		p.addWorker(capacity)
	}
	whole := capacity.Scale(int64(workers))
	for team := teamCalls; team <= teamOther; team++ {
		quota := whole
		for d := range quota {
			quota[d] /= 3
		}
		p.cell.SetTeam(team, quota, true)
	}
	return p
}

func p99(o *outcome, name string) time.Duration {
	return time.Duration(o.waits[name].ValueAtQuantile(99)) * time.Microsecond
}

var _ = Describe("the cell", func() {
	It("never exceeds the capacity of a worker, and never loses capacity or tasks", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var c Cell
			capacity := Vec{4000, 4096, 1, 4, 8}
			for range rapid.IntRange(1, 6).Draw(t, "workers") {
				c.Add(0, capacity)
			}
			c.SetTeam(1, Vec{6000, 8192, 1, 6, 0}, rapid.Bool().Draw(t, "borrow"))
			type record struct {
				h       Handle
				waiting bool
			}
			tasks := map[uint64]*record{}
			now := time.Duration(0)
			var out []Decision
			for i := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
				var running []*record
				for ref := range i {
					if r := tasks[ref]; r != nil && !r.waiting {
						running = append(running, r)
					}
				}
				switch what := rapid.IntRange(0, 4).Draw(t, "what"); {
				case what >= 2 || len(running) == 0:
					task := Task{
						Ref: i, Rack: AnyRack, Team: TeamID(rapid.IntRange(0, 2).Draw(t, "team")),
						Class:      Class(rapid.IntRange(0, 2).Draw(t, "class")),
						Preemption: PreemptionModes(rapid.IntRange(0, 7).Draw(t, "ladder")),
						Call:       rapid.Bool().Draw(t, "call"),
						Demand:     Vec{int64(rapid.IntRange(1, 4000).Draw(t, "cpu")), int64(rapid.IntRange(1, 4096).Draw(t, "mem")), 0, 1, 1},
					}
					tasks[i] = &record{h: c.Submit(task, now), waiting: true}
				case what == 1:
					c.Finish(running[0].h, now)
					for ref, r := range tasks {
						if r == running[0] {
							delete(tasks, ref)
						}
					}
				}
				out = c.Step(now, out[:0])
				out = c.ResumeThrottled(now, out)
				for _, d := range out {
					r := tasks[d.Ref]
					switch d.Op {
					case OpStart:
						if !r.waiting {
							t.Fatal("task started twice")
						}
						r.waiting = false
					case OpThrottle:
						c.RecordThrottled(d.Task)
					case OpCheckpoint, OpStop:
						c.Requeue(d.Task, now)
						r.waiting = true
					}
				}
				waiting := 0
				for _, r := range tasks {
					if r.waiting {
						waiting++
					}
				}
				if waiting != c.Queued() || len(tasks)-waiting != c.Running() {
					t.Fatalf("want %d waiting and %d running tasks, the cell reports %d and %d", waiting, len(tasks)-waiting, c.Queued(), c.Running())
				}
				for w := range c.free {
					if !c.free[w].Covers(&Vec{}) || !capacity.Covers(&c.free[w]) {
						t.Fatalf("worker %d has %v of %v free", w, c.free[w], capacity)
					}
				}
			}
		})
	})

	It("gives the same decisions for the same events", func() {
		run := func() *outcome { return drive(newCell(48, kartvelaWorker), kartvela, 10*time.Second, 3) }
		a, b := run(), run()
		Expect(a.decisions).To(Equal(b.decisions))
		Expect(a.busy).To(Equal(b.busy))
	})

	It("never lets a lookup queue behind recalibration", func() {
		cell := drive(newCell(48, comharWorker), comhar, 30*time.Second, 1)
		Expect(cell.refused).To(BeEmpty())
		Expect(p99(cell, "shade-lookup")).To(BeNumerically("<=", time.Millisecond))
		base := newBaseline(fcfs)
		for range 48 {
			base.addWorker(comharWorker)
		}
		Expect(p99(drive(base, comhar, 30*time.Second, 1), "shade-lookup")).To(BeNumerically(">", time.Second))
	})

	It("absorbs a tenfold burst of lookups while batch tasks fill the cell", func() {
		burst := lookup
		burst.peak, burst.peakFrom, burst.peakTo = 10, 10*time.Second, 14*time.Second
		o := drive(newCell(48, comharWorker), []source{burst, formulaMatch, recalibration}, 30*time.Second, 1)
		Expect(o.refused["shade-lookup"]).To(BeZero())
		Expect(time.Duration(o.waits["shade-lookup"].Max()) * time.Microsecond).To(BeNumerically("<", 1500*time.Millisecond))
	})

	It("keeps its goodput at twice the load", func() {
		good := func(times float64) int {
			l := lookup
			l.rate = 46000 * times
			o := drive(newCell(48, comharWorker), []source{l}, 2*time.Second, 1)
			return o.finished["shade-lookup"] - o.missed["shade-lookup"]
		}
		Expect(good(2)).To(BeNumerically(">=", good(1)*99/100))
	})

	It("lets no calls pile up on a slow worker, and tries it again later", func() {
		d := newDriver(newCell(48, comharWorker), []source{lookup}, 1)
		d.slowdown = map[WorkerID]float64{7: 20}
		d.run(9 * time.Second)
		Expect(d.placed[7]).To(BeNumerically("<", d.placed[8]/10))
	})

	It("does not mark workers as slow when all of them are", func() {
		p := newCell(16, comharWorker)
		d := newDriver(p, []source{lookup}, 1)
		d.slowdown = map[WorkerID]float64{}
		for w := range WorkerID(16) {
			d.slowdown[w] = 5
		}
		d.run(5 * time.Second)
		Expect(p.cell.slowCount).To(BeNumerically("<=", 2))
	})

	It("keeps its goodput when refused callers retry at once", func() {
		good := func(storm bool) int {
			l := lookup
			l.rate = 70000
			d := newDriver(newCell(48, comharWorker), []source{l}, 1)
			d.retryAtOnce = storm
			o := d.run(1500 * time.Millisecond)
			return o.finished["shade-lookup"] - o.missed["shade-lookup"]
		}
		Expect(good(true)).To(BeNumerically(">=", good(false)*98/100))
	})

	It("keeps lookup waits short and packing dense at a load of 1.5 times the capacity", func() {
		season := scaleBatch(comhar, 1.5, comharWorker)
		season[0].rate = 4000
		o := drive(newCell(48, comharWorker), season, time.Minute, 1)
		Expect(o.refused["shade-lookup"]).To(BeZero())
		Expect(p99(o, "shade-lookup")).To(BeNumerically("<=", time.Millisecond))
		Expect(o.busy).To(BeNumerically(">", 0.9))
	})

	It("starts urgent work in time and meets its deadlines while batch tasks fill the cell", func() {
		o := drive(newCell(48, kartvelaWorker), kartvela, 60*time.Second, 1)
		Expect(o.missed["route-plan"]).To(BeZero())
		Expect(time.Duration(o.waits["route-plan"].Max()) * time.Microsecond).To(BeNumerically("<", 1500*time.Millisecond))
	})

	It("returns its quota to a waiting team when another team borrows", func() {
		greedy, modest := trace, trace
		greedy.name, greedy.rate, greedy.task.Team = "greedy", 120, teamBatch
		modest.name, modest.task.Team = "modest", teamOther
		modest.rate = 10
		o := drive(newCell(48, kartvelaWorker), []source{greedy, modest}, 60*time.Second, 1)
		Expect(o.started["modest"]).To(BeNumerically(">=", o.arrived["modest"]*95/100))
	})

	It("refuses early what cannot start in time, and returns a retry delay", func() {
		var c Cell
		c.Config.QueueLimit = 8
		w := c.Add(0, Vec{1000, 1000, 0, 1, 1})
		task := Task{Rack: AnyRack, Call: true, Class: Urgent, Demand: Vec{1000, 1000, 0, 1, 1}}
		running := c.Adopt(task, w, 0)
		now := time.Second
		for range 4 {
			c.Finish(running, now)
			running = c.Adopt(task, w, now)
			now += time.Second
		}
		for range 3 {
			c.Submit(task, now)
		}
		late := task
		late.StartBy = now + 100*time.Millisecond
		v, after := c.Admit(&late, now)
		Expect(v).To(Equal(TooLate))
		Expect(after).To(BeNumerically(">", 500*time.Millisecond))
		for range 5 {
			c.Submit(task, now)
		}
		v, _ = c.Admit(&task, now)
		Expect(v).To(Equal(QueueFull))
	})

	It("spreads the replicas of a service over workers", func() {
		var c Cell
		for range 6 {
			c.Add(0, comharWorker)
		}
		seen := map[WorkerID]bool{}
		for i := range uint64(6) {
			c.Submit(Task{Ref: i, Rack: AnyRack, Group: 1, Class: Standard, Demand: Vec{1000, 2048, 0, 1, 1}}, 0)
		}
		for _, d := range c.Step(0, nil) {
			seen[d.Worker] = true
		}
		Expect(seen).To(HaveLen(6))
	})
})
