// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the directory", func() {
	ginkgo.It("is read less often when it is long, down to a bound", func() {
		Expect(readPause(8)).To(Equal(readEvery))
		Expect(readPause(350)).To(Equal(readEvery))
		Expect(readPause(800)).To(Equal(2 * readEvery))
		Expect(readPause(3000)).To(Equal(readMost))
	})
})
