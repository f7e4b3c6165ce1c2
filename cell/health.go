// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

const (
	// badInRow is how many failures in a row put a worker on probation.
	badInRow = 2
	// probation is how long such a worker gets nothing, and refusal how long
	// one that refuses for its own reasons does. Probation doubles each time up
	// to probationMost.
	probation     = 2 * time.Second
	probationMost = 16 * time.Second
	refusal       = 500 * time.Millisecond
)

// health follows how a worker's runs end. Its zero value is healthy.
type health struct {
	row    int
	until  time.Time
	length time.Duration
	// trial says that the worker may have one run, to see how it ends.
	trial bool
}

func (h *health) good(time.Time) {
	*h = health{}
}

func (h *health) bad(now time.Time) {
	h.row++
	if h.row < badInRow && !h.trial {
		return
	}
	h.probe(now)
}

// stalled takes in that a run stands still, which says enough by itself.
func (h *health) stalled(now time.Time) {
	h.row++
	if now.After(h.until) {
		h.probe(now)
	}
}

// probe puts the worker on probation.
func (h *health) probe(now time.Time) {
	h.length = min(max(2*h.length, probation), probationMost)
	h.until = now.Add(h.length)
	h.trial = true
}

func (h *health) refuse(now time.Time) {
	if t := now.Add(refusal); t.After(h.until) {
		h.until = t
	}
}

// allows reports whether a worker with some runs may be given one more.
func (h *health) allows(runs int, now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.trial || runs == 0
}
