// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/stall"
	"dewpass.org/kind"
)

func TestRows(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rows")
}

// fakeStore is a store that responds after a delay, with an error if one is set.
type fakeStore struct {
	after time.Duration
	err   error
	calls atomic.Int64
}

func (f *fakeStore) answer(ctx context.Context) error {
	f.calls.Add(1)
	select {
	case <-time.After(f.after):
		return f.err
	case <-ctx.Done():
		return kind.Wrap(kind.Lost, ctx.Err(), "store")
	}
}

func (f *fakeStore) Tx(ctx context.Context, _ Tx) (Result, error) {
	return Result{Ver: 1}, f.answer(ctx)
}
func (f *fakeStore) Get(ctx context.Context, _ Range) (Page, error) {
	return Page{Ver: 1}, f.answer(ctx)
}
func (f *fakeStore) Feed(ctx context.Context, _ FeedQuery) (Page, error) {
	return Page{Ver: 1}, f.answer(ctx)
}

// clientWithPeer returns a client whose peer reaches the store through a client of its own.
func clientWithPeer(own, peers *fakeStore) *Client {
	peer := &Client{Direct: peers, Now: time.Now}
	return &Client{Direct: own, Now: time.Now, Relay: peer.ServeRelayed}
}

// pagedStore returns pages of increasing versions.
type pagedStore struct {
	Store
	pages []Page
}

func (p *pagedStore) Get(context.Context, Range) (Page, error) {
	page := p.pages[0]
	p.pages = p.pages[1:]
	return page, nil
}

var _ = Describe("reading several pages", func() {
	It("returns the version of the first page, because later writes may be missing", func(ctx context.Context) {
		row := func(name string) Row { return Row{Key: Key{Name: name}} }
		p := &pagedStore{pages: []Page{{Rows: []Row{row("b")}, More: true, Ver: 7}, {Rows: []Row{row("c")}, Ver: 9}}}
		all, ver, err := ReadAll(ctx, p, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(2))
		Expect(ver).To(BeEquivalentTo(7))
	})
})

var _ = Describe("a store client", func() {
	It("calls the store directly while it answers", func(ctx context.Context) {
		own, peers := &fakeStore{}, &fakeStore{}
		c := clientWithPeer(own, peers)
		_, err := c.Tx(ctx, Tx{})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.DirectlyReachable()).To(BeTrue())
		Expect(peers.calls.Load()).To(BeZero())
	})

	It("also uses a peer once the store is silent, and stays with it until a probe succeeds", func(ctx context.Context) {
		own, peers := &fakeStore{after: time.Minute}, &fakeStore{}
		c := clientWithPeer(own, peers)
		begun := time.Now()
		_, err := c.Get(ctx, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically("<", 2*minHedgeDelay))
		Eventually(c.isDirectDown).Should(BeTrue())
		before := own.calls.Load()
		_, err = c.Get(ctx, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(own.calls.Load()).To(Equal(before), "the store is not called directly")
		own.after = 0
		c.Probe(ctx, Range{})
		Expect(c.isDirectDown()).To(BeFalse())
	})

	It("uses a peer when the store refuses calls", func(ctx context.Context) {
		c := clientWithPeer(&fakeStore{err: kind.New(kind.Unavailable, "busy")}, &fakeStore{})
		res, err := c.Tx(ctx, Tx{})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Ver).To(Equal(uint64(1)))
		Expect(c.Reachable()).To(BeTrue())
		Expect(c.DirectlyReachable()).To(BeFalse())
	})

	It("does not resend a write whose response was lost", func(ctx context.Context) {
		own, peers := &fakeStore{err: kind.New(kind.Lost, "no answer")}, &fakeStore{}
		_, err := clientWithPeer(own, peers).Tx(ctx, Tx{})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(own.calls.Load() + peers.calls.Load()).To(Equal(int64(1)))
	})

	It("returns an error when the store is reachable neither directly nor through a peer", func(ctx context.Context) {
		busy := kind.New(kind.Unavailable, "busy")
		c := clientWithPeer(&fakeStore{err: busy}, &fakeStore{err: busy})
		_, err := c.Get(ctx, Range{})
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(c.Reachable()).To(BeFalse())
	})
})

// slowTransferStore sends its response in parts at intervals of 100 ms, the first of them at once,
// and may stall after the last one.
type slowTransferStore struct {
	Store
	parts int
	stops bool
}

func (t *slowTransferStore) Get(ctx context.Context, _ Range) (Page, error) {
	for range t.parts {
		stall.Progress(ctx)
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return Page{}, kind.Wrap(kind.Lost, ctx.Err(), "store")
		}
	}
	if t.stops {
		<-ctx.Done()
		return Page{}, kind.Wrap(kind.Lost, ctx.Err(), "store")
	}
	return Page{Ver: 1}, nil
}

// Guards against giving up transfers that make progress: a configuration of 1 MB could not be
// loaded over links of 10 Mbit/s, because each transfer was aborted after 1.5 s in total, begun
// again, and also requested from a peer after 0.1 s.
var _ = Describe("a large response over a slow link", func() {
	It("may take as long as data arrives, and is not requested from a peer as well", func(ctx context.Context) {
		peers := &fakeStore{}
		c := &Client{Direct: &slowTransferStore{parts: 20}, Now: time.Now, Relay: (&Client{Direct: peers, Now: time.Now}).ServeRelayed}
		begun := time.Now()
		_, err := c.Get(ctx, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically(">", directTimeout))
		Expect(peers.calls.Load()).To(BeZero())
		Expect(c.ResendDelay()).To(Equal(minResendDelay), "the transfer time does not count as latency")
	})

	It("counts as reaching the store while data arrives", func(ctx context.Context) {
		c := &Client{Direct: &slowTransferStore{parts: 20}, Now: time.Now}
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			_, err := c.DirectOnly(nil).Get(ctx, Range{})
			Expect(err).NotTo(HaveOccurred())
		}()
		Eventually(c.DirectlyReachable).Should(BeTrue())
		Consistently(c.DirectlyReachable, time.Second).Should(BeTrue())
		<-done
	})

	It("is aborted when no more data arrives", func(ctx context.Context) {
		c := &Client{Direct: &slowTransferStore{parts: 2, stops: true}, Now: time.Now}
		begun := time.Now()
		_, err := c.DirectOnly(nil).Get(ctx, Range{})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("~", directTimeout, time.Second))
	})
})

var _ = Describe("a call that is relayed for a peer", func() {
	It("does not count against the store when the peer cancels it", func(ctx context.Context) {
		c := &Client{Direct: &fakeStore{after: 300 * time.Millisecond}, Now: time.Now}
		asked, cancel := context.WithCancel(ctx)
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := c.ServeRelayed(asked, []byte(`{"get":{"t":"x"}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.isDirectDown()).To(BeFalse())
	})
})

// flakyStore fails the read with the number fails, counted from 1.
type flakyStore struct {
	Store
	asked []string
	fails int
}

func (f *flakyStore) Get(_ context.Context, r Range) (Page, error) {
	f.asked = append(f.asked, r.From)
	if len(f.asked) == f.fails {
		return Page{}, kind.New(kind.Lost, "too slow")
	}
	page := Page{Rows: []Row{{Key: Key{Name: r.From + "a"}}}, Ver: uint64(6 + len(f.asked))}
	page.More = len(f.asked) < 4
	return page, nil
}

var _ = Describe("reading several pages after an error", func() {
	It("continues where it stopped", func(ctx context.Context) {
		f := &flakyStore{fails: 3}
		var p RangeReader
		Expect(p.Read(ctx, f, Range{})).NotTo(Succeed())
		Expect(p.Done).To(BeFalse())
		Expect(p.Read(ctx, f, Range{})).To(Succeed())
		Expect(f.asked).To(Equal([]string{"", "a\x00", "a\x00a\x00", "a\x00a\x00"}))
		Expect(p.Rows).To(HaveLen(3))
		Expect(p.Ver).To(BeEquivalentTo(7), "the version is that of the first page")
	})
})

// partlySilentStore never responds to reads of one table.
type partlySilentStore struct {
	Store
	silent string
}

func (m partlySilentStore) Get(ctx context.Context, r Range) (Page, error) {
	if r.Table == m.silent {
		<-ctx.Done()
		return Page{}, kind.Wrap(kind.Lost, ctx.Err(), "store")
	}
	return Page{Ver: 1}, nil
}

var _ = Describe("a call on a stalled connection", func() {
	It("does not mark the store as down while it answers other calls", func(ctx context.Context) {
		c := &Client{Direct: partlySilentStore{silent: "x"}, Now: time.Now}
		go func() {
			time.Sleep(directTimeout / 2)
			_, _ = c.DirectOnly(nil).Get(ctx, Range{Table: "y"})
		}()
		_, err := c.DirectOnly(nil).Get(ctx, Range{Table: "x"})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(c.isDirectDown()).To(BeFalse())
		_, err = c.DirectOnly(nil).Get(ctx, Range{Table: "x"})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(c.isDirectDown()).To(BeTrue(), "no other call was answered meanwhile")
	})
})

// slowFeedStore responds to reads at once, and to Feed after the full wait.
type slowFeedStore struct{ fakeStore }

func (f *slowFeedStore) Feed(_ context.Context, s FeedQuery) (Page, error) {
	time.Sleep(s.Wait)
	return Page{Ver: s.Ver}, nil
}

var _ = Describe("waiting for a change", func() {
	It("does not count as latency of the store", func(ctx context.Context) {
		c := &Client{Direct: &slowFeedStore{}, Now: time.Now}
		// The calls of an instance without a cell within 4.5 s: feeds that wait 0.9 s, and a
		// probe every 0.3 s.
		for range 5 {
			_, err := c.DirectOnly(nil).Feed(ctx, FeedQuery{Wait: 900 * time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			for range 3 {
				_, err = c.Probe(ctx, Range{})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(c.hedgeDelay(RelayedCall{Get: &Range{}}, false)).To(Equal(minHedgeDelay))
		Expect(c.ResendDelay()).To(Equal(minResendDelay))
	})
})
