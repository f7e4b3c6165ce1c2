// SPDX-License-Identifier: Apache-2.0

package cell

import "dewpass.org/flow"

// RunEvent is an event in the life of a run of a long-running task.
type RunEvent string

// The events of runs of long-running tasks.
const (
	// RunOrdered: the run was decided, and an order to start it is sent.
	RunOrdered RunEvent = "ordered"
	// RunBegan: the worker has the run.
	RunBegan RunEvent = "began"
	// RunNotBegun: the order had no effect and never will.
	RunNotBegun RunEvent = "not_begun"
	// RunMoving: the worker leaves and another one has room, so the run is stopped.
	RunMoving RunEvent = "moving"
	// RunStalled: the run made no progress and is stopped.
	RunStalled RunEvent = "stalled"
	// RunTrialStopped: another trial of the job has probably crashed its worker, so the run is stopped.
	RunTrialStopped RunEvent = "trial_stopped"
	// RunEndListed: the worker listed the end of the run.
	RunEndListed RunEvent = "over"
	// RunMissing: the worker does not list the run any more.
	RunMissing RunEvent = "missing"
	// RunLeaseOver: the worker was lost and its lease has expired.
	RunLeaseOver RunEvent = "lease_over"
	// RunAdopted: the run was started by a former owner.
	RunAdopted RunEvent = "adopted"
)

// RunChange is an event of a run of a long-running task. There are few such runs and every
// interruption of one is noticed by users, so all of their events are reported.
type RunChange struct {
	Task   flow.TaskID
	Run    int
	Worker string
	Event  RunEvent
}

// Changes returns the events since the last call, in order.
func (c *Cell) Changes() []RunChange {
	out := c.changes
	c.changes = nil
	return out
}

// noteChange records an event of r if its task is a long-running one.
func (c *Cell) noteChange(r *run, e RunEvent) {
	if r.stage.def.LongRunning && !r.stage.unknown {
		c.changes = append(c.changes, RunChange{Task: r.task(), Run: r.number, Worker: r.worker.ID, Event: e})
	}
}
