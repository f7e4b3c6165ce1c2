// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// Loss is the kind of evidence that nothing runs on a worker any more.
type Loss string

// The kinds of loss.
const (
	// LossReborn: a new incarnation answers at the worker's address, so the earlier one has ended.
	LossReborn Loss = "reborn"
	// LossRefused: the worker's leases have expired, and its address was refusing connections by
	// then.
	LossRefused Loss = "refused"
	// LossSilent: the worker's leases have expired, and it cannot be told whether it has ended or
	// is cut off.
	LossSilent Loss = "silent"
	// LossPlanned: the worker's machine was taken down with this owner's consent.
	LossPlanned Loss = "planned"
	// LossMissing: the worker is reachable but lists neither the run nor its end.
	LossMissing Loss = "missing"
)

// LostRun is a run that was lost with its worker.
type LostRun struct {
	Task   flow.TaskID
	Run    int
	Worker string
	Loss   Loss
	// Began means that the worker was known to have the run. Age is the time from the decision to
	// start the run until the worker was last heard from.
	Began bool
	Age   time.Duration
	// Beside counts the other runs that were lost with the same worker.
	Beside int
	// Blame is the run's part in the loss, empty if the loss does not count against its task.
	// Crashes counts the losses that now count against the task.
	Blame   flow.Blame
	Crashes int
	// Leaving means that the worker had announced that it leaves.
	Leaving bool
}

// LostRuns returns the runs lost since the last call, in order.
func (c *Cell) LostRuns() []LostRun {
	out := c.lostRuns
	c.lostRuns = nil
	return out
}

// lostRun returns the report of r being lost with its worker.
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

// StartedCopy is a copy of a task, started because the worker of an earlier run is unreachable.
type StartedCopy struct {
	Task   flow.TaskID
	Run    int
	Worker string
	// First is the earlier run, on FirstWorker, and FirstBegan means that the worker was known to
	// have it. FirstAge is the time from the decision to start it until the worker was last heard
	// from.
	First       int
	FirstWorker string
	FirstBegan  bool
	FirstAge    time.Duration
	// Unreachable is for how long the worker of the earlier run has been unreachable. HungUp means
	// that its side closed or refused the connection, and DisconnectSeen that the moment of the
	// disconnect was observed.
	Unreachable            time.Duration
	HungUp, DisconnectSeen bool
}

// StartedCopies returns the copies started since the last call, in order.
func (c *Cell) StartedCopies() []StartedCopy {
	out := c.startedCopies
	c.startedCopies = nil
	return out
}

// noteCopy records that r was started while another run of its task is on an unreachable worker.
func (c *Cell) noteCopy(r *run, now time.Time) {
	first := r.stage.tasks[r.index].runs[0]
	if first == r || first.worker.attached {
		return
	}
	w := first.worker
	c.startedCopies = append(c.startedCopies, StartedCopy{
		Task: r.task(), Run: r.number, Worker: r.worker.ID,
		First: first.number, FirstWorker: w.ID, FirstBegan: !first.confirmedAt.IsZero(), FirstAge: first.age(w.detachedSince),
		Unreachable: now.Sub(w.detachedSince), HungUp: w.hungUp, DisconnectSeen: w.disconnectSeen,
	})
}

// InheritedLoss is a loss counted against a task for a run of a former owner.
type InheritedLoss struct {
	Task flow.TaskID
	// Run is the run that the former owner recorded, or a number that no run has if it may have
	// started the task for the first time.
	Run   int
	Blame flow.Blame
	// Crashes counts the losses that now count against the task.
	Crashes int
	// Workers are the workers with which the run may have been lost.
	Workers []string
}

// InheritedLosses returns the losses counted since the last call, in order.
func (c *Cell) InheritedLosses() []InheritedLoss {
	out := c.inheritedLosses
	c.inheritedLosses = nil
	return out
}
