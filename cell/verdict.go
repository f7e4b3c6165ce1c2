// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// These limits set how many lost workers give a task up. Two losses at about the same young age,
// with no other run to blame, are beyond chance; so are three such losses at any age, or one of
// them together with three at about the same age for which other runs may be to blame. A task that
// crashes every worker must not be started three more times after the third loss, so a total of
// five also gives it up if it was blamed for most of them.
const (
	youngSoleLimit = 2
	soleLimit      = 3
	alikeLimit     = 4
	totalLimit     = 5
	blamedLimit    = 3
	// Two ages are alike if they differ by at most minAlikeTolerance, or by at most 1/alikeDivisor
	// of the age: a task takes about the same time to crash its worker on each attempt, while
	// workers that fail by themselves do so at any time.
	minAlikeTolerance = 100 * time.Millisecond
	alikeDivisor      = 8
)

// GivenUpTask is a task that is not started any more because its workers crashed.
type GivenUpTask struct {
	Task    flow.TaskID
	Crashes []flow.Crash
}

// GivenUpTasks returns the tasks given up since the last call.
func (c *Cell) GivenUpTasks() []GivenUpTask {
	out := c.givenUps
	c.givenUps = nil
	return out
}

// crashesOf returns the losses counted against a task. The members of a gang are lost together, so
// their losses are combined.
func (s *stage) crashesOf(index int) []flow.Crash {
	if !s.def.Gang {
		return s.tasks[index].crashes
	}
	var out []flow.Crash
	for i := range s.tasks {
		for _, c := range s.tasks[i].crashes {
			at := slices.IndexFunc(out, func(o flow.Crash) bool { return o.Run == c.Run })
			if at < 0 {
				out = append(out, c)
			} else if c.Blame == flow.BlameSole || out[at].Blame == flow.BlameUnlikely {
				out[at] = c
			}
		}
	}
	return out
}

// mustGiveUp reports whether the losses are enough to give a task up.
func mustGiveUp(crashes []flow.Crash) bool {
	sole, blamed := 0, 0
	for _, c := range crashes {
		if c.Blame != flow.BlameUnlikely {
			blamed++
		}
		if c.Blame != flow.BlameSole {
			continue
		}
		sole++
		all, alone := countAlike(crashes, c)
		if all >= alikeLimit || (alone >= youngSoleLimit && c.AgeMS <= youngRunAge.Milliseconds()) {
			return true
		}
	}
	return sole >= soleLimit || (blamed >= blamedLimit && len(crashes) >= totalLimit)
}

// countAlike counts the losses at about the same age as c, c included, and those among them for
// which no other run is to blame.
func countAlike(crashes []flow.Crash, c flow.Crash) (all, alone int) {
	within := max(minAlikeTolerance.Milliseconds(), c.AgeMS/alikeDivisor)
	for _, o := range crashes {
		if o.Inherited || o.AgeMS < c.AgeMS-within || o.AgeMS > c.AgeMS+within {
			continue
		}
		all++
		if o.Blame == flow.BlameSole {
			alone++
		}
	}
	return all, alone
}

// giveUpIfCrashing gives a task up, and with it its job, if its workers have crashed too often. A
// cell that runs a part of another cell's job gives up only the task: the job's own cell decides
// about the job.
func (c *Cell) giveUpIfCrashing(s *stage, index int, now time.Time) {
	if s.unknown {
		return
	}
	t := &s.tasks[index]
	if t.state == taskDone || t.state == taskGivenUp || s.job.state.Final() || !mustGiveUp(s.crashesOf(index)) {
		return
	}
	c.givenUps = append(c.givenUps, GivenUpTask{Task: s.taskID(index), Crashes: s.crashesOf(index)})
	if s.job.share.OwnedElsewhere() {
		if t.state == taskWaiting {
			s.setWaiting(t, false)
		}
		t.state = taskGivenUp
		c.markDirty(s.job)
		return
	}
	c.finish(s.job, flow.Failed, now)
}
