// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cordonTimeout is within which nothing more may be started in a hall that operators have cordoned.
const cordonTimeout = 5 * time.Second

// startsIn returns how many runs were started in a hall since the given time.
func (b *testbed) startsIn(hall string, since time.Time) int {
	halls := make(map[string]string)
	for _, w := range b.world.ActiveWorkers() {
		halls[w.ID] = w.Hall
	}
	n := 0
	for _, e := range b.world.Book.Starts() {
		if halls[e.Worker] == hall && e.Begun.After(since) {
			n++
		}
	}
	return n
}

// Guards against starts in a hall that operators have cordoned, by the owner at that time and by the
// next one, and against work that waits for that hall.
var _ = Describe("a hall that operators have cordoned", func() {
	It("gets no task until the cordon is lifted", func() {
		b := start()
		b.world.Store.Put("op", "evacuate/"+halls[0], struct{}{})
		time.Sleep(cordonTimeout)
		since := time.Now()
		b.wantAllSucceeded(b.submitChains(10, 2, 100, time.Second))
		b.owner().kill()
		b.wantAllSucceeded(b.submitChains(10, 2, 100, time.Second))
		Expect(b.startsIn(halls[0], since)).To(BeZero())
		Expect(b.startsIn(halls[1], since)).To(BeNumerically(">=", 10))
		b.world.Store.Remove("op", "evacuate/"+halls[0])
		b.wantAllSucceeded(b.submitChains(40, 4, 200, cordonTimeout))
		Expect(b.startsIn(halls[0], since)).To(BeNumerically(">", 0))
		b.wantNoViolations()
	})
})
