// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

// listFleet writes rows of instances into a store: every fourth one is strong.
func listFleet(s *fleetStore, size int) {
	for i := range size {
		m := memberRow{Addr: fmt.Sprintf("10.0.0.1:%d", i+1), Hall: "h", Processor: 200, Ranked: true}
		if i%4 == 0 {
			m.Processor = 800
		}
		name := fmt.Sprintf("i%04d", i)
		_, _ = s.Tx(context.Background(), rows.Tx{Put: []rows.Row{
			{Key: rows.Key{Table: membersTable, Name: name}, Value: flow.Encode(m)},
			{Key: rows.Key{Table: rankedTable, Name: rankedName(m.Processor, name)}, Value: flow.Encode(m)},
		}})
	}
}

// refusingStore refuses the first writes.
type refusingStore struct {
	*fleetStore
	refuse  atomic.Int32
	written atomic.Bool
}

// Tx implements rows.Store.
func (s *refusingStore) Tx(ctx context.Context, t rows.Tx) (rows.Result, error) {
	if s.refuse.Add(-1) >= 0 {
		return rows.Result{}, errBusy
	}
	defer s.written.Store(true)
	return s.fleetStore.Tx(ctx, t)
}

// Guards against a list that each instance reads in full: 584 instances read 584 rows each at every
// start of all, and again every 30 s.
var _ = Describe("the list of a large fleet", func() {
	It("is read to the same extent by each instance however long it is, and whole by an owner", func(ctx context.Context) {
		for _, size := range []int{100, 200, 400} {
			s := newFleetStore()
			listFleet(s, size)
			n := testInstance(&fakePolicy{})
			n.settings.Instance = fmt.Sprintf("i%04d", size-3)
			n.storeClient.Direct = s
			s.rowsReturned()
			listed, fleet, ok := n.readMembers(ctx)
			Expect(ok).To(BeTrue())
			Expect(s.rowsReturned()).To(BeNumerically("<=", maxStrongest+2*maxNeighbors), "of %d", size)
			Expect(membersReadPause(fleet)).To(Equal(maxMembersReadInterval))
			Expect(listed[0].Name).To(Equal(n.settings.Instance))
			Expect(n.members.listedAbove(700)).To(BeTrue(), "the strongest are known")
			Expect(n.members.addrs).To(HaveKey("10.0.0.1:2"), "after the last instance comes the first one")
			n.cells["c"] = &ownCell{}
			_, fleet, _ = n.readMembers(ctx)
			Expect(fleet).To(Equal(size))
			Expect(n.members.addrs).To(HaveLen(size))
		}
	})

	It("is completely known in a small fleet, and read as often as before", func(ctx context.Context) {
		s := newFleetStore()
		listFleet(s, 20)
		n := testInstance(&fakePolicy{})
		n.settings.Instance = "i0007"
		n.storeClient.Direct = s
		_, fleet, ok := n.readMembers(ctx)
		Expect(ok).To(BeTrue())
		Expect(n.members.addrs).To(HaveLen(20))
		Expect(membersReadPause(fleet)).To(Equal(membersReadInterval))
	})

	// Guards against a list that fills with instances that were replaced, so that a new one finds nobody
	// who lives in the part that it reads.
	It("loses the instances that were not heard for long, by the owner of the first cell", func(ctx context.Context) {
		s := newFleetStore()
		listFleet(s, 8)
		n, _ := instanceOnOwnedStore()
		n.storeClient.Direct = s
		now := time.Now()
		listed, _ := n.readAllMembers(ctx)
		n.members.applyGreeting(&wire.Greeting{Instance: "i0002", Hall: "h", Boot: "b", Addr: "a"}, now.Add(time.Minute))
		names := func() (out []string) {
			for _, table := range []string{membersTable, rankedTable} {
				page, _ := s.Get(ctx, rows.Range{Table: table})
				for _, r := range page.Rows {
					out = append(out, instanceOf(r.Name))
				}
			}
			return out
		}
		n.removeGone(ctx, listed, now.Add(goneAfter+time.Second))
		Expect(names()).To(HaveLen(16), "it owns no cell")
		n.cells["cell-0"] = &ownCell{driver: driver.New(driver.Config{Name: "cell-0", Claim: &claim.Claim{}})}
		n.removeGone(ctx, listed, now.Add(goneAfter-time.Second))
		Expect(names()).To(HaveLen(16), "they may be cut off")
		_, _ = s.Tx(ctx, rows.Tx{Put: []rows.Row{listed[3]}})
		n.removeGone(ctx, listed, now.Add(goneAfter+time.Second))
		Expect(names()).To(ConsistOf("i0002", "i0003", "i0002", "i0003"), "one was heard, one has written its entry again")
	})

	// Guards against a start of all at which each refused write made its instance read the list again:
	// 1,365 of 2,024 writes were refused.
	It("is not read again after each write that the store refuses", func(ctx context.Context) {
		for _, refused := range []int32{0, 1, 2} {
			s := &refusingStore{fleetStore: newFleetStore()}
			s.refuse.Store(refused)
			listFleet(s.fleetStore, 100)
			n := testInstance(&fakePolicy{})
			n.settings.Listen.Peer = "10.0.0.1:1"
			n.storeClient.Direct = s
			s.rowsReturned()
			ctx, cancel := context.WithCancel(ctx)
			go n.register(ctx)
			Eventually(s.written.Load, 3*time.Second, time.Millisecond).Should(BeTrue())
			cancel()
			Expect(s.rowsReturned()).To(BeNumerically("<=", maxStrongest+2*maxNeighbors), "after %d refused writes", refused)
		}
	})

	It("gets the row of an instance that an earlier build has listed by name alone", func(ctx context.Context) {
		s := newFleetStore()
		n := testInstance(&fakePolicy{})
		n.settings.Listen.Peer = "10.0.0.1:1"
		n.storeClient.Direct = s
		own := n.memberRow()
		own.Ranked = false
		_, _ = s.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: rows.Key{Table: membersTable, Name: "me"}, Value: flow.Encode(own)}}})
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go n.register(ctx)
		key := rows.Key{Table: rankedTable, Name: rankedName(own.Processor, "me")}
		Eventually(func() []rows.Row {
			page, _ := s.Get(ctx, rows.KeyRange(key))
			return page.Rows
		}, time.Second).Should(HaveLen(1))
		Expect(instanceOf(key.Name)).To(Equal("me"))
	})
})
