// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

const (
	// trialDivisor limits the workers on which tasks are tried at once to 1 in trialDivisor: each
	// gets no other work for a moment, and may be lost.
	trialDivisor = 4
	// A trial is watched, with nothing else started on its worker, for twice the age of the task's
	// longest run that was lost, within these bounds. The upper bound does not apply to a task that
	// has been the only suspect of a loss.
	minTrialWatch = 500 * time.Millisecond
	maxTrialWatch = 1500 * time.Millisecond
	// watchedDivisor limits the workers on which a trial is watched to 1 in watchedDivisor.
	watchedDivisor = 2
	// hangUpConfirmation is for how long the connection to a worker must be closed before a trial
	// there counts as failed: a lost connection alone is made anew within milliseconds.
	hangUpConfirmation = 250 * time.Millisecond
)

// trialWatch returns how long a trial of a task is watched.
func (t *task) trialWatch() time.Duration {
	d := max(2*t.longestCrashAge(), minTrialWatch)
	if slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Blame == flow.BlameSole }) {
		return d
	}
	return min(d, maxTrialWatch)
}

// needsTrial reports whether a run of a task has to be a trial: the task may crash its worker, or
// other tasks of its step have crashed several.
func (s *stage) needsTrial(t *task) bool { return t.suspect() || s.blamedLosses >= maxWorkersInDoubt }

// mayTry reports whether a task may be started now. The tasks of a job are tried one at a time at
// first, and one more at a time for each trial that went well. A trial that is watched for longer than
// maxTrialWatch counts as having gone well for the time being: a task that has run for long before its
// worker crashed is probably sound, and the others would be away for as long as it has run. Once a
// trial of the job has crashed its worker, each is awaited to the end of its watch.
func (c *Cell) mayTry(s *stage, index int, now time.Time) bool {
	c.countInheritedLoss(s, index, now)
	t := &s.tasks[index]
	if !s.needsTrial(t) {
		return true
	}
	if s.job.state.Final() || t.state == taskGivenUp {
		return false
	}
	if c.activeTrials >= c.maxTrials || c.watchedTrials >= c.maxWatched {
		return false
	}
	j := s.job
	return !slices.ContainsFunc(j.trials, func(r *run) bool { return r.trialFailed(now) }) && j.awaitedTrials(now) <= j.trialsPassed
}

// awaitedTrials counts the trials of a job that others have to wait for.
func (j *job) awaitedTrials(now time.Time) int {
	n := 0
	for _, r := range j.trials {
		if now.Before(r.trialAwaited) || !r.worker.attached || !r.stage.trialsMayOverlap() {
			n++
		}
	}
	return n
}

// trialFailed reports whether r, a trial, has probably crashed its worker, which is not established yet.
func (r *run) trialFailed(now time.Time) bool {
	w := r.worker
	return !r.unsent && !w.attached && w.hungUp && now.Sub(w.detachedSince) >= hangUpConfirmation && !w.leftAsAnnounced(w.detachedSince)
}

// countTrials counts the trials under watch and sets their limits.
func (c *Cell) countTrials(now time.Time) {
	usable := 0
	c.activeTrials, c.watchedTrials = 0, 0
	for _, w := range c.sortedWorkers {
		if w.usable() {
			usable++
		}
		if w.attached && w.underTrial(now) {
			c.watchedTrials++
			if now.Before(w.trialAwaited) {
				c.activeTrials++
			}
		}
	}
	c.maxTrials = max(usable/trialDivisor, 1)
	c.maxWatched = max(usable/watchedDivisor, 1)
}

// mayTryGang reports whether mayTry allows all tasks of a gang.
func (c *Cell) mayTryGang(s *stage, now time.Time) bool {
	for i := range s.tasks {
		if !c.mayTry(s, i, now) {
			return false
		}
	}
	return true
}

// startTrialIfNeeded makes r a trial if its task needs one.
func (c *Cell) startTrialIfNeeded(r *run, now time.Time) {
	t := &r.stage.tasks[r.index]
	if !r.stage.needsTrial(t) {
		return
	}
	j := r.stage.job
	j.trials = append(j.trials, r)
	c.activeTrials++
	c.watchedTrials++
	r.watchTrial(now)
}

// watchTrial has the watch of r, a trial, begin now.
func (r *run) watchTrial(now time.Time) {
	watch := r.stage.tasks[r.index].trialWatch()
	r.trialUntil, r.trialAwaited = now.Add(watch), now.Add(watch)
	if !r.stage.job.trialLost {
		r.trialAwaited = now.Add(min(watch, maxTrialWatch))
	}
	r.worker.trialUntil, r.worker.trialAwaited = r.trialUntil, r.trialAwaited
}

// restartTrialWatch has the watch of r, if it is a trial, begin now.
func (c *Cell) restartTrialWatch(r *run, now time.Time) {
	if r.onTrial() {
		r.watchTrial(now)
	}
}

// onTrial reports whether r is a trial under watch.
func (r *run) onTrial() bool { return !r.trialUntil.IsZero() }

// endTrial ends the trial of r, if it is one. well tells whether it went well.
func (r *run) endTrial(well bool) {
	if !r.onTrial() {
		return
	}
	if well {
		r.passTrial()
		r.stage.job.trialLost = false
		r.stage.blamedLosses = 0
	}
	r.trialUntil, r.trialAwaited, r.trialPassed = time.Time{}, time.Time{}, false
	r.worker.trialUntil, r.worker.trialAwaited = time.Time{}, time.Time{}
	j := r.stage.job
	j.trials = slices.DeleteFunc(j.trials, func(o *run) bool { return o == r })
}

// passTrial counts the trial of r as one that went well, once.
func (r *run) passTrial() {
	if !r.trialPassed {
		r.trialPassed = true
		r.stage.job.trialsPassed++
	}
}

// loseTrial records that the trial of r, if it is one, was lost with its worker, and may have crashed
// it.
func (r *run) loseTrial(b flow.Blame) {
	if r.onTrial() && b != flow.BlameUnlikely {
		r.stage.job.trialLost, r.stage.job.trialsPassed = true, 0
	}
}

// stopTrialsInDoubt stops the other trials of a job of which one has probably crashed its worker. They
// are tried again one at a time, so that a job that crashes whatever it touches takes as few workers
// as if they had waited.
func (c *Cell) stopTrialsInDoubt(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.attached {
			continue
		}
		for _, failed := range w.runList {
			if !failed.onTrial() || !failed.trialFailed(now) {
				continue
			}
			for _, r := range failed.stage.job.trials {
				if r.worker.attached && !r.stopping && r.stage.mayStopTrial(failed) {
					c.markForStop(r, RunTrialStopped)
				}
			}
		}
	}
}

// mayStopAllTrials reports whether any number of trials of s may be stopped: its tasks end one by one,
// and any number may be away.
func (s *stage) mayStopAllTrials() bool { return !s.def.Gang && s.def.MaxUnavailable == 0 }

// trialsMayOverlap reports whether a trial of s may begin while another one is still watched, as it
// could be stopped if that one failed. The members of a gang end together, and of some steps only so
// many tasks may be away.
func (s *stage) trialsMayOverlap() bool {
	if s.def.Gang || s.mayStopAllTrials() {
		return !s.def.Gang
	}
	watched := 0
	for _, r := range s.job.trials {
		if r.stage == s {
			watched++
		}
	}
	// The task that is to be tried is away, and the first trial is not stopped.
	return s.tasksAway()-1+watched-1 < s.maxAway()
}

// mayStopTrial reports whether a trial of s may be stopped because another one has just failed.
func (s *stage) mayStopTrial(failed *run) bool {
	if s.def.Gang || s.mayStopAllTrials() {
		return !s.def.Gang
	}
	away := s.tasksAway()
	if failed.stage == s {
		// Users notice only later that it is away.
		away--
	}
	return away < s.maxAway()
}

// checkTrial lets others go on when they need not wait for a run on trial any more, ends its trial when
// the watch is over, and clears its task once the run has lasted for crashClearTime.
func (c *Cell) checkTrial(r *run, now time.Time) {
	if r.stage.unknown || r.confirmedAt.IsZero() {
		return
	}
	if r.onTrial() && now.After(r.trialAwaited) && r.stage.mayStopAllTrials() {
		r.passTrial()
	}
	if r.onTrial() && now.After(r.trialUntil) {
		r.endTrial(true)
	}
	t := &r.stage.tasks[r.index]
	if len(t.crashes) > 0 && now.Sub(r.confirmedAt) > crashClearTime {
		t.crashes, t.lostRacks = nil, nil
		c.markDirty(r.stage.job)
	}
}

// underTrial reports whether a trial on w forbids starting anything else there.
func (w *worker) underTrial(now time.Time) bool { return now.Before(w.trialUntil) }

const (
	// trialNeighborPenalty is the penalty of a worker for each run already there; it outweighs all
	// other differences. lostRackPenalty is the penalty of a rack where the task was lost before,
	// as a failing rack proves nothing about a task.
	trialNeighborPenalty = 100.0
	lostRackPenalty      = 50.0
)

// trialScore rates a worker for a trial of a task: the less there is to lose the better.
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
