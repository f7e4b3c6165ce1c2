// SPDX-License-Identifier: Apache-2.0

package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dewpass.org/lease"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var _ = Describe("leases", func() {
	start := time.Now()
	It("expire for their holder before they expire for others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			length := time.Duration(rapid.IntRange(1, 60000).Draw(t, "ms")) * time.Millisecond
			// The worker accepts renewals while the previous lease is valid, so
			// the last one may be in transit for up to one length. The worker's
			// clock may be slow by almost as much as the margin allows.
			travel := time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "travel"))
			slow := rapid.Float64Range(1, 1.06).Draw(t, "slow")
			ends := start.Add(time.Duration(float64(travel+length) * slow))
			if over := lease.CertainExpiry(start, length); over.Before(ends) {
				t.Fatalf("reported as expired %s too early", ends.Sub(over))
			}
			if held := lease.Renew(start, length); held.Held(start.Add(length)) {
				t.Fatalf("held for its whole length, without a margin")
			}
		})
	})

	It("are ordered by the table first", func() {
		e := lease.Epoch{Table: 3, Local: 7}
		Expect(e.Less(e.NextLocal())).To(BeTrue())
		Expect(e.NextLocal().Less(e.NextTable())).To(BeTrue())
		Expect(e.NextTable()).To(Equal(lease.Epoch{Table: 4}))
		Expect(e.Less(e)).To(BeFalse())
	})

	It("notice a pause once", func() {
		g := lease.PauseDetector{Limit: time.Second}
		Expect(g.Tick(start)).To(BeFalse())
		Expect(g.Paused(start.Add(3 * time.Second))).To(BeTrue())
		Expect(g.Tick(start.Add(3 * time.Second))).To(BeTrue())
		Expect(g.Tick(start.Add(3500 * time.Millisecond))).To(BeFalse())
	})
})
