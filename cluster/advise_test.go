// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/rows"
	"dewpass.org/settings"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

// policy is a policy service that answers at once.
type policy struct{ asked int }

func (p *policy) Advise(context.Context, flow.StepID, []string) (driver.Tickets, error) {
	p.asked++
	return driver.Tickets{Rows: []cell.Ticket{{Worker: "w", Text: "t"}}}, nil
}

func testNode(p *policy) *Node {
	s := &settings.Settings{Instance: "me", Hall: "h", Cluster: &settings.Cluster{Cells: 1}}
	return newNode(s, &telemetry.Kit{Log: log.NewNopLogger()}, Services{
		Advisor: p, Configs: func(rows.Store) ConfigSource { return nil },
	})
}

var _ = Describe("a question to the policy", func() {
	long := cell.Ask{Workers: []string{"w"}, Advice: cell.Advice{Decide: time.Second}}

	It("is not given again and again to a peer whose process is gone", func(ctx context.Context) {
		p := &policy{}
		n := testNode(p)
		now := time.Now()
		// Nobody listens at port 1.
		n.members.heard(&wire.Greeting{Instance: "gone", Hall: "h", Boot: "b", Addr: "127.0.0.1:1"}, now)
		Expect(n.caller(&long)).NotTo(BeNil(), "the peer has the least to do")
		t, err := n.advise(ctx, long)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Rows).To(HaveLen(1))
		Expect(p.asked).To(Equal(1), "asked here, as the peer brought no answer")
		Expect(n.caller(&long)).To(BeNil(), "the peer is given nothing for a while")
	})
})

var _ = Describe("a seat", func() {
	It("counts as unwritten from when a version is known to have been written", func() {
		n := testNode(&policy{})
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

var _ = Describe("an owner", func() {
	It("yields to an instance with a much larger processor once that has been heard for a while", func() {
		n := testNode(&policy{})
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
	It("is obeyed while each other instance has answered lately, or has no process", func() {
		n := testNode(&policy{})
		now := time.Now()
		n.members.heard(&wire.Greeting{Instance: "a", Hall: "h", Boot: "a", Addr: "a"}, now)
		n.members.heard(&wire.Greeting{Instance: "b", Hall: "h", Boot: "b", Addr: "b"}, now)
		n.members.answer("a", now)
		Expect(n.members.allAnswer(now)).To(BeFalse(), "b may take the seat")
		n.members.refusedAt("b", now)
		Expect(n.members.allAnswer(now)).To(BeTrue(), "nobody is there to take it")
		Expect(n.members.allAnswer(now.Add(cellSilence))).To(BeFalse(), "one that started since may")
	})
})
