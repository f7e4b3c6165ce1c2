// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

func TestCell(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cell")
}

// rig is a cell with some workers and a manual clock.
type rig struct {
	*Cell
	now  time.Time
	ends map[string]int
}

const plenty = 1 << 30

func vec(cpu, mem int64) sched.Vec {
	return sched.Vec{sched.MilliCPU: cpu, sched.MemoryMiB: mem, sched.Slots: plenty, sched.Connections: plenty}
}

func demand(cpu int64) sched.Vec { return sched.Vec{sched.MilliCPU: cpu, sched.MemoryMiB: 100} }

func newRig(workers int) *rig {
	r := &rig{Cell: New(1 << 12), now: time.Unix(1_000_000, 0), ends: make(map[string]int)}
	r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second}})
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		r.heard(id, func(*Worker) {})
		r.Attached(id, Lists{}, r.now)
	}
	return r
}

func (r *rig) heard(id string, change func(*Worker)) {
	w := Worker{ID: id, Addr: id, Pool: "p", Hall: "h", Rack: "r", Labels: []string{"a", "r"}, Room: vec(4000, 8000)}
	change(&w)
	r.Heard(w, r.now)
}

// add submits a job and marks it stored.
func (r *rig) add(id string, steps ...flow.Step) {
	r.Submit(&flow.Spec{ID: id, Queue: "q", Steps: steps}, r.now, r.now)
	r.JobStored(id)
}

// place decides, stores what has to be stored first, and decides again.
func (r *rig) place() Actions {
	a := r.Place(r.now, r.now, 4)
	r.save()
	b := r.Place(r.now, r.now, 4)
	return Actions{
		Starts: append(a.Starts, b.Starts...), Stops: append(a.Stops, b.Stops...), Asks: append(a.Asks, b.Asks...),
	}
}

func (r *rig) save() { r.Saved(r.Saves(100), true) }

// startAll decides and accepts all starts.
func (r *rig) startAll() []Start {
	starts := r.place().Starts
	for _, s := range starts {
		r.Started(s.Worker, s.Task, s.Run, Accepted, r.now)
	}
	return starts
}

// end lists the end of a run.
func (r *rig) end(s Start, how flow.End) {
	r.ends[s.Worker]++
	r.Listed(s.Worker, Lists{Finished: []Finished{{Number: r.ends[s.Worker], Task: s.Task, Run: s.Run, How: how}}, RunsIncomplete: true}, r.now, r.now)
}

var _ = Describe("a job", func() {
	It("opens a step once all tasks of the steps before it are done", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 2, Demand: demand(1000)}, flow.Step{Count: 1, Demand: demand(1000), DependsOn: []int{0}})
		starts := r.startAll()
		Expect(starts).To(HaveLen(2))
		r.end(starts[0], flow.EndDone)
		Expect(r.startAll()).To(BeEmpty())
		r.end(starts[1], flow.EndDone)
		last := r.startAll()
		Expect(last).To(HaveLen(1))
		r.end(last[0], flow.EndDone)
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Running), "not shown before it is stored")
		r.save()
		s, _ = r.State("j")
		Expect(s).To(Equal(flow.Succeeded))
	})

	// Guards against a job that is pending for ever: its step was counted once as done and twice as
	// awaited.
	It("opens a step that names the step before it twice", func() {
		r := newRig(1)
		one := flow.Step{Count: 1, Demand: demand(1000)}
		r.add("j", one, flow.Step{Count: 1, Demand: demand(1000), DependsOn: []int{0, 0}})
		r.end(r.startAll()[0], flow.EndDone)
		Expect(r.startAll()).To(HaveLen(1))
	})

	// Guards against a start beyond the limit of attempts: the last failure was listed while the queue
	// was not configured.
	It("fails by failures that were listed while its queue was not configured", func() {
		queue := Queue{Name: "q", Pool: "p", MaxAttempts: 2}
		for _, gang := range []bool{false, true} {
			r := newRig(1)
			r.add("j", flow.Step{Count: 1, Demand: demand(1000), Gang: gang})
			r.end(r.startAll()[0], flow.EndFailed)
			second := r.startAll()[0]
			r.Configure(nil)
			r.end(second, flow.EndFailed)
			Expect(r.startAll()).To(BeEmpty())
			r.save()
			rec := r.jobs["j"].save().Record
			next := newRig(1)
			next.place()
			next.Restore(r.jobs["j"].spec, rec, next.now, next.now)
			r.Configure([]Queue{queue})
			for _, owner := range []*rig{r, next} {
				Expect(owner.startAll()).To(BeEmpty())
				owner.save()
				s, _ := owner.State("j")
				Expect(s).To(Equal(flow.Failed))
			}
		}
	})

	It("keeps its state when it is submitted again after its end", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		r.end(r.startAll()[0], flow.EndDone)
		r.save()
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Succeeded))
	})

	It("counts a gang as done once, however many of its members end", func() {
		r := newRig(2)
		r.add("j",
			flow.Step{Count: 3, Demand: demand(1000), Gang: true},
			flow.Step{Count: 1, Demand: demand(1000), DependsOn: []int{0}},
			flow.Step{Count: 1, Demand: demand(1000), DependsOn: []int{1}})
		gang := r.startAll()
		Expect(gang).To(HaveLen(3))
		for _, s := range gang {
			r.end(s, flow.EndDone)
		}
		Expect(r.place().Stops).To(BeEmpty(), "the other members end by themselves")
		r.save()
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Running))
	})

	It("starts all members of a gang together or none", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 5, Demand: demand(1000), Gang: true})
		Expect(r.startAll()).To(BeEmpty())
		r.heard("w9", func(*Worker) {})
		r.Attached("w9", Lists{}, r.now)
		Expect(r.startAll()).To(HaveLen(5))
	})

	It("has begun once a worker has one of its tasks, not when an order is decided", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		first := r.place().Starts[0]
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Pending))
		Expect(r.Load().Pending["q"]).To(Equal(1), "the order is in flight")
		r.Started(first.Worker, first.Task, first.Run, NoRoom, r.now)
		Expect(r.Load().Pending["q"]).To(Equal(1), "the worker refused the order")
		r.Attached("w0", Lists{}, r.now)
		second := r.place().Starts[0]
		r.Started(second.Worker, second.Task, second.Run, Accepted, r.now)
		Expect(r.Load().Pending["q"]).To(BeZero())
		s, _ = r.State("j")
		Expect(s).To(Equal(flow.Running))
	})

	It("uses up no run numbers and does not begin while a gang waits for room", func() {
		r := newRig(1)
		r.Submit(&flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 5, Demand: demand(1000), Gang: true}}}, r.now, r.now)
		r.JobStored("j")
		for range 5000 {
			Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
		}
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Pending))
		r.heard("w9", func(*Worker) {})
		r.Attached("w9", Lists{}, r.now)
		starts := r.startAll()
		Expect(starts).To(HaveLen(5))
		Expect(starts[0].Run).To(Equal(1<<12 + 1))
	})

	It("fails when as many runs of a task have failed as the queue allows", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		first := r.startAll()[0]
		r.end(first, flow.EndFailed)
		r.end(first, flow.EndFailed)
		second := r.startAll()
		Expect(second).To(HaveLen(1), "the same end listed twice is one attempt")
		Expect(second[0].Run).To(BeNumerically(">", first.Run))
		r.end(second[0], flow.EndFailed)
		r.save()
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Failed))
	})

	It("starts nothing before the store has recorded the hall", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
		r.Saved(r.Saves(100), false)
		Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
		r.save()
		Expect(r.Place(r.now, r.now, 0).Starts).To(HaveLen(1))
	})

	It("starts in its own hall without the store, and elsewhere once the store has recorded the hall", func() {
		r := newRig(1)
		r.heard("far", func(w *Worker) { w.Hall = "other" })
		r.Attached("far", Lists{}, r.now)
		r.Submit(&flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 5, Demand: demand(1000)}}}, r.now, r.now)
		r.JobStored("j")
		own := r.Place(r.now, r.now, 0).Starts
		Expect(own).To(HaveLen(4))
		for _, s := range own {
			Expect(s.Worker).To(Equal("w0"))
		}
		Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
		r.save()
		Expect(r.Place(r.now, r.now, 0).Starts).To(HaveLen(1))
	})

	It("does not start before the store is told where neither it nor the worker names a hall", func() {
		r := newRig(0)
		r.heard("w", func(w *Worker) { w.Hall = "" })
		r.Attached("w", Lists{}, r.now)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty())
	})

	It("starts each repetition of a repeated job when it is due", func() {
		r := newRig(1)
		spec := &flow.Spec{ID: "j", Queue: "q", RepeatCount: 2, StartMS: r.now.Add(time.Second).UnixMilli(), EveryMS: 1000, Steps: []flow.Step{{Count: 1, Demand: demand(100)}}}
		r.Submit(spec, r.now, r.now)
		r.JobStored("j")
		Expect(r.startAll()).To(BeEmpty())
		r.now = r.now.Add(1100 * time.Millisecond)
		Expect(r.startAll()).To(HaveLen(1))
		r.now = r.now.Add(time.Second)
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("has all of its runs stopped when it is cancelled", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 2, Demand: demand(1000), LongRunning: true})
		Expect(r.startAll()).To(HaveLen(2))
		Expect(r.Cancel("j", r.now)).To(BeTrue())
		Expect(r.place().Stops).To(HaveLen(2))
	})
})

var _ = Describe("a worker", func() {
	It("is never given more than it has room for", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 20, Demand: demand(1500)})
		Expect(r.startAll()).To(HaveLen(4))
		Expect(r.startAll()).To(BeEmpty())
	})

	It("has the room of a stopped run back only once the end is listed", func() {
		r := newRig(1)
		r.add("a", flow.Step{Count: 1, Demand: demand(3000), LongRunning: true})
		s := r.startAll()[0]
		r.Cancel("a", r.now)
		r.place()
		r.add("b", flow.Step{Count: 1, Demand: demand(3000)})
		Expect(r.startAll()).To(BeEmpty())
		r.end(s, flow.EndStopped)
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("gets nothing after an order's answer is lost, and its runs are restarted only when they certainly did not begin", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 1, Demand: demand(4000)})
		s := r.place().Starts[0]
		r.Detached(s.Worker, r.now)
		Expect(r.startAll()).To(BeEmpty())
		r.Attached(s.Worker, Lists{}, r.now)
		again := r.startAll()
		Expect(again).To(HaveLen(1))
		Expect(again[0].Run).To(BeNumerically(">", s.Run))
	})

	It("loses its runs when its lease has expired", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 1, Demand: demand(4000)})
		s := r.startAll()[0]
		r.Detached(s.Worker, r.now)
		Expect(r.startAll()).To(BeEmpty())
		r.WorkerLost(s.Worker, LossSilent, r.now)
		again := r.startAll()
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker).NotTo(Equal(s.Worker))
	})

	It("gets nothing more while an order is unanswered", func() {
		r := newRig(1)
		r.SetUnschedulable("w0", true)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(BeEmpty())
		r.SetUnschedulable("w0", false)
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("gets nothing while it leaves, and its long-running tasks are moved", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000), LongRunning: true})
		s := r.startAll()[0]
		r.Listed(s.Worker, Lists{Running: []Running{{Task: s.Task, Run: s.Run, Percent: 100}}}, r.now, r.now)
		r.heard(s.Worker, func(w *Worker) { w.Draining, w.Remaining = true, 2*time.Second })
		Expect(r.place().Stops).To(HaveLen(1))
		r.end(s, flow.EndStopped)
		again := r.startAll()
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker).NotTo(Equal(s.Worker))
	})

	It("is on probation after two consecutive failures", func() {
		r := newRig(1)
		r.add("a", flow.Step{Count: 2, Demand: demand(1000)})
		for _, s := range r.startAll() {
			r.end(s, flow.EndFailed)
		}
		r.add("b", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(BeEmpty())
		r.now = r.now.Add(minProbation + time.Millisecond)
		Expect(r.startAll()).To(HaveLen(1), "one run on probation")
	})

	It("has a stalled run stopped", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 800})
		s := r.startAll()[0]
		row := Lists{Running: []Running{{Task: s.Task, Run: s.Run, Percent: 10}}}
		r.Listed(s.Worker, row, r.now, r.now)
		r.now = r.now.Add(minStallTime + 10*time.Millisecond)
		r.Listed(s.Worker, row, r.now, r.now)
		Expect(r.place().Stops).To(HaveLen(1))
	})

	It("is told to discard an end only once the store has it", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		r.end(r.startAll()[0], flow.EndDone)
		saves := r.Saves(100)
		Expect(r.Observed("w0")).To(BeZero())
		r.Saved(saves, false)
		Expect(r.Observed("w0")).To(BeZero())
		r.save()
		Expect(r.Observed("w0")).To(Equal(1))
	})
})

var _ = Describe("placement", func() {
	It("keeps a step off workers without the label that the step needs", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000), RequiredLabel: "b"})
		Expect(r.startAll()).To(BeEmpty())
		r.heard("w9", func(w *Worker) { w.Labels = []string{"b", "r"} })
		r.Attached("w9", Lists{}, r.now)
		starts := r.startAll()
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Worker).To(Equal("w9"))
	})

	It("puts no more tasks of a step on a worker than the step allows", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 6, Demand: demand(100), MaxPerWorker: 2})
		starts := r.startAll()
		Expect(starts).To(HaveLen(4))
		on := make(map[string]int)
		for _, s := range starts {
			on[s.Worker]++
		}
		Expect(on).To(Equal(map[string]int{"w0": 2, "w1": 2}))
	})

	It("puts nothing on a worker whose entry is missing", func() {
		r := newRig(1)
		r.EntryMissing("w0")
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(BeEmpty())
	})

	It("moves no more tasks of a long-running step at once than may be missing", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 3, Demand: demand(1000), LongRunning: true, MaxUnavailable: 1})
		starts := r.startAll()
		Expect(starts).To(HaveLen(3))
		for _, s := range starts {
			r.Listed(s.Worker, Lists{Running: []Running{{Task: s.Task, Run: s.Run, Percent: 100}}, RunsIncomplete: true}, r.now, r.now)
		}
		r.heard(starts[0].Worker, func(w *Worker) { w.Draining, w.Remaining = true, time.Second })
		Expect(r.place().Stops).To(HaveLen(1))
	})

	It("has no end discarded that came after the save was made", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 2, Demand: demand(1000)})
		starts := r.startAll()
		r.end(starts[0], flow.EndDone)
		saves := r.Saves(100)
		r.end(starts[1], flow.EndDone)
		r.Saved(saves, true)
		Expect(r.Observed("w0")).To(Equal(1))
		r.save()
		Expect(r.Observed("w0")).To(Equal(2))
	})

	It("does not restart what an unsettled worker may be running, however long that takes", func() {
		r := newRig(1)
		r.heard("w9", func(*Worker) {})
		r.Restore(&flow.Spec{ID: "k", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}},
			&flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: []string{"h"}}}}, r.now, r.now)
		r.now = r.now.Add(time.Minute)
		Expect(r.startAll()).To(BeEmpty(), "time alone proves nothing")
	})
})
