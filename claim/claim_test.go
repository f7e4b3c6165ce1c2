// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/rows"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

// table is a store of one row, with answers that can be lost.
type table struct {
	mu  sync.Mutex
	row rows.Row
	ver uint64
	// lose says of each write, in turn, whether it takes effect without an
	// answer (1), later (2), or never (3), or has no answer at all (4).
	lose []int
	late []rows.Tx
	// sent holds when each write came.
	sent []time.Time
	// clock is the store's, 0 if it has none.
	clock int64
	// slow is how long the answer to a write takes after it took effect.
	slow time.Duration
}

func (t *table) apply(tx rows.Tx) rows.Result {
	if tx.Expect[0].Ver != t.row.Ver {
		return rows.Result{Refused: true, Rows: []rows.Row{t.row}}
	}
	t.ver++
	t.row = tx.Put[0]
	t.row.Ver = t.ver
	return rows.Result{Ver: t.ver, ClockMS: t.clock}
}

func (t *table) Tx(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, time.Now())
	how := 0
	if len(t.lose) > 0 {
		how, t.lose = t.lose[0], t.lose[1:]
	}
	switch how {
	case 1:
		t.apply(tx)
		return rows.Result{}, kind.New(kind.Lost, "no answer")
	case 2:
		t.late = append(t.late, tx)
		return rows.Result{}, kind.New(kind.Lost, "no answer")
	case 4:
		t.mu.Unlock()
		<-ctx.Done()
		t.mu.Lock()
		return rows.Result{}, kind.New(kind.Lost, "no answer")
	case 3:
		return rows.Result{}, kind.New(kind.Lost, "no answer")
	}
	res := t.apply(tx)
	time.Sleep(t.slow)
	return res, nil
}

func (t *table) Get(context.Context, rows.Range) (rows.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.row.Ver == 0 {
		return rows.Page{ClockMS: t.clock}, nil
	}
	return rows.Page{Rows: []rows.Row{t.row}, Ver: t.ver, ClockMS: t.clock}, nil
}

func (t *table) Feed(context.Context, rows.Since) (rows.Page, error) { return rows.Page{}, nil }

func claimOf(s rows.Store, owner string) *Claim {
	return &Claim{Store: s, Cell: "c", Owner: owner, Boot: owner + "-boot", Addr: owner}
}

func take(ctx context.Context, c *Claim) {
	GinkgoHelper()
	lease, err := c.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.Take(ctx, lease)).To(Succeed())
}

var _ = Describe("a cell lease", func() {
	It("has one owner, whose writes others end", func(ctx context.Context) {
		t := &table{}
		a, b := claimOf(t, "a"), claimOf(t, "b")
		take(ctx, a)
		take(ctx, b)
		Expect(b.Epoch()).To(BeNumerically(">", a.Epoch()))
		_, err := a.Commit(ctx, rows.Tx{})
		Expect(kind.Is(err, kind.Fenced)).To(BeTrue())
		held, err := a.Held(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
	})

	It("is taken by one of two that saw it free", func(ctx context.Context) {
		t := &table{}
		a, b := claimOf(t, "a"), claimOf(t, "b")
		lease, _ := a.Read(ctx)
		Expect(a.Take(ctx, lease)).To(Succeed())
		Expect(kind.Is(b.Take(ctx, lease), kind.Fenced)).To(BeTrue())
	})

	It("is not shared by two whose boots were drawn alike", func(ctx context.Context) {
		t := &table{}
		a, b := claimOf(t, "a"), claimOf(t, "b")
		b.Boot = a.Boot
		lease, _ := a.Read(ctx)
		Expect(a.Take(ctx, lease)).To(Succeed())
		Expect(kind.Is(b.Take(ctx, lease), kind.Fenced)).To(BeTrue())
		held, err := b.Held(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
	})

	It("says for how long its owner gives orders, longer where writes are slow", func(ctx context.Context) {
		t := &table{}
		a := claimOf(t, "a")
		take(ctx, a)
		lease, _ := a.Read(ctx)
		Expect(lease.Silence()).To(Equal(ValidLeast + Margin))
		a.took = time.Second / 3
		_, err := a.Commit(ctx, rows.Tx{})
		Expect(err).NotTo(HaveOccurred())
		lease, _ = a.Read(ctx)
		Expect(lease.Silence()).To(BeNumerically("~", time.Second+Margin, 2*time.Millisecond))
		Expect(a.Written().Valid).To(BeNumerically("<", lease.Silence()))
	})

	// An owner was cut off, and for 0.73 to 0.86 s nothing started, though its lease was
	// over after 0.55 s: the others counted from when they first saw its last write.
	It("shows at the first look for how long it has gone unwritten", func(ctx context.Context) {
		t := &table{clock: 5000}
		a, b := claimOf(t, "a"), claimOf(t, "b")
		take(ctx, a)
		_, err := a.Commit(ctx, rows.Tx{})
		Expect(err).NotTo(HaveOccurred())
		t.clock += 700
		seen, err := b.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Unwritten).To(BeNumerically("<=", 700*time.Millisecond), "never longer than it is")
		Expect(seen.Unwritten).To(BeNumerically(">", 600*time.Millisecond))
	})

	It("is never written earlier than it says, however long the last answer took", func(ctx context.Context) {
		t := &table{clock: 5000, slow: 100 * time.Millisecond}
		a := claimOf(t, "a")
		take(ctx, a)
		first, _ := a.Read(ctx)
		Expect(first.WrittenMS).To(BeNumerically(">", 5000), "known from the reading before")
		begun := time.Now()
		_, err := a.Commit(ctx, rows.Tx{})
		Expect(err).NotTo(HaveOccurred())
		// By the store the clock showed 5000 when the answer before was made, a tenth of a
		// second before it came.
		second, _ := a.Read(ctx)
		Expect(second.WrittenMS).To(BeNumerically(">=", 5000+t.slow.Milliseconds()))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("names those that its owner does not hear, and excuses them for less time than they wait", func(ctx context.Context) {
		t := &table{}
		a := claimOf(t, "a")
		a.Absent = func() []string { return []string{"x"} }
		take(ctx, a)
		seen, err := a.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.SilenceFor("x")).To(Equal(seen.Silence() + AbsentWait))
		Expect(seen.SilenceFor("y")).To(Equal(seen.Silence()))
		w := a.Written()
		Expect(w.Excused(w.Begun)).To(Equal([]string{"x"}))
		Expect(w.Excused(w.Begun.Add(AbsentWait))).To(BeEmpty())
	})

	It("does not count as unwritten where the store's clock is not known", func(ctx context.Context) {
		t := &table{}
		a, b := claimOf(t, "a"), claimOf(t, "b")
		take(ctx, a)
		t.clock = 90_000
		seen, err := b.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Unwritten).To(BeZero())
	})

	It("settles a write whose answer was lost, done or not", func(ctx context.Context) {
		t := &table{}
		a := claimOf(t, "a")
		take(ctx, a)
		for _, how := range []int{1, 3} {
			before := t.ver
			t.lose = []int{how}
			_, err := a.Commit(ctx, rows.Tx{})
			Expect(err).NotTo(HaveOccurred())
			Expect(t.ver).To(Equal(before+1), "written once")
		}
	})

	It("sends a write again that is not there and has no answer", func(ctx context.Context) {
		t := &table{}
		a := claimOf(t, "a")
		take(ctx, a)
		t.lose, t.sent = []int{4, 4}, nil
		_, err := a.Commit(ctx, rows.Tx{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Written().Begun).To(BeTemporally("<=", t.sent[0]), "the first may have been the one that took effect")
	}, SpecTimeout(10*time.Second))

	It("is released although an earlier write comes late", func(ctx context.Context) {
		t := &table{}
		a := claimOf(t, "a")
		take(ctx, a)
		// The answer of this write is never waited for, as at a planned stop.
		t.lose = []int{2, 3, 3, 3}
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		_, err := a.Commit(short, rows.Tx{})
		cancel()
		Expect(err).To(HaveOccurred())
		t.lose = nil
		t.apply(t.late[0])
		Expect(a.Release(ctx)).To(Succeed())
		lease, _ := a.Read(ctx)
		Expect(lease.Owner).To(BeEmpty())
	})
})

var _ = Describe("the store's clock", func() {
	It("is never taken for earlier than it may be, also long after its last answer", func() {
		asked := time.Now()
		c := storeClock{ms: 1000, asked: asked}
		// The store's clock may have run up to 3% faster than this one since.
		Expect(c.latest(asked.Add(10 * time.Second))).To(BeNumerically(">=", 1000+10_300))
		Expect(c.latest(asked)).To(BeNumerically(">", 1000), "it may have shown almost a millisecond more")
		Expect(storeClock{}.latest(asked)).To(BeZero())
	})
})
