// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/wire"
)

// What happened: the machine of a cell's owner turned slow for five seconds. Peers that told
// it of jobs had no answer within 0.4 s, it found the jobs by reading the store a second
// later ("job_found", 28 of them from 28.6 to 34 s), and each order waited for its turn: 35
// of 48 requests were late. Eight instances had nothing to do.
var _ = Describe("an owner that is short of a processor", func() {
	late := func(n *Instance) {
		for range 20 {
			n.lag.Observe(150 * time.Millisecond)
		}
	}
	idle := &wire.Greeting{Instance: "idle", Hall: "h", Boot: "b", Addr: "a", StoreOk: true}

	It("hands its cells to one that owns none, and takes none for a while", func() {
		n := testInstance(&policy{})
		now := time.Now()
		n.members.heard(idle, now)
		later := now.Add(slowLeast)
		n.members.heard(idle, later)
		own := map[string]*ownCell{"c": {since: now}}
		_, to, _ := n.surplus(own, later)
		Expect(to).To(BeEmpty(), "it is as fast as any")
		late(n)
		cells, to, rest := n.surplus(own, later)
		Expect(to).To(Equal("idle"))
		Expect(cells).To(HaveKey("c"))
		Expect(rest).To(Equal(slowPause))
	})

	It("keeps a cell that it has only just taken: the load may be too much for any", func() {
		n := testInstance(&policy{})
		now := time.Now()
		n.members.heard(idle, now.Add(-time.Second))
		n.members.heard(idle, now)
		late(n)
		cells, _, _ := n.surplus(map[string]*ownCell{"c": {since: now.Add(-slowLeast / 2)}}, now)
		Expect(cells).To(BeEmpty())
	})

	It("leaves a vacant cell to others first", func() {
		n := testInstance(&policy{})
		before := n.turn("c", time.Now())
		late(n)
		Expect(n.turn("c", time.Now())).To(Equal(before + slowTurn))
	})
})
