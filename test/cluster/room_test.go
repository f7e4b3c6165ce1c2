// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("workers whose capacity shrinks and grows", func() {
	// busy submits jobs for a duration, so that there are always tasks to start.
	busy := func(b *testbed, d time.Duration) []string {
		var ids []string
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			ids = append(ids, b.submit(singleStepJob(20, 400)))
		}
		return ids
	}

	It("are never given more than their present capacity, and regained capacity is used", func() {
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
			most = max(most, b.runningCount())
		}
		b.wantAllSucceeded(ids)
		// At 500 millicores a task, eight workers of 3,000 hold 48 tasks, and of 8,000 they hold 128.
		Expect(most).To(BeNumerically(">", 8*3000/500))
	})
})
