// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/rows"
)

// writtenStore is a store whose cell leases are written again between any two reads, as long as alive
// is true.
type writtenStore struct {
	*ownedStore
	alive atomic.Bool
	ver   atomic.Uint64
}

func (s *writtenStore) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	page, err := s.ownedStore.Get(ctx, r)
	if r.Part == "" || r.Table != claim.Table || len(page.Rows) == 0 {
		return page, err
	}
	if s.alive.Load() {
		s.ver.Add(1)
	}
	page.Rows[0] = rows.Row{Value: flow.Encode(s.lease), Ver: s.ver.Load()}
	return page, err
}

// Guards against reads of the leases of all cells by each instance of a hall that has just been cut off,
// every 60 ms until owners have greeted it again: 111 instances read 15 leases 12,000 times, 41 MB, since
// each lease named all of them as absent.
var _ = Describe("the lease of a cell whose owner writes it, but is not heard", func() {
	electFor := func(ctx context.Context, n *Instance, d time.Duration) {
		vacant := make(map[string]*vacancy)
		for begun := time.Now(); time.Since(begun) < d; time.Sleep(electInterval) {
			n.elect(ctx, vacant, time.Now())
		}
	}

	DescribeTable("is read less and less often, whatever the number of cells", func(ctx context.Context, absent string, most int) {
		for _, cells := range []int{2, 4, 8} {
			n, s := instanceOnOwnedStore()
			written := &writtenStore{ownedStore: s}
			written.alive.Store(true)
			n.storeClient.Direct = written
			n.division.set(cells)
			s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: fullListener(), ValidMS: 60_000, Absent: []string{absent}}
			electFor(ctx, n, 2*time.Second)
			Expect(s.leaseReads.Load()).To(BeNumerically(">=", 2*cells), "of %d cells", cells)
			Expect(s.leaseReads.Load()).To(BeNumerically("<=", most*cells), "of %d cells", cells)
		}
	},
		Entry("if it names the instance as absent", "me", 5),
		Entry("if it does not", "somebody else", 12),
	)

	It("is read again when it may be over, so that it is taken as soon as otherwise", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		written := &writtenStore{ownedStore: s}
		written.alive.Store(true)
		n.storeClient.Direct = written
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: fullListener(), ValidMS: 400}
		vacant := make(map[string]*vacancy)
		ended := time.Time{}
		Eventually(func() map[string]*ownCell {
			n.elect(ctx, vacant, time.Now())
			if v := vacant["cell-0"]; ended.IsZero() && v != nil && !v.claiming.Load() && v.pause == maxLeaseReadPause {
				written.alive.Store(false)
				ended = time.Now()
			}
			return n.ownCells()
		}, 10*time.Second, electInterval/4).ShouldNot(BeEmpty())
		Expect(time.Since(ended)).To(BeNumerically("<", 2*s.lease.Expiry()+4*electInterval), "one read may still find it written")
		for name, c := range n.ownCells() {
			n.dropDriver(name, c.driver)
		}
	})
})

var _ = Describe("what is known of a cell lease that was read", func() {
	It("does not have a lease wait that is free, not written again, or read in an older version", func() {
		now := time.Now()
		v := &vacancy{}
		v.noteRead(leaseRead{ver: 5, left: time.Second}, now)
		Expect(v.nextRead).To(Equal(now), "read for the first time")
		v.noteRead(leaseRead{ver: 5, left: time.Second}, now)
		Expect(v.nextRead).To(Equal(now), "not written since")
		v.noteRead(leaseRead{ver: 4, left: time.Second}, now)
		v.noteRead(leaseRead{ver: 5, left: time.Second}, now)
		Expect(v.nextRead).To(Equal(now), "an answer was outdated")
		v.noteRead(leaseRead{ver: 6, left: time.Minute}, now)
		Expect(v.nextRead).To(BeTemporally(">", now))
		v.noteRead(leaseRead{ver: 7}, now)
		Expect(v.nextRead).To(Equal(now), "it may be taken")
		v.noteRead(leaseRead{ver: 8, left: time.Millisecond}, now)
		Expect(v.nextRead).To(BeTemporally("<=", now.Add(time.Millisecond)), "it may soon be taken")
		for ver := range uint64(20) {
			v.noteRead(leaseRead{ver: 9 + ver, left: time.Minute}, now)
			Expect(v.nextRead).To(BeTemporally("<", now.Add(2*maxLeaseReadPause)))
		}
	})
})
