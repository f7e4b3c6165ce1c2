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

	// A list of 120 workers took 0.2 s of a link of 2 Mbit/s every second.
	ginkgo.It("is read less often over a thin link", func() {
		Expect(readPause(120, 20*time.Millisecond)).To(Equal(readEvery))
		Expect(readPause(120, 200*time.Millisecond)).To(Equal(200 * time.Millisecond * readShare))
		Expect(readPause(120, time.Second)).To(Equal(readMost))
	})
})
