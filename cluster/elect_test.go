// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/wire"
)

var _ = Describe("a cell lease", func() {
	It("counts as unwritten from when a version is known to have been written", func() {
		n := testInstance(&policy{})
		now := time.Now()
		Expect(n.unwritten("c", 1, now)).To(BeZero(), "seen for the first time")
		Expect(n.unwritten("c", 1, now.Add(time.Second))).To(Equal(time.Second))
		n.sawWrite("c", 2, now)
		Expect(n.unwritten("c", 1, now.Add(time.Second))).To(BeZero(), "an answer of before")
		Expect(n.unwritten("c", 2, now.Add(time.Second))).To(Equal(time.Second), "its owner has said when")
		n.sawWrite("c", 2, now.Add(time.Second))
		Expect(n.unwritten("c", 2, now.Add(time.Second))).To(Equal(time.Second), "the first word counts")
	})
})

var _ = Describe("an instance that has just started", func() {
	It("leaves cells to much stronger ones that the store lists, for a while", func() {
		n := testInstance(&policy{})
		n.settings.Cluster.Processor = 0.2
		now := n.began
		n.members.found([]memberRow{{Addr: "a", Processor: 250}}, now)
		Expect(n.waitsForStronger(now)).To(BeFalse(), "hardly stronger")
		n.members.found([]memberRow{{Addr: "b", Processor: 800}}, now)
		Expect(n.waitsForStronger(now)).To(BeTrue())
		Expect(n.waitsForStronger(now.Add(startPause))).To(BeFalse(), "they may be gone")
		n.settings.Cluster.Processor = 0.8
		Expect(n.waitsForStronger(now)).To(BeFalse())
	})
})

var _ = Describe("an owner", func() {
	It("yields to an instance with a much larger processor once that has been heard for a while", func() {
		n := testInstance(&policy{})
		n.settings.Cluster.Processor = 0.2
		now := time.Now()
		n.members.heard(&wire.Greeting{Instance: "alike", Hall: "h", Boot: "a", Addr: "a", StoreOk: true, Processor: 250}, now)
		n.members.heard(&wire.Greeting{Instance: "cut", Hall: "h", Boot: "b", Addr: "b", Processor: 800}, now)
		Expect(n.stronger(now.Add(strongerFor + 1))).To(BeEmpty())
		n.members.heard(&wire.Greeting{Instance: "large", Hall: "h", Boot: "c", Addr: "c", StoreOk: true, Processor: 800}, now)
		Expect(n.stronger(now)).To(BeEmpty(), "it may still be starting")
		Expect(n.stronger(now.Add(strongerFor + 1))).To(Equal("large"))
	})
})

var _ = Describe("an owner whose writes the store does not take", func() {
	It("is heard by all while each other instance has answered lately, or has no process", func() {
		n := testInstance(&policy{})
		now := time.Now()
		n.members.heard(&wire.Greeting{Instance: "a", Hall: "h", Boot: "a", Addr: "a"}, now)
		n.members.heard(&wire.Greeting{Instance: "b", Hall: "h", Boot: "b", Addr: "b"}, now)
		n.members.answer("a", now)
		Expect(n.members.allAnswer(now, nil)).To(BeFalse(), "b may take the cell lease")
		n.members.refusedAt("b", now)
		Expect(n.members.allAnswer(now, nil)).To(BeTrue(), "nobody is there to take it")
		Expect(n.members.allAnswer(now.Add(cellSilence), nil)).To(BeFalse(), "one that started since may")
		n.members.heard(&wire.Greeting{Instance: "c", Hall: "other", Boot: "c", Addr: "c"}, now)
		n.members.refusedAt("c", now)
		Expect(n.members.allAnswer(now, nil)).To(BeFalse(), "its hall may be cut off by resets")
		n.members.heard(&wire.Greeting{Instance: "d", Hall: "other", Boot: "d", Addr: "d"}, now)
		n.members.answer("d", now)
		Expect(n.members.allAnswer(now, nil)).To(BeTrue(), "d shows that it is not")
	})
})

var _ = Describe("a cell lease that has an owner", func() {
	It("may be taken once it went unwritten for longer than its owner goes on", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		n := testInstance(&policy{})
		lease := claim.Lease{Owner: "other", Boot: "b", Addr: l.Addr().String(), ValidMS: 900}
		Expect(n.vacant(ctx, lease, lease.Silence())).To(BeEmpty())
		Expect(n.vacant(ctx, lease, lease.Silence()+1)).To(Equal("owner silent"))
	})

	It("is left to much stronger instances for a while", func() {
		n := testInstance(&policy{})
		n.settings.Cluster.Processor = 0.2
		now := time.Now()
		Expect(n.turn("c", now)).To(BeZero())
		n.members.heard(&wire.Greeting{Instance: "large", Hall: "h", Boot: "c", Addr: "c", StoreOk: true, Processor: 800}, now)
		Expect(n.turn("c", now)).To(BeNumerically(">=", strongerPause))
	})

	It("is left to them also where they are only known from the store's list", func() {
		n := testInstance(&policy{})
		n.settings.Cluster.Processor = 0.2
		now := time.Now()
		n.members.found([]memberRow{{Addr: "b", Processor: 800}}, now)
		Expect(n.turn("c", now)).To(Equal(strongerPause))
	})
})
