// SPDX-License-Identifier: Apache-2.0

package headroom

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/sched"
)

func cpu(n int64) sched.Vec { return sched.Vec{sched.MilliCPU: n, sched.MemoryMiB: n} }

func TestNeedFollowsThePeak(t *testing.T) {
	type observed struct {
		after time.Duration
		tasks int64
	}
	for name, k := range map[string]struct {
		seen []observed
		need int64
	}{
		"no history":                       {nil, 0},
		"no task yet":                      {[]observed{{0, 0}}, 0},
		"peak and twice its root":          {[]observed{{0, 25}, {time.Second, 3}}, 35},
		"a root that is not whole":         {[]observed{{0, 2}}, 5},
		"peak of the previous window":      {[]observed{{0, 16}, {Window + 1, 0}}, 24},
		"larger peak of the present one":   {[]observed{{0, 16}, {Window + 1, 25}}, 35},
		"peak two windows ago":             {[]observed{{0, 16}, {Window + 1, 4}, {2*Window + 2, 0}}, 8},
		"no task for two windows":          {[]observed{{0, 16}, {Window + 1, 0}, {2*Window + 2, 0}}, 0},
		"no decision for more than a time": {[]observed{{0, 16}, {2*Window + 1, 0}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			for _, o := range k.seen {
				tr.Observe(time.Unix(1_000, 0).Add(o.after), o.tasks, cpu(o.tasks*1000))
			}
			NewWithT(t).Expect(tr.Need()).To(Equal(k.need))
		})
	}
}

func TestUnitIsTheMeanDemandOfBothWindows(t *testing.T) {
	g := NewWithT(t)
	var tr Tracker
	g.Expect(tr.Unit()).To(Equal(sched.Vec{}))
	begin := time.Unix(1_000, 0)
	tr.Observe(begin, 2, cpu(2000))
	tr.Observe(begin.Add(Window+1), 1, cpu(4000))
	g.Expect(tr.Unit()).To(Equal(cpu(2000)))
	tr.Observe(begin.Add(Window+2), 4, cpu(8000+3))
	g.Expect(tr.Unit()).To(Equal(cpu(2001)), "rounded up")
}

// TestMayTake guards against a less urgent task that takes a unit which urgent work needs, and
// against one that is kept from room which holds no unit.
func TestMayTake(t *testing.T) {
	need := func(units, running, permitted int64) Need {
		return Need{Unit: cpu(2500), Units: units, Running: running, Permitted: permitted}
	}
	size := cpu(16_000)
	for name, k := range map[string]struct {
		need Need
		// free is the free room of each worker. The task is to go to the first one.
		free             []int64
		task             int64
		kept, spare      int64
		mayTake, mayElse bool
	}{
		"no need":                              {need(0, 0, Whole), []int64{2500, 0, 0, 0}, 1700, 0, 1, true, true},
		"no unit known":                        {Need{Units: 9, Permitted: Whole}, []int64{2500}, 1700, 0, maxParts / unitParts, true, true},
		"more units free than needed":          {need(3, 0, Whole), []int64{5000, 5000, 0, 0}, 1700, 3, 1, true, true},
		"as many units free as needed":         {need(4, 0, Whole), []int64{5000, 5000, 0, 0}, 1700, 4, 0, false, false},
		"halves of units do not count":         {need(1, 0, Whole), []int64{2500, 2400, 2400, 2400}, 2500, 1, 0, false, false},
		"the rest beyond the whole units":      {need(4, 0, Whole), []int64{6700, 5000, 0, 0}, 1700, 4, 0, true, true},
		"a rest on another worker":             {need(4, 0, Whole), []int64{5000, 6700, 0, 0}, 1700, 4, 0, false, true},
		"running urgent tasks are in the need": {need(4, 1, Whole), []int64{5000, 5000, 0, 0}, 1700, 3, 1, true, true},
		"more running than needed":             {need(4, 9, Whole), []int64{2500, 0, 0, 0}, 1700, 0, 1, true, true},
		"at most a quarter of the pool":        {need(99, 0, Whole), []int64{16_000, 0, 0, 0}, 1700, 6, 0, false, false},
		"half of the workers are permitted":    {need(3, 1, Whole/2), []int64{5000, 5000, 0, 0}, 1700, 4, 0, false, false},
		"no share is known to be permitted":    {need(2, 0, 0), []int64{10_000, 0, 0, 0}, 1700, 6, -2, false, false},
		"a task of two units with one spare":   {need(3, 0, Whole), []int64{5000, 5000, 0, 0}, 5000, 3, 1, false, false},
		"overcommitted workers":                {need(2, 0, Whole), []int64{2500, -900, -900, -900}, 1700, 2, -1, false, false},
		"units missing, others as complete":    {need(4, 0, Whole), []int64{2000, 2000, 5000, 2000}, 1700, 4, -2, true, true},
		"units missing, none as complete":      {need(4, 0, Whole), []int64{2000, 1800, 5000, 2000}, 1700, 4, -2, false, true},
		"units missing, hardly a part":         {need(4, 0, Whole), []int64{300, 2000, 5000, 0}, 200, 4, -2, true, true},
		"too few incomplete units":             {need(4, 0, Whole), []int64{2000, 2000, 5000, 0}, 1700, 4, -2, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := New(k.need)
			for _, n := range k.free {
				free := cpu(n)
				r.AddWorker(&size, &free)
			}
			free, task := cpu(k.free[0]), cpu(k.task)
			g.Expect(r.Kept()).To(Equal(k.kept))
			g.Expect(r.Spare()).To(Equal(k.spare))
			g.Expect(r.MayTake(&free, &task)).To(Equal(k.mayTake))
			g.Expect(r.MayTakeAnywhere(&task)).To(Equal(k.mayElse))
		})
	}
}

func TestUnitsAreCountedAsTasksArePlaced(t *testing.T) {
	g := NewWithT(t)
	size, free, task := cpu(16_000), cpu(16_000), cpu(1700)
	r := New(Need{Unit: cpu(2500), Units: 4, Permitted: Whole})
	units := r.AddWorker(&size, &free)
	for range 4 {
		r.AddWorker(&size, &sched.Vec{})
	}
	g.Expect(units).To(Equal(Parts(51)), "6.4 units")
	placed := 0
	for ; r.Take(&free, &task); placed++ {
		free = free.Sub(task)
	}
	units = r.parts(&free)
	g.Expect(placed).To(Equal(3), "16 - 3 * 1.7 leaves 4 units")
	free = free.Sub(cpu(2500))
	units = r.Update(units, &free)
	g.Expect(r.Free()).To(Equal(int64(3)))
	g.Expect(r.Spare()).To(Equal(int64(-1)))
	r.UrgentStarted()
	g.Expect(r.Kept()).To(Equal(int64(3)), "an urgent task uses a part of the need")
	free = free.Add(cpu(5000))
	r.Update(units, &free)
	g.Expect(r.Spare()).To(Equal(int64(2)))
}

// BenchmarkCount measures the pass over 6,000 workers.
func BenchmarkCount(b *testing.B) {
	const workers = 6000
	free := make([]sched.Vec, workers)
	for i := range free {
		free[i] = cpu(int64(i) * 7919 % 16_000)
	}
	size := cpu(16_000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r := New(Need{Unit: cpu(2500), Units: 100, Permitted: Whole})
		for i := range free {
			r.AddWorker(&size, &free[i])
		}
		if r.Free() == 0 {
			b.Fatal("no unit is free")
		}
	}
}
