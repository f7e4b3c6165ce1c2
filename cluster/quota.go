// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/driver"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/quota"
	"dewpass.org/wire"
)

// allLend reports whether all live instances know of shares of limits.
func (m *members) allLend(now time.Time) bool {
	return !m.anyLive(now, func(k *member) bool { return !k.lendsLimits })
}

// AllLend implements driver.Elsewhere.
func (e elsewhere) AllLend() bool { return e.n.members.allLend(clock.Now()) }

// AskQuota implements driver.Elsewhere.
func (e elsewhere) AskQuota(ctx context.Context, from string, need quota.Need, takes []quota.Offered) []driver.QuotaAnswer {
	var mu sync.Mutex
	var out []driver.QuotaAnswer
	var asked sync.WaitGroup
	ask := func(cell string, take int64) {
		asked.Go(func() {
			a, err := e.n.askQuota(ctx, cell, from, need, take)
			if err != nil {
				level.Info(e.n.kit.Log).Log("event", "quota_not_answered", "cell", cell, "from", from, "account", need.Account, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
	}
	for _, t := range takes {
		ask(t.Cell, t.Shares)
	}
	for _, cell := range e.n.division.cells() {
		if cell != from && len(takes) == 0 {
			ask(cell, 0)
		}
	}
	asked.Wait()
	return out
}

// askQuota asks the owner of a cell for shares that another cell needs.
func (n *Instance) askQuota(ctx context.Context, cell, from string, need quota.Need, take int64) (driver.QuotaAnswer, error) {
	if d := n.ownDriver(cell); d != nil {
		return d.GiveQuota(ctx, from, need, take)
	}
	o := n.members.owner(cell, clock.Now())
	if o == nil {
		return driver.QuotaAnswer{}, kind.New(kind.Unavailable, "no owner of the cell is known")
	}
	reply, err := n.dialer.Do(ctx, o.addr, &wire.Request{Body: &wire.Request_Quota{Quota: &wire.QuotaAsk{
		Cell: cell, From: from, Account: need.Account, Shares: need.Shares, Least: need.Least, Wide: need.Wide,
		Priority: int32(need.Order.Priority), AcceptedMs: need.Order.AcceptedMS, Job: need.Order.Job, Excess: need.Excess, Take: take,
	}}})
	if err != nil {
		return driver.QuotaAnswer{}, err
	}
	return driver.QuotaAnswer{Cell: cell, Offer: reply.GetQuota().GetOffer(), Given: reply.GetQuota().GetGiven()}, nil
}

// handleQuota answers the owner of another cell that needs shares of an own one.
func (n *Instance) handleQuota(ctx context.Context, q *wire.QuotaAsk) (*wire.Reply, error) {
	if !n.members.allLend(clock.Now()) {
		return nil, kind.New(kind.Unavailable, "an instance of an earlier build is live")
	}
	d := n.ownDriver(q.Cell)
	if d == nil {
		return nil, kind.New(kind.Unavailable, "this instance does not own the cell")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := d.GiveQuota(ctx, q.From, quota.Need{
		Account: q.Account, Shares: q.Shares, Least: q.Least, Wide: q.Wide, Excess: q.Excess,
		Order: quota.Order{Priority: int(q.Priority), AcceptedMS: q.AcceptedMs, Job: q.Job},
	}, q.Take)
	return &wire.Reply{Body: &wire.Reply_Quota{Quota: &wire.QuotaAnswer{Offer: a.Offer, Given: a.Given}}}, err
}

// ExchangeGifts implements driver.Elsewhere.
func (e elsewhere) ExchangeGifts(ctx context.Context, d *driver.Driver, due func(cell string) bool) []driver.Gifts {
	var mu sync.Mutex
	var out []driver.Gifts
	var asked sync.WaitGroup
	for _, cell := range e.n.division.cells() {
		if cell == d.Name || !due(cell) {
			continue
		}
		asked.Go(func() {
			gifts, err := e.n.exchangeGifts(ctx, cell, d)
			if err != nil {
				level.Debug(e.n.kit.Log).Log("event", "gifts_not_exchanged", "cell", cell, "from", d.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, driver.Gifts{Cell: cell, Gifts: gifts})
		})
	}
	asked.Wait()
	return out
}

// exchangeGifts tells the owner of a cell what the cell of d has given to it, and returns what that has
// given to the cell of d.
func (n *Instance) exchangeGifts(ctx context.Context, cell string, d *driver.Driver) (map[string]int64, error) {
	given, err := d.GiftsTo(ctx, cell)
	if err != nil {
		return nil, err
	}
	if other := n.ownDriver(cell); other != nil {
		other.ReceiveGifts(d.Name, given)
		return other.GiftsTo(ctx, d.Name)
	}
	o := n.members.owner(cell, clock.Now())
	if o == nil {
		return nil, kind.New(kind.Unavailable, "no owner of the cell is known")
	}
	reply, err := n.dialer.Do(ctx, o.addr, &wire.Request{Body: &wire.Request_QuotaGifts{QuotaGifts: quotaGifts(cell, d.Name, given)}})
	return giftsOf(reply.GetQuotaGifts()), err
}

// handleGifts answers the owner of another cell that exchanges gifts with an own one.
func (n *Instance) handleGifts(ctx context.Context, q *wire.QuotaGifts) (*wire.Reply, error) {
	d := n.ownDriver(q.Cell)
	if d == nil {
		return nil, kind.New(kind.Unavailable, "this instance does not own the cell")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	// What is given back from now on has the cells exchange again.
	d.ReceiveGifts(q.From, giftsOf(q))
	given, err := d.GiftsTo(ctx, q.From)
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Body: &wire.Reply_QuotaGifts{QuotaGifts: quotaGifts(q.From, q.Cell, given)}}, nil
}

func quotaGifts(cell, from string, gifts map[string]int64) *wire.QuotaGifts {
	out := &wire.QuotaGifts{Cell: cell, From: from}
	for account, given := range gifts {
		out.Gifts = append(out.Gifts, &wire.QuotaGift{Account: account, Given: given})
	}
	return out
}

func giftsOf(m *wire.QuotaGifts) map[string]int64 {
	out := make(map[string]int64)
	for _, g := range m.GetGifts() {
		out[g.Account] = g.Given
	}
	return out
}
