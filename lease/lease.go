// SPDX-License-Identifier: Apache-2.0

package lease

import (
	"strconv"
	"time"
)

// Epoch orders the owners of one rack. The zero Epoch is lower than all others.
type Epoch struct {
	// Table is the number issued by the platform's table.
	Table uint64 `json:"table"`
	// Local counts the takeovers within the hall since Table was issued.
	Local uint64 `json:"local"`
}

// Less reports whether e is lower than o.
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

// marginDivisor is the divisor of the length of a lease that gives its margin for clock drift.
// One sixteenth is far more than the drift of the worst unsynchronized clock.
const marginDivisor = 16

// Margin returns the safety margin of a lease of the given length: the holder stops using it
// this much early, and others wait this much longer.
func Margin(length time.Duration) time.Duration { return length / marginDivisor }

// Lease is a lease from its holder's view. The zero value has expired.
type Lease struct {
	until time.Time
}

// Renew returns the lease after a renewal whose request was sent at the time sent.
func Renew(sent time.Time, length time.Duration) Lease {
	return Lease{until: sent.Add(length - Margin(length))}
}

// Held reports whether the holder may still act on the lease.
func (l Lease) Held(now time.Time) bool { return now.Before(l.until) }

// Until returns the end of the lease from its holder's view.
func (l Lease) Until() time.Time { return l.until }

// CertainExpiry returns when a lease that is held on another machine has certainly expired.
// lastSent is when the last renewal that may have been received was sent. The holder accepts a
// renewal only while the previous lease is valid, and at most one renewal is outstanding at a
// time, so that a renewal may start up to one length after lastSent and last for another.
func CertainExpiry(lastSent time.Time, length time.Duration) time.Time {
	return lastSent.Add(2*length + Margin(2*length))
}

// PauseDetector detects pauses of its own process. Limit must be set before use.
type PauseDetector struct {
	// Limit is the longest gap between two ticks that does not count as a pause.
	Limit time.Duration
	last  time.Time
}

// Tick records that the process runs at the time now, and reports whether it was paused since
// the previous tick.
func (g *PauseDetector) Tick(now time.Time) bool {
	paused := !g.last.IsZero() && now.Sub(g.last) > g.Limit
	g.last = now
	return paused
}

// Paused reports whether the process was paused since the last tick, without recording a tick.
func (g *PauseDetector) Paused(now time.Time) bool {
	return !g.last.IsZero() && now.Sub(g.last) > g.Limit
}
