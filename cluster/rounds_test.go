// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/wire"
)

// membersOf returns the members known to an instance of hall h at address i050, which has heard
// near instances of its own hall and far of another one.
func membersOf(near, far int, now time.Time) *members {
	m := newMembers("me", "h", nil, "i050", now)
	for i := range near + far {
		hall := "h"
		if i >= near {
			hall = "other"
		}
		name := fmt.Sprintf("i%03d", i)
		m.applyGreeting(&wire.Greeting{Instance: name, Hall: hall, Boot: "b", Addr: name}, now)
	}
	return m
}

// countReached counts how often a number of rounds reaches each address.
func countReached(m *members, rounds int, now time.Time) map[string]int {
	seen := make(map[string]int)
	for range rounds {
		for _, addr := range m.nextRound(now) {
			seen[addr]++
		}
	}
	return seen
}

var _ = Describe("the rounds of greetings", func() {
	now := time.Now()

	It("reach each near instance every time, and each far one in a few rounds, where there are few", func() {
		m := membersOf(4, 8, now.Add(-newAddrTime))
		m.applyGreeting(&wire.Greeting{Instance: "i000", Hall: "h", Boot: "b", Addr: "i000"}, now)
		seen := countReached(m, farRounds, now)
		Expect(seen["i000"]).To(Equal(farRounds))
		Expect(seen["i004"]).To(Equal(1))
	})

	It("reach always the same successors where there are hundreds", func() {
		m := membersOf(100, 200, now)
		later := now.Add(newAddrTime)
		for i := range 100 {
			name := fmt.Sprintf("i%03d", i)
			m.applyGreeting(&wire.Greeting{Instance: name, Hall: "h", Boot: "b", Addr: name}, later)
		}
		seen := countReached(m, 20*farRounds, later)
		Expect(seen).To(HaveLen(maxNear + maxFar))
		Expect(seen).To(HaveKey("i050"))
		Expect(seen).To(HaveKey("i100"))
		Expect(m.allAddrs(later)).To(HaveLen(300), "an owner's rounds")
	})

	It("reach new addresses at once", func() {
		m := newMembers("me", "h", []string{"a", "b", "c"}, "me", now)
		Expect(m.nextRound(now)).To(ConsistOf("a", "b", "c"))
		Expect(len(m.nextRound(now.Add(newAddrTime)))).To(BeNumerically("<=", 1))
	})

	It("continue at the start of the list", func() {
		Expect(successors([]string{"a", "b", "c", "d"}, "d", 2)).To(Equal([]string{"d", "a"}))
		Expect(successors([]string{"a", "b", "c", "d"}, "e", 2)).To(Equal([]string{"a", "b"}))
		Expect(successors([]string{"a", "b"}, "a", 2)).To(Equal([]string{"a", "b"}))
	})
})
