// SPDX-License-Identifier: Apache-2.0

package quota

import (
	"maps"

	"dewpass.org/sched"
)

// perCell is how many shares each cell has at first. It is divisible by small numbers, so that parts of
// shares are seldom lost to rounding.
const perCell = 5040

// Ledger holds the shares of an account that a cell has. The zero value is that of the only cell.
type Ledger struct {
	// Cells is the number of cells of the deployment.
	Cells int `json:"-"`
	// Given and Received hold the shares ever given to, and known to be received from, each other cell.
	Given    map[string]int64 `json:"given,omitempty"`
	Received map[string]int64 `json:"received,omitempty"`
	// Damaged means that what the cell has given is not known, as its stored ledger cannot be read. It
	// has no shares then.
	Damaged bool `json:"-"`
}

// Shares returns how many shares the cell has.
func (l *Ledger) Shares() int64 {
	if l.Damaged {
		return 0
	}
	n := int64(perCell)
	for _, r := range l.Received {
		n += r
	}
	for _, g := range l.Given {
		n -= g
	}
	return n
}

// All returns how many shares there are in all cells.
func (l *Ledger) All() int64 { return perCell * int64(max(l.Cells, 1)) }

// Sole reports whether the cell has all shares.
func (l *Ledger) Sole() bool { return l.Shares() == l.All() }

// Excess returns by how much the cell has more shares than at first; it is negative if it has fewer.
func (l *Ledger) Excess() int64 { return l.Shares() - perCell }

// Give gives shares to another cell. The cell must have them.
func (l *Ledger) Give(to string, shares int64) {
	if l.Given == nil {
		l.Given = make(map[string]int64)
	}
	l.Given[to] += shares
}

// Receive records how many shares another cell says that it has ever given to this one, and reports
// whether that was not known.
func (l *Ledger) Receive(from string, given int64) bool {
	if given <= l.Received[from] || l.Damaged {
		return false
	}
	if l.Received == nil {
		l.Received = make(map[string]int64)
	}
	l.Received[from] = given
	return true
}

// Lent returns, for each cell, how many of its shares this one has: what that has given, less what it
// was given.
func (l *Ledger) Lent() map[string]int64 {
	out := maps.Clone(l.Received)
	for to, n := range l.Given {
		if out == nil {
			out = make(map[string]int64)
		}
		out[to] -= n
	}
	return out
}

// Clone returns a copy of l.
func (l *Ledger) Clone() Ledger {
	return Ledger{Cells: l.Cells, Given: maps.Clone(l.Given), Received: maps.Clone(l.Received), Damaged: l.Damaged}
}

// Part returns the part of a limit that shares allow. A dimension without a limit is 0 in both; Covers
// tells it from a part of nothing.
func (l *Ledger) Part(limit sched.Vec) sched.Vec {
	shares, all := max(l.Shares(), 0), l.All()
	for d := range limit {
		limit[d] = limit[d]/all*shares + limit[d]%all*shares/all
	}
	return limit
}

// Covers reports whether the cell may run the given amount in all, under a limit.
func (l *Ledger) Covers(limit, use sched.Vec) bool {
	part := l.Part(limit)
	for d := range limit {
		if limit[d] > 0 && use[d] > part[d] {
			return false
		}
	}
	return true
}

// Wide reports whether the given amount needs more shares than a cell has at first.
func (l *Ledger) Wide(limit, use sched.Vec) bool { return l.Needed(limit, use) > perCell }

// AtFirst returns the ledger of a cell that has neither given nor received shares.
func (l *Ledger) AtFirst() *Ledger { return &Ledger{Cells: l.Cells} }

// Needed returns how many shares a cell needs to run the given amount, more than All if all shares are
// not enough.
func (l *Ledger) Needed(limit, use sched.Vec) int64 {
	need, all := int64(0), l.All()
	for d := range limit {
		switch {
		case limit[d] <= 0 || use[d] <= 0:
		case use[d] > limit[d]:
			return all + 1
		default:
			// Rounded up: the part of one share less does not cover the use.
			need = max(need, divideUp(use[d], all, limit[d]))
		}
	}
	return need
}

// divideUp returns a*b/c, rounded up, for a <= c.
func divideUp(a, b, c int64) int64 {
	whole, rest := b/c, b%c
	return a*whole + (a*rest+c-1)/c
}
