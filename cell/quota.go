// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"maps"
	"slices"
	"time"

	"dewpass.org/quota"
)

// With several cells, each has shares of the limits of client accounts; see package quota. What an
// account runs here stays within the part that its shares are.

// claimTime is for how long a cell that has shares of another one starts no more of an account than it
// could with its own, after the other one has asked for them: several rounds of asking.
const claimTime = time.Second

// QuotaNeeds returns what steps need that wait only for the limit of their account: for each account,
// that of the first step that is wide and of the first other one.
func (c *Cell) QuotaNeeds(wall time.Time) []quota.Need {
	var out []quota.Need
	for _, s := range c.openStages {
		if s.waiting == 0 || !s.ready() || !s.job.stored || s.due.After(wall) || !s.accountAtLimit() {
			continue
		}
		need, ok := s.quotaNeed()
		if !ok {
			continue
		}
		at := slices.IndexFunc(out, func(n quota.Need) bool { return n.Account == need.Account && n.Wide == need.Wide })
		switch {
		case at < 0:
			out = append(out, need)
		case need.Order.Compare(out[at].Order) < 0:
			out[at] = need
		}
	}
	return out
}

// quotaNeed returns what s, whose account is at its limit here, needs to start. ok is false if shares of
// other cells do not help.
func (s *stage) quotaNeed() (n quota.Need, ok bool) {
	a := s.job.account
	l := &a.shares
	have, all := l.Shares(), l.All()
	n = quota.Need{
		Account: a.Name, Wide: l.Wide(a.Limit, s.startsAtOnce()), Excess: l.Excess(),
		Order: quota.Order{Priority: s.job.priority, AcceptedMS: s.job.spec.AcceptedMS, Job: s.job.spec.ID},
	}
	if !s.def.Gang && !a.LimitCovers(s.def.Demand) {
		// Such a task runs alone, so nothing may run in any other cell.
		n.Shares, n.Least = all-have, all-have
		return n, a.idle() && n.Least > 0 && !l.Damaged
	}
	least := l.Needed(a.Limit, a.withMore(s.startsAtOnce(), s.job.priority))
	n.Least, n.Shares = least-have, least-have
	if !s.def.Gang {
		waiting := a.withMore(s.def.Demand.Scale(int64(s.waiting)), s.job.priority).Min(a.Limit)
		n.Shares = max(n.Least, l.Needed(a.Limit, waiting)-have)
	}
	return n, n.Least > 0 && least <= all && !l.Damaged
}

// OfferQuota returns how many shares of an account's limit this cell gives to another one with a need.
func (c *Cell) OfferQuota(n quota.Need, now, wall time.Time) int64 {
	a := c.accountOf(n.Account)
	if a == nil || c.anyUnsettled() {
		// What a former owner started may be using them.
		return 0
	}
	offer := a.shares.Offer(a.unusedShares(), n, c.ownNeed(n.Account, wall))
	if claim := min(a.shares.Excess(), -n.Excess, n.Shares); offer < claim {
		// What ends here is not replaced until the other cell has what it had at first.
		a.claimedUntil = now.Add(claimTime)
	}
	return offer
}

// anyUnsettled reports whether a worker may have runs that this owner does not know yet.
func (c *Cell) anyUnsettled() bool {
	return slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return !w.settled })
}

// ownNeed returns the need of an account here, a wide one if there is any; nil if there is none.
func (c *Cell) ownNeed(account string, wall time.Time) *quota.Need {
	var own *quota.Need
	for _, n := range c.QuotaNeeds(wall) {
		if n.Account == account && (own == nil || n.Wide) {
			own = &n
		}
	}
	return own
}

// unusedShares returns how many shares a does not use.
func (a *account) unusedShares() int64 {
	return a.shares.Shares() - a.shares.Needed(a.Limit, a.used.Add(a.possiblyUsed).Min(a.Limit))
}

// GiveQuota gives up to so many shares to another cell that has a need, and returns how many it gave.
func (c *Cell) GiveQuota(n quota.Need, to string, shares int64, now, wall time.Time) int64 {
	shares = min(shares, c.OfferQuota(n, now, wall))
	if shares <= 0 {
		return 0
	}
	a := c.accountOf(n.Account)
	a.shares.Give(to, shares)
	c.quotaChanged(a)
	return shares
}

// ReceiveQuota records how many shares another cell has ever given to this one.
func (c *Cell) ReceiveQuota(account, from string, given int64, now time.Time) bool {
	a := c.accountOf(account)
	if a == nil || !a.shares.Receive(from, given) {
		return false
	}
	a.borrowedAt = now
	c.quotaChanged(a)
	return true
}

// ReturnQuota gives back to other cells what they lent and was not used for a time, and returns these
// cells. In this cell it would be out of reach for all while the cell has no owner.
func (c *Cell) ReturnQuota(after time.Duration, now time.Time) (returned []string) {
	for _, a := range c.accounts {
		if a.shares.Excess() <= 0 || c.anyUnsettled() {
			continue
		}
		if a.unusedShares() < a.shares.Excess() {
			a.borrowedAt = now
		}
		if now.Sub(a.borrowedAt) < after {
			continue
		}
		lent := a.shares.Lent()
		for _, cell := range slices.Sorted(maps.Keys(lent)) {
			if n := min(lent[cell], a.unusedShares(), a.shares.Excess()); n > 0 {
				a.shares.Give(cell, n)
				c.quotaChanged(a)
				returned = append(returned, cell)
			}
		}
	}
	return returned
}

// QuotaGifts returns how many shares of each account this cell has ever given to another one.
func (c *Cell) QuotaGifts(to string) map[string]int64 {
	out := make(map[string]int64)
	for name, a := range c.accounts {
		if n := a.shares.Given[to]; n > 0 {
			out[name] = n
		}
	}
	return out
}

func (c *Cell) quotaChanged(a *account) {
	a.updatePart()
	c.MarkQuotaDirty(a.Name)
	for _, s := range c.openStages {
		if s.job.account == a {
			s.backoff = backoff{}
		}
	}
}

// MarkQuotaDirty has the shares of an account saved.
func (c *Cell) MarkQuotaDirty(account string) {
	if !slices.Contains(c.dirtyQuotas, account) {
		c.dirtyQuotas = append(c.dirtyQuotas, account)
	}
}

// QuotasDirty reports whether shares have to be saved.
func (c *Cell) QuotasDirty() bool { return len(c.dirtyQuotas) > 0 }

// DirtyQuotas returns the accounts whose shares have changed since they were last returned, at most
// limit.
func (c *Cell) DirtyQuotas(limit int) []string {
	n := min(limit, len(c.dirtyQuotas))
	out := slices.Clone(c.dirtyQuotas[:n])
	c.dirtyQuotas = slices.Delete(c.dirtyQuotas, 0, n)
	return out
}

// Quota returns a copy of the shares of an account.
func (c *Cell) Quota(account string) quota.Ledger {
	a := c.accountOf(account)
	if a == nil {
		return quota.Ledger{Cells: c.CellCount}
	}
	return a.shares.Clone()
}

// RestoreQuota sets the shares of an account as a former owner has stored them.
func (c *Cell) RestoreQuota(account string, l quota.Ledger) {
	if a := c.accountOf(account); a != nil {
		l.Cells = c.CellCount
		a.shares = l
		a.updatePart()
	}
}
