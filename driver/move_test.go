// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"encoding/json"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/capacity"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/quota"
	"dewpass.org/rows"
)

// otherCell is an Elsewhere with one other cell.
type otherCell struct{ moved []string }

func (o *otherCell) Cell(capacity.Job) string        { return "other" }
func (o *otherCell) Hall(string, string) string      { return "h" }
func (o *otherCell) Moved(spec *flow.Spec, _ uint64) { o.moved = append(o.moved, spec.ID) }
func (o *otherCell) AllLend() bool                   { return true }
func (o *otherCell) ExchangeGifts(context.Context, *Driver, func(string) bool) []Gifts {
	return nil
}
func (o *otherCell) AskQuota(context.Context, string, quota.Need, []quota.Offered) []QuotaAnswer {
	return nil
}

func mustPut(t *memStore, all ...rows.Row) (v uint64) { return mustTx(t, rows.Tx{Put: all}) }

func mustTx(t *memStore, tx rows.Tx) uint64 {
	ginkgo.GinkgoHelper()
	res, err := t.Tx(context.Background(), tx)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Refused).To(BeFalse())
	return res.Ver
}

// unansweredStore carries out writes, or has them carried out later, without an answer.
type unansweredStore struct {
	*memStore
	lose, late bool
	later      []rows.Tx
}

func (s *unansweredStore) Tx(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	switch {
	case s.late:
		s.later = append(s.later, tx)
	case s.lose:
		_, _ = s.memStore.Tx(ctx, tx)
	default:
		return s.memStore.Tx(ctx, tx)
	}
	return rows.Result{}, kind.New(kind.Lost, "no answer")
}

var _ = ginkgo.Describe("a job that moves to another cell", func() {
	spec := &flow.Spec{ID: "1", Cell: "c", Queue: "q", Account: "a", Steps: []flow.Step{{Count: 2}}, AcceptedMS: time.Now().UnixMilli()}
	moving := &flow.Record{State: flow.Moving, Was: flow.Running, To: "other", Stages: []flow.StageRecord{{Done: flow.BitSet{1}}}}
	// owner returns an owner that has read a store in which the job's record says that it moves.
	owner := func(ctx context.Context, t *memStore) (*Driver, *otherCell) {
		mustPut(t, rows.Row{Key: SpecKey("1"), Value: flow.EncodeSpec(spec)}, rows.Row{Key: HomeKey("1"), Value: HomeValue(spec)}, rows.Row{Key: RecordKey("c", "1"), Value: flow.EncodeRecord(moving)})
		d := newDriver(ctx, t, func() {})
		o := &otherCell{}
		d.Elsewhere = o
		Expect(d.load()).To(BeTrue())
		return d, o
	}
	stored := func(t *memStore) *flow.Spec {
		now, err := flow.DecodeSpec(t.rows[SpecKey("1")].Value)
		Expect(err).NotTo(HaveOccurred())
		return now
	}
	wantMoved := func(t *memStore) {
		ginkgo.GinkgoHelper()
		Expect(HomeCells(t.rows[HomeKey("1")].Value)).To(Equal([]string{"other"}))
		Expect(HomeAccess(t.rows[HomeKey("1")].Value).Permits("a")).To(BeTrue())
		Expect(HomeAccess(t.rows[HomeKey("1")].Value).Permits("b")).To(BeFalse())
		Expect(stored(t)).To(SatisfyAll(HaveField("Cell", "other"), HaveField("Hall", "h"), HaveField("Moves", 1)))
		Expect(stored(t).Progress.TasksDone()).To(Equal(1))
	}

	// The owner that began a move was killed between its two writes: the job stayed in no cell.
	ginkgo.It("is moved by the next owner of its former cell", func(ctx context.Context) {
		t := newMemStore()
		d, o := owner(ctx, t)
		Expect(d.cell.Moving("1")).To(BeTrue())
		d.finishMoves()
		wantMoved(t)
		Expect(o.moved).To(Equal([]string{"1"}))
		Expect(d.commitOnce(false)).To(BeTrue())
		Expect(t.has(RecordKey("c", "1"))).To(BeFalse())
		Expect(d.Cancel(ctx, "1")).To(MatchError(ContainSubstring("no such job")))
	})

	ginkgo.It("is moved once, although a write that moves it has no answer", func(ctx context.Context) {
		t := newMemStore()
		d, o := owner(ctx, t)
		s := &unansweredStore{memStore: t, lose: true}
		d.Store = s
		d.finishMoves()
		wantMoved(t)
		Expect(d.cell.Moving("1")).To(BeTrue())
		s.lose = false
		ver := t.rows[HomeKey("1")].Ver
		d.finishMoves()
		Expect(t.rows[HomeKey("1")].Ver).To(Equal(ver))
		Expect(d.cell.Known("1")).To(BeFalse())
		Expect(o.moved).To(BeEmpty(), "the other cell's owner finds it by its home row")
	})

	ginkgo.It("is moved once, although such a write is carried out late", func(ctx context.Context) {
		t := newMemStore()
		d, _ := owner(ctx, t)
		s := &unansweredStore{memStore: t, late: true}
		d.Store = s
		d.finishMoves()
		s.late = false
		d.finishMoves()
		wantMoved(t)
		ver := t.rows[HomeKey("1")].Ver
		Expect(s.later).To(HaveLen(1))
		res, err := t.Tx(ctx, s.later[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Refused).To(BeTrue())
		Expect(t.rows[HomeKey("1")].Ver).To(Equal(ver))
	})

	// An instance that was slow reported the job to its former cell, which ran it beside the other one.
	ginkgo.It("is not taken again by its former cell as it was before", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		ver := mustPut(t, rows.Row{Key: SpecKey("1"), Value: flow.EncodeSpec(spec)}, rows.Row{Key: HomeKey("1"), Value: HomeValue(spec)})
		Expect(d.Adopt(spec, ver)).To(Succeed())
		o := &otherCell{}
		d.Elsewhere = o
		d.beginMove("1", "other")
		Expect(d.commitOnce(false)).To(BeTrue())
		d.finishMoves()
		Expect(o.moved).To(Equal([]string{"1"}))
		Expect(d.Adopt(spec, ver)).To(Succeed())
		d.addFound([]rows.Row{{Key: SpecKey("1"), Value: flow.EncodeSpec(spec), Ver: ver}})
		Expect(d.cell.Known("1")).To(BeFalse())
		Expect(kind.Is(d.Adopt(stored(t), ver+2), kind.Conflict)).To(BeTrue(), "it belongs to the other cell")
	})

	ginkgo.It("may come back, and keeps its new record then", func(ctx context.Context) {
		t := newMemStore()
		d, _ := owner(ctx, t)
		d.finishMoves()
		Expect(d.staleRecords).To(Equal([]string{"1"}))
		back := *stored(t)
		back.Cell, back.Moves = "c", 2
		ver := mustPut(t, rows.Row{Key: SpecKey("1"), Value: flow.EncodeSpec(&back)}, rows.Row{Key: HomeKey("1"), Value: HomeValue(&back)})
		Expect(d.Adopt(&back, ver)).To(Succeed())
		Expect(d.commitOnce(false)).To(BeTrue())
		Expect(d.commitOnce(true)).To(BeTrue())
		rec, err := flow.DecodeRecord(t.rows[RecordKey("c", "1")].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(rec).To(SatisfyAll(HaveField("State", flow.Running), HaveField("Moves", 2)))
	})

	// What another cell had done since was taken for not done, as an old record was read.
	ginkgo.It("is restored from what it brings, not from a record of before it left", func(ctx context.Context) {
		t := newMemStore()
		back := *spec
		back.Moves, back.Progress = 2, &flow.Record{State: flow.Running, Moves: 2, Stages: []flow.StageRecord{{Done: flow.BitSet{3}}}}
		mustPut(t, rows.Row{Key: SpecKey("1"), Value: flow.EncodeSpec(&back)}, rows.Row{Key: HomeKey("1"), Value: HomeValue(&back)}, rows.Row{Key: RecordKey("c", "1"), Value: flow.EncodeRecord(moving)})
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		Expect(d.cell.Moving("1")).To(BeFalse())
		Expect(d.commitOnce(true)).To(BeTrue())
		s, _ := d.State("1")
		Expect(s).To(Equal(flow.Succeeded), "both tasks were done")
	})

	// Such a move was done, the job came back, and the former attempt moved its old state again.
	ginkgo.It("is left alone by an attempt of before it came back", func(ctx context.Context) {
		t := newMemStore()
		d, _ := owner(ctx, t)
		back := *spec
		back.Moves, back.Progress = 2, &flow.Record{State: flow.Running, Moves: 2, Stages: []flow.StageRecord{{Done: flow.BitSet{1}}}}
		ver := mustPut(t, rows.Row{Key: SpecKey("1"), Value: flow.EncodeSpec(&back)}, rows.Row{Key: HomeKey("1"), Value: HomeValue(&back)})
		d.finishMoves()
		Expect(t.rows[HomeKey("1")].Ver).To(Equal(ver))
		Expect(d.cell.Holds("1")).To(BeTrue())
		Expect(d.cell.Moving("1")).To(BeFalse())
	})

	// A build that knows nothing of moves would start again what was done in the former cell.
	ginkgo.It("is not readable to builds that know nothing of moves", func(ctx context.Context) {
		t := newMemStore()
		d, _ := owner(ctx, t)
		d.finishMoves()
		var before flow.Spec
		Expect(json.Unmarshal(t.rows[SpecKey("1")].Value, &before)).To(Succeed())
		Expect(before.Check()).NotTo(Succeed())
	})
})
