// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// A task may crash every worker that starts it. The end of such a run is never listed, and the
// other runs on the worker are lost as well. So each loss of a worker counts against the runs that
// may have caused it, and a task with such losses is started as a trial: on the worker with the
// least to lose, with nothing else started there at first. The next loss then points to a single
// task and destroys little else. docs/design/crashes.md says what counts and what a wrong verdict
// costs.

const (
	// youngRunAge is the age below which a run is the first to be blamed for the loss of its
	// worker: by then a task has read its input and loaded its code.
	youngRunAge = time.Second
	// correlatedYoungRunAge is the same where several workers are lost together, which mostly has
	// another cause.
	correlatedYoungRunAge = 250 * time.Millisecond
	// correlationWindow is the time within which losses of workers are taken to have one cause: a
	// rack without power drops all of its connections at once, and an owner notices within some
	// tens of milliseconds.
	correlationWindow = 150 * time.Millisecond
	// silentCorrelationWindow is the same where no connection was closed: each call to a worker
	// finds out only at its own timeout.
	silentCorrelationWindow = 2500 * time.Millisecond
	// crashClearTime is how long a run has to last to clear its task of all earlier losses. The
	// loss of its worker after that does not count against it either, as workers also fail by
	// themselves.
	crashClearTime = 30 * time.Second
	// lossRetention is how long a loss is kept for comparison with others.
	lossRetention = 30 * time.Second
	// maxWorkersInDoubt is the number of workers in doubt with young runs of one step at which no
	// more tasks of that step are started.
	maxWorkersInDoubt = 2
)

// workerLoss is a recent loss of a worker.
type workerLoss struct {
	id string
	at time.Time
	// youngStages are the steps with young runs on the worker. suspect means that a task that was
	// already blamed for a loss ran there.
	youngStages []*stage
	suspect     bool
}

// explains reports whether the loss has its own cause, or the same cause as that of r's worker: a
// task that was blamed before, or a step that both workers had just started. Otherwise an outside
// cause, such as a rack without power, may explain both.
func (l *workerLoss) explains(r *run) bool {
	return l.suspect || slices.Contains(l.youngStages, r.stage)
}

// newWorkerLoss describes the loss of w at a time.
func newWorkerLoss(w *worker, at time.Time) workerLoss {
	l := workerLoss{id: w.ID, at: at, youngStages: w.youngStages(at)}
	for _, r := range w.runList {
		l.suspect = l.suspect || r.blamedBefore(at)
	}
	return l
}

// blamedBefore reports whether the task of r was blamed for an earlier loss and r had not run for
// much longer than the runs that were lost then.
func (r *run) blamedBefore(at time.Time) bool {
	if r.stage.unknown || r.unsent {
		return false
	}
	t := &r.stage.tasks[r.index]
	return t.suspect() && r.age(at) <= max(youngRunAge, 2*t.longestCrashAge())
}

// HungUp reports to the cell that the worker's side closed or refused the connection, as it does
// when the worker's process ends. just means that the connection was open until now, so that this
// is the moment of the disconnect.
func (c *Cell) HungUp(id string, just bool) {
	if w := c.workers[id]; w != nil && !w.attached {
		w.hungUp = true
		w.disconnectSeen = w.disconnectSeen || just
	}
}

// wasLost reports whether w was attached before and is not now. The entry of a worker that has
// ended may be listed for a while after that, and is then indistinguishable from one of a worker
// that was never attached.
func (w *worker) wasLost() bool { return w.everAttached && !w.attached }

// leftAsAnnounced reports whether w was lost at a time when it had announced to leave or was being
// evacuated, and not well before it was due to leave.
func (w *worker) leftAsAnnounced(at time.Time) bool {
	return w.leaving() && !(w.Draining && w.timeUntilLeave(at) > endListingMargin)
}

// lostAt returns the time since when nothing is known of w.
func (w *worker) lostAt(now time.Time) time.Time {
	if w.attached {
		return now
	}
	return w.detachedSince
}

// age returns how long r certainly ran before its worker was lost at a time. If the disconnect was
// observed, that is the time from the decision to start r. Otherwise the worker may have been lost
// at any time since it last reported r, and only the time up to that report counts.
func (r *run) age(at time.Time) time.Duration {
	if !r.worker.disconnectSeen {
		at = r.decidedAt
		for _, heard := range []time.Time{r.confirmedAt, r.lastListed} {
			if heard.After(at) {
				at = heard
			}
		}
	}
	return max(at.Sub(r.decidedAt), 0)
}

// youngStages returns the steps of the runs on w that were younger than youngRunAge at a time.
func (w *worker) youngStages(at time.Time) []*stage {
	var out []*stage
	for _, r := range w.runList {
		if !r.unsent && r.age(at) <= youngRunAge && !slices.Contains(out, r.stage) {
			out = append(out, r.stage)
		}
	}
	return out
}

// blame counts the loss of w against the runs that were there.
func (c *Cell) blame(w *worker, how Loss, now time.Time) {
	at := w.lostAt(now)
	if how == LossPlanned || w.leftAsAnnounced(at) {
		return
	}
	suspects, lost := w.suspects(at), newWorkerLoss(w, at)
	var steps []*stage
	for _, r := range w.runList {
		if r.stage.unknown || r.stage.job.state.Final() {
			continue
		}
		if r.age(at) > crashClearTime {
			continue
		}
		b := flow.BlameUnlikely
		if slices.Contains(suspects, r) {
			b = c.blameOf(r, how, at, len(suspects))
		}
		if b != flow.BlameUnlikely && !slices.Contains(steps, r.stage) {
			r.stage.blamedLosses++
			steps = append(steps, r.stage)
		}
		r.loseTrial(b)
		c.addCrash(r, flow.Crash{Run: r.number, Blame: b, AgeMS: r.age(at).Milliseconds(), Inherited: r.inherited})
	}
	c.recentLosses = slices.DeleteFunc(c.recentLosses, func(l workerLoss) bool { return now.Sub(l.at) > lossRetention })
	if w.everAttached {
		c.recentLosses = append(c.recentLosses, lost)
	}
}

// suspects returns the runs on w that may have caused its loss: those whose tasks were blamed
// before; else the young ones; else all that have not yet run for crashClearTime.
func (w *worker) suspects(at time.Time) []*run {
	var recent, young, repeated []*run
	for _, r := range w.runList {
		if r.stage.unknown || r.age(at) > crashClearTime {
			continue
		}
		recent = append(recent, r)
		if r.age(at) <= youngRunAge {
			young = append(young, r)
		}
		if r.blamedBefore(at) {
			repeated = append(repeated, r)
		}
	}
	switch {
	case len(repeated) > 0:
		return repeated
	case len(young) > 0:
		return young
	}
	return recent
}

// blameOf returns the blame of r, one of some suspects, for the loss of its worker.
func (c *Cell) blameOf(r *run, how Loss, at time.Time, suspects int) flow.Blame {
	again := r.stage.tasks[r.index].suspect()
	switch {
	case r.inherited:
		// What else ran there is not known.
		if again && !(how == LossSilent && c.lostTogether(r, how, at)) {
			return flow.BlameShared
		}
		return flow.BlameUnlikely
	case c.lostTogether(r, how, at):
		// A hall that is cut off, or a rack without power. This says little about a task that was
		// blamed before, and nothing where all workers are silent.
		if how != LossSilent && (again || r.age(at) <= correlatedYoungRunAge) {
			return flow.BlameShared
		}
		return flow.BlameUnlikely
	case suspects == 1 && how != LossSilent:
		return flow.BlameSole
	}
	return flow.BlameShared
}

// lostTogether reports whether other workers were lost at about the same time as that of r without
// a known cause.
func (c *Cell) lostTogether(r *run, how Loss, at time.Time) bool {
	within := correlationWindow
	if how == LossSilent {
		within = silentCorrelationWindow
	}
	near := func(other time.Time) bool { return at.Sub(other).Abs() <= within }
	for _, l := range c.recentLosses {
		if l.id != r.worker.ID && near(l.at) && !l.explains(r) {
			return true
		}
	}
	for _, w := range c.sortedWorkers {
		if w == r.worker || !w.wasLost() || w.leftAsAnnounced(w.detachedSince) || !near(w.detachedSince) {
			continue
		}
		if l := newWorkerLoss(w, w.detachedSince); !l.explains(r) {
			return true
		}
	}
	return false
}

// addCrash records against its task that a run was lost with its worker.
func (c *Cell) addCrash(r *run, crash flow.Crash) {
	t := &r.stage.tasks[r.index]
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run == crash.Run }) {
		// A former owner has already counted it.
		return
	}
	t.crashes = append(t.crashes, crash)
	t.lostRacks = append(t.lostRacks, r.worker.Rack)
	c.markDirty(r.stage.job)
}

// suspect reports whether a task may be crashing its workers.
func (t *task) suspect() bool {
	return len(t.crashes) > 1 ||
		slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Blame != flow.BlameUnlikely })
}

// longestCrashAge returns the age of the oldest run of the task that was lost.
func (t *task) longestCrashAge() time.Duration {
	longest := int64(0)
	for _, c := range t.crashes {
		longest = max(longest, c.AgeMS)
	}
	return time.Duration(longest) * time.Millisecond
}

// stagesInDoubt returns the steps with young runs on several workers whose connections have just
// been closed. Further tasks of such a step might crash more workers before the first losses are
// established.
func (c *Cell) stagesInDoubt() map[*stage]bool {
	var seen map[*stage]int
	var out map[*stage]bool
	for _, w := range c.sortedWorkers {
		if w.attached || !w.hungUp || len(w.runList) == 0 {
			continue
		}
		for _, s := range w.youngStages(w.detachedSince) {
			if seen == nil {
				seen, out = make(map[*stage]int), make(map[*stage]bool)
			}
			if seen[s]++; seen[s] >= maxWorkersInDoubt {
				out[s] = true
			}
		}
	}
	return out
}
