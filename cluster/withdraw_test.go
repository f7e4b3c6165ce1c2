// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// lateStore carries out the writes of specifications when it is told to, without an answer.
type lateStore struct {
	*fleetStore
	mu     sync.Mutex
	late   bool
	silent bool
	later  []rows.Tx
	writes int
}

// Tx implements rows.Store.
func (s *lateStore) Tx(ctx context.Context, t rows.Tx) (rows.Result, error) {
	s.mu.Lock()
	s.writes++
	submits := false
	for _, r := range t.Put {
		submits = submits || r.Table == driver.TableSpecs
	}
	lost := s.silent || s.late && submits
	if lost {
		s.later = append(s.later, t)
	}
	s.mu.Unlock()
	if lost {
		return rows.Result{}, kind.New(kind.Lost, "no answer")
	}
	return s.fleetStore.Tx(ctx, t)
}

// carryOut carries out the late writes, and returns how many took effect.
func (s *lateStore) carryOut(ctx context.Context) int {
	done := 0
	for _, t := range s.later {
		if res, err := s.fleetStore.Tx(ctx, t); err == nil && !res.Refused {
			done++
		}
	}
	s.later = nil
	return done
}

// A submission without an answer took effect after its cancellation had been answered with "no such
// job".
var _ = Describe("a cancellation of a job that the store does not have", func() {
	// reach has the store answer an instance again.
	reach := func(ctx context.Context, n *Instance) {
		GinkgoHelper()
		Eventually(func() bool { _, _ = n.storeClient.Get(ctx, rows.Range{}); return n.storeClient.Reachable() }).Should(BeTrue())
	}
	deployment := func(ctx context.Context) (*Instance, *lateStore) {
		s := &lateStore{fleetStore: newFleetStore()}
		n := withQueues(testInstance(&fakePolicy{}), true)
		n.storeClient.Direct = s
		reach(ctx, n)
		return n, s
	}
	job := func(account string) *flow.Spec {
		return &flow.Spec{ID: "j", Queue: "q", Account: account, Steps: []flow.Step{{Count: 1}}}
	}
	as := config.WithCaller

	It("keeps the account's earlier and later submissions from taking effect", func(ctx context.Context) {
		n, s := deployment(ctx)
		s.late = true
		Expect(kind.Is(n.Submit(ctx, job("a")), kind.Lost)).To(BeTrue())
		s.late = false
		reach(ctx, n)
		Expect(kind.Is(n.Cancel(as(ctx, "a"), "j"), kind.NotFound)).To(BeTrue())
		Expect(s.later).NotTo(BeEmpty())
		Expect(s.carryOut(ctx)).To(BeZero())
		Expect(kind.Is(n.Submit(ctx, job("a")), kind.Cancelled)).To(BeTrue())
		_, err := n.State(as(ctx, "a"), "j")
		Expect(kind.Is(err, kind.NotFound)).To(BeTrue())
		writes := s.writes
		Expect(kind.Is(n.Cancel(as(ctx, "a"), "j"), kind.NotFound)).To(BeTrue())
		Expect(s.writes).To(Equal(writes), "nothing more is to be written")
	})

	It("is not answered before the store has it", func(ctx context.Context) {
		n, s := deployment(ctx)
		s.silent = true
		err := n.Cancel(as(ctx, "a"), "j")
		Expect(err).To(HaveOccurred())
		Expect(kind.Is(err, kind.NotFound)).To(BeFalse())
		s.silent = false
		reach(ctx, n)
		Expect(s.carryOut(ctx)).To(Equal(1))
		Expect(kind.Is(n.Cancel(as(ctx, "a"), "j"), kind.NotFound)).To(BeTrue())
	})

	It("leaves the id to other accounts, and their jobs alone", func(ctx context.Context) {
		n, s := deployment(ctx)
		Expect(kind.Is(n.Cancel(as(ctx, "a"), "j"), kind.NotFound)).To(BeTrue())
		s.late = true
		Expect(kind.Is(n.Submit(ctx, job("b")), kind.Lost)).To(BeTrue())
		s.late = false
		reach(ctx, n)
		Expect(n.Submit(ctx, job("b"))).To(Succeed())
		Expect(s.carryOut(ctx)).To(BeZero(), "the job was stored already")
		Expect(s.rows).NotTo(HaveKey(driver.EndedKey("j")))
		Expect(n.State(as(ctx, "b"), "j")).To(Equal(flow.Pending))
		Expect(kind.Is(n.Cancel(as(ctx, "a"), "j"), kind.NotFound)).To(BeTrue())
		Expect(n.State(as(ctx, "b"), "j")).To(Equal(flow.Pending))
	})

	// The submission had replaced the cancellation of another account, without an answer.
	It("holds against a submission that was to replace another account's cancellation", func(ctx context.Context) {
		n, s := deployment(ctx)
		Expect(kind.Is(n.Cancel(as(ctx, "a"), "j"), kind.NotFound)).To(BeTrue())
		s.late = true
		Expect(kind.Is(n.Submit(ctx, job("b")), kind.Lost)).To(BeTrue())
		reach(ctx, n)
		Expect(kind.Is(n.Cancel(as(ctx, "b"), "j"), kind.NotFound)).To(BeTrue())
		s.late = false
		reach(ctx, n)
		Expect(s.carryOut(ctx)).To(BeZero())
		for _, account := range []string{"a", "b"} {
			Expect(kind.Is(n.Submit(ctx, job(account)), kind.Cancelled)).To(BeTrue(), account)
		}
	})

	It("cancels a job that is accepted meanwhile, or says that it is not known", func(ctx context.Context) {
		n, s := deployment(ctx)
		s.late = true
		Expect(kind.Is(n.Submit(ctx, job("a")), kind.Lost)).To(BeTrue())
		s.late = false
		reach(ctx, n)
		Expect(s.carryOut(ctx)).To(Equal(1))
		err := n.Cancel(as(ctx, "a"), "j")
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue(), "no owner is heard: %v", err)
	})
})
