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

// What happened: the store turned one instance away for 9 s and served the others. The
// instance refused jobs for 2 to 3 s of them ("the store is not reached"), though its peers
// carried its calls: no client had asked for 0.9 s, so that nothing had been carried, and
// a job that is refused asks nothing of the store either. It went on until the
// configuration was read again.

// busy is a store that turns this instance away.
type busy struct{}

var errBusy = kind.New(kind.Unavailable, "busy")

func (busy) Get(context.Context, rows.Range) (rows.Page, error)        { return rows.Page{}, errBusy }
func (busy) Tx(context.Context, rows.Tx) (rows.Result, error)          { return rows.Result{}, errBusy }
func (busy) Feed(ctx context.Context, _ rows.Since) (rows.Page, error) { return rows.Page{}, errBusy }

// countedBusy counts the reads that it turns away.
type countedBusy struct {
	busy
	gets atomic.Int32
}

func (s *countedBusy) Get(context.Context, rows.Range) (rows.Page, error) {
	s.gets.Add(1)
	return rows.Page{}, errBusy
}

var _ = Describe("an instance that the store turns away, while no client calls", func() {
	It("knows that its peers reach the store", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.division.set(1)
		n.storeClient.Direct = busy{}
		peer := &rows.Client{Direct: table{}, Now: time.Now}
		n.storeClient.Carry = peer.Serve
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go n.probeStore(ctx)
		Eventually(n.storeClient.Reachable, "5s").Should(BeTrue())
		Consistently(n.storeClient.Reachable, "2s", "50ms").Should(BeTrue())
	})

	It("tells callers to come back by the age of the outage", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.storeClient.Direct = table{}
		n.probeLease(ctx, "")
		n.storeClient.Now = func() time.Time { return time.Now().Add(10 * time.Second) }
		err := n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})
		Expect(kind.Of(err).RetryAfter).To(BeNumerically(">=", 5*time.Second))
	})

	// Callers that came in the last quarter of a second of an outage were refused and came
	// back a second later, when what they asked for was late.
	It("keeps callers for a moment, and serves those in whose moment it is back", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.division.set(1)
		n.storeClient.Direct = table{}
		begun := time.Now()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically(">=", retry.Patience))
		Expect(n.waiting.Load()).To(BeZero())

		go func() {
			time.Sleep(retry.Patience / 4)
			n.probeLease(ctx, "")
		}()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef", Steps: []flow.Step{{Count: 1}}})).To(Succeed())

		n.storeClient.Now = func() time.Time { return time.Now().Add(time.Minute) }
		short, cancel := context.WithTimeout(ctx, retry.Patience)
		defer cancel()
		begun = time.Now()
		Expect(n.Submit(short, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically("<", retry.Patience/2), "it has little time left")
		n.leaving.Store(true)
		begun = time.Now()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically("<", retry.Patience/2), "a planned stop does not wait")
		n.leaving.Store(false)
		n.waiting.Store(retry.WaitingMost)
		begun = time.Now()
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
		Expect(time.Since(begun)).To(BeNumerically("<", retry.Patience), "too many wait already")
	})

	It("says at once that it can't tell of a job when no peer reaches it either", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.division.set(1)
		n.storeClient.Direct = busy{}
		n.storeClient.Carry = nil
		n.probeLease(ctx, "")
		n.storeClient.Direct = silentStore{}
		begun := time.Now()
		_, err := n.State(ctx, "0123456789abcdef")
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second), "in place of the 1.5 s that the store is given")
		Expect(n.Submit(ctx, &flow.Spec{ID: "0123456789abcdef"})).To(MatchError(ContainSubstring("not reached")))
	})
})

// silentStore answers nothing.
type silentStore struct{ table }

func (silentStore) Get(ctx context.Context, _ rows.Range) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, kind.Wrap(kind.Lost, ctx.Err(), "store")
}

// A third of all calls that 34 instances made to the store on a quiet day were probes, 2.6 a
// second each, though other calls had just been answered.
var _ = Describe("a probe of the store", func() {
	It("is sent every 0.3 s while the store is away, however often that is looked at", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.division.set(1)
		s := &countedBusy{}
		n.storeClient.Direct = s
		ctx, cancel := context.WithTimeout(ctx, 3*probeEvery)
		defer cancel()
		n.probeStore(ctx)
		Expect(s.gets.Load()).To(BeNumerically("~", 3, 1))
	})

	It("is spared while other calls are answered, and the lease needs no watching", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.division.set(1)
		n.storeClient.Direct = table{}
		now := time.Now()
		n.storeClient.Now = func() time.Time { return now }
		n.probeLease(ctx, "")
		Expect(n.known("cell-0", now)).To(BeFalse(), "new here, and no owner is heard")
		n.listed.Store(true)
		Expect(n.known("cell-0", now)).To(BeTrue())
		now = now.Add(probeSpare - 1)
		Expect(n.known("cell-0", now)).To(BeTrue())
		now = now.Add(1)
		Expect(n.known("cell-0", now)).To(BeFalse())
	})
})
