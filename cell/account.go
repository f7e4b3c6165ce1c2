// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/quota"
	"dewpass.org/sched"
)

// Account is the configuration of a client account.
type Account struct {
	Name string
	// Weight is the account's share of a full cell, in jobs per second; 0 means no limit.
	Weight float64
	// Limit bounds the account's running tasks in all cells together; 0 in a dimension means no limit.
	Limit sched.Vec
}

// account is a client account that has jobs here, with its use of the cell.
//
// It limits two kinds of load. An account that runs more than it pays for is held at its limit,
// whoever started its tasks: each run is charged from the decision to start it until it is certain
// to be over, and tasks that a former owner may have started count until it is known whether it
// did. An account that submits many times its usual rate delays only its own jobs: jobs beyond its
// share are placed after the equally urgent jobs of all other accounts.
type account struct {
	Account
	// shares are those of the limit that this cell has, and part is what they allow.
	shares quota.Ledger
	part   sched.Vec
	// claimedUntil is until when another cell that has lent shares claims some back, and claimed, during
	// Place, whether one does.
	claimedUntil time.Time
	claimed      bool
	// borrowedAt is when shares of other cells were last received or in use.
	borrowedAt time.Time
	// used is the demand of all recorded runs of the account.
	used sched.Vec
	// possiblyUsed is, during Place, the demand of tasks that a former owner may have started on
	// workers that are not settled.
	possiblyUsed sched.Vec
	share        bucket
	// urgentUsed is the part of used that belongs to the most urgent queue, whose priority is
	// urgentPriority.
	urgentUsed     sched.Vec
	urgentPriority int
	// urgentPeak is the maximum of urgentUsed in the current period of urgentWindow, and
	// previousUrgentPeak that in the period before.
	urgentPeak, previousUrgentPeak sched.Vec
	windowEnd                      time.Time
}

const (
	// urgentWindow is how long room that an account's urgent jobs have used stays reserved for its
	// next urgent jobs under its limit: as long as the pauses between a customer's calls.
	urgentWindow = 3 * time.Second
	// urgentDivisor limits the reserved room: it is at most the account's limit divided by
	// urgentDivisor.
	urgentDivisor = 4
)

// reservedForUrgent returns the part of the limit that jobs of a priority must leave to the
// account's more urgent jobs. Without it, batch jobs that fill the limit would make the urgent
// calls of the same account wait for batch tasks to end.
func (a *account) reservedForUrgent(priority int) sched.Vec {
	if priority <= a.urgentPriority {
		return sched.Vec{}
	}
	reserved := a.urgentPeak.Max(a.previousUrgentPeak)
	for d := range reserved {
		reserved[d] = max(min(reserved[d], a.part[d]/urgentDivisor)-a.urgentUsed[d], 0)
	}
	return reserved
}

// trackUrgentPeak updates the peaks of urgent use.
func (a *account) trackUrgentPeak(now time.Time) {
	if now.After(a.windowEnd) {
		a.previousUrgentPeak, a.urgentPeak = a.urgentPeak, sched.Vec{}
		a.windowEnd = now.Add(urgentWindow)
	}
	a.urgentPeak = a.urgentPeak.Max(a.urgentUsed)
}

// bucket limits a rate of jobs; it is a leaky bucket. Its zero value is empty, so that a whole
// burst fits.
type bucket struct {
	// level is the number of jobs that were let in and have not leaked out yet.
	level float64
	at    time.Time
}

// shareBurst is how long an account that was idle may submit at twice its share.
const shareBurst = time.Second

// take adds a job that arrived at a time, and reports whether it is within the rate. A job beyond
// the rate is not added.
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

// accountOf returns the account with a name, nil if the name is empty.
func (c *Cell) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := c.accounts[name]
	if a == nil {
		a = &account{Account: c.configured[name], urgentPriority: c.firstPriority, shares: quota.Ledger{Cells: c.CellCount}}
		a.Name, a.shares.Damaged = name, c.QuotaDamaged != nil && c.QuotaDamaged(name)
		a.updatePart()
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

// setAccounts replaces the configured accounts. An account that is no longer configured keeps its
// limit for the jobs that it has.
func (c *Cell) setAccounts(accounts []Account) {
	c.configured = make(map[string]Account, len(accounts))
	for _, conf := range accounts {
		c.configured[conf.Name] = conf
		if a := c.accounts[conf.Name]; a != nil {
			a.Account = conf
			a.updatePart()
		}
	}
}

// takeShare charges a job to the share of a, and reports whether the job is beyond it.
func (a *account) takeShare(arrived time.Time) (beyond bool) {
	return a != nil && a.Weight > 0 && !a.share.take(a.Weight, arrived)
}

// charge adds the demand of a run to the use of the job's account; refund subtracts it.
func (j *job) charge(demand sched.Vec) {
	j.sharer.charge(demand)
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

// LimitCovers reports whether a demand is within the limit of a.
func (a *Account) LimitCovers(demand sched.Vec) bool {
	for d, limit := range a.Limit {
		if limit > 0 && demand[d] > limit {
			return false
		}
	}
	return true
}

// allows reports whether a may start more, from a queue with a priority, within its limit.
func (a *account) allows(more sched.Vec, priority int) bool {
	return a.covers(a.withMore(more, priority))
}

// withMore returns what a uses with more, from a queue with a priority, and with what has to be left to
// its urgent jobs, in the dimensions that more uses.
func (a *account) withMore(more sched.Vec, priority int) sched.Vec {
	sum := a.used.Add(a.possiblyUsed).Add(more).Add(a.reservedForUrgent(priority))
	for d, n := range more {
		if n == 0 {
			sum[d] = 0
		}
	}
	return sum
}

// covers reports whether a may run the given amount in this cell.
func (a *account) covers(use sched.Vec) bool {
	part := a.part
	if a.claimed {
		part = part.Min(a.shares.AtFirst().Part(a.Limit))
	}
	for d := range use {
		if a.Limit[d] > 0 && use[d] > part[d] {
			return false
		}
	}
	return true
}

// updatePart updates the part of the limit after a change of the limit or the shares.
func (a *account) updatePart() { a.part = a.shares.Part(a.Limit) }

// idle reports whether nothing of a is running or may be running.
func (a *account) idle() bool { return a.used.IsZero() && a.possiblyUsed.IsZero() }

// countPossiblyUsed sets, for each account, the demand of its tasks that a former owner may have
// started on unsettled workers: the waiting tasks of steps that are held up, limited to the room of
// these workers. Filler tasks use processor time beyond that room, but little in comparison.
func (c *Cell) countPossiblyUsed(u *unsettled, now time.Time) {
	for _, a := range c.accounts {
		a.possiblyUsed = sched.Vec{}
		a.claimed = now.Before(a.claimedUntil)
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

// accountAtLimit reports whether the limit of its account prevents any task of s from starting, or
// all of a gang from starting together. A single task larger than the limit may start when nothing
// else of the account is running, in any cell.
func (s *stage) accountAtLimit() bool {
	a := s.job.account
	switch {
	case a == nil:
		return false
	case !s.def.Gang && a.idle() && (a.shares.Sole() || a.covers(s.def.Demand)):
		return false
	}
	return !a.allows(s.startsAtOnce(), s.job.priority)
}

// startsAtOnce returns what starts of s together: a task, or all of a gang.
func (s *stage) startsAtOnce() sched.Vec {
	if s.def.Gang {
		return s.def.Demand.Scale(int64(len(s.tasks)))
	}
	return s.def.Demand
}

// AccountUse is an account with its use of the cell, and the part of its limit that it has here.
type AccountUse struct {
	Account
	Used, PossiblyUsed, Part sched.Vec
}

// usage returns the use of the cell by a, which may be nil.
func (a *account) usage() AccountUse {
	if a == nil {
		return AccountUse{}
	}
	return AccountUse{Account: a.Account, Used: a.used, PossiblyUsed: a.possiblyUsed, Part: a.part}
}

// ExclusiveAccount returns the only account that may query and cancel a job, "" if all may: the
// job's queue is open, or its account is not known. known is false if the cell does not have the job.
func (c *Cell) ExclusiveAccount(id string) (account string, known bool) {
	if j := c.jobs[id]; j != nil {
		return c.exclusiveAccount(j), true
	}
	o, known := c.retired[id]
	return o.account, known
}

// exclusiveAccount returns the only account that may use a job, "" if all may.
func (c *Cell) exclusiveAccount(j *job) string {
	if q := c.queues[j.spec.Queue]; q != nil && q.Open {
		return ""
	}
	return j.spec.Account
}
