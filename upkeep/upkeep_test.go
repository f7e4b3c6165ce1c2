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

// site is a platform with machines, of which the upkeep takes until back is called.
type site struct {
	waves    []Wave
	machines []Machine
	orders   []Order
	answer   Answer
	err      error
	reported []bool
}

func (s *site) Waves(context.Context) ([]Wave, error)       { return s.waves, nil }
func (s *site) Machines(context.Context) ([]Machine, error) { return s.machines, nil }

func (s *site) Begin(_ context.Context, o Order) (Answer, error) {
	s.orders = append(s.orders, o)
	return s.answer, s.err
}

func (s *site) Report(_ context.Context, _ int, done bool) error {
	s.reported = append(s.reported, done)
	s.waves[0].Done = done
	return nil
}

// set lets a machine be up or not, with a life.
func (s *site) set(i int, up bool, worker string) {
	s.machines[i].Up, s.machines[i].Worker = up, worker
}

// cell is a cell whose workers are emptied unless they are busy.
type cell struct {
	emptied []string
	busy    map[string]bool
	over    []string
	// lives are the present lives of workers that say when they began.
	lives map[string]int64
	// away are workers that are not there now.
	away map[string]bool
}

func (c *cell) Empty(workers []string, _ time.Duration) { c.emptied = workers }
func (c *cell) Emptied(w string) bool                   { return !c.busy[w] }
func (c *cell) Over(w string, _ int64)                  { c.over = append(c.over, w) }
func (c *cell) Life(w string) (int64, bool)             { return c.lives[w], !c.away[w] }

// shelf is a store of one row.
type shelf struct {
	rows.Store
	row rows.Row
}

func (s *shelf) Get(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{Rows: []rows.Row{s.row}}, nil
}

func (s *shelf) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	if t.Expect[0].Ver != s.row.Ver {
		return rows.Result{Refused: true}, nil
	}
	s.row = rows.Row{Key: t.Put[0].Key, Value: t.Put[0].Value, Ver: s.row.Ver + 1}
	return rows.Result{Ver: s.row.Ver}, nil
}

// refusing is a store whose rows are always newer.
type refusing struct{ rows.Store }

func (refusing) Tx(context.Context, rows.Tx) (rows.Result, error) {
	return rows.Result{Refused: true}, nil
}

var _ = Describe("a wave", func() {
	var s *site
	var c *cell
	var r *Runner
	step := func() error { return r.Step(context.Background()) }

	BeforeEach(func() {
		s = &site{
			waves: []Wave{{Number: 4, Machines: []string{"m0", "m1", "m2"}, Most: 1, Time: 30 * time.Second}},
			machines: []Machine{
				{Name: "m0", Worker: "w0", Up: true}, {Name: "m1", Worker: "w1", Up: true}, {Name: "m2", Worker: "w2", Up: true},
			},
		}
		c = &cell{busy: make(map[string]bool), lives: make(map[string]int64)}
		r = &Runner{
			Platform: s, Store: &shelf{}, Cell: c, Holder: "me", Fence: 3,
			Mine: func(string) bool { return true }, Log: log.NewNopLogger(),
		}
	})

	It("has one machine after another down, and is done when all have been", func() {
		Expect(step()).To(Succeed())
		Expect(s.orders).To(Equal([]Order{{Machine: "m0", Wave: 4, Holder: "me", Fence: 3}}))
		Expect(c.over).To(Equal([]string{"w0"}))
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "the list still shows the life that has ended")
		s.set(0, false, "w0")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "it is down")
		s.set(0, true, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		s.set(1, true, "w1b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
		Expect(step()).To(Succeed())
		Expect(s.reported).To(Equal([]bool{false, true}))
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
		Expect(c.emptied).To(BeEmpty())
	})

	It("goes on where a machine is back under the worker's id, and not before", func() {
		c.lives = map[string]int64{"w0": 10, "w1": 11, "w2": 12}
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1))
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "the list still shows the life that has ended")
		c.lives["w0"] = 0
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "nobody is there")
		c.lives["w0"], c.away = 5, map[string]bool{"w0": true}
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(1), "what a former owner knew may be of before")
		c.lives["w0"], c.away = 20, nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		c.lives["w1"] = 21
		Expect(step()).To(Succeed())
		Expect(step()).To(Succeed())
		Expect(s.reported).To(Equal([]bool{false, true}))
	})

	It("takes a worker that has started again under its id by itself for no upkeep, and for no life that it ended", func() {
		c.lives["w0"] = 10
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		c.lives["w0"], s.err = 20, nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2), "it is ordered again")
		Expect(c.over).To(BeEmpty(), "the upkeep may be over, and the new life goes on")
	})

	It("waits for a worker to be empty", func() {
		c.busy["w0"] = true
		Expect(step()).To(Succeed())
		Expect(s.orders).To(BeEmpty())
		Expect(c.emptied).To(Equal([]string{"w0"}))
	})

	It("gives an order again whose answer was lost, and does not take a new life for the old", func() {
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		s.set(0, true, "w0b")
		s.err = nil
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		Expect(s.orders[1].Machine).To(Equal("m0"))
		Expect(c.over).To(BeEmpty(), "w0b may have come with the upkeep")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3), "it was over: the slot is free")
		Expect(s.orders[2].Machine).To(Equal("m1"))
	})

	It("keeps the slot while an order that was given again may just have begun", func() {
		s.err = kind.New(kind.Lost, "no answer")
		Expect(step()).NotTo(Succeed())
		s.set(0, true, "w0b")
		s.err = nil
		Expect(step()).To(Succeed())
		s.set(0, false, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(2))
		s.set(0, true, "w0c")
		Expect(step()).To(Succeed())
		Expect(s.orders).To(HaveLen(3))
	})

	It("leaves machines of other cells alone", func() {
		r.Mine = func(string) bool { return false }
		Expect(step()).To(Succeed())
		Expect(s.orders).To(BeEmpty())
	})

	It("orders nothing while another owner writes the record", func() {
		r.Store = refusing{r.Store}
		Expect(kind.Is(step(), kind.Conflict)).To(BeTrue())
		Expect(s.orders).To(BeEmpty())
	})

	It("gives the slot back of a machine that is not up, and passes over one that is not wanted", func() {
		s.answer = Busy
		Expect(step()).To(Succeed())
		Expect(c.over).To(BeEmpty())
		s.answer = NotWanted
		Expect(step()).To(Succeed())
		Expect(s.orders[1].Machine).To(Equal("m0"))
		s.answer = Begun
		s.set(0, true, "w0b")
		Expect(step()).To(Succeed())
		Expect(s.orders[2].Machine).To(Equal("m1"))
	})

	It("leaves a slot that another owner has taken", func() {
		Expect(step()).To(Succeed())
		other := *r
		other.Mine = func(string) bool { return true }
		s.machines = s.machines[1:]
		s.machines = append(s.machines, Machine{Name: "m0", Worker: "w0", Up: false})
		Expect(other.Step(context.Background())).To(Succeed())
		Expect(s.orders).To(HaveLen(1))
	})

	It("is done without the machines that are gone", func() {
		s.machines = nil
		Expect(step()).To(Succeed())
		Expect(s.reported).To(Equal([]bool{true}))
	})
})
