// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/quota"
	"dewpass.org/rows"
)

// The owner of a cell asks the owners of the others for shares of a client account's limit; see package
// quota. What a cell has given and received is in its own part of the store and is written with its group
// commits, so that only its owner changes it. An owner says what it has given once the store has it.

const (
	// quotaInterval is the shortest interval between two rounds of asking, and maxQuotaPause the longest
	// between two for an account that got nothing: a step may wait for 3 s at the most.
	quotaInterval = 100 * time.Millisecond
	maxQuotaPause = 800 * time.Millisecond
	// quotaTimeout limits a question: some answers of the store.
	quotaTimeout = 400 * time.Millisecond
	// quotaReturnDelay is after what time without use shares go back to the cells that lent them, so that
	// gangs that follow one another do not ask each time.
	quotaReturnDelay = 2 * time.Second
	// quotaPrefix is the prefix of the names of the rows with a cell's shares, one for each account of
	// which it has ever given or received some.
	quotaPrefix = "quota-"
	// maxQuotasPerCommit limits the rows of a group commit; they take entries reserved for the removal of
	// records.
	maxQuotasPerCommit = 8
	// quotaNameBytes is how many bytes of the hash of an account's name are in the name of its row. The
	// store limits the length of names.
	quotaNameBytes = 12
)

// Whatever a cell gives has to become known to the taker, or nobody can use it. Cells therefore exchange
// what they have given to each other when a cell has a new owner, after an answer that was lost, and after
// shares were given back, until each has heard it from the other.

// QuotaAnswer is the answer of a cell that was asked for shares.
type QuotaAnswer struct {
	Cell string
	// Offer is how many shares it would give.
	Offer int64
	// Given is how many it has ever given to the cell that asks, as the store has it.
	Given int64
}

// quotaRow is the stored form of a cell's shares of an account.
type quotaRow struct {
	Account string `json:"account"`
	quota.Ledger
}

func (d *Driver) quotaKey(account string) rows.Key {
	sum := sha256.Sum256([]byte(account))
	return rows.Key{Table: claim.Table, Part: d.Name, Name: quotaPrefix + hex.EncodeToString(sum[:quotaNameBytes])}
}

func (d *Driver) quotaRange() rows.Range {
	return rows.Range{Table: claim.Table, Part: d.Name, From: quotaPrefix, To: quotaPrefix + "~"}
}

// restoreQuotas applies the stored shares. The lock is held.
func (d *Driver) restoreQuotas(r *rows.RangeReader) {
	damaged := make(map[string]bool)
	for _, b := range r.BadRows {
		damaged[b.Name] = true
		level.Error(d.Log).Log("event", "bad_quota", "row", b.Name, "err", b.Reason)
	}
	d.cell.QuotaDamaged = func(account string) bool { return damaged[d.quotaKey(account).Name] }
	for _, row := range r.Rows {
		var q quotaRow
		if err := json.Unmarshal(row.Value, &q); err != nil {
			damaged[row.Name] = true
			level.Error(d.Log).Log("event", "bad_quota", "row", row.Name, "err", err)
			continue
		}
		d.storedQuotas[q.Account] = q.Clone()
		d.cell.RestoreQuota(q.Account, q.Clone())
	}
}

// putQuotas adds the shares that have changed to a group commit, and returns how many rows it added. The
// lock is held.
func (d *Driver) putQuotas(g *commitGroup) int {
	for _, account := range d.cell.DirtyQuotas(maxQuotasPerCommit) {
		q := quotaRow{Account: account, Ledger: d.cell.Quota(account)}
		g.quotas = append(g.quotas, q)
		g.tx.Put = append(g.tx.Put, rows.Row{Key: d.quotaKey(account), Value: flow.Encode(q)})
	}
	return len(g.quotas)
}

// quotasCommitted applies the result of a group commit. The lock is held.
func (d *Driver) quotasCommitted(quotas []quotaRow, ok bool) {
	for _, q := range quotas {
		if ok {
			d.storedQuotas[q.Account] = q.Ledger
		} else {
			d.cell.MarkQuotaDirty(q.Account)
		}
	}
}

// watchQuotas asks other cells for the shares that steps here wait for.
func (d *Driver) watchQuotas() {
	pauses := make(map[quotaCase]quotaPause)
	var exchanged quotaPause
	for d.ctx.Err() == nil {
		d.sleep(quotaInterval)
		if !d.Elsewhere.AllLend() {
			// An instance of an earlier build knows of no shares: as the next owner of a cell that has
			// lent some it would count with all that the cell had at first.
			d.returnQuotas(0)
			continue
		}
		d.returnQuotas(quotaReturnDelay)
		if now := clock.Now(); d.exchangeDue() && now.After(exchanged.until) {
			exchanged.next(now, d.exchangeGifts())
		}
		for _, n := range d.quotaNeeds() {
			at := quotaCase{n.Account, n.Wide}
			p, now := pauses[at], clock.Now()
			if now.Before(p.until) {
				continue
			}
			p.next(now, d.askForQuota(n))
			pauses[at] = p
		}
	}
}

// next sets the pause after an attempt.
func (p *quotaPause) next(now time.Time, ok bool) {
	if ok {
		*p = quotaPause{}
		return
	}
	p.length = min(max(2*p.length, quotaInterval), maxQuotaPause)
	p.until = now.Add(p.length)
}

// exchangeDue reports whether some cell has yet to tell what it has given to this one, or to hear what
// this one has given to it.
func (d *Driver) exchangeDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded && !d.frozen && len(d.giftsKnown) < d.Config.Cells-1
}

// exchangeGifts exchanges with the other cells what they and this one have given to each other, and
// reports whether all have answered.
func (d *Driver) exchangeGifts() bool {
	ctx, cancel := context.WithTimeout(d.ctx, quotaTimeout)
	defer cancel()
	d.mu.Lock()
	known := maps.Clone(d.giftsKnown)
	d.mu.Unlock()
	for _, g := range d.Elsewhere.ExchangeGifts(ctx, d, func(cell string) bool { return !known[cell] }) {
		d.ReceiveGifts(g.Cell, g.Gifts)
	}
	return !d.exchangeDue()
}

// Gifts are the shares of each account that a cell has ever given to another one.
type Gifts struct {
	Cell  string
	Gifts map[string]int64
}

// GiftsTo returns how many shares of each account this cell has ever given to another one, once the store
// has that.
func (d *Driver) GiftsTo(ctx context.Context, to string) (map[string]int64, error) {
	d.mu.Lock()
	ready, given := d.loaded && !d.frozen, d.cell.QuotaGifts(to)
	d.mu.Unlock()
	if !ready {
		return nil, errCellNotLoaded()
	}
	for account, n := range given {
		if _, err := d.awaitGift(ctx, account, to, n); err != nil {
			return nil, err
		}
	}
	return given, nil
}

// ReceiveGifts records how many shares of each account another cell says that it has ever given to this
// one.
func (d *Driver) ReceiveGifts(from string, gifts map[string]int64) {
	for account, given := range gifts {
		d.receiveQuota(account, []QuotaAnswer{{Cell: from, Given: given}})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.giftsKnown[from] = true
}

func errCellNotLoaded() error {
	return kind.New(kind.Unavailable, "the jobs of the cell are not loaded yet")
}

// quotaCase tells the needs of an account that are asked for separately, and quotaPause is for how long
// one of them is not asked for.
type quotaCase struct {
	account string
	wide    bool
}

type quotaPause struct {
	until  time.Time
	length time.Duration
}

func (d *Driver) quotaNeeds() []quota.Need {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.frozen {
		return nil
	}
	return d.cell.QuotaNeeds(clock.Wall())
}

// returnQuotas gives back what other cells have lent and was not used for a time.
func (d *Driver) returnQuotas(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.frozen {
		return
	}
	for _, cell := range d.cell.ReturnQuota(after, clock.Now()) {
		delete(d.giftsKnown, cell)
	}
	if d.cell.QuotasDirty() {
		notify(d.commitNow)
	}
}

// askForQuota asks the other cells for shares, takes what they offer if it is enough, and reports whether
// it got any.
func (d *Driver) askForQuota(n quota.Need) bool {
	answers := d.askCells(n, nil)
	if d.receiveQuota(n.Account, answers) {
		// An answer of before was lost. With what it brought, less may be needed.
		return true
	}
	var offers []quota.Offered
	for _, a := range answers {
		offers = append(offers, quota.Offered{Cell: a.Cell, Shares: a.Offer})
	}
	takes := n.Takes(offers)
	if len(takes) == 0 {
		return false
	}
	answers = d.askCells(n, takes)
	d.noteUnanswered(takes, answers)
	got := d.receiveQuota(n.Account, answers)
	level.Info(d.Log).Log("event", "quota_taken", "cell", d.Name, "epoch", d.Claim.Epoch(), "account", n.Account, "job", n.Order.Job,
		"wide", n.Wide, "needed", n.Least, "wanted", n.Shares, "cells", len(takes), "got", got)
	return got
}

// askCells asks the other cells for shares, or takes some. Each question has a time of its own: a cell that
// does not answer must not keep this one from taking what others offer.
func (d *Driver) askCells(n quota.Need, takes []quota.Offered) []QuotaAnswer {
	ctx, cancel := context.WithTimeout(d.ctx, quotaTimeout)
	defer cancel()
	return d.Elsewhere.AskQuota(ctx, d.Name, n, takes)
}

// noteUnanswered notes which cells may have given shares without this one knowing.
func (d *Driver) noteUnanswered(takes []quota.Offered, answers []QuotaAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range takes {
		if !slices.ContainsFunc(answers, func(a QuotaAnswer) bool { return a.Cell == t.Cell }) {
			delete(d.giftsKnown, t.Cell)
		}
	}
}

// receiveQuota records what other cells have given, and reports whether that was more than was known.
func (d *Driver) receiveQuota(account string, answers []QuotaAnswer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	got := false
	for _, a := range answers {
		got = d.cell.ReceiveQuota(account, a.Cell, a.Given, clock.Now()) || got
	}
	if got {
		d.Scope.Counter("quota_received_total").Inc(1)
		notify(d.placeNow)
		notify(d.commitNow)
	}
	return got
}

// GiveQuota gives up to so many shares to another cell that has a need, none if take is 0. It returns once
// the store has that.
func (d *Driver) GiveQuota(ctx context.Context, to string, n quota.Need, take int64) (QuotaAnswer, error) {
	d.mu.Lock()
	if !d.loaded || d.frozen {
		d.mu.Unlock()
		return QuotaAnswer{}, errCellNotLoaded()
	}
	now, wall := clock.Now(), clock.Wall()
	if given := d.cell.GiveQuota(n, to, take, now, wall); given > 0 {
		level.Info(d.Log).Log("event", "quota_given", "cell", d.Name, "epoch", d.Claim.Epoch(), "account", n.Account, "to", to, "shares", given, "job", n.Order.Job, "wide", n.Wide)
		notify(d.commitNow)
	}
	a := QuotaAnswer{Cell: d.Name, Offer: d.cell.OfferQuota(n, now, wall)}
	given := d.cell.Quota(n.Account).Given[to]
	d.mu.Unlock()
	var err error
	a.Given, err = d.awaitGift(ctx, n.Account, to, given)
	return a, err
}

// awaitGift waits until the store has that this cell has given so many shares of an account to another
// one, and returns how many it has.
func (d *Driver) awaitGift(ctx context.Context, account, to string, given int64) (int64, error) {
	for {
		kept := d.persistedSignal()
		if stored := d.storedGift(account, to); stored >= given {
			return stored, nil
		}
		select {
		case <-kept:
		case <-d.ctx.Done():
			return 0, kind.New(kind.Unavailable, "the cell has been given up")
		case <-ctx.Done():
			return 0, kind.Wrap(kind.Unavailable, ctx.Err(), "shares")
		}
	}
}

// storedGift returns how many shares of an account the cell has ever given to another one, as the store
// has it.
func (d *Driver) storedGift(account, to string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storedQuotas[account].Given[to]
}
