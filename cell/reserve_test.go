// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

var _ = Describe("a step of large tasks that finds no room", func() {
	const estimate = 4000
	queues := []Queue{
		{Name: "urgent", Pool: "p", Priority: 0, MaxAttempts: 2, Stretch: 2, Target: time.Second},
		{Name: "q", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second},
		{Name: "later", Pool: "p", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second},
	}
	submit := func(r *rig, id, queue string, step flow.Step) {
		step.EstimateMS = estimate
		r.Submit(&flow.Spec{ID: id, Queue: queue, Hall: "h", Steps: []flow.Step{step}}, r.now, r.now)
		r.JobStored(id)
	}
	small := flow.Step{Count: 4, Demand: demand(1000), Checkpoints: true}
	large := flow.Step{Count: 1, Demand: demand(4000)}
	// full returns a rig whose only worker is full with tasks of a step of a queue.
	full := func(queue string, step flow.Step) (*rig, []Start) {
		r := newRig(1)
		r.Configure(queues)
		submit(r, "a", queue, step)
		return r, r.startAll()
	}

	It("has tasks of less urgent queues stopped that can resume from a checkpoint", func() {
		r, _ := full("later", small)
		submit(r, "b", "q", large)
		Expect(r.place().Stops).To(HaveLen(4))
	})

	It("has no tasks stopped that would start over or are as urgent", func() {
		noCheckpoints := small
		noCheckpoints.Checkpoints = false
		r, _ := full("later", noCheckpoints)
		submit(r, "b", "q", large)
		Expect(r.place().Stops).To(BeEmpty())

		r, _ = full("q", small)
		submit(r, "b", "q", large)
		Expect(r.place().Stops).To(BeEmpty())
	})

	It("has nothing stopped where room comes free just as soon", func() {
		r, starts := full("later", small)
		for _, s := range starts {
			r.Listed(s.Worker, Lists{Running: []Running{{Task: s.Task, Run: s.Run, Percent: 50}}, RunsIncomplete: true}, r.now, r.now)
		}
		r.now = r.now.Add(estimate*time.Millisecond - minYieldGain)
		submit(r, "b", "q", large)
		Expect(r.place().Stops).To(BeEmpty())
	})

	It("makes a task yield at most twice", func() {
		r, starts := full("later", flow.Step{Count: 1, Demand: demand(4000), Checkpoints: true})
		for i := range maxYields + 1 {
			id := string(rune('b' + i))
			submit(r, id, "q", large)
			stops := r.place().Stops
			if i == maxYields {
				Expect(stops).To(BeEmpty())
				return
			}
			Expect(stops).To(HaveLen(1))
			r.end(starts[0], flow.EndStopped)
			urgent := r.startAll()
			Expect(urgent[0].Task.Job).To(Equal(id))
			r.end(urgent[0], flow.EndDone)
			starts = r.startAll()
			Expect(starts[0].Task.Job).To(Equal("a"))
		}
	})

	It("keeps room that comes free from later steps, but not from earlier ones", func() {
		r, starts := full("q", small)
		submit(r, "b", "q", large)
		r.place()
		r.end(starts[0], flow.EndDone)
		submit(r, "c", "later", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(BeEmpty(), "the room that came free is reserved")
		submit(r, "d", "urgent", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("asks the policy before the room comes free", func() {
		r := newRig(1)
		advised := queues[1]
		advised.Advice = &Advice{Decide: 400 * time.Millisecond, Valid: time.Second}
		r.Configure([]Queue{queues[0], advised})
		submit(r, "a", "urgent", flow.Step{Count: 1, Demand: demand(4000)})
		running := r.startAll()[0]
		submit(r, "b", "q", large)
		first := r.place().Asks
		Expect(first).To(HaveLen(1))
		r.Advised(first[0], []Ticket{{Worker: "w0", Text: "t"}}, time.Second, r.now)
		r.now = r.now.Add(2 * time.Second)
		Expect(r.place().Asks).To(BeEmpty(), "its tickets would expire before there is room")
		r.now = r.now.Add(estimate*time.Millisecond - 2*time.Second - 500*time.Millisecond)
		ahead := r.place().Asks
		Expect(ahead).To(HaveLen(1))
		r.Advised(ahead[0], []Ticket{{Worker: "w0", Text: "u"}}, time.Second, r.now)
		r.end(running, flow.EndDone)
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("gets nothing reserved if an empty worker holds more than two of its tasks", func() {
		r, starts := full("later", small)
		submit(r, "b", "q", flow.Step{Count: 3, Demand: demand(1300), Gang: true})
		Expect(r.place().Stops).To(BeEmpty())
		r.end(starts[0], flow.EndDone)
		submit(r, "c", "later", flow.Step{Count: 1, Demand: demand(1000)})
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("has no tasks stopped that use none of what is short", func() {
		r := newRig(0)
		r.Configure(queues)
		r.heard("w", func(w *Worker) { w.Room[sched.Accelerators] = 1 })
		r.Attached("w", Lists{}, r.now)
		accel := demand(100)
		accel[sched.Accelerators] = 1
		submit(r, "a", "later", flow.Step{Count: 1, Demand: accel, Checkpoints: true})
		holder := r.startAll()[0]
		r.now = r.now.Add(time.Second)
		submit(r, "b", "later", flow.Step{Count: 1, Demand: demand(100), Checkpoints: true})
		Expect(r.startAll()).To(HaveLen(1), "it has more work left than the other")
		submit(r, "c", "q", flow.Step{Count: 1, Demand: accel})
		stops := r.place().Stops
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Task).To(Equal(holder.Task))
	})
})
