// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"slices"
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

// crashWorkerOf crashes the worker on which a task runs.
func (s *crashSim) crashWorkerOf(task flow.TaskID) {
	for _, p := range s.hosts {
		if slices.ContainsFunc(p.runs, func(r simRun) bool { return r.Task == task }) {
			s.crash(p)
			return
		}
	}
}

// runningTasks returns the tasks that run now.
func (s *crashSim) runningTasks() map[flow.TaskID]bool {
	out := make(map[flow.TaskID]bool)
	for _, p := range s.hosts {
		for _, r := range p.runs {
			out[r.Task] = true
		}
	}
	return out
}

// Guards against sound tasks that wait for each other's trials: a task whose worker had crashed after
// 14 s was watched for 28 s, and the next one of its job was not started before.
func TestTasksOfCrashedWorkersAreBackSoon(t *testing.T) {
	for _, k := range []struct {
		what               string
		jobs, tasks, limit int
		lasting            bool
		lived, apart       time.Duration
	}{
		{"two tasks of one job", 1, 2, 0, true, 14 * time.Second, 2 * time.Second},
		{"three tasks of one job", 1, 3, 0, true, 14 * time.Second, 2 * time.Second},
		{"six tasks of one job", 1, 6, 0, true, 14 * time.Second, 2 * time.Second},
		{"two tasks of one job, of which one may be away", 1, 2, 1, true, 14 * time.Second, 2 * time.Second},
		{"five jobs", 5, 1, 0, true, 14 * time.Second, 2 * time.Second},
		{"tasks that end", 1, 2, 0, false, 14 * time.Second, 2 * time.Second},
		{"shortly after they started", 1, 3, 0, true, 4 * time.Second, 2 * time.Second},
		{"long after they started", 1, 3, 0, true, 24 * time.Second, 2 * time.Second},
	} {
		g := NewWithT(t)
		s := newCrashSim(1, 5, 3)
		s.length = endless
		if !k.lasting {
			s.length = 60 * time.Second
		}
		var tasks []flow.TaskID
		for j := range k.jobs {
			id := fmt.Sprint("j", j)
			s.add(id, flow.Step{Count: k.tasks, Demand: demand(4000), LongRunning: k.lasting, MaxPerWorker: 1, MaxUnavailable: k.limit, EstimateMS: s.length.Milliseconds()})
			for i := range k.tasks {
				tasks = append(tasks, flow.TaskID{Job: id, Index: i})
			}
		}
		s.run(k.lived)
		for i, task := range tasks {
			if i > 0 {
				s.run(k.apart)
			}
			s.crashWorkerOf(task)
		}
		s.run(s.downFor + 3*time.Second)
		g.Expect(s.runningTasks()).To(HaveLen(len(tasks)), k.what)
	}
}

// Guards against trials side by side that cost more workers: without a stop of the others when one
// fails, a job of which each task crashes its worker would take one for each task once more.
func TestTrialsSideBySideCostNoMoreWorkers(t *testing.T) {
	for _, k := range []struct {
		what           string
		tasks, bad     int
		after, stagger time.Duration
		limit, workers int
	}{
		{"all at the same time after the start", 4, 4, 5 * time.Second, 0, 0, 13},
		{"one after the other", 4, 4, 5 * time.Second, 200 * time.Millisecond, 0, 6},
		{"late", 4, 4, 14 * time.Second, 200 * time.Millisecond, 0, 6},
		{"many", 20, 20, 14 * time.Second, 200 * time.Millisecond, 0, 22},
		{"three of six", 6, 3, 5 * time.Second, 300 * time.Millisecond, 0, 5},
		{"one of six", 6, 1, 5 * time.Second, 0, 0, 3},
		{"of which one may be away", 6, 6, 14 * time.Second, 300 * time.Millisecond, 1, 8},
		{"of which two may be away", 6, 6, 5 * time.Second, 300 * time.Millisecond, 2, 8},
	} {
		g := NewWithT(t)
		s := newCrashSim(1, 6, 4)
		s.length = endless
		s.crashAfter = func(t flow.TaskID) time.Duration {
			if t.Index >= k.bad {
				return 0
			}
			return k.after + time.Duration(t.Index)*k.stagger
		}
		s.add("bad", flow.Step{Count: k.tasks, Demand: demand(4000), LongRunning: true, MaxPerWorker: 1, MaxUnavailable: k.limit})
		g.Expect(s.run(5*time.Minute, "bad")).To(BeTrue(), k.what)
		g.Expect(state(s, "bad")).To(Equal(flow.Failed), k.what)
		sum, _ := s.crashTotals()
		g.Expect(sum).To(BeNumerically("<=", k.workers), k.what)
		g.Expect(s.maxLateStarts()).To(BeNumerically("<=", allowedLateStarts), k.what)
	}
}

// Guards against trials that are stopped although no worker has crashed: a worker that leaves as it has
// announced closes its connection as one that crashes does.
func TestOnlyAFailedTrialStopsTheOthers(t *testing.T) {
	for _, k := range []struct {
		what    string
		prepare func(s *crashSim, p *simHost)
		hangsUp bool
		stopped int
	}{
		{"the worker has crashed", func(*crashSim, *simHost) {}, true, 1},
		{"the worker is out of reach", func(*crashSim, *simHost) {}, false, 0},
		{"the worker leaves", func(s *crashSim, p *simHost) {
			s.heard(p.name(), func(w *Worker) { w.Draining, w.Remaining = true, 0 })
		}, true, 0},
	} {
		g := NewWithT(t)
		s := newCrashSim(1, 3, 2)
		s.length, s.downFor = endless, time.Minute
		s.add("j", flow.Step{Count: 2, Demand: demand(4000), LongRunning: true, MaxPerWorker: 1})
		s.run(5 * time.Second)
		for i := range 2 {
			s.crashWorkerOf(flow.TaskID{Job: "j", Index: i})
			s.run(time.Second)
		}
		for _, p := range s.hosts {
			if !p.downUntil.IsZero() {
				p.downUntil = s.now
			}
		}
		s.run(maxTrialWatch + time.Second)
		g.Expect(s.jobs["j"].trials).To(HaveLen(2), k.what)
		p := s.hostOf(s.jobs["j"].trials[0].worker.ID)
		k.prepare(s, p)
		s.Detached(p.name(), s.now)
		if k.hangsUp {
			s.HungUp(p.name(), true)
		}
		p.runs, p.downUntil = nil, s.now.Add(time.Minute)
		s.Changes()
		s.run(hangUpConfirmation + 200*time.Millisecond)
		stopped := 0
		for _, e := range s.Changes() {
			if e.Event == RunTrialStopped {
				stopped++
			}
		}
		g.Expect(stopped).To(Equal(k.stopped), k.what)
	}
}
