// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// While the store does not accept the end of a job, the end is known to the cell and to the
// workers, which list it until it is stored. Callers should not have to wait for the store. The end
// may be shown once another instance knows it too, so that losing the owner and a worker together
// does not undo it. This applies only to success, which is a fact. A failure or a cancel is a decision
// that the store records first.

const (
	// minUnstoredAge is how long the store may take to write an end before other instances are
	// told: several times what a group commit usually takes.
	minUnstoredAge = 100 * time.Millisecond
	// maxUnstoredAge is how long after its end other instances are told of a job repeatedly; longer
	// only while none is known to have received it.
	maxUnstoredAge = 1200 * time.Millisecond
)

// UnstoredSuccesses returns the ids of at most so many jobs that have succeeded, are not known to
// be stored, and are to be reported to other instances now.
func (c *Cell) UnstoredSuccesses(limit int, now time.Time) []string {
	var out []string
	for id, j := range c.unstoredSuccesses {
		age := now.Sub(j.ended)
		switch {
		case j.storedState.Final():
			delete(c.unstoredSuccesses, id)
		case age >= minUnstoredAge && (age < maxUnstoredAge || !j.successShared):
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), limit)]
}

// SuccessShared reports to the cell that another instance knows that these jobs have succeeded.
func (c *Cell) SuccessShared(ids []string) {
	for _, id := range ids {
		if j := c.unstoredSuccesses[id]; j != nil {
			j.successShared = true
		}
	}
}

// Succeeded reports to the cell that a former owner told another instance that these jobs have
// succeeded.
func (c *Cell) Succeeded(ids []string, now time.Time) {
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || j.state.Final() {
			continue
		}
		j.successShared = true
		c.finish(j, flow.Succeeded, now)
	}
}
