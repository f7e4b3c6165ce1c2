// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"time"
)

// rank orders stages, smaller first: those that are so late that they count for nothing come last;
// then by priority; then jobs within the share of their client account
// before those beyond it; then by late, which is 0 for a stage that can still meet its
// objective, 1 for one that is late and 2 for one that is so late that it counts for nothing; then
// by level, how much of a full pool the account uses (see shareFairly); then by slack, the time left
// beyond the work still to do.
type rank struct {
	expired     bool
	priority    int
	beyondShare bool
	late        int
	level       int
	slack       time.Duration
}

func (c *Cell) rank(s *stage, now time.Time) rank {
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return rank{priority: lowestPriority}
	}
	r := rank{priority: q.Priority, beyondShare: s.job.beyondShare}
	if s.def.LongRunning {
		r.slack = s.waitingSince.Sub(now)
		return r
	}
	objective := q.Target + time.Duration(q.Stretch*float64(s.job.longestChain))
	r.slack = objective - now.Sub(s.job.arrived) - s.chain
	switch {
	case r.slack >= -q.Target:
	case r.slack >= -2*objective:
		r.late = 1
	default:
		r.late = 2
		r.expired = c.places%expiredTurn != 0
	}
	return r
}

// expiredTurn is how often a decision ranks steps by priority although they are so late that they
// count for nothing, 1 in expiredTurn. In the other decisions they come last: after a burst they would
// otherwise keep all others late. In this one they are run, so that they end.
const expiredTurn = 8

const lowestPriority = 1 << 30

// sortOpenStages ranks each open stage once and sorts the stages by rank.
func (c *Cell) sortOpenStages(now time.Time) {
	for _, s := range c.openStages {
		s.rank = c.rank(s, now)
	}
	// The order rarely changes between two decisions.
	if !slices.IsSortedFunc(c.openStages, compareStages) {
		slices.SortStableFunc(c.openStages, compareStages)
	}
}

// compareStages compares by rank apart from the level, which shareFairly applies.
func compareStages(x, y *stage) int {
	return cmp.Or(
		compareBools(x.rank.expired, y.rank.expired),
		cmp.Compare(x.rank.priority, y.rank.priority),
		compareBools(x.rank.beyondShare, y.rank.beyondShare),
		cmp.Compare(x.rank.late, y.rank.late),
		cmp.Compare(x.rank.slack, y.rank.slack),
		cmp.Compare(x.job.spec.ID, y.job.spec.ID),
		cmp.Compare(x.step, y.step),
	)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
