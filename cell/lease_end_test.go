// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// Guards against asking the policy only after a lease has expired: a long-running task was away for
// 11 s, 6.4 s until the leases of its worker had expired and 4.9 s more for the question.
func TestPolicyIsAskedAboutALongRunningTaskBeforeItsLeaseEnds(t *testing.T) {
	const lease, valid = 6 * time.Second, 2500 * time.Millisecond
	g := NewWithT(t)
	r := newRig(2)
	r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Advice: &Advice{Decide: time.Second, Valid: valid}}})
	r.add("j", flow.Step{Count: 1, Demand: demand(1000), LongRunning: true})
	r.add("k", flow.Step{Count: 1, Demand: demand(1000)})
	both := []Ticket{{Worker: "w0", Text: "t"}, {Worker: "w1", Text: "t"}}
	for _, a := range r.place().Asks {
		r.Advised(a, both, valid, r.now)
	}
	first := r.startAll()
	g.Expect(first).To(HaveLen(2))
	g.Expect(first[0].Worker).To(Equal(first[1].Worker))
	r.now = r.now.Add(time.Minute)
	r.Detached(first[0].Worker, r.now)
	leaseEnd := r.now.Add(lease)
	r.LeaseEnds(first[0].Worker, leaseEnd)
	r.now = leaseEnd.Add(-leaseEndLead - 100*time.Millisecond)
	g.Expect(r.place().Asks).To(BeEmpty(), "the worker may still come back")
	r.now = leaseEnd.Add(-leaseEndLead)
	asks := r.place().Asks
	g.Expect(asks).To(HaveLen(1), "only long-running tasks are asked about ahead")
	g.Expect(asks[0].Step.Job).To(Equal("j"))
	r.now = r.now.Add(time.Second)
	r.Advised(asks[0], both, valid, r.now)
	g.Expect(r.place().Asks).To(BeEmpty(), "one permitted worker with room is enough")
	r.now = leaseEnd.Add(10 * time.Millisecond)
	r.WorkerLost(first[0].Worker, LossSilent, r.now)
	starts := r.place().Starts
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Task.Job).To(Equal("j"))
}
