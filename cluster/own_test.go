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

// noWorkers is a directory without workers.
type noWorkers struct{}

func (noWorkers) All(context.Context) ([]driver.Entry, error) { return nil, nil }

// ownedStore is a store whose cells have an owner, and which counts the looks at
// their leases.
type ownedStore struct {
	table
	lease claim.Lease
	looks atomic.Int32
	wrote rows.Tx
}

func (s *ownedStore) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	if r.Table == claim.Table && r.Part != "" && r.From == "seat" {
		s.looks.Add(1)
		return rows.Page{Ver: 1, Rows: []rows.Row{{Value: flow.Encode(s.lease), Ver: 1}}}, nil
	}
	return s.table.Get(ctx, r)
}

func (s *ownedStore) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	s.wrote = t
	return rows.Result{Ver: 2}, nil
}

func instanceOnOwnedStore() (*Instance, *ownedStore) {
	n := testInstance(&policy{})
	s := &ownedStore{table: table{}, lease: claim.Lease{Owner: "other", Boot: "b", Addr: "127.0.0.1:1", ValidMS: 900}}
	n.storeClient.Direct = s
	n.Directory = func(rows.Store) driver.Directory { return noWorkers{} }
	n.division.set(1)
	return n, s
}

var _ = Describe("a vacant cell", func() {
	It("is looked at once at a time, and not yet by a weak instance that has just started", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.settings.Cluster.Processor = 0.2
		n.members.found([]memberRow{{Addr: "b", Processor: 800}}, n.began)
		vacant := map[string]*vacancy{"cell-0": {since: n.began.Add(-time.Minute)}}
		n.elect(ctx, vacant, n.began)
		Consistently(s.looks.Load, 50*time.Millisecond).Should(BeZero())
		vacant["cell-0"].trying.Store(true)
		n.elect(ctx, vacant, n.began.Add(startPause))
		Consistently(s.looks.Load, 50*time.Millisecond).Should(BeZero())
		vacant["cell-0"].trying.Store(false)
		n.leaving.Store(true)
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: n.settings.Listen.Peer, ValidMS: 60_000}
		n.elect(ctx, vacant, n.began.Add(startPause))
		Eventually(s.looks.Load).Should(BeNumerically(">", 0))
	})

	It("is taken from an owner that refuses connections with regard to its last orders, and its counts outlast it", func(ctx context.Context) {
		n, _ := instanceOnOwnedStore()
		n.tryTake(ctx, "cell-0")
		d := n.own("cell-0")
		Expect(d).NotTo(BeNil())
		Expect(d.Former).To(Equal(900*time.Millisecond + claim.Margin))
		Eventually(d.Loaded).Should(BeTrue())
		n.dropDriver("cell-0", d)
		Expect(n.members.last).To(HaveKey("cell-0"))
	})
})

var _ = Describe("an owner that has not read its jobs", func() {
	It("goes by the last counts that were heard", func() {
		n, _ := instanceOnOwnedStore()
		n.cells["cell-0"] = &ownCell{driver: driver.New(driver.Config{Name: "cell-0", Claim: &claim.Claim{}})}
		n.members.note("cell-0", []*wire.QueuePending{{Queue: "q", Jobs: 4}}, time.Now())
		Expect(n.Pending("q")).To(Equal(4))
	})
})

var _ = Describe("those who are greeted", func() {
	It("are all by an owner, and a few by others", func() {
		n := testInstance(&policy{})
		now := time.Now()
		for i := range 40 {
			name := fmt.Sprint("i", i)
			n.members.heard(&wire.Greeting{Instance: name, Hall: "h", Boot: "b", Addr: name}, now.Add(-newFor/8))
		}
		Expect(len(n.targets(now))).To(BeNumerically("<=", nearMost+farMost))
		n.cells["c"] = &ownCell{}
		Expect(n.targets(now)).To(HaveLen(40))
	})
})

var _ = Describe("the division", func() {
	It("is written only if there is none", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.settings.Cluster.Cells = 3
		Expect(n.decideDivision(ctx, &census{})).To(BeTrue())
		Expect(s.wrote.Expect).To(Equal([]rows.Check{{Key: divisionKey}}))
	})
})
