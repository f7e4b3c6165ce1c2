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

// memberStore lists instances and counts what is written.
type memberStore struct {
	table
	listed []rows.Row
	wrote  atomic.Int32
}

func (s *memberStore) Get(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{Ver: 1, Rows: s.listed}, nil
}

func (s *memberStore) Tx(context.Context, rows.Tx) (rows.Result, error) {
	s.wrote.Add(1)
	return rows.Result{}, nil
}

var _ = Describe("the store's list of instances", func() {
	registered := func(ctx context.Context, rowOf func(own memberRow) []rows.Row) (*Instance, *memberStore) {
		n := testInstance(&policy{})
		own := memberRow{Addr: n.settings.Listen.Peer, Hall: n.settings.Hall, Processor: n.processor()}
		s := &memberStore{listed: rowOf(own)}
		n.storeClient.Direct = s
		go n.register(ctx)
		return n, s
	}

	It("is left as it is by an instance that stands there, and owners know it", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n, s := registered(ctx, func(own memberRow) []rows.Row {
			return []rows.Row{{Key: rows.Key{Table: tableMembers, Name: "me"}, Value: flow.Encode(own)}}
		})
		Eventually(n.listed.Load).Should(BeTrue())
		Consistently(s.wrote.Load, 2*membersSoon).Should(BeZero())
	})

	It("gets an instance that is new, or that stands there otherwise", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n, s := registered(ctx, func(memberRow) []rows.Row { return nil })
		Eventually(s.wrote.Load).Should(BeNumerically(">", 0))
		Expect(n.listed.Load()).To(BeFalse())
		n, s = registered(ctx, func(memberRow) []rows.Row {
			return []rows.Row{{Key: rows.Key{Table: tableMembers, Name: "me"}, Value: []byte(`{"addr":"elsewhere"}`)}}
		})
		Eventually(s.wrote.Load).Should(BeNumerically(">", 0))
		Expect(n.listed.Load()).To(BeTrue(), "a former life stands there")
	})

	It("has had an instance for some time before owners can be taken to know it", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n := testInstance(&policy{})
		s := &listingStore{}
		n.storeClient.Direct = s
		go n.register(ctx)
		Eventually(s.read.Load).Should(BeNumerically(">=", 2), "it has seen its own row")
		Consistently(n.listed.Load, membersSoon).Should(BeFalse())
	})
})

// listingStore lists an instance once it has written its row.
type listingStore struct {
	table
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
