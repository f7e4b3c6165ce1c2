// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

const (
	// trialDivisor is the part of the workers, as a divisor, on which tasks may be tried at
	// once: each is kept from other work for a moment, and may be lost.
	trialDivisor = 4
	// A trial is watched, with nothing started beside it, for twice as long as its task
	// has run on before, within these bounds; the upper one is left out once it was
	// blamed alone.
	minTrialWatch = 500 * time.Millisecond
	maxTrialWatch = 1500 * time.Millisecond
)

// trialWatch returns for how long a trial of a task is watched.
func (t *task) trialWatch() time.Duration {
	d := max(2*t.longestCrashAge(), minTrialWatch)
	if slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Blame == flow.BlameSole }) {
		return d
	}
	return min(d, maxTrialWatch)
}

// needsTrial reports whether a run of a task is to be a trial: it may crash its worker, or others
// of its step have crashed several.
func (s *stage) needsTrial(t *task) bool { return t.suspect() || s.blamedLosses >= maxWorkersInDoubt }

// mayTry reports whether a task may be started now. What is held against one is kept first,
// so that it counts for the next owner as well: without that, owners that followed each other
// within seconds each began to count anew. Of a job one task is tried at a time, twice as many
// after each round that went well.
func (c *Cell) mayTry(s *stage, index int, now time.Time) bool {
	c.countInheritedLoss(s, index, now)
	t := &s.tasks[index]
	if !s.needsTrial(t) {
		return true
	}
	if s.job.state.Final() || t.state == taskGivenUp {
		return false
	}
	if t.suspect() && t.storedCrashes < len(t.crashes) {
		return false
	}
	return c.activeTrials < c.maxTrials && s.job.activeTrials <= s.job.trialsPassed
}

// countTrials counts the trials that are being watched, and how many there may be.
func (c *Cell) countTrials(now time.Time) {
	usable := 0
	c.activeTrials = 0
	for _, w := range c.sortedWorkers {
		if w.usable() {
			usable++
		}
		if w.attached && w.underTrial(now) {
			c.activeTrials++
		}
	}
	c.maxTrials = max(usable/trialDivisor, 1)
}

// mayTryGang is mayTry for all tasks of a gang.
func (c *Cell) mayTryGang(s *stage, now time.Time) bool {
	for i := range s.tasks {
		if !c.mayTry(s, i, now) {
			return false
		}
	}
	return true
}

// startTrialIfNeeded makes r a trial if its task may crash its worker.
func (c *Cell) startTrialIfNeeded(r *run, now time.Time) {
	t := &r.stage.tasks[r.index]
	if !r.stage.needsTrial(t) {
		return
	}
	r.trialUntil = now.Add(t.trialWatch())
	r.worker.trialUntil = r.trialUntil
	r.stage.job.activeTrials++
	c.activeTrials++
}

// endTrial takes in that a trial is over, and whether it went well.
func (r *run) endTrial(well bool) {
	if r.trialUntil.IsZero() {
		return
	}
	r.trialUntil, r.worker.trialUntil = time.Time{}, time.Time{}
	r.stage.job.activeTrials--
	if well {
		r.stage.job.trialsPassed++
		r.stage.blamedLosses = 0
	}
}

// checkTrial ends the trial of a run that its worker has outlived, and clears its task once
// it has gone on for long.
func (c *Cell) checkTrial(r *run, now time.Time) {
	if r.stage.unknown || r.confirmedAt.IsZero() {
		return
	}
	if !r.trialUntil.IsZero() && now.After(r.trialUntil) {
		r.endTrial(true)
	}
	t := &r.stage.tasks[r.index]
	if len(t.crashes) > 0 && now.Sub(r.confirmedAt) > crashClearTime {
		kept := t.crashesMustBeStored()
		t.crashes, t.storedCrashes, t.lostRacks = nil, 0, nil
		if kept {
			c.markDirty(r.stage.job)
		}
	}
}

// underTrial reports whether nothing may be started on w beside a trial.
func (w *worker) underTrial(now time.Time) bool { return now.Before(w.trialUntil) }

const (
	// trialNeighborPenalty is how much worse a worker is for a trial for each run there, above all
	// other differences, and lostRackMalus for the rack where its task was lost before: a
	// rack that fails says nothing of a task.
	trialNeighborPenalty = 100.0
	lostRackPenalty      = 50.0
)

// trialScore says how well a worker is for a trial of a task: the less there is to lose the
// better.
func (s *stage) trialScore(t *task, w *worker) float64 {
	if !s.needsTrial(t) {
		return 0
	}
	score := -trialNeighborPenalty * float64(len(w.runList))
	if slices.Contains(t.lostRacks, w.Rack) {
		score -= lostRackPenalty
	}
	return score
}
