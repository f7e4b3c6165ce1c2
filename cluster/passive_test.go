// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/config"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

// inFleet makes an instance one of more than smallFleet.
func inFleet(n *Instance) *Instance {
	var listed []memberRow
	for i := range smallFleet + 1 {
		listed = append(listed, memberRow{Addr: fmt.Sprintf("10.0.0.1:%d", i+1)})
	}
	n.members.addListed(listed, time.Now())
	return n
}

// ownerGreeting returns the greeting of an owner that has just heard from the store.
func ownerGreeting(version uint64) *wire.Greeting {
	return &wire.Greeting{
		Instance: "owner", Hall: "h", Boot: "b", Addr: "10.0.0.1:1", ConfigVersion: version,
		StoreOk: true, ConfigAgeUs: 1, StoreAgeUs: 1, Cells: []*wire.CellSummary{{Name: "cell-0"}},
	}
}

// Guards against calls to the store and transfers of the configuration that grow with the number of
// instances times that of changes: each of 584 instances read each change and asked once a second.
var _ = Describe("an instance that owns no cell", func() {
	It("does not ask the store for the configuration while owners confirm it, and does once they do not", func() {
		s := &fakeConfigSource{version: 1}
		n := inFleet(followingInstance(s))
		Eventually(n.config.Version).Should(BeEquivalentTo(1))
		n.applyGreeting(ownerGreeting(1))
		time.Sleep(passiveCheckInterval)
		_, before := s.recorded()
		for range 4 {
			n.applyGreeting(ownerGreeting(1))
			time.Sleep(ownerGreetInterval)
		}
		_, during := s.recorded()
		Expect(during).To(HaveLen(len(before)))
		Eventually(func() int { _, after := s.recorded(); return len(after) }, 2*passiveWindow).Should(BeNumerically(">", len(during)))
	})

	It("gets a new version at once from a peer that has it, without waiting for the store", func() {
		installed := make(chan time.Time, 1)
		l := listenForPeers(handlerFunc(func(*wire.Request) *wire.Reply {
			installed <- time.Now()
			return &wire.Reply{Body: &wire.Reply_Config{Config: &wire.ConfigDoc{Doc: (&config.Config{Raw: []byte("doc")}).Compressed()}}}
		}))
		n := inFleet(testInstance(&fakePolicy{}))
		n.ParseConfig = func(raw []byte) (*config.Config, error) { return &config.Config{Version: 2, Raw: raw}, nil }
		n.config.Install(&config.Config{Version: 1})
		n.applyGreeting(ownerGreeting(1))
		g := ownerGreeting(2)
		g.Addr = l
		begun := time.Now()
		n.applyGreeting(g)
		Eventually(n.config.Version, fetchDelay).Should(BeEquivalentTo(2))
		Expect((<-installed).Sub(begun)).To(BeNumerically("<", fetchDelay/2))
	})

	It("asks an owner that few others ask, as all hear of a new version from the same one", func() {
		for _, owners := range []int{5, 10, 20} {
			const perOwner = 40
			asked := make(map[string]int)
			now := time.Now()
			for i := range owners * perOwner {
				n := testInstance(&fakePolicy{})
				n.settings.Instance = fmt.Sprint("i", i)
				for o := range owners {
					n.members.applyGreeting(&wire.Greeting{Instance: fmt.Sprint("o", o), Hall: "h", Addr: fmt.Sprint("o", o), Cells: []*wire.CellSummary{{}}}, now)
				}
				n.members.applyGreeting(&wire.Greeting{Instance: "idle", Hall: "h", Addr: "idle"}, now)
				asked[n.drawnOwner(now)]++
			}
			Expect(asked).To(HaveLen(owners))
			for owner, count := range asked {
				Expect(count).To(BeNumerically("<", 2*perOwner), owner)
			}
		}
		Expect(testInstance(&fakePolicy{}).drawnOwner(time.Now())).To(BeEmpty())
	})

	DescribeTable("asks the store itself", func(change func(*Instance, *wire.Greeting)) {
		n := inFleet(testInstance(&fakePolicy{}))
		n.config.Install(&config.Config{Version: 3})
		g := ownerGreeting(3)
		n.applyGreeting(g)
		Expect(n.passive(time.Now())).To(BeTrue())
		n.configPeerConfirmedAt.Store(nil)
		change(n, g)
		n.applyGreeting(g)
		Expect(n.passive(time.Now())).To(BeFalse())
	},
		Entry("if owners have an older version", func(_ *Instance, g *wire.Greeting) { g.ConfigVersion = 2 }),
		Entry("if owners have not heard from the store lately", func(_ *Instance, g *wire.Greeting) { g.ConfigAgeUs = uint64(passiveWindow.Microseconds()) }),
		Entry("if owners are of an earlier build", func(_ *Instance, g *wire.Greeting) { g.ConfigAgeUs = 0 }),
		Entry("if it owns a cell", func(n *Instance, _ *wire.Greeting) { n.cells["cell-1"] = &ownCell{} }),
		Entry("in a small fleet", func(n *Instance, _ *wire.Greeting) { clear(n.members.addrs) }),
	)

	It("passes on what it has heard with its age, so that no circle of instances keeps it alive", func() {
		n := inFleet(testInstance(&fakePolicy{}))
		n.config.Install(&config.Config{Version: 3})
		g := ownerGreeting(3)
		g.ConfigAgeUs = uint64((passiveWindow / 2).Microseconds())
		n.applyGreeting(g)
		own := n.greeting()
		Expect(own.ConfigAgeUs).To(BeNumerically(">=", g.ConfigAgeUs))
		Expect(own.StoreAgeUs).To(BeZero(), "the store has not answered this instance")
	})

	It("counts the store as reachable while it answers an owner, and as reached by itself by its last call", func(ctx context.Context) {
		n := inFleet(testInstance(&fakePolicy{}))
		n.config.Install(&config.Config{Version: 3})
		Expect(n.storeClient.Reachable()).To(BeFalse())
		n.applyGreeting(ownerGreeting(3))
		Expect(n.storeClient.Reachable()).To(BeTrue())
		Expect(n.greeting().StoreOk).To(BeFalse(), "not known yet")
		n.storeClient.Direct = staticStore{}
		_, err := n.storeClient.Get(ctx, rows.Range{Table: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(n.greeting().StoreOk).To(BeTrue())
		Expect(n.probeInterval(time.Now())).To(Equal(passiveProbeInterval))
		old := ownerGreeting(3)
		old.StoreAgeUs = uint64(time.Minute.Microseconds())
		m := testInstance(&fakePolicy{})
		m.applyGreeting(old)
		Expect(m.storeClient.Reachable()).To(BeFalse(), "the owner's last answer is old")
	})
})
