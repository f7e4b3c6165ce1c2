// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the directory", func() {
	ginkgo.It("is read less often when it is long, down to a bound", func() {
		Expect(readPause(8, 0)).To(Equal(readEvery))
		Expect(readPause(350, 0)).To(Equal(readEvery))
		Expect(readPause(800, 0)).To(Equal(2 * readEvery))
		Expect(readPause(3000, 0)).To(Equal(readMost))
	})

	// A list of 120 workers took 0.2 s of a link of 2 Mbit/s every second. Going by the time
	// that a reading took, an owner that reached the store by a peer alone read the list every
	// 2 s, and gave 16 tasks to a worker that had said 2 s before that it leaves.
	ginkgo.It("is read less often over a thin link, whatever the store does", func() {
		Expect(readPause(120, 250_000)).To(BeNumerically("~", 1800*time.Millisecond, 100*time.Millisecond))
		Expect(readPause(120, 2_500_000)).To(Equal(readEvery))
		Expect(readPause(10_000, 1000)).To(Equal(readMost))
	})
})
