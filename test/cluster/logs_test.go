// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"os"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runUnread starts an instance whose standard output nobody reads.
func (e *entry) runUnread() {
	GinkgoHelper()
	e.prepare()
	unread, out, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(unread.Close)
	e.cmd.Stdout = out
	Expect(e.cmd.Start()).To(Succeed())
	Expect(out.Close()).To(Succeed())
}

// dropped returns how many lines instances have dropped, by their metrics.
func (b *bed) dropped() int {
	sum := 0
	for _, m := range regexp.MustCompile(`log_lines_dropped_total\{[^}]*\} (\d+)`).FindAllStringSubmatch(b.metrics(), -1) {
		n, _ := strconv.Atoi(m[1])
		sum += n
	}
	return sum
}

var _ = Describe("instances whose logs nobody reads", func() {
	It("serve as before, and count the lines that they drop", func() {
		b := newBed(1)
		b.level = "debug"
		for _, e := range b.entries {
			b.write(e, "6s")
			e.runUnread()
			DeferCleanup(e.kill)
		}
		b.waitReady()
		ids := b.submitSome(60, 8, 50, 2*time.Second)
		b.wantWhole(ids)
		Eventually(b.dropped).Should(BeNumerically(">", 0))
		// With all queues full.
		begun := time.Now()
		more := b.submitSome(10, 4, 50, 200*time.Millisecond)
		b.wantWhole(append(ids, more...))
		Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
	})
})
