// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"context"
	"sync/atomic"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/uid"
	"dewpass.org/rows"
)

// An owner may send orders to workers for a while after its last write, and the lease states for
// how long (its validity). Another instance may take the lease only once it has not been written
// for the validity plus TakeoverMargin. The validity lies between MinValidity and MaxValidity and
// grows with the time that writes take. MinValidity is twice the write interval of a live owner;
// after an owner fails, nothing starts for at least that long.
const (
	MinValidity    = 400 * time.Millisecond
	MaxValidity    = 2 * time.Second
	TakeoverMargin = 150 * time.Millisecond
	// writesPerValidity is the validity in multiples of the duration of the last write.
	writesPerValidity = 3
)

// AbsentTakeoverDelay is the extra time for which an instance that the lease names as absent must
// wait before it takes the lease. For as long, an owner without access to the store may go on
// although the absent instances do not answer it: an instance that is lost shortly before an outage
// of the store would otherwise block all orders until the outage is over.
const AbsentTakeoverDelay = 8 * time.Second

// DefaultExpiry is how long a lease that states no validity may go unwritten before it may be
// taken.
const DefaultExpiry = MaxValidity + TakeoverMargin

// Table is the table of cell leases. The part is the name of the cell.
const Table = "cells"

// leaseRowName is the name of the lease row. It must not change: instances of different versions
// read the row during a rolling upgrade.
const leaseRowName = "seat"

// Write describes a write of the lease that took effect.
type Write struct {
	// Begun is when the write was begun, and Ver the row version that it created.
	Begun time.Time
	Ver   uint64
	// Valid is for how long after Begun the owner may send orders.
	Valid time.Duration
	// Absent are the instances that the lease names as absent.
	Absent []string
}

// ExemptInstances returns the instances that need not answer the owner: an owner whose lease is no
// longer valid may go on while all other instances answer it.
func (w Write) ExemptInstances(now time.Time) []string {
	if now.Sub(w.Begun) < AbsentTakeoverDelay {
		return w.Absent
	}
	return nil
}

// Claim takes, renews and releases the lease of a cell on behalf of one instance. Its exported
// fields must be set before use. Only Epoch, Held, Valid and LastWrite may be called concurrently
// with other methods.
type Claim struct {
	Store rows.Store
	Cell  string
	Owner string
	Boot  string
	Addr  string
	// Absent returns the instances that the next write names as absent. It may be nil.
	Absent func() []string

	epoch uint64
	ver   uint64
	// markPrefix begins the marks of this Claim's writes, and of no others.
	markPrefix string
	writeCount uint64
	// lastWriteTook is the duration of the last write, including retries.
	lastWriteTook time.Duration
	// avgResponse is the moving average of response times.
	avgResponse time.Duration
	clock       storeClock
	lastWrite   atomic.Pointer[Write]
}

// Epoch returns the epoch under which the lease was taken.
func (c *Claim) Epoch() uint64 { return c.epoch }

// LastWrite returns the last write that took effect. No other instance can hold the lease while it
// is valid.
func (c *Claim) LastWrite() Write {
	if w := c.lastWrite.Load(); w != nil {
		return *w
	}
	return Write{}
}

// Valid reports whether the last write is still valid.
func (c *Claim) Valid(now time.Time) bool {
	w := c.LastWrite()
	return now.Sub(w.Begun) < w.Valid
}

// Range returns the range that contains only the lease of the cell.
func Range(cell string) rows.Range {
	return rows.KeyRange(rows.Key{Table: Table, Part: cell, Name: leaseRowName})
}

func (c *Claim) key() rows.Key { return rows.Key{Table: Table, Part: c.Cell, Name: leaseRowName} }

// Read reads the lease from the store.
func (c *Claim) Read(ctx context.Context) (Snapshot, error) {
	asked := clock.Now()
	page, err := c.Store.Get(ctx, Range(c.Cell))
	if err != nil {
		return Snapshot{}, err
	}
	return SnapshotOf(page, asked), nil
}

// Held reads the lease and reports whether this Claim still holds it.
func (c *Claim) Held(ctx context.Context) (bool, error) {
	lease, err := c.Read(ctx)
	return lease.Boot == c.Boot && lease.Owner == c.Owner && lease.Epoch == c.epoch, err
}

// Take takes the lease as it was read before. It returns an error of kind Fenced if another
// instance took it first.
func (c *Claim) Take(ctx context.Context, seen Snapshot) error {
	c.epoch, c.ver, c.clock = seen.Epoch+1, seen.Ver, seen.clock
	c.markPrefix = c.Owner + "/" + uid.New() + "."
	_, err := c.write(ctx, c.Owner, rows.Tx{})
	return err
}

// Release gives the lease up together with t, so that another instance can take it immediately.
func (c *Claim) Release(ctx context.Context, t rows.Tx) error {
	_, err := c.write(ctx, "", t)
	return err
}

// Commit writes t together with the lease and retries until ctx ends. If a row does not have the
// expected version it returns the rows' current versions and an error of kind Conflict; if the
// lease is lost, an error of kind Fenced; if the store refuses t as invalid, so that another attempt
// would be in vain, one of kind BadRequest.
func (c *Claim) Commit(ctx context.Context, t rows.Tx) (rows.Result, error) {
	return c.write(ctx, c.Owner, t)
}
