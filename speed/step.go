// SPDX-License-Identifier: Apache-2.0

package speed

import (
	"math"
	"time"
)

const (
	// minOtherRuns is how many runs of a step have to have ended on other workers before a run is
	// compared with them. Until then it is compared with the estimate alone.
	minOtherRuns = 3
	// maxRunDeviations is how many standard deviations a run counts at most as longer than the other
	// runs of its step on the same worker.
	maxRunDeviations = 3
	// maxGroups limits the workers of a step that are compared, and with it the cost of an end.
	maxGroups = 16
)

// Step compares the runs of one step with each other. Its zero value is a step without runs.
type Step struct {
	groups []group
}

// group holds the runs of a step on one worker.
type group struct {
	worker *Worker
	runs   float64
	// duration is the mean of the logarithms of their durations, and endedAt when the last one ended.
	duration float64
	endedAt  time.Time
	// told is the part of the worker's estimate that is due to this group, at toldAt.
	told   comparison
	toldAt time.Time
}

// Ended records that a run of the step has ended on w. The run began without a checkpoint, was not
// stopped, and lasted for measured. An estimate of 0 means that there is none.
func (s *Step) Ended(w *Worker, q *Queue, estimated, measured time.Duration, now time.Time) {
	if measured <= 0 {
		return
	}
	g := s.group(w)
	if g == nil {
		return
	}
	duration := math.Log(measured.Seconds())
	if g.runs == 0 && estimated > 0 {
		// The runs of a step on one worker say the same about the estimate.
		q.observe(duration+w.Estimate(now).Log-math.Log(estimated.Seconds()), now)
	}
	g.add(duration, q, now)
	w.decayTo(now)
	w.runs++
	w.weight++
	s.compare(q, estimated, now)
}

// group returns the group of w, a new one if necessary, or nil if there are too many.
func (s *Step) group(w *Worker) *group {
	for i := range s.groups {
		if s.groups[i].worker == w {
			return &s.groups[i]
		}
	}
	if len(s.groups) == maxGroups {
		return nil
	}
	s.groups = append(s.groups, group{worker: w})
	return &s.groups[len(s.groups)-1]
}

// add adds a run to the group. A run that is much longer than the shorter ones counts less,
// whichever ended first.
func (g *group) add(duration float64, q *Queue, now time.Time) {
	g.endedAt = now
	if g.runs == 0 {
		g.runs, g.duration = 1, duration
		return
	}
	limit := maxRunDeviations * math.Sqrt(q.runVariance())
	g.duration = min(g.duration, duration+limit)
	deviation := min(duration-g.duration, limit)
	// The mean has a variance of its own.
	q.runs.add(square(deviation)*g.runs/(g.runs+1), now)
	g.runs++
	g.duration += deviation / g.runs
}

// compare updates what the step tells about each of its workers.
func (s *Step) compare(q *Queue, estimated time.Duration, now time.Time) {
	runVariance := q.runVariance()
	var total source
	var works [maxGroups]source
	for i := range s.groups {
		works[i] = s.groups[i].work(runVariance, now)
		total = total.plus(works[i])
	}
	for i := range s.groups {
		g := &s.groups[i]
		others := total.minus(works[i])
		if others.runs < minOtherRuns {
			others = source{}
		}
		if estimated > 0 {
			work, variance := q.expected(estimated)
			others = others.plus(source{weight: 1 / variance, sum: work / variance})
		}
		if others.weight > 0 {
			g.tell(others, runVariance, now)
		}
	}
}

// source holds the weight and the weighted sum of what is known of the work of a step's tasks, and
// the number of runs from which it is known.
type source struct{ weight, sum, runs float64 }

func (s source) plus(o source) source {
	return source{s.weight + o.weight, s.sum + o.sum, s.runs + o.runs}
}
func (s source) minus(o source) source {
	return source{s.weight - o.weight, s.sum - o.sum, s.runs - o.runs}
}

// work returns what the group tells about the work of a task, given what other steps tell about the
// speed of its worker.
func (g *group) work(runVariance float64, now time.Time) source {
	w := g.worker
	w.decayTo(now)
	speed, variance := w.told.minus(g.told.times(decay(g.toldAt, now))).speed()
	weight := 1 / (variance + runVariance/g.runs)
	return source{weight: weight, sum: weight * (g.duration + speed), runs: g.runs}
}

// tell replaces what the group has told about its worker by a comparison with the work of a task.
func (g *group) tell(work source, runVariance float64, now time.Time) {
	w := g.worker
	speed := clip(work.sum/work.weight-g.duration, maxDeviation)
	weight := 1 / (1/work.weight + runVariance/g.runs)
	w.decayTo(now)
	others := w.told.minus(g.told.times(decay(g.toldAt, now)))
	g.told = comparison{count: 1, weight: weight, sum: weight * speed, squares: weight * square(speed)}.times(decay(g.endedAt, now))
	g.toldAt = now
	w.told = others.plus(g.told)
}
