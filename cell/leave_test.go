// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// A run that ends within the last moments of its worker may be listed in an answer that never
// comes, and its task would run again.
var _ = Describe("a gang of which a worker leaves before it is done", func() {
	It("is stopped in time for that to be known", func() {
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
		Expect(stops(endListingMargin + 50*time.Millisecond)).To(BeEmpty())
		last := stops(endListingMargin)
		Expect(last).To(HaveLen(1))
		Expect(last[0].Worker).To(Equal(gang[0].Worker))
	})
})

// moves plays the workers of one lasting step: stops take stopFor, starts are at work after
// warmUp, and workers that leave end.
type moves struct {
	*rig
	begun   map[string]time.Time
	stopAt  map[Stop]time.Time
	stopFor time.Duration
	warmUp  time.Duration
	// most is how many tasks were away at once at the most.
	most int
}

func newMoves(r *rig) *moves {
	return &moves{rig: r, begun: make(map[string]time.Time), stopAt: make(map[Stop]time.Time), stopFor: 200 * time.Millisecond, warmUp: 500 * time.Millisecond}
}

func runName(task flow.TaskID, n int) string { return fmt.Sprint(task, n) }

// step decides and carries out what a tenth of a second brings.
func (m *moves) step() {
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
			m.Listed(w.ID, Lists{Running: []Running{{Task: r.task(), Run: r.number, Percent: percent}}, Cut: true}, m.now, m.now)
		}
	}
	if s := m.stage(flow.StepID{Job: "j"}); s != nil {
		m.most = max(m.most, s.tasksAway())
	}
}

func (m *moves) play(d time.Duration) {
	for until := m.now.Add(d); m.now.Before(until); {
		m.step()
	}
}

// leave has the first n workers that run something leave in d.
func (m *moves) leave(n int, d time.Duration) {
	for _, w := range m.sortedWorkers {
		if n > 0 && len(w.runList) > 0 {
			m.heard(w.ID, func(w *Worker) { w.Draining, w.Remaining = true, d })
			n--
		}
	}
}

// left counts the runs that are still on workers that leave.
func (m *moves) left() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.Draining {
			n += len(w.runList)
		}
	}
	return n
}

// Tasks that last were left on workers that leave, and away until the leases there were over.
var _ = Describe("a step of a hundred tasks that last, one a worker", func() {
	const (
		notice  = 8 * time.Second
		workers = 125
		leave   = 12
		// last is how long before the end of its worker a task has to be stopped for that to
		// be listed in time.
		last = 900 * time.Millisecond
	)
	start := func(step flow.Step) *moves {
		m := newMoves(newRig(workers))
		step.Demand, step.Lasting, step.PerWorker = demand(1000), true, 1
		m.add("j", step)
		m.play(time.Second)
		m.most = 0
		return m
	}

	It("is at work elsewhere before a tenth of the workers ends", func() {
		m := start(flow.Step{Count: 100})
		m.leave(leave, notice)
		m.play(notice)
		Expect(m.left()).To(BeZero())
		Expect(m.stage(flow.StepID{Job: "j"}).tasksAway()).To(BeZero())
		Expect(m.most).To(BeNumerically("<=", 4), "and only so many are away at once as it takes")
	})

	It("is moved although one of its tasks cannot run anywhere", func() {
		m := start(flow.Step{Count: workers - leave})
		// One that is put on probation by every worker counts as away throughout.
		s := m.stage(flow.StepID{Job: "j"})
		m.leave(leave-1, notice)
		stuck := s.tasks[workers-leave-1].runs[0]
		stuck.percent, stuck.lastProgress = 0, m.now
		m.begun[runName(stuck.task(), stuck.number)] = m.now.Add(time.Hour)
		m.play(notice)
		Expect(m.left()).To(BeZero())
	})

	It("is moved within what it says it may miss, and the rest just before the end", func() {
		m := start(flow.Step{Count: 100, MayMiss: 1})
		m.leave(2*leave, notice)
		m.play(notice - last - 100*time.Millisecond)
		Expect(m.most).To(Equal(1))
		Expect(m.left()).To(BeNumerically(">", 0))
		m.play(last)
		Expect(m.left()).To(BeZero())
	})

	It("has no more stopped than find a place", func() {
		m := start(flow.Step{Count: workers - 3})
		m.leave(leave, notice)
		m.play(notice - 100*time.Millisecond)
		Expect(m.left()).To(Equal(leave-3), "three places are free")
	})

	It("has what was at work come back before what never was", func() {
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
		Expect(before.state).To(Equal(taskActive), "the only one that was at work")
	})
})
