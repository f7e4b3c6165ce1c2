// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// These tests guard against restarting a task without end when it crashes every worker that runs
// it.

// allowedLateStarts is how many starts a task may have after it has crashed three workers.
const allowedLateStarts = 2

// crashJobsAfter returns a crashAfter function that makes the tasks of some jobs crash their
// workers.
func crashJobsAfter(after time.Duration, jobs ...string) func(flow.TaskID) time.Duration {
	return func(t flow.TaskID) time.Duration {
		for _, id := range jobs {
			if t.Job == id {
				return after
			}
		}
		return 0
	}
}

func state(s *crashSim, id string) flow.State {
	st, _ := s.State(id)
	return st
}

func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
		g := NewWithT(t)
		s := newCrashSim(1, 4, 2)
		s.crashAfter = crashJobsAfter(after, "bad")
		s.add("bad", flow.Step{Count: 1, Demand: demand(1000)})
		g.Expect(s.run(10*time.Second, "bad")).To(BeTrue())
		g.Expect(state(s, "bad")).To(Equal(flow.Failed))
		_, most := s.crashTotals()
		g.Expect(most).To(Equal(2), "a task that always ran alone is given up after two workers")
	}
}

func TestTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 4, 2)
	s.length = 20 * time.Second
	s.crashAfter = crashJobsAfter(4*time.Second, "bad")
	s.add("bad", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 20_000})
	for i := range 6 {
		s.add(fmt.Sprintf("good%d", i), flow.Step{Count: 3, Demand: demand(1000), EstimateMS: 20_000})
	}
	g.Expect(s.run(40*time.Second, "bad")).To(BeTrue())
	g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts))
	for i := range 6 {
		g.Expect(state(s, fmt.Sprintf("good%d", i))).NotTo(Equal(flow.Failed))
	}
}

func TestNeighborsOfCrashingTasksAreNotGivenUp(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newCrashSim(seed, 4, 2)
		s.crashAfter = crashJobsAfter(10*time.Millisecond, "bad0", "bad1", "bad2")
		var jobs []string
		for i := range 30 {
			id := fmt.Sprintf("good%d", i)
			if i%10 == 5 {
				id = fmt.Sprintf("bad%d", i/10)
			}
			jobs = append(jobs, id)
			s.add(id, flow.Step{Count: 1 + s.random.IntN(4), Demand: demand(500)})
			s.run(100 * time.Millisecond)
		}
		g.Expect(s.run(time.Minute, jobs...)).To(BeTrue(), "seed %d", seed)
		for _, id := range jobs {
			want := flow.Succeeded
			if id[0] == 'b' {
				want = flow.Failed
			}
			g.Expect(state(s, id)).To(Equal(want), "%s of seed %d", id, seed)
		}
		g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts), "seed %d", seed)
	}
}

func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 4, 2)
	s.crashAfter = func(t flow.TaskID) time.Duration {
		if t.Index == 1 {
			return 10 * time.Millisecond
		}
		return 0
	}
	s.add("bad", flow.Step{Count: 4, Demand: demand(4000), Gang: true})
	for end := s.now.Add(20 * time.Second); s.now.Before(end) && state(s, "bad") != flow.Failed; s.step() {
		// The other members of a gang end with the first one that is lost.
		for _, p := range s.hosts {
			for _, r := range p.runs {
				if s.crashes[flow.TaskID{Job: "bad", Index: 1}] >= s.starts[r.Task] {
					s.ended(p, r, flow.EndGangBroken)
				}
			}
		}
	}
	g.Expect(state(s, "bad")).To(Equal(flow.Failed))
	g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts))
}

func TestCopiesThatCrashTheirWorkersAreGivenUp(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 4, 2)
	s.downFor = 4 * time.Second
	s.crashAfter = crashJobsAfter(10*time.Millisecond, "bad")
	s.add("bad", flow.Step{Count: 1, Demand: demand(1000), Speculative: true})
	g.Expect(s.run(30*time.Second, "bad")).To(BeTrue())
	_, most := s.crashTotals()
	g.Expect(most).To(BeNumerically("<=", 3))
}

func TestNoCopiesWhileLossesOfTheirTaskAreUnconfirmed(t *testing.T) {
	const tasks = 4
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newCrashSim(seed, 16, 8)
		// The next incarnation appears seconds after a copy would be started elsewhere.
		s.downFor, s.length = 3300*time.Millisecond, 600*time.Millisecond
		s.crashAfter = func(t flow.TaskID) time.Duration {
			return map[int]time.Duration{tasks - 1: 10 * time.Millisecond}[t.Index]
		}
		var jobs []string
		for i := range 40 {
			jobs = append(jobs, fmt.Sprintf("bad%d", i))
			s.add(jobs[i], flow.Step{Count: tasks, Demand: demand(1000), Speculative: true})
			s.run(150 * time.Millisecond)
		}
		g.Expect(s.run(2*time.Minute, jobs...)).To(BeTrue(), "seed %d", seed)
		g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts), "seed %d", seed)
	}
}

func TestTrialThatCrashesItsWorkerLateGetsNoCopy(t *testing.T) {
	g := NewWithT(t)
	r := newRig(3)
	r.add("j", flow.Step{Count: 2, Demand: demand(1000), Speculative: true})
	first := r.startAll()
	r.now = r.now.Add(10 * time.Millisecond)
	r.Detached(first[0].Worker, r.now)
	r.HungUp(first[0].Worker, true)
	r.Forget(first[0].Worker, LossReborn, r.now)
	// After another trial of the job went well, a trial in progress does not hold up the next.
	passed := r.startAll()
	g.Expect(passed).To(HaveLen(1))
	r.end(passed[0], flow.EndDone)
	trial := r.startAll()
	g.Expect(trial).To(HaveLen(1))
	r.now = r.now.Add(youngRunAge + 100*time.Millisecond)
	r.Detached(trial[0].Worker, r.now)
	r.HungUp(trial[0].Worker, true)
	r.now = r.now.Add(copyDelay + runCheckInterval)
	g.Expect(r.startAll()).To(BeEmpty())
}

func TestNoCopyOfARunThatMayHaveCrashedItsWorker(t *testing.T) {
	for _, hungUp := range []bool{false, true} {
		g := NewWithT(t)
		r := newRig(2)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000), Speculative: true})
		first := r.startAll()
		g.Expect(first).To(HaveLen(1))
		r.now = r.now.Add(10 * time.Millisecond)
		r.Detached(first[0].Worker, r.now)
		if hungUp {
			r.HungUp(first[0].Worker, true)
		}
		r.now = r.now.Add(copyDelay + runCheckInterval)
		want := 1
		if hungUp {
			want = 0
		}
		g.Expect(r.startAll()).To(HaveLen(want), "the worker has hung up: %v", hungUp)
	}
}

func TestLongRunningTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 4, 2)
	s.length = endless
	s.crashAfter = crashJobsAfter(10*time.Millisecond, "bad")
	s.add("bad", flow.Step{Count: 3, Demand: demand(1000), LongRunning: true})
	g.Expect(s.run(20*time.Second, "bad")).To(BeTrue())
	g.Expect(state(s, "bad")).To(Equal(flow.Failed))
	g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts))
}

func TestPartOfAnotherCellsJobGivesUpOnlyTheTask(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 4, 2)
	s.Name, s.length = "b", endless
	s.crashAfter = func(t flow.TaskID) time.Duration { return map[int]time.Duration{1: 10 * time.Millisecond}[t.Index] }
	s.Submit(&flow.Spec{ID: "j", Queue: "q", Cell: "a", Shares: []string{"b"}, Steps: []flow.Step{{Count: 4, Demand: demand(1000), LongRunning: true}}}, s.now, s.now)
	s.JobStored("j")
	s.run(30 * time.Second)
	g.Expect(state(s, "j")).To(Equal(flow.Running))
	g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts))
	last := s.crashes[flow.TaskID{Job: "j", Index: 1}]
	s.run(30 * time.Second)
	g.Expect(s.crashes[flow.TaskID{Job: "j", Index: 1}]).To(Equal(last), "the task is not started any more")
	g.Expect(s.starts).To(HaveLen(2), "two of the four tasks belong to this cell")
}

func TestWorkersLostTogetherDoNotCountAgainstTasks(t *testing.T) {
	g := NewWithT(t)
	s := newCrashSim(1, 4, 3)
	s.length = 3 * time.Second
	var jobs []string
	for i := range 12 {
		jobs = append(jobs, fmt.Sprintf("j%d", i))
		s.add(jobs[i], flow.Step{Count: 3, Demand: demand(1000), EstimateMS: 3000})
	}
	for range 5 {
		s.run(900 * time.Millisecond)
		rack := s.random.IntN(4)
		for i := range 3 {
			s.crash(s.hosts[3*rack+i])
		}
	}
	g.Expect(s.run(time.Minute, jobs...)).To(BeTrue())
	for _, id := range jobs {
		g.Expect(state(s, id)).To(Equal(flow.Succeeded))
	}
}

func TestWorkersCutOffDoNotCountAgainstTasks(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	for i := range 4 {
		starts := r.startAll()
		g.Expect(starts).To(HaveLen(1), "after %d", i)
		r.now = r.now.Add(300 * time.Millisecond)
		r.Detached(starts[0].Worker, r.now)
		r.now = r.now.Add(6 * time.Second)
		r.WorkerLost(starts[0].Worker, LossSilent, r.now)
		r.Attached(starts[0].Worker, Lists{}, r.now)
	}
	s, _ := r.State("j")
	g.Expect(s).To(Equal(flow.Running))
}

func TestTaskWhoseWorkersFallSilentIsGivenUpInTime(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	n := 0
	for ; n < 10; n++ {
		starts := r.startAll()
		if len(starts) == 0 {
			break
		}
		r.Detached(starts[0].Worker, r.now)
		r.now = r.now.Add(7 * time.Second)
		r.WorkerLost(starts[0].Worker, LossSilent, r.now)
		r.save()
		r.Attached(starts[0].Worker, Lists{}, r.now)
	}
	s, _ := r.State("j")
	g.Expect(s).To(Equal(flow.Failed))
	g.Expect(n).To(Equal(3 + allowedLateStarts))
}

func TestHallsCutOffDoNotCountAgainstTasks(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	r.add("k", flow.Step{Count: 1, Demand: demand(1000)})
	for range 6 {
		g.Expect(r.startAll()).NotTo(BeEmpty())
		for i := range 4 {
			r.now = r.now.Add(400 * time.Millisecond)
			r.Detached(fmt.Sprintf("w%d", i), r.now)
		}
		r.now = r.now.Add(7 * time.Second)
		for i := range 4 {
			r.WorkerLost(fmt.Sprintf("w%d", i), LossSilent, r.now)
		}
		r.save()
		for i := range 4 {
			r.Attached(fmt.Sprintf("w%d", i), Lists{}, r.now)
		}
	}
	for _, id := range []string{"j", "k"} {
		s, _ := r.State(id)
		g.Expect(s).To(Equal(flow.Running))
	}
}

func TestLeavingWorkersDoNotCountAgainstTasks(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000), LongRunning: true})
	for i := range 8 {
		id := fmt.Sprintf("v%d", i)
		r.heard(id, func(*Worker) {})
		r.Attached(id, Lists{}, r.now)
		g.Expect(r.startAll()).To(HaveLen(1))
		r.heard(id, func(w *Worker) { w.Draining = true })
		r.Detached(id, r.now)
		r.Forget(id, LossReborn, r.now)
	}
	s, _ := r.State("j")
	g.Expect(s).To(Equal(flow.Running))
}

// Guards against ignoring crashes of leaving workers: a task crashed a worker 1.9 s before the
// worker was due to leave, and the loss was taken for its leaving.
func TestWorkerThatIsLostWellBeforeItLeavesCounts(t *testing.T) {
	g := NewWithT(t)
	for _, early := range []bool{true, false} {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		s := r.startAll()[0]
		r.heard("w0", func(w *Worker) { w.Draining, w.Remaining = true, 2*time.Second })
		r.loseWorkerOf(s, map[bool]time.Duration{true: 100 * time.Millisecond, false: 2 * time.Second}[early])
		g.Expect(r.jobs["j"].stages[0].tasks[0].crashes).To(HaveLen(map[bool]int{true: 1, false: 0}[early]))
	}
}

// loseWorkerOf ends the worker of a run, and no other.
func (r *rig) loseWorkerOf(s Start, after time.Duration) {
	r.now = r.now.Add(after)
	r.Detached(s.Worker, r.now)
	r.HungUp(s.Worker, true)
	r.now = r.now.Add(time.Second)
	r.Forget(s.Worker, LossReborn, r.now)
}

func TestWorkerWithARunOfAnUnknownJobMayBeLost(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.Attached("w0", Lists{Running: []Running{{Task: flow.TaskID{Job: "gone", Index: 3}, Run: 77}}}, r.now)
	r.loseWorkerOf(Start{Worker: "w0"}, time.Second)
	g.Expect(r.LostRuns()).To(HaveLen(1))
}

// Guards against blaming the wrong run when a loss is noticed late: connections had gone silent, so
// a worker's end was noticed 1.5 s late. The task that had crashed it 16 ms after its start then
// seemed to have run for long, and its neighbors, started later, were blamed.
func TestLossDetectedLateDoesNotAgeRuns(t *testing.T) {
	g := NewWithT(t)
	for _, seen := range []bool{true, false} {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		s := r.startAll()[0]
		r.now = r.now.Add(1500 * time.Millisecond)
		r.add("k", flow.Step{Count: 1, Demand: demand(1000)})
		r.startAll()
		r.Detached(s.Worker, r.now)
		r.HungUp(s.Worker, seen)
		r.Forget(s.Worker, LossReborn, r.now.Add(time.Second))
		blame := r.jobs["j"].stages[0].tasks[0].crashes[0].Blame
		g.Expect(blame).To(Equal(map[bool]flow.Blame{true: flow.BlameUnlikely, false: flow.BlameShared}[seen]))
	}
}

// Guards against wrong verdicts where dozens of tasks crash workers at any age, while workers and
// racks also fail by themselves. Two tasks that ran for about the same time crashed their workers
// in step, and each loss was taken for part of a power failure that explained the other; and a task
// was given up that had lost four workers by chance.
func TestManyCrashingTasksAmongOtherFaults(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		s := newCrashSim(seed, 6, 8)
		ms := func(n int) time.Duration { return time.Duration(s.random.IntN(n)) * time.Millisecond }
		s.downFor = 500*time.Millisecond + ms(5000)
		s.length = 300*time.Millisecond + ms(4000)
		after := make(map[string]time.Duration)
		s.crashAfter = func(t flow.TaskID) time.Duration {
			if t.Index == 0 {
				return after[t.Job]
			}
			return 0
		}
		var jobs []string
		for i := range 80 {
			id := fmt.Sprintf("good%d", i)
			if s.random.IntN(8) == 0 {
				id = fmt.Sprintf("bad%d", i)
				after[id] = 10 * time.Millisecond
				if s.random.IntN(2) == 0 {
					after[id] += ms(int(s.length.Milliseconds()) - 20)
				}
			}
			jobs = append(jobs, id)
			s.add(id, flow.Step{Count: 1 + s.random.IntN(6), Demand: demand(500), EstimateMS: s.length.Milliseconds()})
			s.run(ms(200))
			if s.random.IntN(15) == 0 {
				rack, n := s.random.IntN(6), 1+s.random.IntN(8)
				for k := range n {
					s.crash(s.hosts[8*rack+k])
				}
			}
		}
		g.Expect(s.run(2*time.Minute, jobs...)).To(BeTrue(), "seed %d", seed)
		for _, id := range jobs {
			want := flow.Succeeded
			if after[id] > 0 {
				want = flow.Failed
			}
			g.Expect(state(s, id)).To(Equal(want), "%s of seed %d", id, seed)
		}
		g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts), "seed %d", seed)
	}
}
