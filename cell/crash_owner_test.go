// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// loseWorkersSilently makes the workers of some runs fall silent together until their leases have
// expired.
func (r *rig) loseWorkersSilently(starts ...Start) {
	r.now = r.now.Add(10 * time.Millisecond)
	for _, s := range starts {
		r.Detached(s.Worker, r.now)
	}
	r.now = r.now.Add(6 * time.Second)
	for _, s := range starts {
		r.Forget(s.Worker, LossSilent, r.now)
	}
}

// Soak seed 43: a task was started a third time after its third crash; two of the crashes were
// under an owner that could not write.
func TestLossesUnderAnOwnerThatCannotWriteCountForTheNextOwner(t *testing.T) {
	g := NewWithT(t)
	spec := &flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
	former := newRig(3)
	former.Submit(spec, former.now, former.now)
	former.JobStored("j")
	former.add("other", flow.Step{Count: 1, Demand: demand(4000)})
	first := former.place().Starts
	g.Expect(first).To(HaveLen(2))
	for _, s := range first {
		former.Started(s.Worker, s.Task, s.Run, Accepted, former.now)
	}
	rec, _ := former.jobs["j"].record(allDetails)
	former.loseWorkersSilently(first...)
	crashed := 1
	// Nothing is stored from here on.
	for range 5 {
		former.now = former.now.Add(time.Second)
		g.Expect(former.Place(former.now, former.now, 0).Starts).To(BeEmpty(), "the store has nothing of the first start")
	}

	next := newRig(9)
	next.now = former.now
	next.Heard(Worker{ID: "old", Hall: "h", Gone: true}, next.now)
	next.Restore(spec, rec, next.now, next.now)
	next.Forget("old", LossReborn, next.now)
	after := 0
	for range 9 {
		next.now = next.now.Add(time.Second)
		starts := next.startAll()
		if len(starts) == 0 {
			break
		}
		if crashed >= 3 {
			after++
		}
		next.loseWorkersSilently(starts...)
		crashed++
	}
	g.Expect(state(&crashSim{rig: next}, "j")).To(Equal(flow.Failed))
	g.Expect(after).To(BeNumerically("<=", allowedLateStarts))
}

func TestCrashesAreStoredBeforeTheNextStartAndCountForTheNextOwner(t *testing.T) {
	g := NewWithT(t)
	r := newRig(3)
	spec := &flow.Spec{ID: "j", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
	r.Submit(spec, r.now, r.now)
	r.JobStored("j")
	first := r.startAll()[0]
	r.loseWorkerOf(first, 10*time.Millisecond)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty(), "the store does not have the loss yet")
	saves := r.Saves(10)
	g.Expect(saves).To(HaveLen(1))
	rec, err := flow.DecodeRecord(flow.Encode(saves[0].Record))
	g.Expect(err).NotTo(HaveOccurred())
	r.Saved(saves, false)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty(), "the store did not write the loss")
	r.Saved(r.Saves(10), true)
	second := r.Place(r.now, r.now, 0).Starts
	g.Expect(second).To(HaveLen(1))

	// The next owner adopts the second run, and its worker ends as well.
	next := newRig(0)
	next.now = r.now
	worker := second[0].Worker
	next.Heard(Worker{ID: worker, Hall: "h", Gone: true}, next.now)
	next.Restore(spec, rec, next.now, next.now)
	run := Running{Task: second[0].Task, Run: second[0].Run}
	next.Attached(worker, Lists{Running: []Running{run}}, next.now)
	next.loseWorkerOf(Start{Worker: worker}, 10*time.Millisecond)
	next.save()
	s, _ := next.State("j")
	g.Expect(s).To(Equal(flow.Failed))
}

func TestRunLostDuringAChangeOfOwnerCounts(t *testing.T) {
	g := NewWithT(t)
	spec := &flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
	sole := []flow.Crash{{Run: 77, Blame: flow.BlameSole}}
	started := []flow.RunStart{{Run: 78, Worker: "old"}}
	copied := append(started, flow.RunStart{Run: 79, Worker: "forgotten"})
	for _, c := range []struct {
		before []flow.Crash
		starts []flow.RunStart
		lost   bool
		want   []flow.Blame
	}{
		{sole, started, true, []flow.Blame{flow.BlameSole, flow.BlameShared}},
		{sole, started, false, []flow.Blame{flow.BlameSole}},
		// The former owner had not started the task again.
		{sole, nil, true, []flow.Blame{flow.BlameSole}},
		// The worker of the second run is not on the worker list any more.
		{nil, copied, true, []flow.Blame{flow.BlameUnlikely, flow.BlameUnlikely}},
		{nil, copied, false, []flow.Blame{flow.BlameUnlikely}},
		// A first start is not recorded.
		{nil, nil, true, []flow.Blame{flow.BlameUnlikely}},
		{nil, nil, false, nil},
	} {
		r := newRig(1)
		// A worker of the former owner that has disappeared from the directory.
		r.Heard(Worker{ID: "old", Hall: "h", Gone: true}, r.now)
		rec := &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{
			Crashes: map[int][]flow.Crash{0: c.before}, Starts: map[int][]flow.RunStart{0: c.starts},
		}}}
		r.Restore(spec, rec, r.now, r.now)
		if c.lost {
			r.Forget("old", LossReborn, r.now)
		} else {
			r.Attached("old", Lists{}, r.now)
		}
		g.Expect(r.startAll()).To(HaveLen(1), "it is started")
		r.save()
		rec, _ = r.jobs["j"].record(allDetails)
		g.Expect(rec.Stages[0].Crashes[0]).To(HaveLen(len(c.want)), "for the next owner")
		var got []flow.Blame
		for _, crash := range r.jobs["j"].stages[0].tasks[0].crashes {
			got = append(got, crash.Blame)
		}
		g.Expect(got).To(Equal(c.want))
	}
}

// Guards against a loss that is not stored before the next start: five owners replaced each other
// within 12 s, and each restarted a task that had crashed its worker among other runs before the
// loss was stored, so that the next owner counted from the start.
func TestSharedCrashIsStoredBeforeTheNextStart(t *testing.T) {
	g := NewWithT(t)
	r := newRig(3)
	r.add("j", flow.Step{Count: 2, Demand: demand(1000)})
	first := r.startAll()
	g.Expect(first[0].Worker).To(Equal(first[1].Worker))
	r.loseWorkerOf(first[0], 10*time.Millisecond)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(BeEmpty(), "the store does not have the loss yet")
	r.Saved(r.Saves(10), true)
	g.Expect(r.Place(r.now, r.now, 0).Starts).To(HaveLen(1))
}

func TestRunReportedLostTwiceCountsOnce(t *testing.T) {
	g := NewWithT(t)
	rec := &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{
		Crashes: map[int][]flow.Crash{0: {{Run: 77, Blame: flow.BlameSole}}},
	}}}
	r := newRig(1)
	r.Restore(&flow.Spec{ID: "j", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}, rec, r.now, r.now)
	r.Attached("w0", Lists{Running: []Running{{Task: flow.TaskID{Job: "j"}, Run: 77}}}, r.now)
	r.loseWorkerOf(Start{Worker: "w0"}, 10*time.Millisecond)
	r.save()
	s, _ := r.State("j")
	g.Expect(s).To(Equal(flow.Running))
}

// Soak seed 7: a task that was lost once, and then waited through three changes of owner, was given
// up.
func TestInheritedLossesAloneDoNotGiveATaskUp(t *testing.T) {
	g := NewWithT(t)
	inherited := func(run int, blame flow.Blame) flow.Crash { return flow.Crash{Run: run, Blame: blame, Inherited: true} }
	seen := func(run int) flow.Crash { return flow.Crash{Run: run, Blame: flow.BlameShared, AgeMS: 143} }
	once := []flow.Crash{
		inherited(8192, flow.BlameUnlikely), seen(8193), inherited(12288, flow.BlameShared), inherited(16384, flow.BlameShared),
	}
	g.Expect(mustGiveUp(once)).To(BeFalse())
	// Each stands for one run: with the fifth the task would be started a third time after the third.
	g.Expect(mustGiveUp([]flow.Crash{once[0], seen(8193), seen(12289), seen(16385)})).To(BeFalse())
	g.Expect(mustGiveUp([]flow.Crash{once[0], seen(8193), seen(12289), seen(16385), seen(16386)})).To(BeTrue())
}
