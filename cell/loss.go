// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// Loss is what shows that nothing runs on a worker any more.
type Loss string

// How a worker is lost.
const (
	// LossReborn: another life answers at its address, so that this one has ended.
	LossReborn Loss = "reborn"
	// LossRefused: its leases are over, and its address refused connections by then.
	LossRefused Loss = "refused"
	// LossSilent: its leases are over, and nothing tells a worker that has ended from one
	// that is cut off.
	LossSilent Loss = "silent"
	// LossPlanned: its machine was taken down on this owner's word.
	LossPlanned Loss = "planned"
	// LossMissing: the worker is there and does not list the run, nor its end.
	LossMissing Loss = "missing"
)

// LostRun is a run that was lost with its worker.
type LostRun struct {
	Task   flow.TaskID
	Run    int
	Worker string
	Loss   Loss
	// Began says that the worker was known to have the run, and Age how long after the
	// decision to start it the worker was last heard.
	Began bool
	Age   time.Duration
	// Beside counts the other runs that were lost with the same worker.
	Beside int
	// Blame is how the run is blamed for the loss, empty if it is not counted, and Crashes
	// counts what is held against its task by now.
	Blame   flow.Blame
	Crashes int
	// Leaving says that the worker had said that it leaves.
	Leaving bool
}

// LostRuns returns the runs that were lost since the last call, in their order.
func (c *Cell) LostRuns() []LostRun {
	out := c.lostRuns
	c.lostRuns = nil
	return out
}

// lostRun returns what is told of a run that is lost with its worker.
func (r *run) lostRun(how Loss, now time.Time) LostRun {
	l := LostRun{
		Task: r.task(), Run: r.number, Worker: r.worker.ID, Loss: how, Began: !r.confirmedAt.IsZero(),
		Age: r.age(r.worker.lostAt(now)), Beside: len(r.worker.runList) - 1, Leaving: r.worker.leaving(),
	}
	if r.stage.unknown {
		return l
	}
	t := &r.stage.tasks[r.index]
	l.Crashes = len(t.crashes)
	if n := len(t.crashes); n > 0 && t.crashes[n-1].Run == r.number {
		l.Blame = t.crashes[n-1].Blame
	}
	return l
}
