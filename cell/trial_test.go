// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

func TestNothingIsStartedBesideATrial(t *testing.T) {
	g := NewWithT(t)
	r := newRig(2)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	r.lose(r.startAll()[0], 10*time.Millisecond)
	r.save()
	trial := r.startAll()
	g.Expect(trial).To(HaveLen(1))
	r.add("k", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty(), "the only worker that is left is watched")
	r.now = r.now.Add(minTrialWatch + runCheckInterval)
	g.Expect(r.startAll()).To(HaveLen(1))
}

// With a pause between any two trials, of 0.25 s, the tasks that had run beside those of five
// crashes were tried one after another for 27 s, with all workers free.
func TestManySuspectsAreTriedSideBySide(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 12, 4)
	s.length = 400 * time.Millisecond
	var jobs []string
	for i := range 60 {
		jobs = append(jobs, fmt.Sprintf("j%d", i))
		s.add(jobs[i], flow.Step{Count: 3, Demand: demand(1000)})
	}
	s.run(100 * time.Millisecond)
	for i := range 12 {
		s.crash(s.places[4*i])
		s.run(200 * time.Millisecond)
	}
	begun := s.now
	g.Expect(s.run(time.Minute, jobs...)).To(BeTrue())
	g.Expect(s.now.Sub(begun)).To(BeNumerically("<", 5*time.Second))
}

// Two trials, one of a task that ends its worker at once and one of a task that does so a moment
// later, ended theirs at the same moment, and again a second later, in step: each hid the other.
func TestTrialsThatEndTheirWorkersTogetherAreToldApart(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(3, 4, 2)
	s.crashAfter = func(t flow.TaskID) time.Duration {
		return map[string]time.Duration{"a": 10 * time.Millisecond, "b": 260 * time.Millisecond}[t.Job]
	}
	for _, id := range []string{"a", "b"} {
		s.add(id, flow.Step{Count: 1, Demand: demand(1000)})
	}
	g.Expect(s.run(20*time.Second, "a", "b")).To(BeTrue())
	_, most := s.all()
	g.Expect(most).To(BeNumerically("<=", 3))
}

func TestStepOfTasksThatCrashTakesFewWorkers(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 10, 4)
	s.crashAfter = crashing(10*time.Millisecond, "bad")
	s.add("bad", flow.Step{Count: 100, Demand: demand(4000)})
	s.step()
	s.step()
	first := len(s.starts)
	g.Expect(first).To(Equal(40))
	g.Expect(s.run(20*time.Second, "bad")).To(BeTrue())
	g.Expect(state(s, "bad")).To(Equal(flow.Failed))
	sum, _ := s.all()
	g.Expect(sum).To(BeNumerically("<=", first+2), "all workers at once, as nothing was known, then one at a time")
}

// A task that had only run beside a loss waited for the store to keep that, which it never did:
// nothing is written for such a loss.
func TestTaskBesideALossIsTriedWithItsStep(t *testing.T) {
	g := NewWithT(t)
	r := newRig(3)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	r.startAll()
	s := r.jobs["j"].stages[0]
	s.blamedLosses = maxWorkersInDoubt
	s.tasks[0].crashes = []flow.Crash{{Run: 1, Blame: flow.BlameBeside}}
	r.now = r.now.Add(time.Second)
	r.Listed("w0", Lists{}, r.now, r.now)
	g.Expect(s.waiting).To(Equal(1))
	begun := 0
	for range 20 {
		begun += len(r.startAll())
		r.now = r.now.Add(200 * time.Millisecond)
		r.save()
	}
	g.Expect(begun).To(Equal(1))
}

func TestRunThatGoesOnWellClearsItsTask(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 2, 2)
	s.length = lasts
	s.add("j", flow.Step{Count: 1, Demand: demand(1000), Lasting: true})
	for range 5 {
		s.run(crashClearTime + 2*time.Second)
		task := flow.TaskID{Job: "j"}
		for _, p := range s.places {
			if len(p.runs) > 0 && p.runs[0].Task == task {
				s.crash(p)
			}
		}
	}
	s.run(3 * time.Second)
	g.Expect(state(s, "j")).To(Equal(flow.Running))
	g.Expect(s.starts[flow.TaskID{Job: "j"}]).To(Equal(6))
}
