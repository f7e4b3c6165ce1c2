// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// An end that the store does not take is known to the cell and to the workers, which list
// it until it is kept. For a caller it is over: while the store was away for 5.6 s, those
// whose jobs had ended in that time were told so up to 5 s late. It may be shown once
// another instance knows of it as well, so that the loss of the owner and of a worker
// together does not bring the job back. Only success is shown so: it is a fact, and a
// failure or a cancel is a decision, which the store keeps first.

const (
	// minUnstoredAge is how long the store may take to keep an end before others are told of
	// it: several times as long as it takes when all is well, some 20 ms.
	minUnstoredAge = 100 * time.Millisecond
	// maxUnstoredAge is for how long after its end others are told of a job again and again;
	// longer only if none is known to have heard it.
	maxUnstoredAge = 1200 * time.Millisecond
)

// Unkept returns jobs that have succeeded and of which the store does not know yet, at the
// most so many, by id: those that other instances should be told of now.
func (c *Cell) Unkept(most int, now time.Time) []string {
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
	return out[:min(len(out), most)]
}

// Shared says that another instance knows that these jobs have succeeded.
func (c *Cell) Shared(ids []string) {
	for _, id := range ids {
		if j := c.unstoredSuccesses[id]; j != nil {
			j.successShared = true
		}
	}
}

// Succeeded says that another instance knows from a former owner that these jobs have
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
