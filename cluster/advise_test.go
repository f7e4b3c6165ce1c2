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

// fakePolicy is a policy service that answers at once.
type fakePolicy struct{ asked int }

func (p *fakePolicy) Advise(context.Context, flow.StepID, []string) (driver.Tickets, error) {
	p.asked++
	return driver.Tickets{Rows: []cell.Ticket{{Worker: "w", Text: "t"}}}, nil
}

func testInstance(p *fakePolicy) *Instance {
	s := &settings.Settings{Instance: "me", Hall: "h", Cluster: &settings.Cluster{Cells: 1}}
	return newInstance(s, telemetry.NewNop(), Services{
		Advisor: p, Configs: func(rows.Store) ConfigSource { return nil },
	})
}

var _ = Describe("a question to the policy", func() {
	long := cell.Ask{Workers: []string{"w"}, Advice: cell.Advice{Decide: time.Second}}

	It("is not given repeatedly to a peer whose process is gone", func(ctx context.Context) {
		p := &fakePolicy{}
		n := testInstance(p)
		now := time.Now()
		// Nobody listens at port 1.
		n.members.applyGreeting(&wire.Greeting{Instance: "gone", Hall: "h", Boot: "b", Addr: "127.0.0.1:1"}, now)
		Expect(n.adviceCaller(&long)).NotTo(BeNil(), "the peer has the smallest backlog")
		t, err := n.advise(ctx, long)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Rows).To(HaveLen(1))
		Expect(p.asked).To(Equal(1), "asked by this instance, as the peer returned no answer")
		Expect(n.adviceCaller(&long)).To(BeNil(), "the peer is given nothing for a while")
	})

	It("goes to peers that were heard a moment ago, not to those that are cut off", func() {
		n := testInstance(&fakePolicy{})
		g := &wire.Greeting{Instance: "far", Hall: "other", Boot: "b", Addr: "127.0.0.1:1"}
		n.members.applyGreeting(g, time.Now().Add(-2*peerMaxSilence))
		Expect(n.members.list(time.Now(), func(*member) bool { return true })).To(HaveLen(1), "it still counts as live")
		Expect(n.adviceCaller(&long)).To(BeNil())
		n.members.applyGreeting(g, time.Now())
		Expect(n.adviceCaller(&long)).NotTo(BeNil())
	})
})
