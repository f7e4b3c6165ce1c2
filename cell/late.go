// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// minLateStart is how long a step has waited for the last of its tasks to start for that to be told.
const minLateStart = 250 * time.Millisecond

// Asking is what a step waits for while a question to the policy about it is under way and none
// of the workers that may run it has room.
const Asking Why = "asking"

// LateStart is a step of which the last task was started late.
type LateStart struct {
	Step     flow.StepID
	Queue    string
	Priority int
	Account  string
	Tasks    int
	// Waited is how long it waited in all, and For how long for what.
	Waited time.Duration
	For    map[Why]time.Duration
}

// waitTimes is what a step has waited for since it was ready.
type waitTimes struct {
	since    time.Time
	why      Why
	byReason map[Why]time.Duration
}

// setWaitReason notes what s waits for from now on.
func (s *stage) setWaitReason(why Why, now time.Time) {
	if s.waitTimes.why != "" {
		if s.waitTimes.byReason == nil {
			s.waitTimes.byReason = make(map[Why]time.Duration)
		}
		s.waitTimes.byReason[s.waitTimes.why] += now.Sub(s.waitTimes.since)
	}
	s.waitTimes.why, s.waitTimes.since = why, now
}

// allStarted takes in that no task of s waits any more, and tells of it if that took long.
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

// waitReason returns what s waits for, where why is what its placement said.
func (c *Cell) waitReason(s *stage, why Why, now time.Time) Why {
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
