// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("workers whose room shrinks and grows", func() {
	// busy hands in wide jobs for a time, so that there is always something to start.
	busy := func(b *bed, d time.Duration) []string {
		var ids []string
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			ids = append(ids, b.submit(wide(20, 400)))
		}
		return ids
	}

	It("are given no more than they have by then, and what is back is used", func() {
		b := start()
		ids := busy(b, time.Second)
		for _, w := range b.world.Workers {
			b.world.Resize(w, 3000, 6000)
		}
		ids = append(ids, busy(b, 5*time.Second)...)
		for _, w := range b.world.Workers {
			b.world.Resize(w, 8000, 16000)
		}
		most := 0
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			ids = append(ids, busy(b, 50*time.Millisecond)...)
			most = max(most, b.running())
		}
		b.wantWhole(ids)
		// Eight workers of 8,000 hold 16 tasks of 500 each.
		Expect(most).To(BeNumerically(">", 8*3000/500))
	})
})
