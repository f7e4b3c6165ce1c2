// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/sched"
)

// Account is what the configuration says of a client account.
type Account struct {
	Name string
	// Weight is its share of a full cell, in jobs a second; 0 is no bound.
	Weight float64
	// Limit is what it may have running; 0 in a dimension is no limit.
	Limit sched.Vec
}

// account is a client account that has jobs here, with what they use.
//
// It answers two loads. An account that runs more than it pays for is held at its limit,
// whoever started its tasks: each run is charged from the decision to start it until it is
// certain that it is over, and what a former owner may have started counts until that is known.
// An account that sends many times its usual delays its own jobs only: those beyond its share
// come after the jobs of all others that are as urgent.
type account struct {
	Account
	// used is the demand of all runs that are held.
	used sched.Vec
	// maybe is, during Place, the demand of tasks that a former owner may have started on workers
	// of which that is not known yet.
	maybe sched.Vec
	share bucket
}

// bucket counts jobs against a rate. Its zero value is full.
type bucket struct {
	// taken is how many jobs more were taken than the rate has given back.
	taken float64
	at    time.Time
}

// shareBurst is for how long an account that was quiet may send at twice its share.
const shareBurst = time.Second

// take takes a job that arrived at a time, and reports whether it is within the rate.
func (b *bucket) take(rate float64, at time.Time) bool {
	if passed := at.Sub(b.at); passed > 0 {
		b.taken = max(b.taken-rate*passed.Seconds(), 0)
		b.at = at
	}
	if b.taken+1 > max(rate*shareBurst.Seconds(), 1) {
		return false
	}
	b.taken++
	return true
}

// accountOf returns the account of a name, nil for none.
func (c *Cell) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := c.accounts[name]
	if a == nil {
		a = &account{Account: c.configured[name]}
		c.accounts[name] = a
	}
	return a
}

// setAccounts sets the accounts. One that is left out keeps its limit for the jobs that it has.
func (c *Cell) setAccounts(accounts []Account) {
	c.configured = make(map[string]Account, len(accounts))
	for _, conf := range accounts {
		c.configured[conf.Name] = conf
		if a := c.accounts[conf.Name]; a != nil {
			a.Account = conf
		}
	}
}

// takeShare takes a job of a from its share, and reports whether it is beyond that.
func (a *account) takeShare(arrived time.Time) (beyond bool) {
	return a != nil && a.Weight > 0 && !a.share.take(a.Weight, arrived)
}

// charge adds what a run takes, and refund takes it off.
func (a *account) charge(demand sched.Vec) {
	if a != nil {
		a.used = a.used.Add(demand)
	}
}

func (a *account) refund(demand sched.Vec) {
	if a != nil {
		a.used = a.used.Sub(demand)
	}
}

// Holds reports whether the limit of a leaves room for a demand.
func (a *Account) Holds(demand sched.Vec) bool {
	for d, limit := range a.Limit {
		if limit > 0 && demand[d] > limit {
			return false
		}
	}
	return true
}

// allows reports whether a may have something more running.
func (a *account) allows(more sched.Vec) bool {
	if a == nil {
		return true
	}
	sum := a.used.Add(a.maybe).Add(more)
	for d, n := range more {
		if n == 0 {
			sum[d] = 0
		}
	}
	return a.Holds(sum)
}

// idle reports whether nothing of a runs.
func (a *account) idle() bool { return a.used.IsZero() && a.maybe.IsZero() }

// countMaybe counts for each account what a former owner may have started of its jobs on workers
// that are not settled: tasks that wait here, of steps that are held up.
func (c *Cell) countMaybe(u *unsettled) {
	for _, a := range c.accounts {
		a.maybe = sched.Vec{}
	}
	if len(c.accounts) == 0 || !u.any && len(u.halls) == 0 {
		return
	}
	for _, s := range c.open {
		if a := s.job.account; a != nil && s.waiting > 0 && c.heldUp(s, u) {
			a.maybe = a.maybe.Add(s.def.Demand.Scale(int64(s.waiting)))
		}
	}
}

// limited reports whether the limit of its account lets no task of s start, or not all of a gang.
// A task that alone is larger than the limit starts when nothing else of the account runs.
func (s *stage) limited() bool {
	a := s.job.account
	switch {
	case a == nil:
		return false
	case s.def.Gang:
		return !a.allows(s.def.Demand.Scale(int64(len(s.tasks))))
	}
	return !a.idle() && !a.allows(s.def.Demand)
}

// AccountUse is what an account has running here.
type AccountUse struct {
	Account
	Used, Maybe sched.Vec
}

// use returns what the account of a job has running.
func (a *account) use() AccountUse {
	if a == nil {
		return AccountUse{}
	}
	return AccountUse{Account: a.Account, Used: a.used, Maybe: a.maybe}
}
