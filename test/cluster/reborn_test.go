// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// maxIdle is the maximum time that the next step of a job may wait while workers have room for it.
const maxIdle = 3 * time.Second

// restartSameID is a quick restart of a worker under the same id.
var restartSameID = world.Restart{Down: 200 * time.Millisecond, SameID: true}

// rarelyPolledJob is a job of two steps with high estimates, so that owners rarely poll the
// workers for the state of its tasks.
const rarelyPolledJob = `{"spec":"ms=300 cpu=500 mem=100","steps":[{"count":3,"cpu":500,"mem_mb":100,"estimate_ms":8000},` +
	`{"count":3,"cpu":500,"mem_mb":100,"estimate_ms":8000,"depends_on":[0]}]}`

// withRebirth sets how workers come back after a task has crashed them, or after upkeep.
func withRebirth(how world.Restart) func(*world.Options) {
	return func(o *world.Options) { o.NextRestart = func() world.Restart { return how } }
}

// crashAll crashes all workers and waits until they are back.
func (b *testbed) crashAll(after world.Restart) {
	for _, w := range b.world.ActiveWorkers() {
		b.world.Crash(w, after)
	}
	Eventually(func() int { return len(b.world.ActiveWorkers()) }, after.Down+time.Second, 5*time.Millisecond).Should(Equal(4 * len(halls)))
}

// longestIdle returns the longest time between the end of the first step and the first start of
// the second one, over jobs of two steps.
func (b *testbed) longestIdle(ids []string) time.Duration {
	longest := time.Duration(0)
	starts := b.world.Book.Starts()
	for _, id := range ids {
		done := make(map[string]time.Time)
		var over, next time.Time
		for _, e := range starts {
			if strings.HasPrefix(e.Task, id+".0.0.") && e.Outcome == "done" && done[e.Task].IsZero() {
				done[e.Task] = e.Ended
			}
			if strings.HasPrefix(e.Task, id+".0.1.") && (next.IsZero() || e.Begun.Before(next)) {
				next = e.Begun
			}
		}
		for _, at := range done {
			if at.After(over) {
				over = at
			}
		}
		longest = max(longest, next.Sub(over))
	}
	return longest
}

var _ = Describe("a worker that starts again under its id", func() {
	It("has its list of ended runs read from the start, and nothing runs twice", func() {
		b := start()
		ids := b.submitChains(8, 3, 100, 200*time.Millisecond)
		b.wantAllSucceeded(ids)
		b.crashAll(restartSameID)
		b.wantAllSucceeded(b.submitChains(8, 3, 100, 200*time.Millisecond))
	})

	It("does not delay the next steps of jobs whose ended runs it has listed", func() {
		b := start()
		b.wantAllSucceeded(b.submitChains(16, 3, 50, 200*time.Millisecond))
		b.crashAll(restartSameID)
		var ids []string
		for range 4 {
			ids = append(ids, b.submit(rarelyPolledJob))
		}
		for _, id := range ids {
			b.wantState(id, "succeeded")
		}
		Expect(b.longestIdle(ids)).To(BeNumerically("<", maxIdle))
	})

	It("is used at its new address", func() {
		b := start()
		b.wantAllSucceeded(b.submitChains(2, 2, 100, 100*time.Millisecond))
		b.crashAll(world.Restart{Down: 200 * time.Millisecond, SameID: true, OtherAddr: true})
		b.wantAllSucceeded(b.submitChains(2, 2, 100, 100*time.Millisecond))
	})

	It("counts as lost, so that a task that crashes its workers fails its job", func() {
		b := start(withRebirth(restartSameID))
		others := b.submitChains(4, 4, 600, 400*time.Millisecond)
		bad := []string{b.submit(crashingJob(1, 0, -1)), b.submit(crashingJob(3, 10*time.Millisecond, 1))}
		for _, id := range bad {
			b.wantState(id, "failed")
			Expect(b.crashCount(id)).To(BeNumerically("<=", maxCrashes), id)
		}
		b.wantAllSucceeded(others)
	})

	It("frees its slot in a wave of upkeep", func() {
		b := start(withRebirth(restartSameID))
		names := b.world.Machines.Names()
		b.world.PutWave(1, 2, 20*time.Second, names)
		ids := b.submitChains(6, 2, 300, 2*time.Second)
		Eventually(func() string { return b.world.WaveState(1) }).Should(Equal("succeeded"))
		Expect(b.world.Machines.UpkeepsBegun()).To(Equal(len(names)))
		b.wantAllSucceeded(ids)
	})

	It("gets new advice from the policy, and its old tickets are not used", func() {
		b := start(func(o *world.Options) { o.Advice = true })
		b.wantAllSucceeded(b.submitChains(4, 3, 100, 200*time.Millisecond))
		b.crashAll(restartSameID)
		ids := b.submitChains(8, 3, 100, 400*time.Millisecond)
		b.wantAllSucceeded(ids)
		Expect(b.longestIdle(ids)).To(BeNumerically("<", maxIdle))
	})

	It("is told from its former process even if its clock was set back or it is back at once", func() {
		b := start()
		for _, next := range []world.Restart{
			{Down: 200 * time.Millisecond, SameID: true, Back: time.Hour},
			{Down: 5 * time.Millisecond, SameID: true},
			{Down: 5 * time.Millisecond, SameID: true, Back: time.Hour},
		} {
			ids := b.submitChains(6, 3, 100, 200*time.Millisecond)
			b.crashAll(next)
			b.wantAllSucceeded(append(ids, b.submitChains(6, 3, 100, 200*time.Millisecond)...))
		}
	})

	It("is told from its former process by the next owner too", func() {
		b := start()
		for range 3 {
			ids := b.submitChains(6, 3, 300, 300*time.Millisecond)
			owner := b.owner()
			owner.kill()
			b.crashAll(restartSameID)
			owner.start()
			b.wantAllSucceeded(append(ids, b.submitChains(4, 3, 100, 200*time.Millisecond)...))
		}
	})

	It("runs nothing twice when calls to its former process arrive late", func() {
		b := start()
		for range 3 {
			all := b.world.ActiveWorkers()
			for _, w := range all {
				w.SetFaults(world.WorkerFaults{Lose: 0.3, Late: 50 * time.Millisecond, Outlives: true})
			}
			ids := b.submitChains(6, 3, 200, 100*time.Millisecond)
			b.crashAll(world.Restart{Down: 5 * time.Millisecond, SameID: true})
			b.wantAllSucceeded(append(ids, b.submitChains(4, 3, 100, 200*time.Millisecond)...))
		}
	})
})
