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

func take() *Lane {
	GinkgoHelper()
	l, err := Take()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}

var _ = Describe("a lane of ports", func() {
	It("never gives an address twice, nor one of another lane", func() {
		lanes := []*Lane{take(), take()}
		seen := map[string]bool{}
		for range 50 {
			for _, l := range lanes {
				addrs, err := l.Free(12)
				Expect(err).NotTo(HaveOccurred())
				for _, a := range addrs {
					Expect(seen[a]).To(BeFalse(), a)
					seen[a] = true
				}
			}
		}
	})

	It("passes over a port that somebody listens on", func() {
		l := take()
		held, err := net.Listen("tcp", address(l.next))
		Expect(err).NotTo(HaveOccurred())
		defer held.Close()
		addrs, err := l.Free(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(addrs).NotTo(ContainElement(held.Addr().String()))
	})

	It("says when it is used up", func() {
		_, err := take().Free(lanePorts)
		Expect(err).To(MatchError(ContainSubstring("ports wanted")))
	})

	It("lies below the ports that the kernel gives out", func() {
		raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
		Expect(err).NotTo(HaveOccurred())
		lowest, err := strconv.Atoi(strings.Fields(string(raw))[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(first + lanes*lanePorts).To(BeNumerically("<=", lowest))
	})
})
