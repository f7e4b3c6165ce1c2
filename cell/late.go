// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// lateLeast is how long a step has waited for the last of its tasks to start for that to be told.
const lateLeast = 250 * time.Millisecond

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

// waits is what a step has waited for since it was ready.
type waits struct {
	seen time.Time
	why  Why
	sum  map[Why]time.Duration
}

// waitsFor notes what s waits for from now on.
func (s *stage) waitsFor(why Why, now time.Time) {
	if s.waits.why != "" {
		if s.waits.sum == nil {
			s.waits.sum = make(map[Why]time.Duration)
		}
		s.waits.sum[s.waits.why] += now.Sub(s.waits.seen)
	}
	s.waits.why, s.waits.seen = why, now
}

// allStarted takes in that no task of s waits any more, and tells of it if that took long.
func (c *Cell) allStarted(s *stage, q *Queue, a *Actions, now time.Time) {
	s.waitsFor("", now)
	if waited := now.Sub(s.waitSince); waited >= lateLeast {
		a.Late = append(a.Late, LateStart{
			Step: s.id(), Queue: q.Name, Priority: q.Priority, Account: s.job.spec.Account, Tasks: len(s.tasks),
			Waited: waited, For: s.waits.sum,
		})
	}
	s.waits = waits{}
}

// whyWaits returns what s waits for, where why is what its placement said.
func (c *Cell) whyWaits(s *stage, why Why, now time.Time) Why {
	if why != NoWorker && why != Full {
		return why
	}
	if s.advice.asking {
		return Asking
	}
	if why == NoWorker {
		return c.whyNone(s, now)
	}
	return why
}
