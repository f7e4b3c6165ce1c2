// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

var _ = Describe("a worker that restarts under the same id", func() {
	const before, after = 1000, 2000
	// rigWithBorn returns a rig with a worker that gives its Born value in its entry and its lists.
	rigWithBorn := func() *rig {
		r := newRig(0)
		r.heard("w0", func(w *Worker) { w.Born = before })
		r.Attached("w0", Lists{Born: before}, r.now)
		return r
	}
	reborn := func(r *rig, l Lists) {
		r.Detached("w0", r.now)
		l.Born = after
		r.Attached("w0", l, r.now)
	}
	hear := func(r *rig, born int64) { r.heard("w0", func(w *Worker) { w.Born = born }) }
	end := func(n int, s Start, how flow.End) Finished {
		return Finished{Number: n, Task: s.Task, Run: s.Run, How: how}
	}
	shown := func(r *rig, id string) flow.State {
		s, _ := r.State(id)
		return s
	}
	one := flow.Step{Count: 1, Demand: demand(1000)}

	It("has its ends numbered from 1 again, even if its clock was set back", func() {
		for _, next := range []int64{after, before - 500} {
			r := rigWithBorn()
			r.add("a", flow.Step{Count: 2, Demand: demand(1000)})
			starts := r.startAll()
			r.Listed("w0", Lists{Born: before, Finished: []Finished{end(1, starts[0], flow.EndDone), end(2, starts[1], flow.EndDone)}}, r.now, r.now)
			r.save()
			Expect(r.Observed("w0")).To(Equal(2))
			r.Detached("w0", r.now)
			r.Attached("w0", Lists{Born: next}, r.now)
			Expect(r.Observed("w0")).To(BeZero(), "born %d", next)
			hear(r, next)
			r.add("b", one)
			s := r.startAll()[0]
			r.Listed("w0", Lists{Born: next, Finished: []Finished{end(1, s, flow.EndDone)}}, r.now, r.now)
			r.save()
			Expect(shown(r, "b")).To(Equal(flow.Succeeded))
			Expect(r.Observed("w0")).To(Equal(1))
		}
	})

	It("is not told to discard ends by a save that was in progress", func() {
		r := rigWithBorn()
		r.add("a", one)
		s := r.startAll()[0]
		r.Listed("w0", Lists{Born: before, Finished: []Finished{end(7, s, flow.EndDone)}}, r.now, r.now)
		saves := r.Saves(100)
		reborn(r, Lists{})
		r.Saved(saves, true)
		Expect(r.Observed("w0")).To(BeZero())
		Expect(shown(r, "a")).To(Equal(flow.Succeeded), "an end that was listed stays")
	})

	It("is not told to discard ends while it may have a run that it has not listed", func() {
		r := rigWithBorn()
		r.add("a", one)
		s := r.startAll()[0]
		r.Listed("w0", Lists{Born: before, Finished: []Finished{end(3, s, flow.EndDone)}}, r.now, r.now)
		r.save()
		Expect(r.Observed("w0")).To(Equal(3))
		r.add("b", one)
		Expect(r.place().Starts).To(HaveLen(1))
		Expect(r.Observed("w0")).To(BeZero())
	})

	It("has lost its earlier runs, which are blamed for the loss", func() {
		r := rigWithBorn()
		r.add("a", one)
		s := r.startAll()[0]
		r.now = r.now.Add(20 * time.Millisecond)
		r.Detached("w0", r.now)
		r.HungUp("w0", true)
		r.Attached("w0", Lists{Born: after}, r.now)
		lost := r.LostRuns()
		Expect(lost).To(HaveLen(1))
		Expect(lost[0].Loss).To(Equal(LossReborn))
		Expect(lost[0].Blame).To(Equal(flow.BlameSole))
		hear(r, after)
		again := r.startAll()
		Expect(again).To(HaveLen(1))
		Expect(again[0].Run).To(BeNumerically(">", s.Run))
	})

	It("keeps runs that it was given before the restart was known", func() {
		r := rigWithBorn()
		r.add("a", flow.Step{Count: 3, Demand: demand(1000)})
		starts := r.startAll()
		row := func(s Start) Running { return Running{Task: s.Task, Run: s.Run} }
		reborn(r, Lists{Running: []Running{row(starts[0])}, Finished: []Finished{end(1, starts[1], flow.EndDone)}})
		lost := r.LostRuns()
		Expect(lost).To(HaveLen(1))
		Expect(lost[0].Task).To(Equal(starts[2].Task))
		hear(r, after)
		Expect(r.startAll()).To(HaveLen(1), "only the lost run starts again")
		r.Listed("w0", Lists{Born: after, Running: []Running{row(starts[0])}, Finished: []Finished{end(1, starts[1], flow.EndDone)}}, r.now, r.now)
		r.Listed("w0", Lists{Born: after, Finished: []Finished{end(2, starts[0], flow.EndDone)}, RunsIncomplete: true}, r.now, r.now)
		Expect(r.startAll()).To(BeEmpty())
	})

	It("ends no run by lists that did not come under a newer fencing token", func() {
		r := rigWithBorn()
		r.add("a", one)
		s := r.startAll()[0]
		r.now = r.now.Add(time.Second)
		r.Listed("w0", Lists{Born: after}, r.now, r.now)
		r.EndsListed("w0", Lists{Born: after, Finished: []Finished{end(40, s, flow.EndDone)}}, r.now)
		Expect(r.Busy("w0")).To(BeTrue())
		reborn(r, Lists{})
		r.EndsListed("w0", Lists{Born: before, Finished: []Finished{end(40, s, flow.EndFailed)}}, r.now)
		r.save()
		Expect(r.Observed("w0")).To(BeZero(), "a late answer of the earlier incarnation")
	})

	It("is given nothing before its own entry tells its room", func() {
		r := rigWithBorn()
		reborn(r, Lists{})
		r.add("a", flow.Step{Count: 2, Demand: demand(1000)})
		Expect(r.startAll()).To(BeEmpty())
		Expect(r.Load().Attached).To(BeZero())
		r.heard("w0", func(w *Worker) { w.Born, w.Room = after, vec(1000, 8000) })
		Expect(r.startAll()).To(HaveLen(1), "its room has become smaller")
	})

	It("is not leaving because the earlier incarnation was", func() {
		r := rigWithBorn()
		r.heard("w0", func(w *Worker) { w.Born, w.Draining, w.Remaining = before, true, time.Second })
		reborn(r, Lists{})
		Expect(r.Drained("w0")).To(BeFalse())
		hear(r, after)
		r.add("a", one)
		Expect(r.startAll()).To(HaveLen(1))
	})

	It("is asked about again, and no earlier ticket is used", func() {
		r := rigWithBorn()
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Advice: &Advice{Decide: 10 * time.Millisecond, Valid: 10 * time.Second}}})
		r.add("a", one)
		ask := r.place().Asks[0]
		r.Advised(ask, []Ticket{{Worker: "w0", Text: "old"}}, 10*time.Second, r.now)
		reborn(r, Lists{})
		hear(r, after)
		a := r.place()
		Expect(a.Starts).To(BeEmpty())
		Expect(a.Asks).To(HaveLen(1))
		Expect(a.Asks[0].Workers).To(Equal([]string{"w0"}))
		reborn2 := func() {
			r.Detached("w0", r.now)
			r.Attached("w0", Lists{Born: after + 1}, r.now)
			hear(r, after+1)
		}
		reborn2()
		r.Advised(a.Asks[0], []Ticket{{Worker: "w0", Text: "older"}}, 10*time.Second, r.now)
		a = r.place()
		Expect(a.Starts).To(BeEmpty(), "the answer to a question about the earlier incarnation")
		r.Advised(a.Asks[0], []Ticket{{Worker: "w0", Text: "new"}}, 10*time.Second, r.now)
		starts := r.place().Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Ticket).To(Equal("new"))
	})

	It("is not asked about a third time if the policy permitted the earlier incarnation but not this one", func() {
		r := rigWithBorn()
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Advice: &Advice{Decide: 10 * time.Millisecond, Valid: time.Second}}})
		r.add("a", one)
		r.Advised(r.place().Asks[0], []Ticket{{Worker: "w0", Text: "old"}}, time.Second, r.now)
		reborn(r, Lists{})
		hear(r, after)
		r.Advised(r.place().Asks[0], nil, time.Second, r.now)
		r.now = r.now.Add(2 * time.Second)
		Expect(r.place().Asks).To(BeEmpty())
	})

	It("counts as lost during a change of owner if the former owner knew another incarnation", func() {
		spec := &flow.Spec{ID: "j", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
		for _, known := range []int64{before, after} {
			r := newRig(0)
			r.Restore(spec, &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: []string{"h"}}}}, r.now, r.now)
			r.Heard(Worker{ID: "w0", Addr: "w0", Hall: "h", Born: known, Gone: true}, r.now)
			r.Attached("w0", Lists{Born: after}, r.now)
			hear(r, after)
			Expect(r.startAll()).To(HaveLen(1))
			Expect(r.jobs["j"].stages[0].tasks[0].crashes).To(HaveLen(map[int64]int{before: 1, after: 0}[known]))
		}
	})

	It("counts as the same incarnation if workers do not give a Born value", func() {
		r := newRig(1)
		r.add("a", one)
		s := r.startAll()[0]
		r.Detached("w0", r.now)
		r.Attached("w0", Lists{Running: []Running{{Task: s.Task, Run: s.Run}}}, r.now)
		Expect(r.startAll()).To(BeEmpty())
		Expect(r.LostRuns()).To(BeEmpty())
	})
})
