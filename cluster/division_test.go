// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

var _ = Describe("the division into cells", func() {
	It("has as many cells as the workers need, at least one", func() {
		Expect(cellCount(0)).To(Equal(1))
		Expect(cellCount(maxWorkersPerCell)).To(Equal(1))
		Expect(cellCount(maxWorkersPerCell + 1)).To(Equal(2))
		Expect(cellCount(6000)).To(Equal(15))
	})

	It("uses a count that has been stable for a while, or the count at the time limit", func() {
		var c workerCount
		now := time.Now()
		Expect(c.stable(10, now)).To(BeFalse())
		Expect(c.stable(20, now.Add(countStableTime))).To(BeFalse(), "workers are still starting")
		Expect(c.stable(20, now.Add(2*countStableTime))).To(BeTrue())
		var none workerCount
		Expect(none.stable(0, now)).To(BeFalse())
		Expect(none.stable(0, now.Add(countStableTime))).To(BeFalse(), "a count of 0 is not usable")
		Expect(none.stable(0, now.Add(countTimeout))).To(BeTrue())
	})

	It("uses a count that still grows, as in a large fleet that starts, only after a longer time", func() {
		var c workerCount
		now := time.Now()
		count := 3600
		for t := time.Duration(0); t < growthTimeout; t += countInterval {
			Expect(c.stable(count, now.Add(t))).To(BeFalse(), "after %s", t)
			count += 105
		}
		Expect(c.stable(count, now.Add(growthTimeout))).To(BeTrue())
	})

	It("uses a count of a large fleet of which some workers come and go", func() {
		var c workerCount
		now := time.Now()
		Expect(c.stable(6000, now)).To(BeFalse())
		Expect(c.stable(5990, now.Add(countInterval))).To(BeFalse())
		Expect(c.stable(6020, now.Add(countStableTime))).To(BeTrue())
	})

	It("assigns each rack to one cell, and to none while the division is not known", func() {
		var d division
		Expect(d.hashCell("r1")).To(BeEmpty())
		d.set(3)
		drawn := make(map[string]int)
		for _, rack := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			Expect(d.hashCell(rack)).To(Equal(d.hashCell(rack)))
			drawn[d.hashCell(rack)]++
		}
		Expect(drawn).To(HaveLen(3))
	})
})

// Guards against reads of all workers by each instance that starts: when 45 of 584 instances counted,
// each read thousands of rows several times.
var _ = Describe("the division of a fleet that starts", func() {
	// start has instances decide the division of a store at once, and returns them.
	start := func(ctx context.Context, s *fleetStore, d driver.Directory, instances int) []*Instance {
		ctx, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		out := make([]*Instance, instances)
		for i := range out {
			n := testInstance(&fakePolicy{})
			n.settings.Cluster.Cells = 0
			n.settings.Instance = fmt.Sprint("i", i)
			n.storeClient.Direct = s
			n.Directory = func(rows.Store) driver.Directory { return d }
			out[i] = n
			go n.learnDivision(ctx)
		}
		return out
	}

	It("is counted by one instance however many there are", func(ctx context.Context) {
		for _, instances := range []int{10, 20, 40} {
			d := &countedDirectory{racks: 100}
			all := start(ctx, newFleetStore(), d, instances)
			for _, n := range all {
				Eventually(n.division.cells, 4*time.Second).Should(HaveLen(1))
			}
			Expect(d.returned.Load()).To(BeNumerically("<=", 8*(d.racks+1)), "with %d instances", instances)
		}
	})

	It("is counted by another instance if the one that counts is gone", func(ctx context.Context) {
		s := newFleetStore()
		gone := flow.Encode(divisionRow{CountedBy: "gone", Workers: 3})
		_, _ = s.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: divisionKey, Value: gone}}})
		begun := time.Now()
		n := start(ctx, s, &countedDirectory{racks: 100}, 1)[0]
		Eventually(n.division.cells, 2*progressTimeout+4*time.Second).Should(HaveLen(1))
		Expect(time.Since(begun)).To(BeNumerically(">", progressTimeout))
	})
})

var _ = Describe("an instance", func() {
	It("is not ready before it knows the division, as it could accept no job", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.storeClient.Direct = staticStore{}
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

	It("leaves a vacant cell to instances that own none", func() {
		n := testInstance(&fakePolicy{})
		free := n.electionDelay("cell-2", now)
		n.cells["cell-0"] = &ownCell{}
		Expect(n.electionDelay("cell-2", now)).To(Equal(free + ownedCellDelay))
	})

	It("yields one to an idle instance of about the same strength", func() {
		n := testInstance(&fakePolicy{})
		n.settings.Cluster.Processor = 0.4
		n.members.applyGreeting(busy, now)
		Expect(n.strongerIdle(now.Add(strongerHeardTime+1))).To(BeEmpty(), "the stronger one has a cell already")
		Expect(n.idlePeer(now.Add(strongerHeardTime + 1))).To(BeEmpty())
		n.members.applyGreeting(idle, now)
		Expect(n.idlePeer(now.Add(strongerHeardTime + 1))).To(Equal("idle"))
		n.settings.Cluster.Processor = 0.8
		Expect(n.idlePeer(now.Add(strongerHeardTime+1))).To(BeEmpty(), "too weak")
		n.settings.Cluster.Processor = 0.4
		later := now.Add(strongerHeardTime + 1)
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
