// SPDX-License-Identifier: Apache-2.0

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dewpass.org/sched"
)

func cpu(n int64) sched.Vec { return sched.Vec{sched.MilliCPU: n} }

func ledgers(n int) []*Ledger {
	out := make([]*Ledger, n)
	for i := range out {
		out[i] = &Ledger{Cells: n}
	}
	return out
}

func name(i int) string { return fmt.Sprint("cell-", i) }

func TestPart(t *testing.T) {
	for _, c := range []struct {
		cells int
		limit int64
		want  int64
	}{
		{1, 16000, 16000}, {2, 16000, 8000}, {3, 24000, 8000}, {16, 16000, 1000}, {2, 1, 0}, {1, 1, 1}, {37, 1 << 40, (1 << 40) / 37},
	} {
		l := Ledger{Cells: c.cells}
		if got := l.Part(cpu(c.limit))[sched.MilliCPU]; got != c.want {
			t.Errorf("%d of %d cells: %d", c.limit, c.cells, got)
		}
	}
}

// A limit below the number of cells became none at all, as its part was 0.
func TestPartOfNothingCoversNothing(t *testing.T) {
	l := Ledger{Cells: 4}
	limit := sched.Vec{sched.Accelerators: 1}
	if l.Covers(limit, sched.Vec{sched.Accelerators: 1}) {
		t.Error("one accelerator of a limit of one in each of four cells")
	}
	if !l.Covers(limit, cpu(1<<40)) {
		t.Error("a dimension without a limit")
	}
	for i := 1; i < 4; i++ {
		l.Receive(name(i), perCell)
	}
	if !l.Sole() || !l.Covers(limit, sched.Vec{sched.Accelerators: 1}) {
		t.Error("one accelerator with all shares")
	}
}

// The shares that are asked for were too few by rounding, and nothing ever started.
func TestNeededIsTheFewestThatCover(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		l := Ledger{Cells: 1 + random.IntN(40)}
		limit := cpu(1 + random.Int64N(1<<uint(1+random.IntN(40))))
		use := cpu(1 + random.Int64N(limit[sched.MilliCPU]))
		need := l.Needed(limit, use)
		if need < 1 || need > l.All() {
			t.Fatalf("%v of %v in %d cells: %d shares", use, limit, l.Cells, need)
		}
		at := func(shares int64) bool {
			k := Ledger{Cells: l.Cells, Received: map[string]int64{"x": shares - perCell}}
			return k.Covers(limit, use)
		}
		if !at(need) || at(need-1) {
			t.Fatalf("%v of %v in %d cells: %d shares are not the fewest", use, limit, l.Cells, need)
		}
	}
	l := Ledger{Cells: 3}
	if l.Needed(cpu(1000), cpu(1001)) <= l.All() {
		t.Error("more than the limit")
	}
	if l.Needed(sched.Vec{}, cpu(1000)) != 0 {
		t.Error("no limit")
	}
}

func TestOffer(t *testing.T) {
	const some = perCell / 2
	rich := &Ledger{Cells: 2, Received: map[string]int64{"x": some}}
	even := &Ledger{Cells: 2}
	early, late := Order{AcceptedMS: 1}, Order{AcceptedMS: 2}
	for _, c := range []struct {
		name string
		l    *Ledger
		free int64
		need Need
		own  *Need
		want int64
	}{
		{"a cell that needs nothing gives what is free", even, 100, Need{}, nil, 100},
		{"no more than it has", even, 1 << 40, Need{}, nil, perCell},
		{"nothing while it uses more than it has", even, -5, Need{}, nil, 0},
		{"a cell that needs some itself gives none", even, 100, Need{}, &Need{}, 0},
		{"but for a cell that has lent its own", rich, 100, Need{Excess: -some}, &Need{}, 100},
		{"up to what that had at first", rich, 1 << 40, Need{Excess: -10}, &Need{}, 10},
		{"and up to what it has more itself", rich, 1 << 40, Need{Excess: -perCell}, &Need{}, some},
		{"an earlier wide step gets all", even, 100, Need{Wide: true, Order: early}, &Need{Wide: true, Order: late}, 100},
		{"a later one nothing", even, 100, Need{Wide: true, Order: late}, &Need{Wide: true, Order: early}, 0},
	} {
		if got := c.l.Offer(c.free, c.need, c.own); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

func TestTakes(t *testing.T) {
	offers := []Offered{{"a", 10}, {"b", 30}, {"c", 20}}
	for _, c := range []struct {
		need Need
		want string
	}{
		{Need{Shares: 40, Least: 40}, "[{b 30} {c 10}]"},
		{Need{Shares: 100, Least: 60}, "[{b 30} {c 20} {a 10}]"},
		{Need{Shares: 100, Least: 61}, "[]"},
	} {
		if got := fmt.Sprint(c.need.Takes(offers)); got != c.want {
			t.Errorf("%+v: %s", c.need, got)
		}
	}
}

// simulated is a cell of TestNoShareIsInTwoCells: its ledger in the store, that of its owner, how much of
// the account it runs, and the numbers that it has told others at any time.
type simulated struct {
	stored, owner *Ledger
	use           int64
	told          []map[string]int64
}

// An account ran more than its limit in all cells together, as shares were counted in two of them.
func TestNoShareIsInTwoCells(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		n := 2 + random.IntN(4)
		cells := make([]*simulated, n)
		for i := range cells {
			cells[i] = &simulated{stored: &Ledger{Cells: n}, owner: &Ledger{Cells: n}}
		}
		limits := []int64{1, 7, 1000, 16000, 12345}
		highest := limits[random.IntN(len(limits))]
		for step := range 400 {
			c := cells[random.IntN(n)]
			to := random.IntN(n)
			switch random.IntN(8) {
			case 0:
				// Gives, stored now, later or never.
				if free := c.owner.Shares() - c.owner.Needed(cpu(highest), cpu(c.use)); free > 0 && cells[to] != c {
					c.owner.Give(name(to), 1+random.Int64N(free))
				}
			case 1:
				s := c.owner.Clone()
				c.stored = &s
				c.told = append(c.told, s.Given)
			case 2:
				// A message of any time arrives, perhaps again.
				if from := cells[to]; from != c && len(from.told) > 0 {
					for i := range cells {
						if cells[i] == c {
							c.owner.Receive(name(to), from.told[random.IntN(len(from.told))][name(i)])
						}
					}
				}
			case 3:
				// The owner is lost; what it runs goes on.
				s := c.stored.Clone()
				c.owner = &s
			case 4, 5, 6:
				if limit := min(limits[random.IntN(len(limits))], highest); c.owner.Covers(cpu(limit), cpu(c.use+1)) {
					c.use++
				}
			default:
				c.use -= min(c.use, random.Int64N(3))
			}
			shares, use := int64(0), int64(0)
			for _, k := range cells {
				shares += k.owner.Shares()
				use += k.use
				if k.owner.Shares() < 0 {
					t.Fatalf("seed %d, step %d: a cell has %d shares", seed, step, k.owner.Shares())
				}
			}
			if all := cells[0].owner.All(); shares > all || use > highest {
				t.Fatalf("seed %d, step %d: %d of %d shares, %d run under a limit of %d", seed, step, shares, all, use, highest)
			}
		}
	}
}

// Two gangs, each as wide as the whole limit, waited for each other for ever.
func TestTheEarlierOfTwoWideStepsGetsAllShares(t *testing.T) {
	cells := ledgers(4)
	limit := cpu(16000)
	needs := make([]*Need, len(cells))
	for i, l := range cells[:2] {
		lack := l.Needed(limit, limit) - l.Shares()
		needs[i] = &Need{Account: "a", Shares: lack, Least: lack, Wide: true, Order: Order{AcceptedMS: int64(10 - i)}}
	}
	for _, asker := range []int{0, 1, 0, 1} {
		var offers []Offered
		for i, l := range cells {
			if i != asker {
				offers = append(offers, Offered{name(i), l.Offer(l.Shares(), *needs[asker], needs[i])})
			}
		}
		for _, o := range needs[asker].Takes(offers) {
			var from int
			_, _ = fmt.Sscanf(o.Cell, "cell-%d", &from)
			cells[from].Give(name(asker), o.Shares)
			cells[asker].Receive(o.Cell, cells[from].Given[name(asker)])
		}
	}
	if !cells[1].Sole() || cells[0].Shares() != 0 {
		t.Errorf("the earlier step's cell has %d of %d shares", cells[1].Shares(), cells[1].All())
	}
}
