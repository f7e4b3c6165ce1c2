// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"net"
	"os"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// In soak seed 26 another process got the port of a worker that was down, and the worker could
// not come back.
var _ = Describe("a worker of a testbed", func() {
	It("listens at a port outside the range from which the system assigns ports", func() {
		raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
		Expect(err).NotTo(HaveOccurred())
		var first, last int
		_, err = fmt.Sscan(string(raw), &first, &last)
		Expect(err).NotTo(HaveOccurred())
		for _, w := range newTestbed(1).world.ActiveWorkers() {
			_, port, err := net.SplitHostPort(w.Addr)
			Expect(err).NotTo(HaveOccurred())
			n, err := strconv.Atoi(port)
			Expect(err).NotTo(HaveOccurred())
			Expect(n < first || n > last).To(BeTrue(), "%d is one of %d to %d", n, first, last)
		}
	})
})
