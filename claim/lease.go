// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"encoding/json"
	"slices"
	"time"

	"dewpass.org/rows"
)

// Lease is the lease row of a cell.
type Lease struct {
	// Owner is empty after a planned release.
	Owner string `json:"owner,omitempty"`
	Boot  string `json:"boot,omitempty"`
	Addr  string `json:"addr,omitempty"`
	Epoch uint64 `json:"epoch"`
	// ValidMS is the validity: for how many milliseconds after this write the owner may send
	// orders.
	ValidMS int64 `json:"valid_ms,omitempty"`
	// WrittenMS is the time by the store's clock, in milliseconds, at which this write was begun,
	// or somewhat later; 0 if the writer did not know the store's clock.
	WrittenMS int64 `json:"written_ms,omitempty"`
	// Absent names the instances from which the owner did not hear when it wrote the lease.
	Absent []string `json:"absent,omitempty"`
	// Mark identifies the write.
	Mark string `json:"mark"`
}

// Expiry returns how long the lease may go unwritten before it may be taken.
func (s Lease) Expiry() time.Duration {
	if s.ValidMS == 0 {
		return DefaultExpiry
	}
	return time.Duration(s.ValidMS)*time.Millisecond + TakeoverMargin
}

// TakeoverAfter returns how long the lease may go unwritten before the given instance may take it.
func (s Lease) TakeoverAfter(instance string) time.Duration {
	if slices.Contains(s.Absent, instance) {
		return s.Expiry() + AbsentTakeoverDelay
	}
	return s.Expiry()
}

// Snapshot is a lease as read from the store.
type Snapshot struct {
	Lease
	// Ver is the version of the row.
	Ver uint64
	// Age is how long ago the lease was written, by the store's clock; 0 if unknown.
	Age time.Duration

	clock storeClock
}

// SnapshotOf returns the lease in the response to a read of Range that was sent at the given time.
func SnapshotOf(page rows.Page, asked time.Time) Snapshot {
	row := page.First()
	if row.Ver == 0 && len(page.BadRows) > 0 {
		row.Ver = page.BadRows[0].Ver
	}
	s := Snapshot{Lease: decodeLease(row), Ver: row.Ver, clock: storeClock{ms: page.ClockMS, requestedAt: asked}}
	if s.WrittenMS > 0 && page.ClockMS > s.WrittenMS {
		s.Age = time.Duration(page.ClockMS-s.WrittenMS) * time.Millisecond
	}
	return s
}

// storeClock is a reading of the store's clock, taken from a response.
type storeClock struct {
	ms int64
	// requestedAt is when the request was sent. The store's clock showed ms at some time between
	// then and the response.
	requestedAt time.Time
}

// maxDriftPercent is by how much the local clock may run slower than the store's, in percent.
const maxDriftPercent = 3

// upperBoundMS returns the latest time, in milliseconds, that the store's clock may show now; 0 if
// the clock is unknown.
func (c storeClock) upperBoundMS(now time.Time) int64 {
	if c.ms == 0 {
		return 0
	}
	age := now.Sub(c.requestedAt)
	age += age * maxDriftPercent / 100
	// Both readings are truncated to whole milliseconds.
	return c.ms + age.Milliseconds() + 2
}

// unreadableOwner is the owner reported for a lease that cannot be decoded.
const unreadableOwner = "?"

// decodeLease decodes the lease in a row. A lease that cannot be decoded is treated as held by
// another owner with the default validity. Its epoch is unknown, but not above the version of the
// row, since each change of owner is a write; the next owner's epoch will be above both.
func decodeLease(row rows.Row) Lease {
	if row.Ver == 0 {
		return Lease{}
	}
	var s Lease
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return Lease{Owner: unreadableOwner, Epoch: row.Ver}
	}
	return s
}
