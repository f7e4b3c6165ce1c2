// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math/rand/v2"
	"sort"
	"time"
)

// rule distinguishes one baseline from another.
type rule struct {
	// pick returns a worker for a demand, or NoWorker.
	pick func(p *Pool, rng *rand.Rand, d Vec) WorkerID
	// before orders the queue; nil means order of arrival.
	before func(a, b *arrival) bool
	// skip lets later tasks pass tasks that do not fit.
	skip bool
}

// baseline is a textbook policy: a queue and a rule.
type baseline struct {
	rule
	pool  Pool
	rng   *rand.Rand
	queue []*arrival
}

func newBaseline(r rule) *baseline {
	return &baseline{rule: r, rng: rand.New(rand.NewPCG(1, 2))}
}

func firstFit(p *Pool, _ *rand.Rand, d Vec) WorkerID {
	for w := range p.free {
		if p.free[w].Covers(&d) {
			return WorkerID(w)
		}
	}
	return NoWorker
}

// randomOfTwo picks the one of two random workers that has more free slots.
func randomOfTwo(p *Pool, rng *rand.Rand, d Vec) WorkerID {
	a, b := WorkerID(rng.IntN(len(p.free))), WorkerID(rng.IntN(len(p.free)))
	if p.free[b][Slots] > p.free[a][Slots] {
		a, b = b, a
	}
	for _, w := range []WorkerID{a, b} {
		if p.free[w].Covers(&d) {
			return w
		}
	}
	return NoWorker
}

func bestFit(p *Pool, _ *rand.Rand, d Vec) WorkerID {
	best, least := NoWorker, 0.0
	for w := range p.free {
		if !p.free[w].Covers(&d) {
			continue
		}
		left := p.free[w].Sub(d).Share(p.capacity[w])
		if best == NoWorker || left < least {
			best, least = WorkerID(w), left
		}
	}
	return best
}

// The baselines.
var (
	fcfs           = rule{pick: firstFit}
	randomTwo      = rule{pick: randomOfTwo}
	strictPriority = rule{pick: firstFit, skip: true, before: func(a, b *arrival) bool { return a.task.Class > b.task.Class }}
	// decreasing considers everything that has arrived and places the largest demand first.
	decreasing = rule{pick: bestFit, skip: true, before: func(a, b *arrival) bool {
		return a.task.Demand.Share(wholeWorker) > b.task.Demand.Share(wholeWorker)
	}}
)

var wholeWorker = Vec{16000, 32 << 10, 1, 8, 64}

func (p *baseline) addWorker(capacity Vec) { p.pool.Add(0, capacity) }

func (p *baseline) arrive(_ uint64, it *arrival, _ time.Duration) bool {
	i := len(p.queue)
	if p.before != nil {
		i = sort.Search(len(p.queue), func(i int) bool { return p.before(it, p.queue[i]) })
	}
	p.queue = append(p.queue, nil)
	copy(p.queue[i+1:], p.queue[i:])
	p.queue[i] = it
	return true
}

// scanLimit is the number of tasks that are tried and do not fit before a decision ends.
const scanLimit = 64

func (p *baseline) decide(_ time.Duration, out []Decision) []Decision {
	tried := 0
	for i := 0; i < len(p.queue) && tried < scanLimit; {
		it := p.queue[i]
		w := p.pick(&p.pool, p.rng, it.task.Demand)
		if w == NoWorker {
			if !p.skip {
				return out
			}
			tried++
			i++
			continue
		}
		p.pool.Allocate(w, it.task.Demand)
		p.queue = append(p.queue[:i], p.queue[i+1:]...)
		out = append(out, Decision{Op: OpStart, Ref: it.task.Ref, Worker: w})
	}
	return out
}

func (p *baseline) finish(_ uint64, it *arrival, _ time.Duration) {
	p.pool.Release(it.worker, it.task.Demand)
}

func (p *baseline) preempted(uint64, *arrival, Op, time.Duration) {}

func (p *baseline) waiting() int { return len(p.queue) }

func (p *baseline) used() (used, whole Vec) {
	whole, free := p.pool.Total()
	return whole.Sub(free), whole
}
