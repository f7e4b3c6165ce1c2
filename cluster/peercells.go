// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"slices"
	"time"

	"dewpass.org/claim"
	"dewpass.org/wire"
)

const (
	// cellSummaryTTL is how long the summary of a cell in a greeting is valid.
	cellSummaryTTL = claim.MinValidity + 2*claim.TakeoverMargin
	// pendingTTL is how long an owner's counts of pending jobs are used until the next owner
	// reports its own. They may be too high for a while, which does no harm.
	pendingTTL = 20 * time.Second
)

// pendingReport is the number of pending jobs per queue that a cell's owner last reported.
type pendingReport struct {
	pending []*wire.QueuePending
	heardAt time.Time
}

// keepPending records the counts of pending jobs of a cell that this instance owned.
func (m *members) keepPending(cell string, pending []*wire.QueuePending, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastPending[cell] = pendingReport{pending: pending, heardAt: now}
}

// peerCell is a cell with the member that owns it.
type peerCell struct {
	member
	cell *wire.CellSummary
}

// cells returns the cells whose owners were heard recently, each with its newest owner, sorted by
// name.
func (m *members) cells(now time.Time) []peerCell {
	newest := m.cellsByName(now)
	out := make([]peerCell, 0, len(newest))
	for _, o := range newest {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b peerCell) int { return cmp.Compare(a.cell.Name, b.cell.Name) })
	return out
}

// cellsByName returns the cells whose owners were heard recently, each with its newest owner: the
// one with the highest epoch.
func (m *members) cellsByName(now time.Time) map[string]peerCell {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string]peerCell)
	for _, k := range m.known {
		if len(k.cells) == 0 || now.Sub(k.heardAt) >= cellSummaryTTL {
			continue
		}
		for _, c := range k.cells {
			if old, ok := newest[c.Name]; !ok || old.cell.Epoch < c.Epoch {
				newest[c.Name] = peerCell{member: *k, cell: c}
			}
		}
	}
	return newest
}

// owner returns the owner of a cell, nil if none was heard recently.
func (m *members) owner(name string, now time.Time) *member {
	o, ok := m.cellsByName(now)[name]
	if !ok {
		return nil
	}
	return &o.member
}

// pending returns the last reported number of pending jobs of a queue, summed over the cells for
// which skip returns false.
func (m *members) pending(queue string, now time.Time, skip func(cell string) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for name, w := range m.lastPending {
		if skip(name) || now.Sub(w.heardAt) > pendingTTL {
			continue
		}
		for _, q := range w.pending {
			if q.Queue == queue {
				sum += int(q.Jobs)
			}
		}
	}
	return sum
}
