// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// A run that ends in the last moments of its worker may be listed in an answer that never arrives,
// and its task would run again.
var _ = Describe("a gang with a worker that leaves before the gang is done", func() {
	It("is stopped in time for the stop to be listed", func() {
		r := newRig(2)
		r.add("j", flow.Step{Count: 2, Demand: demand(3000), Gang: true, EstimateMS: 1000})
		gang := r.startAll()
		Expect(gang).To(HaveLen(2))
		notice := 2 * time.Second
		r.heard(gang[0].Worker, func(w *Worker) { w.Draining, w.Remaining = true, notice })
		stops := func(left time.Duration) []Stop {
			r.now = r.now.Add(r.workers[gang[0].Worker].timeUntilLeave(r.now) - left)
			for _, s := range gang {
				r.Listed(s.Worker, Lists{Running: []Running{{Task: s.Task, Run: s.Run, Percent: 95}}}, r.now, r.now)
			}
			return r.place().Stops
		}
		Expect(stops(finalStopLead + 50*time.Millisecond)).To(BeEmpty())
		last := stops(finalStopLead)
		Expect(last).To(HaveLen(1))
		Expect(last[0].Worker).To(Equal(gang[0].Worker))
	})
})

// A run that is being stopped may be done before it has stopped, and the estimate of when it will be
// done may be wrong.
var _ = Describe("a run on a worker that leaves, without room elsewhere", func() {
	const (
		notice = 3 * time.Second
		step   = 10 * time.Millisecond
	)
	// leave simulates a run that would be done doneBefore its worker leaves, lists a percentage of
	// its work, and takes stopTime to stop. It reports whether the run was done.
	leave := func(doneBefore, stopTime time.Duration, percent func(left time.Duration) int, started ...func(*rig)) bool {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(3000), EstimateMS: 10_000})
		run := r.startAll()[0]
		for _, change := range started {
			change(r)
		}
		r.heard(run.Worker, func(w *Worker) { w.Draining, w.Remaining = true, notice })
		leaves := r.now.Add(notice)
		for ; r.now.Before(leaves.Add(-doneBefore)); r.now = r.now.Add(step) {
			r.Listed(run.Worker, Lists{Running: []Running{{Task: run.Task, Run: run.Run, Percent: percent(leaves.Sub(r.now))}}}, r.now, r.now)
			if len(r.place().Stops) > 0 {
				return r.now.Add(stopTime).After(leaves.Add(-doneBefore))
			}
		}
		return true
	}

	It("is not done in the worker's last moments, however long its stop takes and whatever is expected of it", func() {
		percents := map[string]func(time.Duration) int{
			"no progress is known":  func(time.Duration) int { return 0 },
			"its progress is known": func(left time.Duration) int { return int(100 * (notice - left) / notice) },
			"it seems to be about to be done": func(left time.Duration) int {
				return 100 - int(10*left/notice)
			},
			"it seems to be done already": func(time.Duration) int { return 100 },
		}
		for name, percent := range percents {
			for _, stopTime := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, maxStopTime} {
				for doneBefore := time.Duration(0); doneBefore < endListingMargin; doneBefore += time.Millisecond {
					Expect(leave(doneBefore, stopTime, percent)).To(BeFalse(), "%s, done %v before, stopped in %v", name, doneBefore, stopTime)
				}
			}
		}
	})

	It("is stopped as well if its queue is no longer configured", func() {
		unconfigured := func(r *rig) { r.Configure(nil) }
		Expect(leave(0, maxStopTime, func(time.Duration) int { return 50 }, unconfigured)).To(BeFalse())
	})

	It("goes on if it is expected to be done early enough", func() {
		early := finalStopLead + 500*time.Millisecond
		progress := func(left time.Duration) int { return int(100 * (notice - left) / (notice - early)) }
		Expect(leave(early, maxStopTime, progress)).To(BeTrue())
	})
})

// moveSim simulates the workers of one long-running step: stops take stopFor, starts are at work
// after warmUp, and leaving workers end.
type moveSim struct {
	*rig
	begun   map[string]time.Time
	stopAt  map[Stop]time.Time
	stopFor time.Duration
	warmUp  time.Duration
	// maxAway is the largest number of tasks that were away at the same time.
	maxAway int
}

func newMoveSim(r *rig) *moveSim {
	return &moveSim{rig: r, begun: make(map[string]time.Time), stopAt: make(map[Stop]time.Time), stopFor: 200 * time.Millisecond, warmUp: 500 * time.Millisecond}
}

func runName(task flow.TaskID, n int) string { return fmt.Sprint(task, n) }

// step decides, and plays the next 100 ms.
func (m *moveSim) step() {
	a := m.place()
	for _, s := range a.Starts {
		m.Started(s.Worker, s.Task, s.Run, Accepted, m.now)
		m.begun[runName(s.Task, s.Run)] = m.now
	}
	for _, s := range a.Stops {
		if _, known := m.stopAt[s]; !known {
			m.stopAt[s] = m.now.Add(m.stopFor)
		}
	}
	m.now = m.now.Add(100 * time.Millisecond)
	for s, at := range m.stopAt {
		if !at.After(m.now) {
			delete(m.stopAt, s)
			m.end(Start{Worker: s.Worker, Task: s.Task, Run: s.Run}, flow.EndStopped)
		}
	}
	for _, w := range m.sortedWorkers {
		for _, r := range w.runList {
			percent := 0
			if m.now.Sub(m.begun[runName(r.task(), r.number)]) >= m.warmUp {
				percent = 100
			}
			m.Listed(w.ID, Lists{Running: []Running{{Task: r.task(), Run: r.number, Percent: percent}}, RunsIncomplete: true}, m.now, m.now)
		}
	}
	if s := m.stage(flow.StepID{Job: "j"}); s != nil {
		m.maxAway = max(m.maxAway, s.tasksAway())
	}
}

func (m *moveSim) play(d time.Duration) {
	for until := m.now.Add(d); m.now.Before(until); {
		m.step()
	}
}

// leave makes the first n workers with runs leave in d.
func (m *moveSim) leave(n int, d time.Duration) {
	for _, w := range m.sortedWorkers {
		if n > 0 && len(w.runList) > 0 {
			m.heard(w.ID, func(w *Worker) { w.Draining, w.Remaining = true, d })
			n--
		}
	}
}

// runsOnLeavingWorkers counts the runs that are still on leaving workers.
func (m *moveSim) runsOnLeavingWorkers() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.Draining {
			n += len(w.runList)
		}
	}
	return n
}

// Guards against leaving long-running tasks on workers that leave: they were away until the leases
// there had expired.
var _ = Describe("a step of a hundred long-running tasks, one per worker", func() {
	const (
		notice  = 8 * time.Second
		workers = 125
		leave   = 12
		// stopLead is how long before the end of its worker a task has to be stopped for the stop
		// to be listed in time.
		stopLead = 900 * time.Millisecond
	)
	start := func(step flow.Step) *moveSim {
		m := newMoveSim(newRig(workers))
		step.Demand, step.LongRunning, step.MaxPerWorker = demand(1000), true, 1
		m.add("j", step)
		m.play(time.Second)
		m.maxAway = 0
		return m
	}

	It("is at work elsewhere before a tenth of its workers end", func() {
		m := start(flow.Step{Count: 100})
		m.leave(leave, notice)
		m.play(notice)
		Expect(m.runsOnLeavingWorkers()).To(BeZero())
		Expect(m.stage(flow.StepID{Job: "j"}).tasksAway()).To(BeZero())
		Expect(m.maxAway).To(BeNumerically("<=", 4), "no more tasks are away at once than necessary")
	})

	It("is moved although one of its tasks never gets to work", func() {
		m := start(flow.Step{Count: workers - leave})
		// A task that every worker fails to get to work counts as away throughout.
		s := m.stage(flow.StepID{Job: "j"})
		m.leave(leave-1, notice)
		stuck := s.tasks[workers-leave-1].runs[0]
		stuck.percent, stuck.lastProgress = 0, m.now
		m.begun[runName(stuck.task(), stuck.number)] = m.now.Add(time.Hour)
		m.play(notice)
		Expect(m.runsOnLeavingWorkers()).To(BeZero())
	})

	It("is moved within its limit of missing tasks, and the rest just before the workers end", func() {
		m := start(flow.Step{Count: 100, MaxUnavailable: 1})
		m.leave(2*leave, notice)
		m.play(notice - stopLead - 100*time.Millisecond)
		Expect(m.maxAway).To(Equal(1))
		Expect(m.runsOnLeavingWorkers()).To(BeNumerically(">", 0))
		m.play(stopLead)
		Expect(m.runsOnLeavingWorkers()).To(BeZero())
	})

	It("has no more tasks stopped than find room elsewhere", func() {
		m := start(flow.Step{Count: workers - 3})
		m.leave(leave, notice)
		m.play(notice - 100*time.Millisecond)
		Expect(m.runsOnLeavingWorkers()).To(Equal(leave-3), "three workers are free")
	})

	It("restarts tasks that were at work before tasks that never were", func() {
		m := start(flow.Step{Count: workers + 10})
		s := m.stage(flow.StepID{Job: "j"})
		var failed *run
		for i := range s.tasks {
			if s.tasks[i].state == taskActive {
				failed = s.tasks[i].runs[0]
			}
		}
		Expect(s.waiting).To(Equal(10))
		m.end(Start{Worker: failed.worker.ID, Task: failed.task(), Run: failed.number}, flow.EndFailed)
		s.tasks[failed.index].lastRun = 0
		before := &s.tasks[len(s.tasks)-1]
		before.lastRun = 1
		m.play(time.Second)
		Expect(before.state).To(Equal(taskActive), "the only waiting task that was at work before")
	})
})
