// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// crowdedCell returns a cell in which steps wait in vain: the one worker with room is not permitted to
// run them.
func crowdedCell(workers, waiting int) *rig {
	r, _ := busyCell(workers, waiting)
	r.heard("spare", func(w *Worker) { w.Room = vec(16000, 32000) })
	r.Attached("spare", Lists{}, r.now)
	return r
}

// decideInVain plays a second of decisions about steps that wait for the workers of a full pool, and
// returns how many workers were examined and the longest time for which a step was left out.
func decideInVain(r *rig) (examined int, leftOut time.Duration) {
	const interval = 10 * time.Millisecond
	for range time.Second / interval {
		r.now = r.now.Add(interval)
		r.Place(r.now, r.now, 4)
		examined += r.examined
		for _, s := range r.openStages {
			if !s.examinedAt.IsZero() {
				leftOut = max(leftOut, r.now.Sub(s.examinedAt))
			}
		}
	}
	return examined, leftOut
}

// Without a bound the cost of a decision grows with the steps that wait, so that an owner spends its
// processor time on decisions in vain, its workers idle, and still more steps wait.
func TestCostOfDecisionsIsBoundedHoweverManyStepsWait(t *testing.T) {
	g := NewWithT(t)
	const waiting = 2000
	bounded := crowdedCell(350, waiting)
	with, leftOut := decideInVain(bounded)
	unbounded := crowdedCell(350, waiting)
	unbounded.unlimited = true
	unbounded.unlimited = true
	without, _ := decideInVain(unbounded)
	t.Logf("workers examined in a second: %d, without a bound %d", with, without)
	g.Expect(with).To(BeNumerically("<", without/3))
	g.Expect(with).To(BeNumerically("<=", 100*2*examinedPerDecision))
	g.Expect(leftOut).To(BeNumerically("<=", 2*maxUnexamined), "no step is forgotten")
}

// Jobs that are too late to be of use must not keep others late that can be in time, but have to end.
func TestExpiredStepsComeLastAndStillEnd(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.accounts()
	old := r.now.Add(-time.Hour)
	for i := range 20 {
		id := fmt.Sprintf("old%02d", i)
		r.Submit(&flow.Spec{ID: id, Queue: "q", Steps: []flow.Step{{Count: 1, Demand: demand(1000), EstimateMS: 100}}}, old, r.now)
		r.JobStored(id)
	}
	r.Submit(&flow.Spec{ID: "batch", Queue: "batch", Steps: []flow.Step{{Count: 1, Demand: demand(4000), EstimateMS: 100}}}, r.now, r.now)
	r.JobStored("batch")
	first := r.place().Starts
	g.Expect(first).NotTo(BeEmpty())
	g.Expect(first[0].Task.Job).To(Equal("batch"))
	ended := 0
	starts := first
	for range 40 * expiredTurn {
		for _, s := range starts {
			r.Started(s.Worker, s.Task, s.Run, Accepted, r.now)
			r.end(s, flow.EndDone)
			ended++
		}
		r.now = r.now.Add(100 * time.Millisecond)
		starts = r.place().Starts
	}
	g.Expect(ended).To(Equal(21))
}

// BenchmarkCrowdedDecision measures a decision with steps that wait in vain.
func BenchmarkCrowdedDecision(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{350, 100}, {350, 1000}, {350, 3000}, {6000, 100}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			r := crowdedCell(size.workers, size.waiting)
			b.ResetTimer()
			for range b.N {
				r.now = r.now.Add(5 * time.Millisecond)
				r.Place(r.now, r.now, 4)
			}
		})
	}
}
