// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

const (
	// lateWrite is how late the store carries out the writes without an answer.
	lateWrite = 4 * time.Second
	// cancelAnswer is how long a client tries to cancel.
	cancelAnswer = 15 * time.Second
)

// submitUnanswered submits a job once, and expects no acceptance.
func (b *testbed) submitUnanswered(e *instance, id, job string) {
	GinkgoHelper()
	status, _, _ := b.call(e, http.MethodPost, prefix+id, job)
	Expect(status).NotTo(BeElementOf(http.StatusOK, http.StatusAccepted))
}

// cancelUntilAnswered cancels a job at one instance after the other until one acknowledges it, and
// returns when that was.
func (b *testbed) cancelUntilAnswered(id string, at ...*instance) time.Time {
	GinkgoHelper()
	next := 0
	Eventually(func() int {
		next++
		status, _, _ := b.call(at[next%len(at)], http.MethodDelete, prefix+id, "")
		return status
	}, cancelAnswer).Should(BeElementOf(http.StatusOK, http.StatusGone))
	return time.Now()
}

// wantNoStartAfter expects that no task of a job starts later than cancelTimeout after a time, for as
// long as writes may still be late.
func (b *testbed) wantNoStartAfter(at time.Time, id string) {
	GinkgoHelper()
	Consistently(func() (late []string) {
		for _, s := range b.world.Book.Starts() {
			if job, _, _ := strings.Cut(s.Task, "."); job == id && s.Begun.Sub(at) > cancelTimeout {
				late = append(late, s.Task)
			}
		}
		return late
	}, 2*lateWrite+cancelTimeout, 200*time.Millisecond).Should(BeEmpty())
}

// A cancellation was answered 410 as the store did not have the job yet, whose acceptance had no answer:
// it took effect later, and the job ran.
var _ = Describe("a job that is cancelled before the store has it", func() {
	long := chainJob(2, 4000)

	DescribeTable("never runs once that is acknowledged, although its acceptance is late", func(tables []string, sameInstance bool) {
		b := start()
		b.wantAllSucceeded([]string{b.submit(chainJob(1, 50))})
		id := b.newJobID()
		b.world.Store.SetFaults(world.StoreFaults{Lose: 1, Late: lateWrite, LoseTables: tables})
		b.submitUnanswered(b.instances[0], id, long)
		at := b.instances[1:]
		if sameInstance {
			at = b.instances[:1]
		}
		acked := b.cancelUntilAnswered(id, at...)
		b.world.Store.SetFaults(world.StoreFaults{})
		b.wantNoStartAfter(acked, id)
		Eventually(b.runningCount).Should(BeZero())
		b.wantNoViolations()
	},
		Entry("and it is cancelled at another instance", []string{"jobs"}, false),
		Entry("and it is cancelled at the same instance", []string{"jobs"}, true),
		Entry("and so are all writes about it", []string{"jobs", "homes", "ended"}, false),
	)

	It("is answered like none, and its id is refused to its account from then on", func() {
		b := startWithAccounts(1, world.Account{Name: "a", Keys: []string{keyOfA}}, world.Account{Name: "b", Keys: []string{keyOfB}})
		id := b.newJobID()
		b.world.Store.SetFaults(world.StoreFaults{Lose: 1, Late: lateWrite, LoseTables: []string{"jobs"}})
		b.submitUnanswered(b.instances[0], id, accountJob(1, 100))
		acked := b.cancelUntilAnswered(id, b.instances[1:]...)
		b.world.Store.SetFaults(world.StoreFaults{})
		for _, e := range b.instances {
			status, _, _ := b.call(e, http.MethodPost, prefix+id, accountJob(1, 100))
			Expect(status).To(Equal(http.StatusConflict))
			Expect(b.state(id)).To(Equal("410"))
		}
		writes := b.world.Store.Calls("/dewpass/rows-tx")
		for range 20 {
			b.cancelUntilAnswered(id, b.instances...)
		}
		Expect(b.world.Store.CountContaining("homes", "")).To(Equal(1))
		Expect(b.world.Store.Calls("/dewpass/rows-tx")-writes).To(BeNumerically("<", 200), "further cancellations write nothing")
		b.wantNoStartAfter(acked, id)
	})

	It("does not keep another account from using its id", func() {
		b := startWithAccounts(1, world.Account{Name: "a", Keys: []string{keyOfA}}, world.Account{Name: "b", Keys: []string{keyOfB}})
		other := &testbed{world: b.world, instances: b.instances, http: b.http, key: keyOfB, shown: b.shown}
		for range 8 {
			id := b.newJobID()
			b.cancelUntilAnswered(id, b.instances...)
			status, _, _ := other.call(other.nextInstance(), http.MethodPost, prefix+id, accountJob(1, 100))
			Expect(status).To(Equal(http.StatusOK))
			other.wantState(id, "succeeded")
			b.cancelUntilAnswered(id, b.instances...)
			other.wantState(id, "succeeded")
		}
		b.wantNoViolations()
	})
})
