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

// fake is a store that answers after a while, or turns calls away.
type fake struct {
	after time.Duration
	err   error
	calls atomic.Int64
}

func (f *fake) answer(ctx context.Context) error {
	f.calls.Add(1)
	select {
	case <-time.After(f.after):
		return f.err
	case <-ctx.Done():
		return kind.Wrap(kind.Lost, ctx.Err(), "store")
	}
}

func (f *fake) Tx(ctx context.Context, _ Tx) (Result, error) { return Result{Ver: 1}, f.answer(ctx) }
func (f *fake) Get(ctx context.Context, _ Range) (Page, error) {
	return Page{Ver: 1}, f.answer(ctx)
}
func (f *fake) Feed(ctx context.Context, _ Since) (Page, error) { return Page{Ver: 1}, f.answer(ctx) }

// pair returns a client whose peer reaches the store through another client.
func pair(own, peers *fake) *Client {
	peer := &Client{Direct: peers, Now: time.Now}
	return &Client{Direct: own, Now: time.Now, Carry: peer.Serve}
}

// paged answers page by page, while others write.
type paged struct {
	Store
	pages []Page
}

func (p *paged) Get(context.Context, Range) (Page, error) {
	page := p.pages[0]
	p.pages = p.pages[1:]
	return page, nil
}

var _ = Describe("a reading of several pages", func() {
	It("bears the version of the first, as what is written meanwhile may be missing", func(ctx context.Context) {
		row := func(name string) Row { return Row{Key: Key{Name: name}} }
		p := &paged{pages: []Page{{Rows: []Row{row("b")}, More: true, Ver: 7}, {Rows: []Row{row("c")}, Ver: 9}}}
		all, ver, err := All(ctx, p, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(2))
		Expect(ver).To(BeEquivalentTo(7))
	})
})

var _ = Describe("a store client", func() {
	It("goes to the store itself while that answers", func(ctx context.Context) {
		own, peers := &fake{}, &fake{}
		c := pair(own, peers)
		_, err := c.Tx(ctx, Tx{})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.DirectOK()).To(BeTrue())
		Expect(peers.calls.Load()).To(BeZero())
	})

	It("goes by a peer as well once the store is silent, and stays with it until a probe has an answer", func(ctx context.Context) {
		own, peers := &fake{after: time.Minute}, &fake{}
		c := pair(own, peers)
		begun := time.Now()
		_, err := c.Get(ctx, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically("<", 2*hedgeLeast))
		Eventually(c.isAway).Should(BeTrue())
		before := own.calls.Load()
		_, err = c.Get(ctx, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(own.calls.Load()).To(Equal(before), "the store is left alone")
		own.after = 0
		c.Probe(ctx, Range{})
		Expect(c.isAway()).To(BeFalse())
	})

	It("goes by a peer when the store turns it away", func(ctx context.Context) {
		c := pair(&fake{err: kind.New(kind.Unavailable, "busy")}, &fake{})
		res, err := c.Tx(ctx, Tx{})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Ver).To(Equal(uint64(1)))
		Expect(c.Reachable()).To(BeTrue())
		Expect(c.DirectOK()).To(BeFalse())
	})

	It("does not send a write again whose answer was lost", func(ctx context.Context) {
		own, peers := &fake{err: kind.New(kind.Lost, "no answer")}, &fake{}
		_, err := pair(own, peers).Tx(ctx, Tx{})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(own.calls.Load() + peers.calls.Load()).To(Equal(int64(1)))
	})

	It("says so when the store is reached in no way", func(ctx context.Context) {
		gone := kind.New(kind.Unavailable, "busy")
		c := pair(&fake{err: gone}, &fake{err: gone})
		_, err := c.Get(ctx, Range{})
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(c.Reachable()).To(BeFalse())
	})
})

// trickle is a store whose answer comes in for some time, or stops.
type trickle struct {
	Store
	parts int
	stops bool
}

func (t *trickle) Get(ctx context.Context, _ Range) (Page, error) {
	for range t.parts {
		select {
		case <-time.After(100 * time.Millisecond):
			stall.Moved(ctx)
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

// A configuration of 1 MB did not come through links of 10 Mbit/s: each transfer was
// broken off after 1.5 s in whole, begun again, and asked of a peer besides after 0.1 s.
var _ = Describe("a large answer over a thin link", func() {
	It("is let in for as long as it comes, and not asked of a peer as well", func(ctx context.Context) {
		peers := &fake{}
		c := &Client{Direct: &trickle{parts: 20}, Now: time.Now, Carry: (&Client{Direct: peers, Now: time.Now}).Serve}
		begun := time.Now()
		_, err := c.Get(ctx, Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically(">", directTime))
		Expect(peers.calls.Load()).To(BeZero())
		Expect(c.Patience()).To(Equal(patienceLeast), "the store itself is as fast as before")
	})

	It("shows while it comes that the store answers", func(ctx context.Context) {
		c := &Client{Direct: &trickle{parts: 20}, Now: time.Now}
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			_, err := c.DirectOnly(nil).Get(ctx, Range{})
			Expect(err).NotTo(HaveOccurred())
		}()
		Eventually(c.DirectOK).Should(BeTrue())
		Consistently(c.DirectOK, time.Second).Should(BeTrue())
		<-done
	})

	It("is given up when nothing more comes", func(ctx context.Context) {
		c := &Client{Direct: &trickle{parts: 2, stops: true}, Now: time.Now}
		begun := time.Now()
		_, err := c.DirectOnly(nil).Get(ctx, Range{})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("~", directTime, time.Second))
	})
})

var _ = Describe("a call that is carried for a peer", func() {
	It("says nothing of the store when the peer stops waiting", func(ctx context.Context) {
		c := &Client{Direct: &fake{after: 300 * time.Millisecond}, Now: time.Now}
		asked, cancel := context.WithCancel(ctx)
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := c.Serve(asked, []byte(`{"get":{"t":"x"}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.isAway()).To(BeFalse())
	})
})

// failing fails one of its readings.
type failing struct {
	Store
	asked []string
	fails int
}

func (f *failing) Get(_ context.Context, r Range) (Page, error) {
	f.asked = append(f.asked, r.From)
	if len(f.asked) == f.fails {
		return Page{}, kind.New(kind.Lost, "too slow")
	}
	page := Page{Rows: []Row{{Key: Key{Name: r.From + "a"}}}, Ver: uint64(6 + len(f.asked))}
	page.More = len(f.asked) < 4
	return page, nil
}

var _ = Describe("a reading of several pages that fails", func() {
	It("goes on where it was", func(ctx context.Context) {
		f := &failing{fails: 3}
		var p Reading
		Expect(p.Read(ctx, f, Range{})).NotTo(Succeed())
		Expect(p.Done).To(BeFalse())
		Expect(p.Read(ctx, f, Range{})).To(Succeed())
		Expect(f.asked).To(Equal([]string{"", "a\x00", "a\x00a\x00", "a\x00a\x00"}))
		Expect(p.Rows).To(HaveLen(3))
		Expect(p.Ver).To(BeEquivalentTo(7), "the version is that of the first page")
	})
})

// mixed answers calls for some tables only.
type mixed struct {
	Store
	silent string
}

func (m mixed) Get(ctx context.Context, r Range) (Page, error) {
	if r.Table == m.silent {
		<-ctx.Done()
		return Page{}, kind.Wrap(kind.Lost, ctx.Err(), "store")
	}
	return Page{Ver: 1}, nil
}

var _ = Describe("a call on a connection that has gone silent", func() {
	It("does not turn others away from a store that answers them", func(ctx context.Context) {
		c := &Client{Direct: mixed{silent: "x"}, Now: time.Now}
		go func() {
			time.Sleep(directTime / 2)
			_, _ = c.DirectOnly(nil).Get(ctx, Range{Table: "y"})
		}()
		_, err := c.DirectOnly(nil).Get(ctx, Range{Table: "x"})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(c.isAway()).To(BeFalse())
		_, err = c.DirectOnly(nil).Get(ctx, Range{Table: "x"})
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(c.isAway()).To(BeTrue(), "nobody was answered meanwhile")
	})
})

// slowFeed is a store that answers readings at once and waits for changes.
type slowFeed struct{ fake }

func (f *slowFeed) Feed(_ context.Context, s Since) (Page, error) {
	time.Sleep(s.Wait)
	return Page{Ver: s.Ver}, nil
}

var _ = Describe("the wait for a change", func() {
	It("does not count as how long the store takes", func(ctx context.Context) {
		c := &Client{Direct: &slowFeed{}, Now: time.Now}
		// What an instance without a cell does in 4.5 s: feed waits of 0.9 s, and probes every 0.3 s.
		for range 5 {
			_, err := c.DirectOnly(nil).Feed(ctx, Since{Wait: 900 * time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			for range 3 {
				_, err = c.Probe(ctx, Range{})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(c.hedgeAfter(Call{Get: &Range{}}, false)).To(Equal(hedgeLeast))
		Expect(c.Patience()).To(Equal(patienceLeast))
	})
})
