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

// startUnread starts an instance whose standard output nobody reads.
func (e *instance) startUnread() {
	GinkgoHelper()
	e.prepare()
	unread, out, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(unread.Close)
	e.cmd.Stdout = out
	Expect(e.cmd.Start()).To(Succeed())
	Expect(out.Close()).To(Succeed())
}

// droppedLogLines returns the number of log lines that the instances have dropped, by their metrics.
func (b *testbed) droppedLogLines() int {
	sum := 0
	for _, m := range regexp.MustCompile(`log_lines_dropped_total\{[^}]*\} (\d+)`).FindAllStringSubmatch(b.metrics(), -1) {
		n, _ := strconv.Atoi(m[1])
		sum += n
	}
	return sum
}

var _ = Describe("instances whose logs nobody reads", func() {
	It("serve without delay, and count the lines that they drop", func() {
		b := newTestbed(1)
		b.level = "debug"
		for _, e := range b.instances {
			b.writeSettings(e, "6s")
			e.startUnread()
			DeferCleanup(e.kill)
		}
		b.waitReady()
		ids := b.submitChains(60, 8, 50, 2*time.Second)
		b.wantAllSucceeded(ids)
		Eventually(b.droppedLogLines).Should(BeNumerically(">", 0))
		// All log queues are full now.
		begun := time.Now()
		more := b.submitChains(10, 4, 50, 200*time.Millisecond)
		b.wantAllSucceeded(append(ids, more...))
		Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
	})
})
