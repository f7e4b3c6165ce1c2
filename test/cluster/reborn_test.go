// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// idleMost is for how long the next step of a job may wait while workers have room for it.
const idleMost = 3 * time.Second

// again is a worker that is back soon under its id.
var again = world.Rebirth{Down: 200 * time.Millisecond, SameID: true}

// seldomLookedAt is a job of two steps whose tasks are thought to be long, so that their workers are
// asked seldom how they fare.
const seldomLookedAt = `{"spec":"ms=300 cpu=500 mem=100","steps":[{"count":3,"cpu":500,"mem_mb":100,"estimate_ms":8000},` +
	`{"count":3,"cpu":500,"mem_mb":100,"estimate_ms":8000,"depends_on":[0]}]}`

// comesBack has workers come back in a way after a task has crashed them, or after upkeep.
func comesBack(how world.Rebirth) func(*world.Options) {
	return func(o *world.Options) { o.Next = func() world.Rebirth { return how } }
}

// crashAll ends the processes of all workers.
func (b *bed) crashAll(after world.Rebirth) {
	for _, w := range b.world.Living() {
		b.world.Crash(w, after)
	}
	Eventually(func() int { return len(b.world.Living()) }, after.Down+time.Second, 5*time.Millisecond).Should(Equal(4 * len(halls)))
}

// longestIdle returns the longest time between the end of all of a job's first step and the
// first start of its second one, of jobs of two steps.
func (b *bed) longestIdle(ids []string) time.Duration {
	longest := time.Duration(0)
	starts := b.world.Book.Starts()
	for _, id := range ids {
		done := make(map[string]time.Time)
		var over, next time.Time
		for _, e := range starts {
			if strings.HasPrefix(e.Task, id+".0.0.") && e.How == "done" && done[e.Task].IsZero() {
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
	It("has its ends counted from the first, and nothing runs twice", func() {
		b := start()
		ids := b.submitSome(8, 3, 100, 200*time.Millisecond)
		b.wantWhole(ids)
		b.crashAll(again)
		b.wantWhole(b.submitSome(8, 3, 100, 200*time.Millisecond))
	})

	It("does not leave the next steps of jobs waiting for ends that it has listed", func() {
		b := start()
		b.wantWhole(b.submitSome(16, 3, 50, 200*time.Millisecond))
		b.crashAll(again)
		var ids []string
		for range 4 {
			ids = append(ids, b.submit(seldomLookedAt))
		}
		for _, id := range ids {
			b.wantState(id, "succeeded")
		}
		Expect(b.longestIdle(ids)).To(BeNumerically("<", idleMost))
	})

	It("is used at its new address", func() {
		b := start()
		b.wantWhole(b.submitSome(2, 2, 100, 100*time.Millisecond))
		b.crashAll(world.Rebirth{Down: 200 * time.Millisecond, SameID: true, OtherAddr: true})
		b.wantWhole(b.submitSome(2, 2, 100, 100*time.Millisecond))
	})

	It("counts as lost, so that a task that crashes its workers is given up", func() {
		b := start(comesBack(again))
		others := b.submitSome(4, 4, 600, 400*time.Millisecond)
		bad := []string{b.submit(crashing(1, 0, -1)), b.submit(crashing(3, 10*time.Millisecond, 1))}
		for _, id := range bad {
			b.wantState(id, "failed")
			Expect(b.crashes(id)).To(BeNumerically("<=", crashesMost), id)
		}
		b.wantWhole(others)
	})

	It("frees its slot in a wave of upkeep", func() {
		b := start(comesBack(again))
		names := b.world.Machines.Names()
		b.world.Wave(1, 2, 20*time.Second, names)
		ids := b.submitSome(6, 2, 300, 2*time.Second)
		Eventually(func() string { return b.world.WaveState(1) }).Should(Equal("succeeded"))
		Expect(b.world.Machines.Begun()).To(Equal(len(names)))
		b.wantWhole(ids)
	})

	It("is asked about anew by a policy, and its old tickets are not used", func() {
		b := start(func(o *world.Options) { o.Advice = true })
		b.wantWhole(b.submitSome(4, 3, 100, 200*time.Millisecond))
		b.crashAll(again)
		ids := b.submitSome(8, 3, 100, 400*time.Millisecond)
		b.wantWhole(ids)
		Expect(b.longestIdle(ids)).To(BeNumerically("<", idleMost))
	})

	It("is told from the life before though its time of day was set back, or it is back at once", func() {
		b := start()
		for _, next := range []world.Rebirth{
			{Down: 200 * time.Millisecond, SameID: true, Back: time.Hour},
			{Down: 5 * time.Millisecond, SameID: true},
			{Down: 5 * time.Millisecond, SameID: true, Back: time.Hour},
		} {
			ids := b.submitSome(6, 3, 100, 200*time.Millisecond)
			b.crashAll(next)
			b.wantWhole(append(ids, b.submitSome(6, 3, 100, 200*time.Millisecond)...))
		}
	})

	It("is told from the life before by the next owner as well", func() {
		b := start()
		for range 3 {
			ids := b.submitSome(6, 3, 300, 300*time.Millisecond)
			owner := b.owner()
			owner.kill()
			b.crashAll(again)
			owner.run()
			b.wantWhole(append(ids, b.submitSome(4, 3, 100, 200*time.Millisecond)...))
		}
	})

	It("has run nothing twice where orders of before reach it late", func() {
		b := start()
		for range 3 {
			all := b.world.Living()
			for _, w := range all {
				w.Fail(world.WorkerFaults{Lose: 0.3, Late: 50 * time.Millisecond, Outlives: true})
			}
			ids := b.submitSome(6, 3, 200, 100*time.Millisecond)
			b.crashAll(world.Rebirth{Down: 5 * time.Millisecond, SameID: true})
			b.wantWhole(append(ids, b.submitSome(4, 3, 100, 200*time.Millisecond)...))
		}
	})
})
