// SPDX-License-Identifier: Apache-2.0

package upkeep

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/rows"
)

func TestUpkeep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upkeep")
}

// fakePlatform is a platform whose machines change only through setMachine.
type fakePlatform struct {
	waves    []Wave
	machines []Machine
	orders   []Order
	answer   Answer
	err      error
	reported []bool
}

func (s *fakePlatform) Waves(context.Context) ([]Wave, error)       { return s.waves, nil }
func (s *fakePlatform) Machines(context.Context) ([]Machine, error) { return s.machines, nil }

func (s *fakePlatform) Begin(_ context.Context, o Order) (Answer, error) {
	s.orders = append(s.orders, o)
	return s.answer, s.err
}

func (s *fakePlatform) Report(_ context.Context, _ int, done bool) error {
	s.reported = append(s.reported, done)
	s.waves[0].Done = done
	return nil
}

// setMachine sets whether a machine is up, and the id of its worker.
func (s *fakePlatform) setMachine(i int, up bool, worker string) {
	s.machines[i].Up, s.machines[i].Worker = up, worker
}

// fakeCell is a cell whose workers count as evacuated unless they are busy.
type fakeCell struct {
	evacuating []string
	busy       map[string]bool
	ended      []string
	// born holds the start times of the present incarnations.
	born map[string]int64
	// away holds workers that are not certainly present.
	away map[string]bool
}

func (c *fakeCell) Evacuate(workers []string, _ time.Duration) { c.evacuating = workers }
func (c *fakeCell) Evacuated(w string) bool                    { return !c.busy[w] }
func (c *fakeCell) IncarnationEnded(w string, _ int64)         { c.ended = append(c.ended, w) }
func (c *fakeCell) Incarnation(w string) (int64, bool)         { return c.born[w], !c.away[w] }

// fakeStore is a store with one row.
type fakeStore struct {
	rows.Store
	row rows.Row
}

func (s *fakeStore) Get(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{Rows: []rows.Row{s.row}}, nil
}

func (s *fakeStore) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	if t.Expect[0].Ver != s.row.Ver {
		return rows.Result{Refused: true}, nil
	}
	s.row = rows.Row{Key: t.Put[0].Key, Value: t.Put[0].Value, Ver: s.row.Ver + 1}
	return rows.Result{Ver: s.row.Ver}, nil
}

// conflictingStore refuses every write because of a conflict.
type conflictingStore struct{ rows.Store }

func (conflictingStore) Tx(context.Context, rows.Tx) (rows.Result, error) {
	return rows.Result{Refused: true}, nil
}

// pausingStore calls a function after each write.
type pausingStore struct {
	*fakeStore
	written func()
}

func (s pausingStore) Tx(ctx context.Context, t rows.Tx) (rows.Result, error) {
	defer s.written()
	return s.fakeStore.Tx(ctx, t)
}

var _ = Describe("a wave", func() {
	var s *fakePlatform
	var c *fakeCell
	var r *Runner
	step := func() error { return r.Step(context.Background()) }

	BeforeEach(func() {
		s = &fakePlatform{
			waves: []Wave{{Number: 4, Machines: []string{"m0", "m1", "m2"}, MaxDown: 1, Duration: 30 * time.Second}},
			machines: []Machine{
				{Name: "m0", Worker: "w0", Up: true}, {Name: "m1", Worker: "w1", Up: true}, {Name: "m2", Worker: "w2", Up: true},
			},
		}
		c = &fakeCell{busy: make(map[string]bool), born: make(map[string]int64)}
		r = &Runner{
			Platform: s, Store: &fakeStore{}, Cell: c, Holder: "me", Fence: 3,
			OwnsRack: func(string) bool { return true }, Log: log.NewNopLogger(),
		}
	})

	It("takes down one machine after another, and is done when all have been down", func() {
		Expect(step()).To(Succeed())
		Expect(s.orders).To(Equal([]Order{{Machine: "m0", Wave: 4, Holder: "me", Fence: 3}}))
		Expect(c.ended).To(Equal([]string{"w0"}))
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "the list still shows the incarnation that has ended")
		s.setMachine(0, false, "w0")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "it is down")
		s.setMachine(0, true, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		s.setMachine(1, true, "w1b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
		Expect(step()).To(Succeed())
		Expect(s.reported).To(Equal([]bool{false, true}))
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
		Expect(c.evacuating).To(BeEmpty())
	})

	It("continues once a machine is back under the same worker id, and not before", func() {
		c.born = map[string]int64{"w0": 10, "w1": 11, "w2": 12}
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1))
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "the list still shows the incarnation that has ended")
		c.born["w0"] = 0
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "no incarnation is known")
		c.born["w0"], c.away = 5, map[string]bool{"w0": true}
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "the knowledge of a former owner may be older than the upkeep")
		c.born["w0"], c.away = 20, nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		c.born["w1"] = 21
		Expect(step()).To(Succeed())
		Expect(step()).To(Succeed())
		Expect(s.reported).To(Equal([]bool{false, true}))
	})

	It("does not mistake a restart under the same worker id for the upkeep, and does not end the new incarnation", func() {
		c.born["w0"] = 10
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		c.born["w0"], s.err = 20, nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2), "it is ordered again")
		Expect(c.ended).To(BeEmpty(), "the upkeep may be over, and the new incarnation continues")
	})

	// Guards against tasks that are started twice: an incarnation that began after the upkeep was taken
	// for the one that it ended, since only the last of the orders was on record.
	It("does not end the incarnation that follows the upkeep, however many responses are lost", func() {
		c.born["w0"] = 10
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		c.born["w0"] = 20
		Expect(step()).NotTo(Succeed())
		s.err = nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
		Expect(c.ended).To(BeEmpty(), "the first order may have begun the upkeep")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(4))
		Expect(s.orders[3].Machine).To(Equal("m1"), "m0 is up, so its upkeep is over")
	})

	// An owner that was paused while it took the slot ordered after the next owner had, under a lower fence.
	It("orders nothing if it may not any more once the slot is taken", func() {
		store := &fakeStore{}
		r.Store = pausingStore{store, func() { c.busy["w0"] = true }}
		Expect(step()).NotTo(Succeed())
		Expect(s.orders).To(BeEmpty())
		Expect(string(store.row.Value)).To(ContainSubstring("m0"), "the slot stays taken")
		c.busy["w0"] = false
		r.Store = store
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1))
	})

	It("waits until a worker is evacuated", func() {
		c.busy["w0"] = true
		Expect(step()).To(Succeed())
		Expect(s.orders).To(BeEmpty())
		Expect(c.evacuating).To(Equal([]string{"w0"}))
	})

	It("repeats an order whose response was lost, and does not mistake a new incarnation for the old one", func() {
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		s.setMachine(0, true, "w0b")
		s.err = nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		Expect(s.orders[1].Machine).To(Equal("m0"))
		Expect(c.ended).To(BeEmpty(), "w0b may have started after the upkeep")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3), "the upkeep was over, so the slot is free")
		Expect(s.orders[2].Machine).To(Equal("m1"))
	})

	It("keeps the slot while a repeated order may only just have begun", func() {
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		s.setMachine(0, true, "w0b")
		s.err = nil
		Expect(step()).To(Succeed())
		s.setMachine(0, false, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		s.setMachine(0, true, "w0c")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
	})

	It("does not touch machines of other cells", func() {
		r.OwnsRack = func(string) bool { return false }
		Expect(step()).To(Succeed())
		Expect(s.orders).To(BeEmpty())
	})

	It("orders nothing while another owner writes the record", func() {
		r.Store = conflictingStore{r.Store}
		Expect(kind.Is(step(), kind.Conflict)).To(BeTrue())
		Expect(s.orders).To(BeEmpty())
	})

	It("releases the slot of a machine that is not up, and skips one that does not belong to the wave", func() {
		s.answer = Busy
		Expect(step()).To(Succeed())
		Expect(c.ended).To(BeEmpty())
		s.answer = NotInWave
		Expect(step()).To(Succeed())
		Expect(s.orders[1].Machine).To(Equal("m0"))
		s.answer = Begun
		s.setMachine(0, true, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders[2].Machine).To(Equal("m1"))
	})

	// Guards against more machines down than the wave allows: the order without a response took effect
	// after the list was read, so that the next one was refused, and the slot was released.
	It("keeps the slot of a machine that refuses a repeated order, as the first one may have taken effect", func() {
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		s.err, s.answer = nil, Busy
		Expect(step()).To(Succeed())
		s.setMachine(0, false, "w0")
		s.answer = Begun
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2), "m0 may be down for its upkeep")
		s.setMachine(0, true, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
		Expect(s.orders[2].Machine).To(Equal("m0"))
		Expect(c.ended).To(BeEmpty(), "w0b may have started after the upkeep")
	})

	// Guards against a wave that never ends because a machine was taken away in its turn.
	It("does not wait for a machine that is gone after an order without a response", func() {
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		s.err, s.machines = nil, s.machines[1:]
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		Expect(s.orders[1].Machine).To(Equal("m1"))
	})

	It("respects a slot that another owner has taken", func() {
		Expect(step()).To(Succeed())
		other := *r
		other.OwnsRack = func(string) bool { return true }
		s.machines = s.machines[1:]
		s.machines = append(s.machines, Machine{Name: "m0", Worker: "w0", Up: false})
		Expect(other.Step(context.Background())).To(Succeed())
		Expect(s.orders).To(HaveLen(1))
	})

	It("is done without machines that no longer exist", func() {
		s.machines = nil
		Expect(step()).To(Succeed())
		Expect(s.reported).To(Equal([]bool{true}))
	})
})
