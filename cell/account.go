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
	// possiblyUsed is, during Place, the demand of tasks that a former owner may have started on workers
	// of which that is not known yet.
	possiblyUsed sched.Vec
	share        bucket
	// urgentUsed is what of used is by runs of its most urgentUsed queue, of priority first.
	urgentUsed     sched.Vec
	urgentPriority int
	// urgentPeak is the most of that in the present span of urgentSpan and in the one before.
	urgentPeak, previousUrgentPeak sched.Vec
	windowEnd                      time.Time
}

const (
	// urgentWindow is for how long the room that urgent jobs of an account have used is kept for
	// the next of them under its limit: as long as the pauses between the calls of a customer.
	urgentWindow = 3 * time.Second
	// urgentDivisor bounds that room, as a divisor of the limit.
	urgentDivisor = 4
)

// reservedForUrgent returns what of the limit is reservedForUrgent for urgent jobs from others of the same account: without
// it batch that fills the limit makes the calls of its own account wait for its ends.
func (a *account) reservedForUrgent(priority int) sched.Vec {
	if priority <= a.urgentPriority {
		return sched.Vec{}
	}
	kept := a.urgentPeak.Max(a.previousUrgentPeak)
	for d := range kept {
		kept[d] = max(min(kept[d], a.Limit[d]/urgentDivisor)-a.urgentUsed[d], 0)
	}
	return kept
}

// trackUrgentPeak takes in what urgent jobs use.
func (a *account) trackUrgentPeak(now time.Time) {
	if now.After(a.windowEnd) {
		a.previousUrgentPeak, a.urgentPeak = a.urgentPeak, sched.Vec{}
		a.windowEnd = now.Add(urgentWindow)
	}
	a.urgentPeak = a.urgentPeak.Max(a.urgentUsed)
}

// bucket counts jobs against a rate. Its zero value is full.
type bucket struct {
	// level is how many jobs more were level than the rate has given back.
	level float64
	at    time.Time
}

// shareBurst is for how long an account that was quiet may send at twice its share.
const shareBurst = time.Second

// take takes a job that arrived at a time, and reports whether it is within the rate.
func (b *bucket) take(rate float64, at time.Time) bool {
	if passed := at.Sub(b.at); passed > 0 {
		b.level = max(b.level-rate*passed.Seconds(), 0)
		b.at = at
	}
	if b.level+1 > max(rate*shareBurst.Seconds(), 1) {
		return false
	}
	b.level++
	return true
}

// accountOf returns the account of a name, nil for none.
func (c *Cell) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := c.accounts[name]
	if a == nil {
		a = &account{Account: c.configured[name], urgentPriority: c.mostUrgent()}
		c.accounts[name] = a
	}
	return a
}

// mostUrgent returns the priority of the most urgent queue.
func (c *Cell) mostUrgent() int {
	first := lowestPriority
	for _, q := range c.queues {
		first = min(first, q.Priority)
	}
	return first
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

// charge adds what a run of a job takes, and refund takes it off.
func (j *job) charge(demand sched.Vec) {
	a := j.account
	if a == nil {
		return
	}
	a.used = a.used.Add(demand)
	if j.priority == a.urgentPriority {
		a.urgentUsed = a.urgentUsed.Add(demand)
	}
}

func (j *job) refund(demand sched.Vec) { j.charge(demand.Scale(-1)) }

// Holds reports whether the limit of a leaves room for a demand.
func (a *Account) Holds(demand sched.Vec) bool {
	for d, limit := range a.Limit {
		if limit > 0 && demand[d] > limit {
			return false
		}
	}
	return true
}

// allows reports whether a may have something more running, of a queue of a priority.
func (a *account) allows(more sched.Vec, priority int) bool {
	sum := a.used.Add(a.possiblyUsed).Add(more).Add(a.reservedForUrgent(priority))
	for d, n := range more {
		if n == 0 {
			sum[d] = 0
		}
	}
	return a.Holds(sum)
}

// idle reports whether nothing of a runs.
func (a *account) idle() bool { return a.used.IsZero() && a.possiblyUsed.IsZero() }

// countPossiblyUsed counts for each account what a former owner may have started of its jobs on workers
// that are not settled: tasks that wait here, of steps that are held up, as far as those workers
// have room. Tasks that fill take processor time beyond the room and are few beside it.
func (c *Cell) countPossiblyUsed(u *unsettled, now time.Time) {
	for _, a := range c.accounts {
		a.possiblyUsed = sched.Vec{}
		a.trackUrgentPeak(now)
	}
	if len(c.accounts) == 0 || !u.any && len(u.halls) == 0 {
		return
	}
	for _, s := range c.openStages {
		if a := s.job.account; a != nil && s.waiting > 0 && c.heldUp(s, u) {
			a.possiblyUsed = a.possiblyUsed.Add(s.def.Demand.Scale(int64(s.waiting)))
		}
	}
	for _, a := range c.accounts {
		a.possiblyUsed = a.possiblyUsed.Min(u.room)
	}
}

// accountAtLimit reports whether the limit of its account lets no task of s start, or not all of a gang.
// A task that alone is larger than the limit starts when nothing else of the account runs.
func (s *stage) accountAtLimit() bool {
	a := s.job.account
	switch {
	case a == nil:
		return false
	case s.def.Gang:
		return !a.allows(s.def.Demand.Scale(int64(len(s.tasks))), s.job.priority)
	}
	return !a.idle() && !a.allows(s.def.Demand, s.job.priority)
}

// AccountUse is what an account has running here.
type AccountUse struct {
	Account
	Used, Maybe sched.Vec
}

// usage returns what the account of a job has running.
func (a *account) usage() AccountUse {
	if a == nil {
		return AccountUse{}
	}
	return AccountUse{Account: a.Account, Used: a.used, Maybe: a.possiblyUsed}
}

// MayUse reports whether an account may ask for and cancel a job: its own, one of a queue that is
// open, or one of which no account is known.
func (c *Cell) MayUse(id, account string) bool {
	owner := ""
	if j := c.jobs[id]; j != nil {
		owner = c.exclusiveAccount(j)
	} else if o, ok := c.retired[id]; ok {
		owner = o.account
	}
	return owner == "" || owner == account
}

// exclusiveAccount returns the account that alone may use a job, "" if all may.
func (c *Cell) exclusiveAccount(j *job) string {
	if q := c.queues[j.spec.Queue]; q != nil && q.Open {
		return ""
	}
	return j.spec.Account
}
