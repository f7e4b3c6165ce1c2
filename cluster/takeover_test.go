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
	"dewpass.org/link"
	"dewpass.org/wire"
)

// serveInstance has an instance answer its peers, and returns its address.
func serveInstance(n *Instance) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &link.Server{Handler: n}
	go server.Serve(l)
	DeferCleanup(server.Close)
	return l.Addr().String()
}

// Guards against two owners that give orders: an instance that had been paused took the cell of an owner
// that went on with the answers of the others.
var _ = Describe("an instance that takes a cell", func() {
	// expiredLease returns an instance that reads an expired lease of "other", and another one of its hall.
	expiredLease := func() (n, mate *Instance) {
		n, s := instanceOnOwnedStore()
		n.listed.Store(true)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: l.Addr().String(), Epoch: 3, ValidMS: 400, WrittenMS: 7000}
		s.clock = 60_000
		mate = testInstance(&fakePolicy{})
		mate.settings.Instance = "mate"
		g := &wire.Greeting{Instance: "mate", Hall: "h", Boot: "m", Addr: serveInstance(mate)}
		n.members.applyGreeting(g, time.Now().Add(-time.Minute))
		return n, mate
	}
	greeting := func(ver uint64) *wire.Greeting {
		return &wire.Greeting{Instance: "other", Hall: "far", Boot: "b", Addr: "127.0.0.1:1", Cells: []*wire.CellSummary{{Name: "cell-0", Epoch: 3, LeaseVer: ver}}}
	}
	answerOf := func(n *Instance, ver uint64) []string {
		return n.handleGreeting(greeting(ver)).GetGreeting().Contested
	}

	It("leaves it to an owner that another instance of its hall hears", func(ctx context.Context) {
		n, mate := expiredLease()
		mate.members.applyGreeting(greeting(1), time.Now())
		Expect(n.takeLease(ctx, "cell-0", 0).ownerHeard).To(BeTrue())
		Expect(n.ownDriver("cell-0")).To(BeNil())
		Expect(answerOf(mate, 1)).To(BeEmpty())
		Expect(answerOf(n, 1)).To(BeEmpty(), "it has given up the takeover")
	})

	It("takes it once nobody of its hall hears the owner, and these contest it from then on", func(ctx context.Context) {
		n, mate := expiredLease()
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).NotTo(BeNil())
		DeferCleanup(func() { n.dropDriver("cell-0", n.ownDriver("cell-0")) })
		Expect(n.ownDriver("cell-0").FormerGrace).To(Equal(claim.OwnerActiveTime), "all have answered")
		Expect(answerOf(mate, 0)).To(Equal([]string{"cell-0"}))
		Expect(answerOf(mate, 100)).To(BeEmpty(), "the owner has written the lease since")
		Expect(answerOf(n, 100)).To(Equal([]string{"cell-0"}), "it has a newer epoch")
	})

	It("waits longer for the former owner's last orders if an instance of its hall does not answer", func(ctx context.Context) {
		n, _ := expiredLease()
		n.members.applyGreeting(&wire.Greeting{Instance: "frozen", Hall: "h", Boot: "f", Addr: fullListener()}, time.Now().Add(-time.Minute))
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).NotTo(BeNil())
		DeferCleanup(func() { n.dropDriver("cell-0", n.ownDriver("cell-0")) })
		Expect(n.ownDriver("cell-0").FormerGrace).To(Equal(claim.Lease{ValidMS: 400}.Expiry()))
	})

	It("asks those of its hall and of unknown halls, but the owner, those that it heard last first", func() {
		n := testInstance(&fakePolicy{})
		now := time.Now()
		hear := func(name, hall string, ago time.Duration) {
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: hall, Boot: name, Addr: name}, now.Add(-ago))
		}
		hear("owner", "h", 0)
		hear("far", "other", 0)
		for i := range 2 * maxTakeoverAsked {
			hear(fmt.Sprintf("mate%02d", i), "h", time.Duration(i+1)*time.Second)
		}
		n.members.addListed([]memberRow{{name: "unknown", Addr: "unknown", Hall: "h"}}, now)
		asked := n.members.takeoverAddrs("owner")
		Expect(asked).To(HaveLen(maxTakeoverAsked))
		Expect(asked[0]).To(Equal("mate00"))
		Expect(asked).NotTo(ContainElements("owner"))
		Expect(asked).NotTo(ContainElements("far"))
		n = testInstance(&fakePolicy{})
		n.members.addListed([]memberRow{{name: "unknown", Addr: "unknown", Hall: "h"}}, now)
		Expect(n.members.takeoverAddrs("owner")).To(Equal([]string{"unknown"}))
	})

	It("contests it while its takeover is under way, and does not begin one while the owner is heard", func() {
		n, _ := expiredLease()
		Expect(n.beginTakeover("cell-0", 5)).To(BeTrue())
		Expect(answerOf(n, 5)).To(Equal([]string{"cell-0"}))
		n.endTakeover("cell-0")
		Expect(answerOf(n, 5)).To(BeEmpty())
		Expect(n.beginTakeover("cell-0", 5)).To(BeFalse(), "it has just heard the owner")
	})

	It("agrees to another's takeover only if it does not hear the owner", func() {
		n, _ := expiredLease()
		ask := func() bool {
			r := n.Handle(context.Background(), &wire.Request{Body: &wire.Request_Takeover{Takeover: &wire.TakeoverQuery{Cell: "cell-0", LeaseVer: 5}}})
			return r.GetTakeover().OwnerHeard
		}
		n.members.applyGreeting(greeting(5), time.Now())
		Expect(ask()).To(BeTrue())
		Expect(answerOf(n, 5)).To(BeEmpty())
		n.members.applyGreeting(greeting(5), time.Now().Add(-claim.OwnerActiveTime))
		Expect(ask()).To(BeFalse())
		Expect(answerOf(n, 5)).To(Equal([]string{"cell-0"}))
	})
})
