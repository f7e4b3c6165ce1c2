// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"testing"
	"time"

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

func testInstance(p *policy) *Instance {
	s := &settings.Settings{Instance: "me", Hall: "h", Cluster: &settings.Cluster{Cells: 1}}
	return newInstance(s, telemetry.Quiet(), Services{
		Advisor: p, Configs: func(rows.Store) ConfigSource { return nil },
	})
}

var _ = Describe("a question to the policy", func() {
	long := cell.Ask{Workers: []string{"w"}, Advice: cell.Advice{Decide: time.Second}}

	It("is not given again and again to a peer whose process is gone", func(ctx context.Context) {
		p := &policy{}
		n := testInstance(p)
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

	It("goes to peers that were heard a moment ago, not to those behind a cut", func() {
		n := testInstance(&policy{})
		g := &wire.Greeting{Instance: "far", Hall: "other", Boot: "b", Addr: "127.0.0.1:1"}
		n.members.heard(g, time.Now().Add(-2*askedWithin))
		Expect(n.members.list(time.Now(), func(*member) bool { return true })).To(HaveLen(1), "it still counts as live")
		Expect(n.caller(&long)).To(BeNil())
		n.members.heard(g, time.Now())
		Expect(n.caller(&long)).NotTo(BeNil())
	})
})
