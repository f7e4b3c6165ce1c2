// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// In soak seed 2 the second failure of a task was lost with its worker while the owner changed.
// The job succeeded, and the check wrongly wanted it failed.
var _ = Describe("a job with a failure that was lost with its worker", func() {
	It("may succeed, because no owner has seen that failure", func() {
		s := &soak{testbed: start(), started: time.Now()}
		fail := func(all bool) {
			for _, w := range s.world.ActiveWorkers() {
				w.SetFaults(world.WorkerFaults{FailAll: all})
			}
		}
		nth := func(n int) *world.Entry {
			starts := s.world.Book.Starts()
			if len(starts) < n {
				return &world.Entry{}
			}
			return &starts[n-1]
		}
		fail(true)
		id := s.submit(singleStepJob(1, 600))
		s.jobs = []*soakJob{{id: id}}
		Eventually(func() bool { return nth(1).Observed }).Should(BeTrue())
		fail(false)
		Eventually(func() string { return nth(2).Worker }).ShouldNot(BeEmpty())
		for _, w := range s.world.ActiveWorkers() {
			if w.ID == nth(2).Worker {
				w.SetFaults(world.WorkerFaults{FailAll: true})
			}
		}
		for _, e := range s.instances {
			e.kill()
		}
		Eventually(func() string { return nth(2).Outcome }).Should(Equal("failed"))
		for _, w := range s.world.ActiveWorkers() {
			if w.ID == nth(2).Worker {
				s.world.Crash(w, world.Restart{Down: time.Second})
			}
		}
		for _, e := range s.instances {
			e.start()
		}
		s.waitReady()
		s.wantFinalState(id, "succeeded")
		Expect(nth(2).Lapsed).To(BeTrue())
		s.wantNoViolations()
		must, may := s.attemptsUsedUp(id)
		Expect(must).To(BeFalse())
		Expect(may).To(BeTrue())
	})
})
