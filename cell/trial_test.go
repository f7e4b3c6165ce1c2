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
	r.loseWorkerOf(r.startAll()[0], 10*time.Millisecond)
	r.save()
	trial := r.startAll()
	g.Expect(trial).To(HaveLen(1))
	r.add("k", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty(), "the only remaining worker is under trial")
	r.now = r.now.Add(minTrialWatch + runCheckInterval)
	g.Expect(r.startAll()).To(HaveLen(1))
}

// Guards against trying suspects one at a time: with a pause of 0.25 s between trials, the
// neighbors of five crashes were tried one after another for 27 s, with all workers free.
func TestManySuspectsAreTriedInParallel(t *testing.T) {
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
		s.crash(s.hosts[4*i])
		s.run(200 * time.Millisecond)
	}
	begun := s.now
	g.Expect(s.run(time.Minute, jobs...)).To(BeTrue())
	g.Expect(s.now.Sub(begun)).To(BeNumerically("<", 5*time.Second))
}

// Guards against trials that hide each other: two trials, of a task that crashes its worker at once
// and of one that does so a moment later, crashed their workers at the same moment, and again a
// second later.
func TestTrialsThatCrashWorkersTogetherAreToldApart(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(3, 4, 2)
	s.crashAfter = func(t flow.TaskID) time.Duration {
		return map[string]time.Duration{"a": 10 * time.Millisecond, "b": 260 * time.Millisecond}[t.Job]
	}
	for _, id := range []string{"a", "b"} {
		s.add(id, flow.Step{Count: 1, Demand: demand(1000)})
	}
	g.Expect(s.run(20*time.Second, "a", "b")).To(BeTrue())
	_, most := s.crashTotals()
	g.Expect(most).To(BeNumerically("<=", 3))
}

func TestStepOfCrashingTasksCostsFewWorkers(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 10, 4)
	s.crashAfter = crashJobsAfter(10*time.Millisecond, "bad")
	s.add("bad", flow.Step{Count: 100, Demand: demand(4000)})
	s.step()
	s.step()
	first := len(s.starts)
	g.Expect(first).To(Equal(40))
	g.Expect(s.run(20*time.Second, "bad")).To(BeTrue())
	g.Expect(state(s, "bad")).To(Equal(flow.Failed))
	sum, _ := s.crashTotals()
	g.Expect(sum).To(BeNumerically("<=", first+2), "one on each worker at first, then one at a time")
}

// Guards against waiting for ever: a task with a single loss without blame waited for the store to
// have that loss, which is never written.
func TestTaskWithAnUnblamedLossIsTriedWithItsStep(t *testing.T) {
	g := NewWithT(t)
	r := newRig(3)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	r.startAll()
	s := r.jobs["j"].stages[0]
	s.blamedLosses = maxWorkersInDoubt
	s.tasks[0].crashes = []flow.Crash{{Run: 1, Blame: flow.BlameUnlikely}}
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

func TestLongRunClearsItsTask(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 2, 2)
	s.length = endless
	s.add("j", flow.Step{Count: 1, Demand: demand(1000), LongRunning: true})
	for range 5 {
		s.run(crashClearTime + 2*time.Second)
		task := flow.TaskID{Job: "j"}
		for _, p := range s.hosts {
			if len(p.runs) > 0 && p.runs[0].Task == task {
				s.crash(p)
			}
		}
	}
	s.run(3 * time.Second)
	g.Expect(state(s, "j")).To(Equal(flow.Running))
	g.Expect(s.starts[flow.TaskID{Job: "j"}]).To(Equal(6))
}
