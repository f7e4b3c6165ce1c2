// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/retry"
	"dewpass.org/rows"
)

// unavailableStore is a store that rejects the calls of this instance.
type unavailableStore struct{}

var errBusy = kind.New(kind.Unavailable, "busy")

func (unavailableStore) Get(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{}, errBusy
}
func (unavailableStore) Tx(context.Context, rows.Tx) (rows.Result, error) {
	return rows.Result{}, errBusy
}
func (unavailableStore) Feed(ctx context.Context, _ rows.FeedQuery) (rows.Page, error) {
	return rows.Page{}, errBusy
}

// countingUnavailableStore counts the reads that it rejects.
type countingUnavailableStore struct {
	unavailableStore
	reads atomic.Int32
}

func (s *countingUnavailableStore) Get(context.Context, rows.Range) (rows.Page, error) {
	s.reads.Add(1)
	return rows.Page{}, errBusy
}

// Guards against refusing jobs though a peer still reaches the store. The store rejected the
// calls of one instance for 9 s and served the others. The instance refused jobs for 2 to 3 s of
// them ("the store is not reached"), though its peers relayed its calls: no client had called for
// 0.9 s, so that nothing had been relayed, and a refused job causes no call to the store either.
// That lasted until the configuration was read again.
var _ = Describe("an instance whose calls the store rejects, while no client calls", func() {
	It("knows that its peers reach the store", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.division.set(1)
		n.storeClient.Direct = unavailableStore{}
		peer := &rows.Client{Direct: staticStore{}, Now: time.Now}
		n.storeClient.Relay = peer.ServeRelayed
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go n.probeStore(ctx)
		Eventually(n.storeClient.Reachable, "5s").Should(BeTrue())
		Consistently(n.storeClient.Reachable, "2s", "50ms").Should(BeTrue())
	})

	It("tells callers to retry after a time that grows with the outage", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.storeClient.Direct = staticStore{}
		n.probeLease(ctx, "")
		n.storeClient.Now = func() time.Time { return time.Now().Add(10 * time.Second) }
		err := n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})
		Expect(kind.Of(err).RetryAfter).To(BeNumerically(">=", 5*time.Second))
	})

	// Callers that came in the last quarter of a second of an outage were refused and came back a
	// second later, when their request was late.
	It("holds callers for a moment, and serves them if the store is back by then", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.division.set(1)
		n.storeClient.Direct = staticStore{}
		begun := time.Now()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically(">=", retry.MaxWait))
		Expect(n.waitingCallers.Load()).To(BeZero())

		go func() {
			time.Sleep(retry.MaxWait / 4)
			n.probeLease(ctx, "")
		}()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef", Steps: []flow.Step{{Count: 1}}})).To(Succeed())

		n.storeClient.Now = func() time.Time { return time.Now().Add(time.Minute) }
		short, cancel := context.WithTimeout(ctx, retry.MaxWait)
		defer cancel()
		begun = time.Now()
		Expect(n.Submit(short, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically("<", retry.MaxWait/2), "the caller has little time left")
		n.leaving.Store(true)
		begun = time.Now()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically("<", retry.MaxWait/2), "a planned stop does not wait")
		n.leaving.Store(false)
		n.waitingCallers.Store(retry.MaxWaiting)
		begun = time.Now()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically("<", retry.MaxWait), "too many wait already")
	})

	It("says at once that the state of a job is unavailable when no peer reaches the store either", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.division.set(1)
		n.storeClient.Direct = unavailableStore{}
		n.storeClient.Relay = nil
		n.probeLease(ctx, "")
		n.storeClient.Direct = silentStore{}
		begun := time.Now()
		_, err := n.State(ctx, "0123456789abcdef")
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second), "instead of the 1.5 s allowed for a call to the store")
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
	})
})

// silentStore does not answer.
type silentStore struct{ staticStore }

func (silentStore) Get(ctx context.Context, _ rows.Range) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, kind.Wrap(kind.Lost, ctx.Err(), "store")
}

// Guards against needless probes: they were a third of all calls that 34 instances made to the
// store without load, 2.6 a second each, though other calls had just been answered.
var _ = Describe("a probe of the store", func() {
	It("is sent every 0.3 s while the store is unavailable, however often that is checked", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.division.set(1)
		s := &countingUnavailableStore{}
		n.storeClient.Direct = s
		ctx, cancel := context.WithTimeout(ctx, 3*probeInterval)
		defer cancel()
		n.probeStore(ctx)
		Expect(s.reads.Load()).To(BeNumerically("~", 3, 1))
	})

	It("is skipped while other calls are answered and the lease need not be watched", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.division.set(1)
		n.storeClient.Direct = staticStore{}
		now := time.Now()
		n.storeClient.Now = func() time.Time { return now }
		n.probeLease(ctx, "")
		Expect(n.probeRedundant("cell-0", now)).To(BeFalse(), "the instance is new, and no owner is heard")
		n.listed.Store(true)
		Expect(n.probeRedundant("cell-0", now)).To(BeTrue())
		now = now.Add(answerFreshness - 1)
		Expect(n.probeRedundant("cell-0", now)).To(BeTrue())
		now = now.Add(1)
		Expect(n.probeRedundant("cell-0", now)).To(BeFalse())
	})
})
