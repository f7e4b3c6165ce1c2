// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/rows"
)

// memberStore lists instances and counts writes.
type memberStore struct {
	staticStore
	listed []rows.Row
	writes atomic.Int32
}

func (s *memberStore) Get(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{Ver: 1, Rows: s.listed}, nil
}

func (s *memberStore) Tx(context.Context, rows.Tx) (rows.Result, error) {
	s.writes.Add(1)
	return rows.Result{}, nil
}

var _ = Describe("the store's list of instances", func() {
	registered := func(ctx context.Context, rowOf func(own memberRow) []rows.Row) (*Instance, *memberStore) {
		n := testInstance(&fakePolicy{})
		s := &memberStore{listed: rowOf(n.memberRow())}
		n.storeClient.Direct = s
		go n.register(ctx)
		return n, s
	}

	It("is not changed by an instance that is listed correctly, and owners know that instance", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n, s := registered(ctx, func(own memberRow) []rows.Row {
			return []rows.Row{{Key: rows.Key{Table: membersTable, Name: "me"}, Value: flow.Encode(own)}}
		})
		Eventually(n.listed.Load).Should(BeTrue())
		Consistently(s.writes.Load, 2*membersRetryPause).Should(BeZero())
	})

	It("is changed by an instance that is new or is listed with other values", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n, s := registered(ctx, func(memberRow) []rows.Row { return nil })
		Eventually(s.writes.Load).Should(BeNumerically(">", 0))
		Expect(n.listed.Load()).To(BeFalse())
		n, s = registered(ctx, func(memberRow) []rows.Row {
			return []rows.Row{{Key: rows.Key{Table: membersTable, Name: "me"}, Value: []byte(`{"addr":"elsewhere"}`)}}
		})
		Eventually(s.writes.Load).Should(BeNumerically(">", 0))
		Expect(n.listed.Load()).To(BeTrue(), "an earlier process is listed")
	})

	It("must have had an instance for some time until owners are assumed to know it", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n := testInstance(&fakePolicy{})
		s := &listingStore{}
		n.storeClient.Direct = s
		go n.register(ctx)
		Eventually(s.read.Load).Should(BeNumerically(">=", 2), "it has seen its own row")
		Consistently(n.listed.Load, membersRetryPause).Should(BeFalse())
	})
})

// listingStore lists an instance once that has written its row.
type listingStore struct {
	staticStore
	mu   sync.Mutex
	put  []rows.Row
	read atomic.Int32
}

func (s *listingStore) Get(context.Context, rows.Range) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.put) > 0 {
		s.read.Add(1)
	}
	return rows.Page{Ver: 1, Rows: s.put}, nil
}

func (s *listingStore) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put = t.Put
	return rows.Result{}, nil
}
