// SPDX-License-Identifier: Apache-2.0

package port

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPort(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "port")
}

func reserve() *Range {
	GinkgoHelper()
	l, err := Reserve()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}

var _ = Describe("a reserved range of ports", func() {
	It("never returns an address twice, nor one of another range", func() {
		ranges := []*Range{reserve(), reserve()}
		seen := map[string]bool{}
		for range 50 {
			for _, l := range ranges {
				addrs, err := l.Allocate(12)
				Expect(err).NotTo(HaveOccurred())
				for _, a := range addrs {
					Expect(seen[a]).To(BeFalse(), a)
					seen[a] = true
				}
			}
		}
	})

	It("skips a port on which somebody listens", func() {
		l := reserve()
		listener, err := net.Listen("tcp", address(l.next))
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		addrs, err := l.Allocate(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(addrs).NotTo(ContainElement(listener.Addr().String()))
	})

	It("fails when it is used up", func() {
		_, err := reserve().Allocate(rangeSize)
		Expect(err).To(MatchError(ContainSubstring("ports wanted")))
	})

	It("is below the kernel's ephemeral ports", func() {
		raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
		Expect(err).NotTo(HaveOccurred())
		lowest, err := strconv.Atoi(strings.Fields(string(raw))[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(firstPort + rangeCount*rangeSize).To(BeNumerically("<=", lowest))
	})
})
