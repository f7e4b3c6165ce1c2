// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// The soak looked for jobs that stand still only after the last fault, and overlooked steps that
// waited for more than 3 s while a new owner did not ask the policy about them.
var _ = Describe("the soak's check of jobs that stand still", func() {
	started := time.Now()
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(from, to float64) world.Entry {
		return world.Entry{Task: "f.0.0.0", Begun: at(from), Ended: at(to), Outcome: "done"}
	}
	// play returns a soak with faults in seconds 0 to 1 and 11 to 12. A job was accepted in second 0.5.
	play := func() (*soak, *soakJob) {
		j := &soakJob{id: "f", key: keyOfA, accepted: true, acceptedAt: at(0.5)}
		return &soak{started: started, jobs: []*soakJob{j}, disturbed: []interval{{at(0), at(1)}, {at(11), at(12)}}}, j
	}
	stalls := func(s *soak, starts ...world.Entry) []stall {
		byJob := map[string][]world.Entry{"f": starts}
		return s.stalls(byJob)
	}

	It("reports a job that stands still between faults, from 4 s after the first ones", func() {
		s, _ := play()
		Expect(stalls(s, run(2, 3), run(9, 10))).To(Equal([]stall{{"f", interval{at(5), at(9)}}}))
	})

	It("reports a job that is accepted meanwhile and stands still until the next fault", func() {
		s, j := play()
		j.acceptedAt = at(7)
		Expect(stalls(s, run(14, 15))).To(Equal([]stall{{"f", interval{at(7), at(11)}}}))
	})

	It("reports none that waits for less than 3 s, or while a fault is in progress", func() {
		s, _ := play()
		Expect(stalls(s, run(7.9, 8.1), run(18.9, 19))).To(BeEmpty())
	})

	It("reports none while a worker was lost, the account was at its limit or the job is cancelled", func() {
		s, j := play()
		lost := world.Entry{Task: "g.0.0.0", Begun: at(5), Ended: at(6), Outcome: "lost"}
		s.jobs = append(s.jobs, &soakJob{id: "g", key: keyOfB})
		Expect(s.stalls(map[string][]world.Entry{"f": {run(10.9, 11)}, "g": {lost}})).To(BeEmpty())

		full := make([]world.Entry, accountTaskLimit)
		for i := range full {
			full[i] = run(5, 8)
		}
		s.jobs[1].key = keyOfA
		Expect(s.stalls(map[string][]world.Entry{"f": {run(9, 10)}, "g": full})).To(BeEmpty())

		j.cancelled = true
		Expect(stalls(s, run(9, 10))).To(BeEmpty())
	})
})
