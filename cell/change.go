// SPDX-License-Identifier: Apache-2.0

package cell

import "dewpass.org/flow"

// Event is what happened to a run of a task that lasts.
type Event string

// What happens to runs of tasks that last.
const (
	// RunOrdered: an order to start it was decided.
	RunOrdered Event = "ordered"
	// RunBegan: its worker has it.
	RunBegan Event = "began"
	// RunNotBegun: the order came to nothing, and never will.
	RunNotBegun Event = "not_begun"
	// RunMoving: its worker leaves, and another has room.
	RunMoving Event = "moving"
	// RunStalled: it stood still and is stopped.
	RunStalled Event = "stalled"
	// RunEndListed: its worker listed its end.
	RunEndListed Event = "over"
	// RunMissing: its worker does not list it any more.
	RunMissing Event = "missing"
	// RunLeaseOver: its worker was lost, and its lease is over.
	RunLeaseOver Event = "lease_over"
	// RunAdopted: a former owner started it.
	RunAdopted Event = "adopted"
)

// Change is something that happened to a run of a task that lasts. There are few of those,
// and each absence is felt, so that every change is told.
type Change struct {
	Task   flow.TaskID
	Run    int
	Worker string
	Event  Event
}

// Changes returns the changes since the last call, in their order.
func (c *Cell) Changes() []Change {
	out := c.changes
	c.changes = nil
	return out
}

// noteChange adds a change of r to what is told, if its task lasts.
func (c *Cell) noteChange(r *run, e Event) {
	if r.stage.def.Lasting && !r.stage.unknown {
		c.changes = append(c.changes, Change{Task: r.task(), Run: r.number, Worker: r.worker.ID, Event: e})
	}
}
