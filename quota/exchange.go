// SPDX-License-Identifier: Apache-2.0

package quota

import (
	"cmp"
	"slices"
)

// Need is what a cell needs to start a step of an account that its shares do not allow.
type Need struct {
	Account string
	// Shares is how many shares the cell lacks for all that waits, and Least how many it lacks to start
	// anything.
	Shares, Least int64
	// Wide means that what is to start needs more than the shares that a cell has at first.
	Wide bool
	// Order orders needs of different cells: that of the lowest order comes first.
	Order Order
	// Excess is that of the cell's ledger.
	Excess int64
}

// Order orders steps across cells by their priority, then by when their jobs were accepted.
type Order struct {
	Priority   int
	AcceptedMS int64
	Job        string
}

// Compare returns a negative number if o comes before p.
func (o Order) Compare(p Order) int {
	return cmp.Or(cmp.Compare(o.Priority, p.Priority), cmp.Compare(o.AcceptedMS, p.AcceptedMS), cmp.Compare(o.Job, p.Job))
}

// Offer returns how many shares a cell gives to another one that has a need. free is how many shares it
// does not use, and own its own need, nil if it has none.
//
// A cell that needs shares itself gives some to cells with fewer than they had at first, so that an
// account with more work than it may run has about the same part everywhere, and to an earlier step that
// needs more than a cell has at first. Of two such steps that wait for each other's shares one is the
// earlier for all cells.
func (l *Ledger) Offer(free int64, n Need, own *Need) int64 {
	free = max(min(free, l.Shares()), 0)
	switch {
	case own == nil, n.Wide && own.Wide && n.Order.Compare(own.Order) < 0:
		return free
	case n.Excess < 0:
		return max(min(free, l.Excess(), -n.Excess), 0)
	}
	return 0
}

// Offered is an offer of a cell.
type Offered struct {
	Cell   string
	Shares int64
}

// Takes returns which offers to accept for a need, and how much of each: none if they are not enough to
// start anything, so that nothing is taken away in vain.
func (n *Need) Takes(offers []Offered) []Offered {
	sum := int64(0)
	for _, o := range offers {
		sum += o.Shares
	}
	if sum < n.Least {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(offers), func(a, b Offered) int {
		return cmp.Or(cmp.Compare(b.Shares, a.Shares), cmp.Compare(a.Cell, b.Cell))
	})
	var out []Offered
	left := n.Shares
	for _, o := range sorted {
		if o.Shares = min(o.Shares, left); o.Shares > 0 {
			out = append(out, o)
			left -= o.Shares
		}
	}
	return out
}
