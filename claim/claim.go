// SPDX-License-Identifier: Apache-2.0

// Package claim keeps one owner for each cell, through one row of the store.
//
// The row is the cell's Lease. It names the owner and its epoch, which rises
// with each change of owner. An owner writes the lease again with everything
// that it writes, on the condition that nobody else did in between. That one
// row serves three ends:
//
//   - a former owner's writes are refused, whenever they arrive;
//   - a write whose answer was lost is settled by reading the lease back: it
//     holds the mark of the write, or it does not and the same write is sent
//     again, of which at most one can take effect;
//   - others see that the owner lives and writes, and read for how long it goes on
//     without. The lease says when it was written by the store's own clock, so that one
//     reading shows for how long it has gone unwritten.
package claim

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// An owner may give orders that outlast a change of owner for a while after its
// last write, and says in the lease for how long. Others take a lease only after it
// has gone unwritten for Margin longer. The while is between ValidLeast and
// ValidMost: the slower writes are, the longer. ValidLeast is twice the time between the
// writes of a live owner: nothing starts for as long once an owner is gone.
const (
	ValidLeast = 400 * time.Millisecond
	ValidMost  = 2 * time.Second
	Margin     = 150 * time.Millisecond
	// validWrites is how many writes of the length of the last one fit into it.
	validWrites = 3
)

// AbsentWait is how much longer a lease has to go unwritten before an instance takes it that
// it names as absent. So long an owner that the store does not answer may go on without an
// answer of those: an instance that was lost shortly before an outage of the store ended
// all orders for its length, 4.2 s.
const AbsentWait = 8 * time.Second

// Silence is how long a lease that says nothing of it may go unwritten.
const Silence = ValidMost + Margin

// Table is the table of the cell leases; the cell's name is the part.
const Table = "cells"

// leaseName is the row's name. It stays what it was at first, since instances of two
// versions read it during an upgrade.
const leaseName = "seat"

const (
	// checkEvery is how long a write may be without an answer before the lease
	// is read to see what became of it.
	checkEvery = 150 * time.Millisecond
	// retryPause spaces the tries of a write that was turned away.
	retryPause = 40 * time.Millisecond
	// A write that is not there after patience times as long as answers take is
	// sent again, between patienceLeast and patienceMost: its answer may be lost,
	// and it may take effect seconds later or never.
	patience      = 4
	patienceLeast = 200 * time.Millisecond
	patienceMost  = 1500 * time.Millisecond
)

// Lease is the row of a cell: who owns it, and for how long without another write.
type Lease struct {
	// Owner is empty once an owner has left as planned.
	Owner string `json:"owner,omitempty"`
	Boot  string `json:"boot,omitempty"`
	Addr  string `json:"addr,omitempty"`
	Epoch uint64 `json:"epoch"`
	// ValidMS is for how long after this write its owner may give orders, in
	// milliseconds.
	ValidMS int64 `json:"valid_ms,omitempty"`
	// WrittenMS is when this write was begun, or somewhat later, by the store's clock in
	// milliseconds; 0 if the writer did not know that clock.
	WrittenMS int64 `json:"written_ms,omitempty"`
	// Absent names the instances that its owner did not hear when it was written.
	Absent []string `json:"absent,omitempty"`
	// Mark is unique to each write.
	Mark string `json:"mark"`
}

// Silence returns how long the lease may go unwritten before it may be taken.
func (s Lease) Silence() time.Duration {
	if s.ValidMS == 0 {
		return Silence
	}
	return time.Duration(s.ValidMS)*time.Millisecond + Margin
}

// SilenceFor returns how long the lease may go unwritten before an instance may take it.
func (s Lease) SilenceFor(instance string) time.Duration {
	if slices.Contains(s.Absent, instance) {
		return s.Silence() + AbsentWait
	}
	return s.Silence()
}

// Seen is a lease as a reading showed it.
type Seen struct {
	Lease
	// Ver is the version of its row.
	Ver uint64
	// Unwritten is for how long it had gone unwritten, by the store's clock: 0 if that is
	// not known.
	Unwritten time.Duration

	clock storeClock
}

// SeenIn returns the lease that a reading of Range brought, which was begun at asked.
func SeenIn(page rows.Page, asked time.Time) Seen {
	row := page.One()
	if row.Ver == 0 && len(page.Bad) > 0 {
		row.Ver = page.Bad[0].Ver
	}
	s := Seen{Lease: decode(row), Ver: row.Ver, clock: storeClock{ms: page.ClockMS, asked: asked}}
	if s.WrittenMS > 0 && page.ClockMS > s.WrittenMS {
		s.Unwritten = time.Duration(page.ClockMS-s.WrittenMS) * time.Millisecond
	}
	return s
}

// storeClock is the store's clock as an answer showed it.
type storeClock struct {
	ms int64
	// asked is when the call was begun whose answer it was: the store's clock did not
	// show more than ms then, and showed ms before the answer came.
	asked time.Time
}

// driftShare is how much slower than the store's clock this one may run, in hundredths.
const driftShare = 3

// latest returns what the store's clock shows at the most at a time, 0 if it is not known.
func (c storeClock) latest(now time.Time) int64 {
	if c.ms == 0 {
		return 0
	}
	age := now.Sub(c.asked)
	age += age * driftShare / 100
	// Both readings are cut to whole milliseconds.
	return c.ms + age.Milliseconds() + 2
}

// Write is a write of a lease that took effect.
type Write struct {
	// Begun is when it was begun, and Ver the version that it made.
	Begun time.Time
	Ver   uint64
	// Valid is for how long after Begun the owner may give orders.
	Valid time.Duration
	// Absent are the instances that it names as absent.
	Absent []string
}

// Excused returns the instances of which the owner needs no answer to go on for the reason
// that all others answer it.
func (w Write) Excused(now time.Time) []string {
	if now.Sub(w.Begun) < AbsentWait {
		return w.Absent
	}
	return nil
}

// Claim is an instance's view of a cell's lease. Its exported fields must be
// set before use. Only Epoch, Held, Valid and Written may be called beside others.
type Claim struct {
	Store rows.Store
	Cell  string
	Owner string
	Boot  string
	Addr  string
	// Absent returns the instances that the next write names as absent; nil is none.
	Absent func() []string

	epoch uint64
	ver   uint64
	count uint64
	// took is how long the last write took.
	took time.Duration
	// answers is how long answered writes take.
	answers time.Duration
	clock   storeClock
	written atomic.Pointer[Write]
}

// Epoch returns the epoch under which the lease is held.
func (c *Claim) Epoch() uint64 { return c.epoch }

// Written returns the last write that took effect: while it is valid, nobody else
// can hold the lease.
func (c *Claim) Written() Write {
	if w := c.written.Load(); w != nil {
		return *w
	}
	return Write{}
}

// Valid reports whether the last write is still valid.
func (c *Claim) Valid(now time.Time) bool {
	w := c.Written()
	return now.Sub(w.Begun) < w.Valid
}

// Range returns the range that holds nothing but the lease of a cell.
func Range(cell string) rows.Range {
	return rows.Only(rows.Key{Table: Table, Part: cell, Name: leaseName})
}

func (c *Claim) key() rows.Key { return rows.Key{Table: Table, Part: c.Cell, Name: leaseName} }

// Read returns the lease as it stands.
func (c *Claim) Read(ctx context.Context) (Seen, error) {
	asked := clock.Now()
	page, err := c.Store.Get(ctx, Range(c.Cell))
	if err != nil {
		return Seen{}, err
	}
	return SeenIn(page, asked), nil
}

// unreadable stands for the owner of a lease that cannot be read.
const unreadable = "?"

// decode reads the lease in a row. One that cannot be read is taken for that of somebody else,
// who may go on for as long as any owner does. Its epoch is not known, but not above the row's
// version, as each change of owner is a write: the next owner's is above both.
func decode(row rows.Row) Lease {
	if row.Ver == 0 {
		return Lease{}
	}
	var s Lease
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return Lease{Owner: unreadable, Epoch: row.Ver}
	}
	return s
}

// Held reports whether the lease is still the Claim's own.
func (c *Claim) Held(ctx context.Context) (bool, error) {
	lease, err := c.Read(ctx)
	return lease.Boot == c.Boot && lease.Owner == c.Owner && lease.Epoch == c.epoch, err
}

// Take takes the lease that was read before. Its error is of kind Fenced if
// another instance was first.
func (c *Claim) Take(ctx context.Context, seen Seen) error {
	c.epoch, c.ver, c.clock = seen.Epoch+1, seen.Ver, seen.clock
	_, err := c.write(ctx, c.Owner, rows.Tx{})
	return err
}

// Release gives the lease up, so that another instance takes it at once.
func (c *Claim) Release(ctx context.Context) error {
	_, err := c.write(ctx, "", rows.Tx{})
	return err
}

// Commit writes t together with the lease. It returns the versions of the rows
// that were expected otherwise, with an error of kind Conflict; an error of
// kind Fenced if the lease is lost; and goes on trying until ctx ends otherwise.
func (c *Claim) Commit(ctx context.Context, t rows.Tx) (rows.Result, error) {
	return c.write(ctx, c.Owner, t)
}

// write writes t together with the lease, which names owner.
func (c *Claim) write(ctx context.Context, owner string, t rows.Tx) (rows.Result, error) {
	c.count++
	valid := min(max(validWrites*c.took, ValidLeast), ValidMost)
	// However often it is sent, it may be the first sending that takes effect, and
	// others may count from there.
	begun := clock.Now()
	lease := Lease{
		Owner: owner, Boot: c.Boot, Addr: c.Addr, Epoch: c.epoch,
		Mark: c.mark(), ValidMS: valid.Milliseconds(), WrittenMS: c.clock.latest(begun),
	}
	if c.Absent != nil {
		lease.Absent = c.Absent()
	}
	raw, err := json.Marshal(lease)
	if err != nil {
		return rows.Result{}, kind.Wrap(kind.Internal, err, "cell lease")
	}
	t.Expect = append([]rows.Check{{Key: c.key(), Ver: c.ver}}, t.Expect...)
	t.Put = append([]rows.Row{{Key: c.key(), Value: raw}}, t.Put...)
	for {
		t.Expect[0].Ver = c.ver
		res, err := c.attempt(ctx, t, lease.Mark)
		if err == nil {
			c.took = clock.Since(begun)
			c.written.Store(&Write{Begun: begun, Ver: c.ver, Valid: valid, Absent: lease.Absent})
		}
		if err == nil || kind.Is(err, kind.Fenced) || kind.Is(err, kind.Conflict) {
			return res, err
		}
		if err := pause(ctx, retryPause); err != nil {
			return res, err
		}
	}
}

// mark returns what no other write bears. The instance's name is part of it: two
// instances that were started together have had the same Boot.
func (c *Claim) mark() string {
	return c.Owner + "/" + c.Boot + "." + strconv.FormatUint(c.count, 10)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return kind.Wrap(kind.Lost, ctx.Err(), "write to the store")
	}
}

// attempt sends the write once. While there is no answer it looks at the lease.
func (c *Claim) attempt(ctx context.Context, t rows.Tx, mark string) (rows.Result, error) {
	begun := clock.Now()
	send := rows.Attempt{
		Store: c.Store, Tx: t, Every: checkEvery,
		Limit: min(max(patience*c.answers, patienceLeast), patienceMost),
		Look:  func(ctx context.Context) (rows.Result, bool, error) { return c.look(ctx, mark) },
	}
	res, answered, err := send.Send(ctx)
	if !answered {
		return res, err
	}
	if err == nil {
		c.clock = storeClock{ms: res.ClockMS, asked: begun}
		c.answers += (clock.Since(begun) - c.answers) / answersWeight
	}
	return c.settle(ctx, res, err, mark)
}

// answersWeight is the weight of what was before in how long answers take, as a
// divisor.
const answersWeight = 4

// settle turns the answer of a write into what became of it.
func (c *Claim) settle(ctx context.Context, res rows.Result, err error, mark string) (rows.Result, error) {
	switch {
	case err != nil && kind.Is(err, kind.Lost):
		if seen, known, err := c.look(ctx, mark); known {
			return seen, err
		}
		return res, err
	case err != nil:
		return res, err
	case !res.Refused:
		c.ver = res.Ver
		return res, nil
	}
	for _, row := range res.Rows {
		if row.Key != c.key() || row.Ver == c.ver {
			continue
		}
		return c.verdict(row, mark)
	}
	return res, kind.New(kind.Conflict, "a row is not as expected")
}

// look reads the lease and reports whether that tells what became of the write.
func (c *Claim) look(ctx context.Context, mark string) (rows.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*checkEvery)
	defer cancel()
	page, err := c.Store.Get(ctx, Range(c.Cell))
	if err != nil {
		return rows.Result{}, false, err
	}
	row := page.One()
	if row.Ver <= c.ver {
		// Nothing has changed yet, or the answer is a stale one.
		return rows.Result{}, false, nil
	}
	res, err := c.verdict(row, mark)
	return res, true, err
}

// verdict is for a lease that has changed: by this write, or by another owner.
func (c *Claim) verdict(row rows.Row, mark string) (rows.Result, error) {
	lease := decode(row)
	switch {
	case lease.Mark == mark:
		c.ver = row.Ver
		return rows.Result{Ver: row.Ver}, nil
	case lease.Owner == c.Owner && lease.Boot == c.Boot && lease.Epoch == c.epoch:
		// An earlier write of this instance, of which it gave up waiting for the
		// answer, took effect after all: this one has to be sent again on top.
		c.ver = row.Ver
		return rows.Result{}, kind.New(kind.Lost, "an earlier write came late")
	}
	return rows.Result{}, kind.New(kind.Fenced, "another instance holds the cell's lease")
}
