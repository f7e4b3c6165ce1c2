// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// What happened: a step of 125 tasks that last, one a worker, never had all of them at work. Its
// cell had 302 of 1,100 workers, and the policy let 107 of these run it: 18 tasks waited to the
// end of the day ("step_waits": tasks 18, allowed 0, expired 107 with room on none, unasked 0,
// unfit 195 with room on 188), among them some whose workers had left. Two thirds of the
// workers that could have run them were in other cells.

// cells are the cells of one deployment, with a policy that lets a third of the workers run a step.
type cells struct {
	now  time.Time
	all  []*Cell
	good map[string]bool
}

func newCells(count, workers int) *cells {
	c := &cells{now: time.Unix(1_000_000, 0), good: make(map[string]bool)}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range count {
		one := New(1 << 12)
		one.Name = fmt.Sprintf("cell-%d", i)
		one.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Advice: &Advice{Decide: 300 * time.Millisecond, Valid: time.Minute}}})
		for j := range workers {
			id := fmt.Sprintf("w%d-%d", i, j)
			c.good[id] = rng.Float64() < 0.35
			one.Heard(Worker{ID: id, Addr: id, Pool: "p", Hall: "h", Rack: "r", Room: vec(16000, 32000)}, c.now)
			one.Attached(id, Lists{}, c.now)
		}
		c.all = append(c.all, one)
	}
	return c
}

// play lets the cells decide for a while, and has the policy answer.
func (c *cells) play(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); c.now = c.now.Add(100 * time.Millisecond) {
		for _, one := range c.all {
			one.Saved(one.Saves(100), true)
			a := one.Place(c.now, c.now, 9)
			for _, s := range a.Starts {
				one.Started(s.Worker, s.Task, s.Run, Accepted, c.now)
			}
			for _, ask := range a.Asks {
				var tickets []Ticket
				for _, w := range ask.Workers {
					if c.good[w] {
						tickets = append(tickets, Ticket{Worker: w})
					}
				}
				one.Advised(ask, tickets, time.Minute, c.now)
			}
		}
	}
}

// running returns the indices that run, in order.
func (c *cells) running() []int {
	var out []int
	for _, one := range c.all {
		for _, w := range one.sortedWorkers {
			for _, r := range w.runList {
				out = append(out, r.index)
			}
		}
	}
	slices.Sort(out)
	return out
}

var _ = Describe("a wide step of tasks that last, one a worker", func() {
	const count = 125
	wide := func(shares ...string) *flow.Spec {
		return &flow.Spec{ID: "j", Queue: "q", Cell: "cell-0", Shares: shares, Steps: []flow.Step{{
			Count: count, Demand: demand(3800), Lasting: true, PerWorker: 1, MayMiss: 7,
		}}}
	}
	submit := func(c *cells, spec *flow.Spec) {
		for _, one := range c.all {
			if _, ok := spec.Share(one.Name); ok {
				one.Submit(spec, c.now, c.now)
				one.Keep("j")
			}
		}
	}

	It("is at work once, whole, if cells share it", func() {
		c := newCells(3, 302)
		submit(c, wide("cell-1", "cell-2"))
		c.play(10 * time.Second)
		want := make([]int, count)
		for i := range want {
			want[i] = i
		}
		Expect(c.running()).To(Equal(want))
	})

	It("is never whole in one cell", func() {
		c := newCells(3, 302)
		submit(c, wide())
		c.play(10 * time.Second)
		Expect(len(c.running())).To(BeNumerically("<", count))
	})

	It("counts as one job, and its home alone writes its end", func() {
		c := newCells(2, 302)
		submit(c, wide("cell-1"))
		Expect(c.all[0].Load().Pending["q"]).To(Equal(1))
		Expect(c.all[1].Load().Pending["q"]).To(BeZero())
		c.play(time.Second)
		for i, one := range c.all {
			Expect(one.Foreign()).To(HaveLen(i))
			one.Cancel("j", c.now)
			Expect(one.Ended()).To(Equal([]Over{{ID: "j", State: flow.Canceled, Foreign: i == 1}}))
		}
	})

	It("has a run of another cell's task stopped", func() {
		c := newCells(2, 10)
		submit(c, wide("cell-1"))
		c.play(100 * time.Millisecond)
		other := c.all[1]
		task := flow.TaskID{Job: "j", Index: 2}
		other.Listed("w1-0", Lists{Running: []Running{{Task: task, Run: 1}}, Cut: true}, c.now, c.now)
		stops := other.Place(c.now, c.now, 0).Stops
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Task).To(Equal(task))
	})

	It("gives each cell its part of what may be away", func() {
		c := newCells(3, 302)
		submit(c, wide("cell-1", "cell-2"))
		c.play(10 * time.Second)
		one := c.all[2]
		for _, w := range one.sortedWorkers {
			for _, r := range w.runList {
				one.Listed(w.ID, Lists{Running: []Running{{Task: r.task(), Run: r.number, Percent: 100}}, Cut: true}, c.now, c.now)
				w.Draining, w.Remaining, w.lastHeard = true, time.Minute, c.now
			}
		}
		one.runsNeedCheck = true
		Expect(one.Place(c.now, c.now, 0).Stops).To(HaveLen(2), "a third of 7")
	})
})
