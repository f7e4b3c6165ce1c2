// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/wire"
)

// crowd is an instance of hall h that has heard some of its own hall and some of
// another one.
func crowd(near, far int, now time.Time) *members {
	m := newMembers("me", "h", nil, "me", now)
	for i := range near + far {
		hall := "h"
		if i >= near {
			hall = "other"
		}
		name := fmt.Sprintf("i%03d", i)
		m.heard(&wire.Greeting{Instance: name, Hall: hall, Boot: "b", Addr: name}, now)
	}
	return m
}

var _ = Describe("the rounds of greetings", func() {
	now := time.Now()

	It("reach everybody near each time, and everybody far in a few rounds, where there are few", func() {
		m := crowd(6, 20, now)
		seen := make(map[string]int)
		for range farRounds {
			for _, addr := range m.round(now) {
				seen[addr]++
			}
		}
		Expect(seen).To(HaveLen(26))
		Expect(seen["i000"]).To(Equal(farRounds))
		Expect(m.live(m.known["i000"], now.Add(silence))).To(BeFalse())
	})

	It("cost no more where there are hundreds, and still reach all before silence counts", func() {
		m := crowd(100, 200, now)
		seen := make(map[string]bool)
		rounds := 0
		for ; len(seen) < 300; rounds++ {
			next := m.round(now)
			Expect(len(next)).To(BeNumerically("<=", nearMost+farMost))
			for _, addr := range next {
				seen[addr] = true
			}
		}
		Expect(m.all(now)).To(HaveLen(300), "an owner's rounds")
		full := time.Duration(rounds) * greetEvery
		Expect(m.live(m.known["i299"], now.Add(full))).To(BeTrue())
		nearly := time.Duration((100+nearMost-1)/nearMost) * greetEvery
		Expect(m.live(m.known["i000"], now.Add(nearly))).To(BeTrue())
		Expect(m.live(m.known["i000"], now.Add(time.Minute))).To(BeFalse())
	})
})
