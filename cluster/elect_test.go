// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/wire"
)

var _ = Describe("a cell lease", func() {
	It("counts as unwritten since the time at which its version is known to have been written", func() {
		n := testInstance(&fakePolicy{})
		now := time.Now()
		Expect(n.watchedUnwritten("c", 1, now)).To(BeZero(), "seen for the first time")
		Expect(n.watchedUnwritten("c", 1, now.Add(time.Second))).To(Equal(time.Second))
		n.noteLeaseWrite("c", 2, now)
		Expect(n.watchedUnwritten("c", 1, now.Add(time.Second))).To(BeZero(), "an outdated answer")
		Expect(n.watchedUnwritten("c", 2, now.Add(time.Second))).To(Equal(time.Second), "its owner has reported the time")
		n.noteLeaseWrite("c", 2, now.Add(time.Second))
		Expect(n.watchedUnwritten("c", 2, now.Add(time.Second))).To(Equal(time.Second), "the earliest report counts")
	})
})

var _ = Describe("an instance that has just started", func() {
	It("leaves cells to much stronger ones that the store lists, for a while", func() {
		n := testInstance(&fakePolicy{})
		n.settings.Cluster.Processor = 0.2
		now := n.startedAt
		n.members.addListed([]memberRow{{Addr: "a", Processor: 250}}, now)
		Expect(n.defersToStronger(now)).To(BeFalse(), "hardly stronger")
		n.members.addListed([]memberRow{{Addr: "b", Processor: 800}}, now)
		Expect(n.defersToStronger(now)).To(BeTrue())
		Expect(n.defersToStronger(now.Add(startupDelay))).To(BeFalse(), "they may be gone")
		n.settings.Cluster.Processor = 0.8
		Expect(n.defersToStronger(now)).To(BeFalse())
	})
})

// Guards against reads of all cell leases by each instance that is cut off from the store and from
// the owners: 105 instances tried to read 15 leases 15 times a second.
var _ = Describe("an instance that does not reach the store", func() {
	It("tries to read one cell lease at a time, and all once the store answers", func(ctx context.Context) {
		for _, cells := range []int{5, 10, 20} {
			n, s := instanceOnOwnedStore()
			away := &countingUnavailableStore{}
			n.storeClient.Direct = away
			n.division.set(cells)
			vacant := make(map[string]*vacancy)
			const rounds = 5
			for range rounds {
				n.elect(ctx, vacant, time.Now())
				time.Sleep(electInterval)
			}
			Expect(away.reads.Load()).To(BeNumerically("<=", rounds), "of %d", cells)
			n.storeClient.Direct = s
			s.lease.Addr = fullListener()
			Eventually(func() int32 {
				n.elect(ctx, vacant, time.Now())
				return s.leaseReads.Load()
			}, time.Second, electInterval).Should(BeNumerically(">=", cells))
		}
	})
})

// Guards against instances that all try to take the same cell, of which all but one fail.
var _ = Describe("the order in which vacant cells are taken", func() {
	It("begins with each cell on about as many instances", func() {
		for _, cells := range []int{10, 20, 40} {
			const perCell = 20
			first := make(map[string]int)
			for i := range perCell * cells {
				n := testInstance(&fakePolicy{})
				n.settings.Instance = fmt.Sprint("i", i)
				n.division.set(cells)
				order := n.electionOrder()
				Expect(order).To(ConsistOf(n.division.cells()))
				first[order[0]]++
			}
			Expect(first).To(HaveLen(cells))
			for name, count := range first {
				Expect(count).To(BeNumerically("<", 3*perCell), name)
			}
		}
	})
})

// Guards against one instance that takes many cells at once after a power loss of all: it hands them
// over one by one, and each is loaded twice.
var _ = Describe("an instance that finds many vacant cells", func() {
	It("takes one, and leaves each further one to others for longer", func(ctx context.Context) {
		for _, cells := range []int{2, 4, 8} {
			n, s := instanceOnOwnedStore()
			s.lease = claim.Lease{}
			n.division.set(cells)
			vacant := make(map[string]*vacancy)
			begun := time.Now()
			for time.Since(begun) < ownedCellDelay/2 {
				n.elect(ctx, vacant, time.Now())
				time.Sleep(electInterval / 4)
			}
			Expect(n.ownCells()).To(HaveLen(1), "of %d", cells)
			Eventually(func() int {
				n.elect(ctx, vacant, time.Now())
				return len(n.ownCells())
			}, 3*ownedCellDelay).Should(Equal(2), "nobody else takes it")
			for _, c := range n.ownCells() {
				c.driver.Close()
			}
		}
	})
})

var _ = Describe("an owner", func() {
	It("yields to an instance with a much larger processor once that has been heard for a while", func() {
		n := testInstance(&fakePolicy{})
		n.settings.Cluster.Processor = 0.2
		now := time.Now()
		n.members.applyGreeting(&wire.Greeting{Instance: "alike", Hall: "h", Boot: "a", Addr: "a", StoreOk: true, Processor: 250}, now)
		n.members.applyGreeting(&wire.Greeting{Instance: "cut", Hall: "h", Boot: "b", Addr: "b", Processor: 800}, now)
		Expect(n.strongerIdle(now.Add(strongerHeardTime + 1))).To(BeEmpty())
		n.members.applyGreeting(&wire.Greeting{Instance: "large", Hall: "h", Boot: "c", Addr: "c", StoreOk: true, Processor: 800}, now)
		Expect(n.strongerIdle(now)).To(BeEmpty(), "it may still be starting")
		Expect(n.strongerIdle(now.Add(strongerHeardTime + 1))).To(Equal("large"))
	})
})

var _ = Describe("an owner whose writes the store does not accept", func() {
	// objection asks for an owner whose lease was last written 4 s ago.
	objection := func(n *Instance, at time.Time) claim.ObjectionReason {
		last := claim.Write{Begun: at.Add(-4 * time.Second), Valid: claim.MinValidity}
		return n.members.objection("c", last, at).Reason
	}
	// answered has an instance answer all greetings since before the lease expired.
	answered := func(n *Instance, g *wire.Greeting, now time.Time) {
		g.StatesContests = true
		n.members.applyGreeting(g, now.Add(-10*time.Second))
		n.members.markAnswered(g, now, now)
	}

	// refused has an address refuse connections since before the lease expired.
	refused := func(n *Instance, addr string, now time.Time) {
		for at := now.Add(-12 * claim.AnswerMaxAge); !at.After(now); at = at.Add(claim.AnswerMaxAge) {
			n.members.markRefused(addr, at)
		}
	}

	It("goes on while each other instance has answered lately, or has no process", func() {
		n := testInstance(&fakePolicy{})
		now := time.Now()
		answered(n, &wire.Greeting{Instance: "a", Hall: "h2", Boot: "a", Addr: "a"}, now)
		Expect(objection(n, now)).To(BeEmpty())
		n.members.applyGreeting(&wire.Greeting{Instance: "b", Hall: "h2", Boot: "b", Addr: "b"}, now)
		Expect(objection(n, now)).To(Equal(claim.Silent), "b may take the cell lease")
		refused(n, "b", now)
		Expect(objection(n, now)).To(BeEmpty(), "nobody is there to take it")
		Expect(objection(n, now.Add(cellSummaryTTL))).To(Equal(claim.Silent), "a process that has started since may take it")
		n.members.applyGreeting(&wire.Greeting{Instance: "c", Hall: "other", Boot: "c", Addr: "c"}, now)
		refused(n, "c", now)
		Expect(objection(n, now)).To(Equal(claim.Silent), "its hall may be cut off in a way that resets connections")
		answered(n, &wire.Greeting{Instance: "d", Hall: "other", Boot: "d", Addr: "d"}, now)
		Expect(objection(n, now)).To(BeEmpty(), "the answer of d shows that the hall is not cut off")
		n.members.applyGreeting(&wire.Greeting{Instance: "e", Hall: "other", Boot: "e", Addr: "e"}, now)
		n.members.markRefused("e", now)
		Expect(objection(n, now)).To(Equal(claim.Silent), "it was silent after the lease expired, and may have taken the cell")
	})
})

var _ = Describe("a cell lease that has an owner", func() {
	It("may be taken once it has gone unwritten for longer than its owner may give orders", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		n := testInstance(&fakePolicy{})
		lease := claim.Lease{Owner: "other", Boot: "b", Addr: l.Addr().String(), ValidMS: 900}
		Expect(n.vacancyReason(ctx, lease, lease.Expiry())).To(BeEmpty())
		Expect(n.vacancyReason(ctx, lease, lease.Expiry()+1)).To(Equal("owner silent"))
	})

	It("is left to much stronger instances for a while", func() {
		n := testInstance(&fakePolicy{})
		n.settings.Cluster.Processor = 0.2
		now := time.Now()
		Expect(n.electionDelay("c", now)).To(BeZero())
		n.members.applyGreeting(&wire.Greeting{Instance: "large", Hall: "h", Boot: "c", Addr: "c", StoreOk: true, Processor: 800}, now)
		Expect(n.electionDelay("c", now)).To(BeNumerically(">=", strongerDelay))
	})

	It("is also left to stronger instances that are known only from the store's list", func() {
		n := testInstance(&fakePolicy{})
		n.settings.Cluster.Processor = 0.2
		now := time.Now()
		n.members.addListed([]memberRow{{Addr: "b", Processor: 800}}, now)
		Expect(n.electionDelay("c", now)).To(Equal(strongerDelay))
	})
})
