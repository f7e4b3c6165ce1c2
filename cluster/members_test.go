// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/wire"
)

var _ = Describe("the count of pending jobs", func() {
	now := time.Now()
	all := func(string) bool { return false }
	owner := func(name string, epoch uint64, ready bool, jobs uint32) *wire.Greeting {
		c := &wire.CellSummary{Name: "c", Epoch: epoch, Ready: ready}
		if jobs > 0 {
			c.Pending = []*wire.QueuePending{{Queue: "q", Jobs: jobs}}
		}
		return &wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name, Cells: []*wire.CellSummary{c}}
	}

	It("is that of the last owner until the next one has loaded its jobs", func() {
		m := newMembers("me", "h", nil, "me", now)
		m.applyGreeting(owner("first", 1, true, 7), now)
		m.applyGreeting(owner("second", 2, false, 0), now)
		Expect(m.pending("q", now, all)).To(Equal(7))
		Expect(m.pending("q", now.Add(pendingTTL+1), all)).To(BeZero())
		m.applyGreeting(owner("second", 2, true, 0), now)
		Expect(m.pending("q", now, all)).To(BeZero())
	})

	It("is the last own count after the cell went to another instance", func() {
		m := newMembers("me", "h", nil, "me", now)
		m.keepPending("c", []*wire.QueuePending{{Queue: "q", Jobs: 4}}, now)
		m.applyGreeting(owner("second", 2, false, 0), now)
		Expect(m.pending("q", now, all)).To(Equal(4))
	})
})
