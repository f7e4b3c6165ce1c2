// SPDX-License-Identifier: Apache-2.0

package cell

const (
	// oldestAskDivisor sets the part of the long questions in flight, 1 in oldestAskDivisor, that
	// is reserved for the steps that have waited longest to be asked about. By rank alone the last
	// steps were never asked about, while others for which there was no room were asked about again
	// and again.
	oldestAskDivisor = 4
	// askPartDivisor sets the part of the questions in flight, 1 in askPartDivisor, that long
	// questions leave to short ones and short ones to long ones. After a total power loss, for
	// example, every step has to be asked about again: long questions would hold up many calls that
	// users wait for, and the calls would keep the workers of the batch jobs idle.
	askPartDivisor = 3
	// earlyAskDivisor sets the part of the long questions in flight, 1 in earlyAskDivisor, that may
	// be about steps for which there is no room yet.
	earlyAskDivisor = 2
)

// askReason is why a question may be sent before others.
type askReason uint8

const (
	// byRank: the step comes first by rank, and there is room for it that no step before it is
	// likely to use.
	byRank askReason = iota
	// byAge: the step has waited longest for a question.
	byAge
	// early: there is no room for the step yet, and no other question to send.
	early
)

// maySend reports whether a question may be sent, with about asks questions allowed in flight.
func (c *Cell) maySend(a *Ask, asks int, why askReason) bool {
	if !a.Long() {
		return c.maySendShort(asks)
	}
	return c.maySendLong(asks, why)
}

// maySendAny reports whether some question to a policy may be sent.
func (c *Cell) maySendAny(advice *Advice, asks int, why askReason) bool {
	return !advice.alwaysLong() && c.maySendShort(asks) || advice.mayBeLong() && c.maySendLong(asks, why)
}

func (c *Cell) maySendLong(asks int, why askReason) bool {
	limit := c.longLimit(asks)
	forOldest := max(limit/oldestAskDivisor, 1)
	switch {
	case c.longAsks >= limit:
		return false
	case why == byAge:
		return c.oldestAsks < forOldest
	case why == early:
		return c.longAsks < max(limit/earlyAskDivisor, 1)
	case limit == 1:
		return !c.oldestNext
	}
	return c.longAsks-c.oldestAsks < limit-forOldest
}

// longLimit returns how many long questions may be in flight: what the short ones leave, but at
// least their part and at most all but the part of the short ones.
func (c *Cell) longLimit(asks int) int {
	part := asks / askPartDivisor
	return max(min(asks-(c.asks-c.longAsks), asks-part), part, 1)
}

func (c *Cell) maySendShort(asks int) bool {
	part := asks / askPartDivisor
	return asks > 0 && c.asks-c.longAsks < max(min(asks-c.longAsks, asks-part), part, 1)
}

// countAsk counts a question that is now in flight (by is 1) or no longer is (by is -1).
func (c *Cell) countAsk(a *Ask, by int) {
	c.asks += by
	if a.Long() && by > 0 {
		c.oldestNext = !a.oldest
	}
	if a.Long() {
		c.longAsks += by
	}
	if a.Long() && a.oldest {
		c.oldestAsks += by
	}
}
