// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/config"
	"dewpass.org/flow"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

var _ = Describe("the division into cells", func() {
	It("has as many cells as the workers need, and one at least", func() {
		Expect(cellsFor(0)).To(Equal(1))
		Expect(cellsFor(workersPerCell)).To(Equal(1))
		Expect(cellsFor(workersPerCell + 1)).To(Equal(2))
		Expect(cellsFor(6000)).To(Equal(15))
	})

	It("goes by a count that has stayed for a while, or that was waited for long enough", func() {
		var c census
		now := time.Now()
		Expect(c.settled(10, now)).To(BeFalse())
		Expect(c.settled(20, now.Add(countSettled))).To(BeFalse(), "they are still coming")
		Expect(c.settled(20, now.Add(2*countSettled))).To(BeTrue())
		var none census
		Expect(none.settled(0, now)).To(BeFalse())
		Expect(none.settled(0, now.Add(countSettled))).To(BeFalse(), "none is no number to go by")
		Expect(none.settled(0, now.Add(countMost))).To(BeTrue())
	})

	It("gives each rack to one cell, and none while it is not known", func() {
		var d division
		Expect(d.draw("r1")).To(BeEmpty())
		d.set(3)
		drawn := make(map[string]int)
		for _, rack := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			Expect(d.draw(rack)).To(Equal(d.draw(rack)))
			drawn[d.draw(rack)]++
		}
		Expect(drawn).To(HaveLen(3))
	})
})

var _ = Describe("an instance", func() {
	It("is not ready before it knows the division: it could take no job", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.storeClient.Direct = table{}
		n.config.Install(&config.Config{Version: 1})
		_, err := n.storeClient.Get(ctx, rows.Range{Table: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Ready()).To(BeFalse())
		Expect(n.Submit(ctx, &flow.Spec{ID: "j"})).To(MatchError(ContainSubstring("not known yet")))
		n.division.set(1)
		Expect(n.Ready()).To(BeTrue())
	})
})

var _ = Describe("an instance that owns cells", func() {
	now := time.Now()
	idle := &wire.Greeting{Instance: "idle", Hall: "h", Boot: "a", Addr: "a", StoreOk: true, Processor: 400}
	busy := &wire.Greeting{
		Instance: "busy", Hall: "h", Boot: "b", Addr: "b", StoreOk: true, Processor: 800,
		Cells: []*wire.CellSummary{{Name: "cell-1"}},
	}

	It("leaves a vacant one to those that own none", func() {
		n := testInstance(&policy{})
		free := n.turn("cell-2", now)
		n.cells["cell-0"] = &ownCell{}
		Expect(n.turn("cell-2", now)).To(Equal(free + ownedPause))
	})

	It("hands one over to an instance alike that owns none", func() {
		n := testInstance(&policy{})
		n.settings.Cluster.Processor = 0.4
		n.members.heard(busy, now)
		Expect(n.stronger(now.Add(strongerFor+1))).To(BeEmpty(), "the stronger one has a cell already")
		Expect(n.idler(now.Add(strongerFor + 1))).To(BeEmpty())
		n.members.heard(idle, now)
		Expect(n.idler(now.Add(strongerFor + 1))).To(Equal("idle"))
		n.settings.Cluster.Processor = 0.8
		Expect(n.idler(now.Add(strongerFor+1))).To(BeEmpty(), "too weak")
		n.settings.Cluster.Processor = 0.4
		later := now.Add(strongerFor + 1)
		own := map[string]*ownCell{"cell-0": {}, "cell-3": {}}
		cells, to := n.surplus(own, later)
		Expect(to).To(Equal("idle"))
		Expect(cells).To(And(HaveLen(1), HaveKey("cell-3")))
		_, to = n.surplus(cells, later)
		Expect(to).To(BeEmpty(), "it has only one")
		n.settings.Cluster.Processor = 0.1
		cells, to = n.surplus(own, later)
		Expect(to).To(Equal("idle"))
		Expect(cells).To(HaveLen(2), "to a much stronger one, all")
	})
})
