// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/quota"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

// lender is an Elsewhere whose other cells are drivers.
type lender struct {
	otherCell
	others []*Driver
	old    bool
}

func (l *lender) ExchangeGifts(ctx context.Context, d *Driver, due func(string) bool) (out []Gifts) {
	for _, o := range l.others {
		if !due(o.Name) {
			continue
		}
		given, err := d.GiftsTo(ctx, o.Name)
		if err != nil {
			continue
		}
		o.ReceiveGifts(d.Name, given)
		if gifts, err := o.GiftsTo(ctx, d.Name); err == nil {
			out = append(out, Gifts{Cell: o.Name, Gifts: gifts})
		}
	}
	return out
}

func (l *lender) AllLend() bool { return !l.old }

func (l *lender) AskQuota(ctx context.Context, from string, n quota.Need, takes []quota.Offered) (out []QuotaAnswer) {
	for _, d := range l.others {
		take := int64(0)
		for _, t := range takes {
			if t.Cell == d.Name {
				take = t.Shares
			}
		}
		if a, err := d.GiveQuota(ctx, from, n, take); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// silentBeside is a lender beside a cell that answers no question.
type silentBeside struct{ lender }

func (s *silentBeside) AskQuota(ctx context.Context, from string, n quota.Need, takes []quota.Offered) []QuotaAnswer {
	out := s.lender.AskQuota(ctx, from, n, takes)
	if len(takes) == 0 {
		<-ctx.Done()
	}
	return out
}

// newLendingOwner returns an owner of one of two cells that has read its part of a store.
func newLendingOwner(ctx context.Context, t *memStore, name string, e Elsewhere) *Driver {
	ginkgo.GinkgoHelper()
	c := newDriver(ctx, t, func() {}).Config
	c.Name, c.Cells, c.Elsewhere = name, 2, e
	c.Claim = &claim.Claim{Store: t, Cell: name, Owner: "me", Boot: "b"}
	lease, err := c.Claim.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.Claim.Take(ctx, lease)).To(Succeed())
	d := New(c)
	d.Configure([]cell.Queue{{Name: "q"}}, cell.Account{Name: "a", Limit: sched.Vec{sched.MilliCPU: 16}})
	Expect(d.load()).To(BeTrue())
	return d
}

var _ = ginkgo.Describe("shares of a client account's limit", func() {
	need := quota.Need{Account: "a", Shares: 100, Least: 100}

	// Both cells would count shares of which the store does not know that they were given.
	ginkgo.It("are told as given only once the store has it", func(ctx context.Context) {
		t := newMemStore()
		d := newLendingOwner(ctx, t, "giver", &lender{})
		at, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := d.GiveQuota(at, "taker", need, 100)
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue(), "no group commit was written")
		given := d.cell.Quota("a")
		Expect(given.Excess()).To(Equal(int64(-100)), "they are not used here any more")
		Expect(d.commitOnce(false)).To(BeTrue())
		a, err := d.GiveQuota(ctx, "taker", need, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Given).To(Equal(int64(100)), "the answer that was lost")
	})

	ginkgo.It("are those that the store has for a next owner, of either cell", func(ctx context.Context) {
		t := newMemStore()
		giver := newLendingOwner(ctx, t, "giver", &lender{})
		_ = giver.cell.GiveQuota(need, "taker", 100, time.Now(), time.Now())
		Expect(giver.commitOnce(false)).To(BeTrue())
		_ = giver.cell.GiveQuota(need, "taker", 7, time.Now(), time.Now())

		next := newLendingOwner(ctx, t, "giver", &lender{})
		l := next.cell.Quota("a")
		Expect(l.Given).To(Equal(map[string]int64{"taker": 100}), "the other 7 were not told to anybody")

		taker := newLendingOwner(ctx, t, "taker", &lender{others: []*Driver{next}})
		Expect(taker.askForQuota(quota.Need{Account: "a", Shares: 1, Least: 1})).To(BeTrue())
		l = taker.cell.Quota("a")
		Expect(l.Excess()).To(Equal(int64(100)), "what was given before, without another gift")
		Expect(taker.commitOnce(false)).To(BeTrue())
		l = newLendingOwner(ctx, t, "taker", &lender{}).cell.Quota("a")
		Expect(l.Excess()).To(Equal(int64(100)))
	})

	// A cell that did not answer used up the time in which shares of others were to be taken.
	ginkgo.It("are taken from cells that answer, beside one that does not", func(ctx context.Context) {
		t := newMemStore()
		giver := newLendingOwner(ctx, t, "giver", &lender{})
		giver.spawn(giver.commitLoop)
		defer giver.Close()
		taker := newLendingOwner(ctx, t, "taker", &silentBeside{lender{others: []*Driver{giver}}})
		Expect(taker.askForQuota(need)).To(BeTrue())
		l := taker.cell.Quota("a")
		Expect(l.Excess()).To(Equal(int64(100)))
	})

	// A cell whose new owner did not know that it had all shares, and needed none, left all others waiting
	// for ever.
	ginkgo.It("are known to a next owner of the taker that needs none", func(ctx context.Context) {
		t := newMemStore()
		giver := newLendingOwner(ctx, t, "giver", &lender{})
		e := &lender{others: []*Driver{giver}}
		Expect(giver.cell.GiveQuota(need, "taker", 100, time.Now(), time.Now())).To(Equal(int64(100)))
		Expect(giver.commitOnce(false)).To(BeTrue())
		taker := newLendingOwner(ctx, t, "taker", e)
		Expect(taker.exchangeDue()).To(BeTrue())
		Expect(taker.exchangeGifts()).To(BeTrue())
		l := taker.cell.Quota("a")
		Expect(l.Excess()).To(Equal(int64(100)))
	})

	ginkgo.It("are known to the cell that gets them back, and after an answer that was lost", func(ctx context.Context) {
		t := newMemStore()
		giver := newLendingOwner(ctx, t, "giver", &lender{})
		taker := newLendingOwner(ctx, t, "taker", &lender{others: []*Driver{giver}})
		Expect(taker.exchangeGifts()).To(BeTrue())
		Expect(giver.exchangeDue()).To(BeFalse(), "it was told in the same exchange")
		taker.noteUnanswered([]quota.Offered{{Cell: "giver", Shares: 100}}, nil)
		Expect(giver.cell.GiveQuota(need, "taker", 100, time.Now(), time.Now())).To(Equal(int64(100)))
		Expect(giver.commitOnce(false)).To(BeTrue())
		Expect(taker.exchangeDue()).To(BeTrue())
		Expect(taker.exchangeGifts()).To(BeTrue())
		taker.returnQuotas(0)
		Expect(taker.exchangeDue()).To(BeTrue())
		Expect(taker.commitOnce(false)).To(BeTrue())
		Expect(taker.exchangeGifts()).To(BeTrue())
		for _, d := range []*Driver{giver, taker} {
			l := d.cell.Quota("a")
			Expect(l.Excess()).To(BeZero(), d.Name)
		}
	})

	ginkgo.It("are kept as given after a commit that was refused", func(ctx context.Context) {
		t := newMemStore()
		d := newLendingOwner(ctx, t, "giver", &lender{})
		_ = d.cell.GiveQuota(need, "taker", 100, time.Now(), time.Now())
		d.mu.Lock()
		g, found := d.collectGroup()
		Expect(found).To(BeTrue())
		d.committed(g, false)
		d.mu.Unlock()
		Expect(d.storedGift("a", "taker")).To(BeZero())
		Expect(d.commitOnce(false)).To(BeTrue())
		Expect(d.storedGift("a", "taker")).To(Equal(int64(100)))
	})

	// A gift of a former owner that the store carries out late would take shares away that the next owner
	// uses.
	ginkgo.It("are not given by a former owner", func(ctx context.Context) {
		t := newMemStore()
		former := newLendingOwner(ctx, t, "giver", &lender{})
		former.OnLeaseLost = func() {}
		_ = former.cell.GiveQuota(need, "taker", 100, time.Now(), time.Now())
		next := newLendingOwner(ctx, t, "giver", &lender{})
		Expect(former.commitOnce(false)).To(BeFalse())
		l := newLendingOwner(ctx, t, "giver", &lender{}).cell.Quota("a")
		Expect(l.Given).To(BeEmpty())
		Expect(next.storedGift("a", "taker")).To(BeZero())
	})

	// An owner of an earlier build that takes the lender's cell counts with all that it had at first.
	ginkgo.It("go back to the cells that lent them while an instance knows of none", func(ctx context.Context) {
		t := newMemStore()
		giver := newLendingOwner(ctx, t, "giver", &lender{})
		e := &lender{others: []*Driver{giver}}
		taker := newLendingOwner(ctx, t, "taker", e)
		_ = giver.cell.GiveQuota(need, "taker", 100, time.Now(), time.Now())
		Expect(giver.commitOnce(false)).To(BeTrue())
		Expect(taker.askForQuota(need)).To(BeTrue())
		e.old = true
		taker.returnQuotas(0)
		l := taker.cell.Quota("a")
		Expect(l.Excess()).To(BeZero())
		Expect(l.Given).To(Equal(map[string]int64{"giver": 100}))
	})

	ginkgo.It("are neither written nor read where there is one cell", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		Expect(d.commitOnce(true)).To(BeTrue())
		Expect(t.rows).NotTo(HaveKey(HaveField("Name", HavePrefix(quotaPrefix))))
		Expect(t.rangesRead).NotTo(ContainElement(HaveField("From", quotaPrefix)))
	})

	// A cell that has given shares away must not count with them because its row was damaged.
	ginkgo.It("are none while the row that tells of them cannot be read", func(ctx context.Context) {
		t := newMemStore()
		d := newLendingOwner(ctx, t, "giver", &lender{})
		mustPut(t, rows.Row{Key: d.quotaKey("a"), Value: []byte("{")})
		next := newLendingOwner(ctx, t, "giver", &lender{})
		l := next.cell.Quota("a")
		Expect(l.Shares()).To(BeZero())
		l = next.cell.Quota("b")
		Expect(l.Shares()).NotTo(BeZero())
	})

	ginkgo.It("do not exceed what a group commit may hold", func(ctx context.Context) {
		t := newMemStore()
		d := newLendingOwner(ctx, t, "giver", &lender{})
		for i := range 3 * maxQuotasPerCommit {
			n := need
			n.Account = string(rune('A' + i))
			Expect(d.cell.GiveQuota(n, "taker", 1, time.Now(), time.Now())).To(Equal(int64(1)))
		}
		for range maxStalePerCommit {
			d.staleRecords = append(d.staleRecords, "gone")
		}
		for i := range 2 * maxSavesPerCommit {
			d.cell.Submit(&flow.Spec{ID: string(rune('A' + i)), Queue: "q", Steps: []flow.Step{{Count: 1}}}, time.Now(), time.Now())
			d.cell.Cancel(string(rune('A'+i)), time.Now())
		}
		d.mu.Lock()
		g, _ := d.collectGroup()
		d.mu.Unlock()
		Expect(len(g.tx.Put) + len(g.tx.Remove) + 2).To(BeNumerically("<=", rows.MaxEntries))
	})
})
