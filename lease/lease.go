// SPDX-License-Identifier: Apache-2.0

package lease

import (
	"strconv"
	"time"
)

// Epoch orders the owners of one rack. The zero Epoch is below all others.
type Epoch struct {
	// Table is the number that the platform's table gave.
	Table uint64 `json:"table"`
	// Local counts takeovers within the hall since Table was given.
	Local uint64 `json:"local"`
}

// Less reports whether e comes before o.
func (e Epoch) Less(o Epoch) bool {
	if e.Table != o.Table {
		return e.Table < o.Table
	}
	return e.Local < o.Local
}

// NextLocal returns the epoch of a takeover without the table.
func (e Epoch) NextLocal() Epoch { return Epoch{Table: e.Table, Local: e.Local + 1} }

// NextTable returns the epoch of a takeover through the table.
func (e Epoch) NextTable() Epoch { return Epoch{Table: e.Table + 1} }

// String returns e as "table.local".
func (e Epoch) String() string {
	return strconv.FormatUint(e.Table, 10) + "." + strconv.FormatUint(e.Local, 10)
}

// marginShare is the part of a lease that clocks may drift apart by: a
// sixteenth is far more than the worst clock that runs freely.
const marginShare = 16

// Margin returns the time that the holder gives up early, and that others wait
// longer, for a lease of the given length.
func Margin(length time.Duration) time.Duration { return length / marginShare }

// Lease is the holder's view of a lease. Its zero value has ended.
type Lease struct {
	until time.Time
}

// Renew returns the lease after a renewal whose request was sent at sent.
func Renew(sent time.Time, length time.Duration) Lease {
	return Lease{until: sent.Add(length - Margin(length))}
}

// Held reports whether the holder may still act on l.
func (l Lease) Held(now time.Time) bool { return now.Before(l.until) }

// Until returns the end of l as its holder counts it.
func (l Lease) Until() time.Time { return l.until }

// SurelyOver returns when a lease on another machine has ended for certain.
// lastSent is when the last renewal was sent that may have been received. That
// machine accepts a renewal only while the lease before it holds, and at most
// one renewal is unanswered at a time, so one renewal may start up to one
// length after lastSent and last another.
func SurelyOver(lastSent time.Time, length time.Duration) time.Time {
	return lastSent.Add(2*length + Margin(2*length))
}

// Guard notices pauses of its own process. Limit must be set before use.
type Guard struct {
	// Limit is the gap between two ticks that counts as a pause.
	Limit time.Duration
	last  time.Time
}

// Tick tells the guard that the process runs at now, and reports whether it
// had been paused since the tick before.
func (g *Guard) Tick(now time.Time) bool {
	paused := !g.last.IsZero() && now.Sub(g.last) > g.Limit
	g.last = now
	return paused
}

// Paused reports whether the process has been paused since the last tick,
// without taking the tick.
func (g *Guard) Paused(now time.Time) bool {
	return !g.last.IsZero() && now.Sub(g.last) > g.Limit
}
