// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// accounts configures client accounts besides the queues of a rig.
func (r *rig) accounts(accounts ...Account) {
	r.Configure([]Queue{
		{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
	}, accounts...)
}

// addFor submits a job of an account and marks it stored.
func (r *rig) addFor(account, id string, steps ...flow.Step) {
	r.Submit(&flow.Spec{ID: id, Queue: "q", Account: account, Steps: steps}, r.now, r.now)
	r.JobStored(id)
}

func limit(cpu, mem int64) sched.Vec { return sched.Vec{sched.MilliCPU: cpu, sched.MemoryMiB: mem} }

func TestAccountRunsNoMoreThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(3000, 0)}, Account{Name: "b"})
	r.addFor("a", "ja", flow.Step{Count: 8, Demand: demand(1000)})
	r.addFor("b", "jb", flow.Step{Count: 4, Demand: demand(1000)})
	starts := r.startAll()
	g.Expect(starts).To(HaveLen(3 + 4))
	for _, s := range starts {
		if s.Task.Job == "ja" {
			r.end(s, flow.EndDone)
			break
		}
	}
	g.Expect(r.startAll()).To(HaveLen(1), "one run has ended")
}

func TestStoppingAndUnconfirmedRunsCountAgainstTheLimit(t *testing.T) {
	g := NewWithT(t)
	r := newRig(2)
	r.accounts(Account{Name: "a", Limit: limit(1000, 0)})
	r.addFor("a", "j1", flow.Step{Count: 1, Demand: demand(1000)})
	first := r.startAll()
	r.Detached(first[0].Worker, r.now)
	r.addFor("a", "j2", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty(), "the first run may have begun")
	r.Attached(first[0].Worker, Lists{Running: []Running{{Task: first[0].Task, Run: first[0].Run}}}, r.now)
	r.Cancel("j1", r.now)
	g.Expect(r.startAll()).To(BeEmpty(), "the first is being stopped")
	r.end(first[0], flow.EndStopped)
	g.Expect(r.startAll()).To(HaveLen(1))
}

func TestTasksPossiblyStartedByAFormerOwnerCountAgainstTheLimit(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.accounts(Account{Name: "a", Limit: limit(2000, 0)}, Account{Name: "b", Limit: limit(2000, 0)})
	r.heard("w0", func(*Worker) {})
	r.heard("w1", func(w *Worker) { w.Hall = "far" })
	r.Attached("w0", Lists{}, r.now)
	r.Restore(&flow.Spec{ID: "old", Queue: "q", Account: "a", Hall: "far", Steps: []flow.Step{{Count: 2, Demand: demand(1000)}}}, nil, r.now, r.now)
	r.addFor("a", "new", flow.Step{Count: 1, Demand: demand(1000)})
	r.addFor("b", "other", flow.Step{Count: 1, Demand: demand(1000)})
	starts := r.startAll()
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Task.Job).To(Equal("other"))
	r.Attached("w1", Lists{}, r.now)
	g.Expect(r.startAll()).To(HaveLen(2), "no task of the former owner was running")
}

func TestGangDoesNotStartBeyondTheLimitOfItsAccount(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(3000, 0)})
	r.addFor("a", "one", flow.Step{Count: 1, Demand: demand(1000)})
	first := r.startAll()
	r.addFor("a", "gang", flow.Step{Count: 3, Demand: demand(1000), Gang: true})
	g.Expect(r.startAll()).To(BeEmpty())
	r.end(first[0], flow.EndDone)
	g.Expect(r.startAll()).To(HaveLen(3))
}

func TestTaskLargerThanTheLimitOfItsAccountStartsAlone(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(500, 0)})
	r.addFor("a", "j", flow.Step{Count: 2, Demand: demand(1000)})
	g.Expect(r.startAll()).To(HaveLen(1))
}

func TestLoweredLimitStopsNoRuns(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(3000, 0)})
	r.addFor("a", "j", flow.Step{Count: 8, Demand: demand(1000)})
	g.Expect(r.startAll()).To(HaveLen(3))
	r.accounts(Account{Name: "a", Limit: limit(1000, 0)})
	a := r.place()
	g.Expect(a.Starts).To(BeEmpty())
	g.Expect(a.Stops).To(BeEmpty())
	r.accounts()
	g.Expect(r.startAll()).To(BeEmpty(), "an account that is no longer configured keeps its limit")
}

func TestAccountBeyondItsShareDelaysNoOtherAccount(t *testing.T) {
	g := NewWithT(t)
	r := newRig(2)
	r.accounts(Account{Name: "hot", Weight: 2}, Account{Name: "calm", Weight: 2})
	r.addFor("calm", "filler", flow.Step{Count: 8, Demand: demand(1000)})
	running := r.startAll()
	for i := range 10 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.addFor("hot", fmt.Sprintf("hot%d", i), flow.Step{Count: 1, Demand: demand(1000)})
	}
	r.addFor("calm", "calm", flow.Step{Count: 1, Demand: demand(1000)})
	order := make(map[string]int)
	for i, s := range running {
		r.end(s, flow.EndDone)
		for _, next := range r.startAll() {
			order[next.Task.Job] = i
		}
	}
	// Two at once and one more within the second are within the share of hot.
	g.Expect(order["calm"]).To(Equal(3))
	g.Expect(order).To(HaveLen(8), "all room is used")
}

func TestBucketLimitsTheRate(t *testing.T) {
	g := NewWithT(t)
	var b bucket
	now := time.Unix(1_000, 0)
	taken := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if b.take(5, now) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("~", 55, 1))
}

func TestBatchOfAnAccountLeavesRoomUnderItsLimitForItsCalls(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(8000, 0)})
	r.addFor("a", "call1", flow.Step{Count: 2, Demand: demand(1000)})
	first := r.startAll()
	g.Expect(first).To(HaveLen(2))
	r.Submit(&flow.Spec{ID: "batch", Queue: "batch", Account: "a", Steps: []flow.Step{{Count: 20, Demand: demand(1000)}}}, r.now, r.now)
	r.JobStored("batch")
	g.Expect(r.startAll()).To(HaveLen(6))
	for _, s := range first {
		r.end(s, flow.EndDone)
	}
	g.Expect(r.startAll()).To(BeEmpty(), "the room of the call stays reserved for the next one")
	r.now = r.now.Add(time.Second)
	r.addFor("a", "call2", flow.Step{Count: 2, Demand: demand(1000)})
	second := r.startAll()
	g.Expect(second).To(HaveLen(2))
	for _, s := range second {
		r.end(s, flow.EndDone)
	}
	given := 0
	for range 3 {
		r.now = r.now.Add(urgentWindow + time.Millisecond)
		given += len(r.startAll())
	}
	g.Expect(given).To(Equal(2), "the reserved room is released when no more calls come")
}

func TestFewUnsettledWorkersDoNotHoldUpAnAccount(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(12_000, 0)})
	r.heard("gone", func(w *Worker) { w.Hall = "far" })
	r.Restore(&flow.Spec{ID: "old", Queue: "q", Account: "a", Hall: "far", Steps: []flow.Step{{Count: 100, Demand: demand(1000)}}}, nil, r.now, r.now)
	r.addFor("a", "new", flow.Step{Count: 16, Demand: demand(1000)})
	g.Expect(r.startAll()).To(HaveLen(8), "all but what the missing worker may be running")
}

// BenchmarkAccounts measures what limits and shares add to a decision with 6,000 workers and 1,000
// accounts that each have a waiting step. Idle accounts should add nothing.
func BenchmarkAccounts(b *testing.B) {
	for _, idle := range []int{0, 10_000} {
		b.Run(fmt.Sprintf("idle=%d", idle), func(b *testing.B) {
			r := newRig(0)
			var accounts []Account
			for i := range 1000 + idle {
				accounts = append(accounts, Account{Name: fmt.Sprint(i), Weight: 10, Limit: limit(100_000, 100_000)})
			}
			r.accounts(accounts...)
			for i := range 6000 {
				r.heard(fmt.Sprintf("w%d", i), func(*Worker) {})
			}
			for i := range 1000 {
				r.addFor(fmt.Sprint(i), fmt.Sprintf("j%d", i), flow.Step{Count: 10, Demand: demand(1000)})
			}
			u := r.unsettled()
			b.ResetTimer()
			for range b.N {
				r.countPossiblyUsed(&u, r.now)
				for _, s := range r.openStages {
					s.accountAtLimit()
				}
			}
		})
	}
}
