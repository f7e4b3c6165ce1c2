// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/capacity"
	"dewpass.org/flow"
)

// strandedIDs returns the jobs that are stranded once time for a job that was not moved before has
// passed.
func (r *rig) strandedIDs(except ...string) []string {
	ids := func() []string {
		var out []string
		for _, j := range r.Stranded(except, r.now, r.now) {
			out = append(out, j.Spec.ID)
		}
		return out
	}
	Expect(ids()).To(BeEmpty(), "a worker that is missing for a moment strands nothing")
	r.now = r.now.Add(strandedDelay)
	return ids()
}

func labeled(label string, step flow.Step) flow.Step { step.RequiredLabel = label; return step }

var _ = Describe("a job that its cell cannot run", func() {
	one := flow.Step{Count: 1, Demand: demand(1000)}

	// Jobs waited for ever in cells without a worker for them, or moved away from where they run.
	DescribeTable("is stranded", func(want bool, steps ...flow.Step) {
		r := newRig(2)
		r.add("j", steps...)
		r.startAll()
		if want {
			Expect(r.strandedIDs()).To(Equal([]string{"j"}))
		} else {
			Expect(r.strandedIDs()).To(BeEmpty())
		}
	},
		Entry("without a worker with its label", true, labeled("x", one)),
		Entry("not with one", false, labeled("a", one)),
		Entry("not with one in the rack that it requires", false, labeled("r", one)),
		Entry("as a task that is larger than any worker", true, flow.Step{Count: 1, Demand: demand(5000)}),
		Entry("as a gang that is wider than all workers", true, flow.Step{Count: 9, Gang: true, Demand: demand(1000)}),
		Entry("not as a gang that fits", false, flow.Step{Count: 8, Gang: true, Demand: demand(1000)}),
		Entry("not while another step of it can run", false, one, labeled("x", one)),
		Entry("not for a step that may not begin", false, one, labeled("x", flow.Step{Count: 1, Demand: demand(1000), DependsOn: []int{0}})),
	)

	It("is not stranded while workers are in use, or without contact for a moment", func() {
		r := newRig(1)
		r.add("k", flow.Step{Count: 4, Demand: demand(1000)})
		r.startAll()
		r.add("j", one)
		Expect(r.strandedIDs()).To(BeEmpty())
		r.Detached("w0", r.now)
		Expect(r.strandedIDs()).To(BeEmpty())
		r.now = r.now.Add(reachTimeout)
		Expect(r.strandedIDs()).To(Equal([]string{"j"}), "k may still run")
	})

	It("is stranded once its workers are lost, leave or are in a hall where nothing is to start", func() {
		r := newRig(0)
		r.heard("w", func(w *Worker) { w.Labels = []string{"x"} })
		r.Attached("w", Lists{}, r.now)
		r.add("j", labeled("x", one))
		Expect(r.strandedIDs()).To(BeEmpty())
		Expect(r.strandedIDs("h")).To(Equal([]string{"j"}))
		r.Stranded(nil, r.now, r.now)
		r.EntryMissing("w")
		Expect(r.strandedIDs()).To(Equal([]string{"j"}))
	})

	// A former owner may have started tasks that this one does not know yet.
	It("is not stranded while a former owner may have started it", func() {
		r := newRig(1)
		r.heard("new", func(*Worker) {})
		r.Restore(&flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{labeled("x", one)}}, nil, r.now, r.now)
		Expect(r.strandedIDs()).To(BeEmpty())
		r.Attached("new", Lists{}, r.now)
		Expect(r.strandedIDs()).To(Equal([]string{"j"}))
	})

	// A cell with few workers for a job may have none that the policy permits.
	It("is stranded once the policy has refused all workers that could run it", func() {
		r := newRig(0)
		r.Name = "here"
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second, Advice: &Advice{Decide: time.Millisecond, Each: time.Millisecond, Valid: time.Second}}})
		for _, id := range []string{"a", "b"} {
			r.heard(id, func(w *Worker) { w.Labels = []string{"x"} })
			r.Attached(id, Lists{}, r.now)
		}
		r.add("j", labeled("x", one))
		asks := r.place().Asks
		Expect(asks).NotTo(BeEmpty())
		Expect(r.strandedIDs()).To(BeEmpty(), "the policy has not answered")
		for len(asks) > 0 {
			r.Advised(asks[0], nil, time.Second, r.now)
			asks = append(asks[1:], r.place().Asks...)
			r.now = r.now.Add(time.Second)
		}
		Expect(r.strandedIDs()).To(Equal([]string{"j"}))
		Expect(r.Move("j", "there")).To(BeTrue())
		r.save()
		Expect(r.Stranded(nil, r.now, r.now)).To(BeEmpty())
		Expect(r.Moves()[0].RefusedIn).To(Equal([]string{"here"}))
	})

	It("waits longer for each move before", func() {
		Expect(moveDelay(0)).To(Equal(strandedDelay))
		Expect(moveDelay(1)).To(Equal(2 * strandedDelay))
		Expect(moveDelay(1000)).To(Equal(maxMoveDelay))
	})
})

var _ = Describe("a job that moves to another cell", func() {
	steps := []flow.Step{{Count: 2, Demand: demand(1000)}, {Count: 1, Demand: demand(1000), DependsOn: []int{0}}}
	// moving returns a cell whose job has one of its tasks done, and has lost another one.
	moving := func() (r *rig, spec *flow.Spec, runs []int) {
		r = newRig(2)
		r.Name = "from"
		r.add("j", steps...)
		starts := r.startAll()
		Expect(starts).To(HaveLen(2))
		r.end(starts[0], flow.EndDone)
		for _, w := range []string{"w0", "w1"} {
			r.WorkerLost(w, LossSilent, r.now)
			r.EntryMissing(w)
		}
		Expect(r.strandedIDs()).To(Equal([]string{"j"}))
		Expect(r.Move("j", "to")).To(BeTrue())
		Expect(r.Moves()).To(BeEmpty(), "its record does not say so yet")
		r.save()
		Expect(r.Moves()).To(HaveLen(1))
		return r, r.Moves()[0], []int{starts[0].Run, starts[1].Run}
	}

	// What was done ran again, or ran in both cells at once.
	It("goes on there with what is done, and starts nothing more here", func() {
		r, spec, runs := moving()
		r.heard("w2", func(*Worker) {})
		r.Attached("w2", Lists{}, r.now)
		Expect(r.startAll()).To(BeEmpty())
		Expect(r.Cancel("j", r.now)).To(BeTrue())
		s, _ := r.State("j")
		Expect(s).To(Equal(flow.Running), "only the other cell cancels it")
		Expect(r.Moves()[0].Progress.Canceled).To(BeFalse())

		other := newRig(1)
		other.Name = "to"
		other.runBase = 1
		spec.Hall = "h"
		other.MovedIn(spec, other.now, other.now)
		s, _ = other.State("j")
		Expect(s).To(Equal(flow.Running))
		starts := other.startAll()
		Expect(starts).To(HaveLen(1), "one of two tasks is done")
		Expect(starts[0].Run).To(BeNumerically(">", max(runs[0], runs[1])))
		other.end(starts[0], flow.EndDone)
		Expect(other.startAll()).To(HaveLen(1), "the second step")

		r.MovedAway("j")
		Expect(r.Known("j")).To(BeFalse())
		Expect(r.place().Starts).To(BeEmpty())
	})

	It("is not run by a next owner of its former cell either", func() {
		r, _, _ := moving()
		next := newRig(1)
		next.Name = "from"
		next.Restore(r.jobs["j"].spec, r.jobs["j"].save().Record, next.now, next.now)
		Expect(next.startAll()).To(BeEmpty())
		Expect(next.Moves()).To(HaveLen(1))
		Expect(next.Moves()[0].Cell).To(Equal("to"))
		Expect(next.Moves()[0].Progress.TasksDone()).To(Equal(1))
	})

	It("is not moved with a run, shared with other cells, or to its own cell", func() {
		r := newRig(1)
		r.Name = "from"
		r.add("runs", flow.Step{Count: 1, Demand: demand(1000)})
		r.startAll()
		Expect(r.Move("runs", "to")).To(BeFalse())
		r.Submit(&flow.Spec{ID: "shared", Queue: "q", Cell: "from", Shares: []string{"to"}, Steps: []flow.Step{labeled("x", flow.Step{Count: 1})}}, r.now, r.now)
		r.JobStored("shared")
		Expect(r.Move("shared", "to")).To(BeFalse())
		r.add("own", labeled("x", flow.Step{Count: 1}))
		Expect(r.Move("own", "from")).To(BeFalse())
	})

	It("keeps its failures and checkpoints, and names no hall of its former cell", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		run := r.startAll()[0]
		r.end(run, flow.EndFailed)
		r.EntryMissing("w0")
		Expect(r.strandedIDs()).To(Equal([]string{"j"}))
		Expect(r.Move("j", "to")).To(BeTrue())
		r.save()
		stage := r.Moves()[0].Progress.Stages[0]
		Expect(stage.FailedRuns).To(Equal(map[int][]int{0: {run.Run}}))
		Expect(stage.Halls).To(BeEmpty())
	})
})

var _ = Describe("the workers that a cell reports", func() {
	It("are those that can run tasks, without their racks", func() {
		r := newRig(2)
		r.heard("gone", func(*Worker) {})
		Expect(r.Workers(nil)).To(Equal(capacity.Workers{{Pool: "p", Labels: []string{"a"}, Room: vec(4000, 8000), Workers: 2}}))
		Expect(r.Workers([]string{"h"})).To(BeEmpty())
	})
})
