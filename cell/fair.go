// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"time"

	"dewpass.org/sched"
	"dewpass.org/share"
)

// Fair sharing orders the steps of one class, which is their priority, whether they are beyond the
// share of their account and whether they are late, by how much of a full pool their account uses.
// Without it, an account that sends many times its usual rate has the oldest steps and therefore
// the least slack, so that it gets nearly all room that comes free and makes the jobs of all other
// accounts late.

// sharer is an account in one pool. The jobs without an account share as one account of the
// default weight.
type sharer struct {
	// account is nil for the jobs without one.
	account *account
	pool    *sharedPool
	// used is the demand of the recorded runs in the pool.
	used sched.Vec
	// open means that there are open stages in the present decision, and waits that some of them
	// wait for workers. level is the level at its beginning, 0 if sharing does not apply.
	open, waits bool
	level       int
	// planned is, while levels are set, used and the demand of the steps that were passed so far.
	planned sched.Vec
}

type sharerKey struct{ account, pool string }

// sharedPool is a pool of workers that accounts share.
type sharedPool struct {
	gate share.Gate
	// The rest is for the present decision. waits is the number of sharers that wait for workers,
	// and short means that tasks waited for room. applies means that the levels count.
	share.Pool
	free    sched.Vec
	waits   int
	short   bool
	applies bool
}

// sharerOf returns the sharer of the jobs of an account, "" if it is not known, in a pool.
func (c *Cell) sharerOf(name, pool string) *sharer {
	key := sharerKey{name, pool}
	u := c.sharers[key]
	if u == nil {
		if c.sharedPools[pool] == nil {
			c.sharedPools[pool] = &sharedPool{}
		}
		u = &sharer{account: c.accountOf(name), pool: c.sharedPools[pool]}
		c.sharers[key] = u
	}
	return u
}

func (u *sharer) weight() float64 {
	if u.account == nil {
		return 0
	}
	return u.account.Weight
}

// charge adds the demand of a run. u is nil for a run of an unknown job.
func (u *sharer) charge(demand sched.Vec) {
	if u != nil {
		u.used = u.used.Add(demand)
	}
}

// shareFairly reorders the open stages, which are in the order without fair sharing, by the levels
// of their accounts in the pools that are full. Its cost depends on the open stages and the
// workers; accounts without open stages add nothing.
func (c *Cell) shareFairly(now, wall time.Time) {
	if !c.FairSharing {
		return
	}
	for _, u := range c.openSharers {
		u.open, u.waits, u.level = false, false, 0
	}
	if !c.findSharers(wall) || !c.openPools(now) {
		return
	}
	for _, u := range c.openSharers {
		u.planned = u.used
		if u.pool.applies {
			u.level = u.pool.Level(u.weight(), u.used)
		}
	}
	for _, s := range c.openStages {
		s.setShareLevel(wall)
	}
	sortByLevel(c.openStages)
}

// sortByLevel sorts the stages of each class by level. They are sorted by class before.
func sortByLevel(stages []*stage) {
	for len(stages) > 0 {
		n := 1
		for n < len(stages) && stages[n].rank.class() == stages[0].rank.class() {
			n++
		}
		slices.SortStableFunc(stages[:n], func(x, y *stage) int { return cmp.Compare(x.rank.level, y.rank.level) })
		stages = stages[n:]
	}
}

// class returns the part of a rank that comes before the level.
func (r rank) class() rank {
	r.level, r.slack = 0, 0
	return r
}

// findSharers sets the sharers that have open stages, which of them have waiting steps, and in which
// pools tasks waited for room when the last decision ended. It reports whether several compete for
// one pool.
func (c *Cell) findSharers(wall time.Time) (compete bool) {
	for _, p := range c.sharedPools {
		*p = sharedPool{gate: p.gate}
	}
	c.openSharers = c.openSharers[:0]
	for _, s := range c.openStages {
		u := s.job.sharer
		if !u.open {
			u.open = true
			c.openSharers = append(c.openSharers, u)
		}
		if !u.waits && s.waitsForWorkers(wall) {
			u.waits = true
			u.pool.waits++
			u.pool.Compete(u.weight())
			compete = compete || u.pool.waits > 1
		}
		if s.waiting > 0 && (s.waitTimes.why == Full || s.waitTimes.why == NoWorker) {
			u.pool.short = true
		}
	}
	return compete
}

// openPools sets in which pools sharing applies, and reports whether it does in any.
func (c *Cell) openPools(now time.Time) bool {
	for _, w := range c.sortedWorkers {
		if p := c.sharedPools[w.Pool]; p != nil && w.inService() {
			p.Capacity = p.Capacity.Add(w.Room)
			p.free = p.free.Add(w.free)
		}
	}
	applies := false
	for _, p := range c.sharedPools {
		full := p.short || share.Full(p.Capacity, p.free)
		p.applies = p.gate.Open(full, now) && p.waits > 1
		applies = applies || p.applies
	}
	return applies
}

// setShareLevel sets the level of s in the order: that of its account once the steps of the account
// before s have started. With the level of the account alone, the first account in the order would
// get everything that comes free within one decision, for example when tasks of equal length that
// fill the pool end together.
func (s *stage) setShareLevel(wall time.Time) {
	u := s.job.sharer
	if !u.pool.applies {
		return
	}
	s.rank.level = u.pool.Level(u.weight(), u.planned)
	if s.waitsForWorkers(wall) && !s.blocked() {
		u.planned = u.planned.Add(s.def.Demand.Scale(int64(s.waiting)))
	}
}

// waitsForWorkers reports whether tasks of s are due and wait to be started.
func (s *stage) waitsForWorkers(wall time.Time) bool {
	return s.waiting > 0 && s.ready() && s.job.stored && !s.due.After(wall)
}

// blocked reports whether the last decision found that s cannot start whatever room there is, and
// no answer of the policy has arrived since.
func (s *stage) blocked() bool {
	switch s.waitTimes.why {
	case HeldUp, InDoubt, LimitReached, NotWritten, NoAdvice:
		return true
	}
	return s.advice.asking
}
