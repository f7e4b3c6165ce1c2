// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// minLateStart is how long a step has to wait until its last task starts for this to be reported.
const minLateStart = 250 * time.Millisecond

// Asking is the reason while the policy is asked about the step and no worker for it has room.
const Asking WaitReason = "asking"

// LateStart is a step whose last task was started late.
type LateStart struct {
	Step     flow.StepID
	Queue    string
	Priority int
	Account  string
	Tasks    int
	// Waited is the total wait of the step, and For is its duration by reason.
	Waited time.Duration
	For    map[WaitReason]time.Duration
}

// waitTimes sums up the time that a step has waited since it was ready.
type waitTimes struct {
	since    time.Time
	why      WaitReason
	byReason map[WaitReason]time.Duration
}

// setWaitReason sets what s waits for from now on, "" for nothing.
func (s *stage) setWaitReason(why WaitReason, now time.Time) {
	if s.waitTimes.why != "" {
		if s.waitTimes.byReason == nil {
			s.waitTimes.byReason = make(map[WaitReason]time.Duration)
		}
		s.waitTimes.byReason[s.waitTimes.why] += now.Sub(s.waitTimes.since)
	}
	s.waitTimes.why, s.waitTimes.since = why, now
}

// allStarted records that no task of s waits any more, and reports a late start.
func (c *Cell) allStarted(s *stage, q *Queue, a *Actions, now time.Time) {
	s.setWaitReason("", now)
	if waited := now.Sub(s.waitingSince); waited >= minLateStart {
		a.Late = append(a.Late, LateStart{
			Step: s.id(), Queue: q.Name, Priority: q.Priority, Account: s.job.spec.Account, Tasks: len(s.tasks),
			Waited: waited, For: s.waitTimes.byReason,
		})
	}
	s.waitTimes = waitTimes{}
}

// waitReason returns what s waits for, where why is the result of its placement.
func (c *Cell) waitReason(s *stage, why WaitReason, now time.Time) WaitReason {
	if why != NoWorker && why != Full {
		return why
	}
	if s.advice.asking {
		return Asking
	}
	if why == NoWorker {
		return c.noWorkerReason(s, now)
	}
	return why
}
