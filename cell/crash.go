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

// noteInheritedLoss records that a worker of a former owner was lost before all of its ends were read.
func (c *Cell) noteInheritedLoss(w *worker, how Loss) {
	if w.inherited && !w.endsRead && how != LossPlanned {
		c.InheritLost(w.Hall, []string{w.ID})
	}
}

// countInheritedLoss counts a presumed loss against a task whose first run, which no record names, a
// former owner may have started on a worker that was lost while the owner changed.
func (c *Cell) countInheritedLoss(s *stage, index int, now time.Time) {
	t := &s.tasks[index]
	if !s.job.restored || t.accounted {
		return
	}
	var lost []string
	for _, hall := range s.startHalls() {
		lost = append(lost, c.inheritedWorkersLost[hall]...)
	}
	if len(lost) > 0 {
		t.accounted = true
		c.addInheritedCrash(s, index, flow.Crash{Run: c.runBase, Blame: flow.BlameUnlikely, Inherited: true}, lost, now)
	}
}

// InheritLost tells the cell of workers in a hall that were lost under former owners with runs that
// may not be on record.
func (c *Cell) InheritLost(hall string, ids []string) {
	if c.inheritedWorkersLost == nil {
		c.inheritedWorkersLost = make(map[string][]string)
	}
	c.inheritedWorkersLost[hall] = append(c.inheritedWorkersLost[hall], ids...)
}

// InheritedLost returns, by hall, the lost workers of former owners, as long as there is a task that
// may have been lost with one of them and whose record does not say so yet. The next owner must know
// of them.
func (c *Cell) InheritedLost() map[string][]string {
	out := make(map[string][]string)
	for _, s := range c.openStages {
		if len(out) == len(c.inheritedWorkersLost) {
			break
		}
		if !s.job.restored || s.job.state.Final() || !s.mayHaveUnrecordedLoss() {
			continue
		}
		for _, hall := range s.startHalls() {
			if ids := c.inheritedWorkersLost[hall]; len(ids) > 0 {
				out[hall] = ids
			}
		}
	}
	return out
}

// mayHaveUnrecordedLoss reports whether a run of a task of s by a former owner may have been lost
// without the stored record saying so.
func (s *stage) mayHaveUnrecordedLoss() bool {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskWaiting && !t.inStore && (!t.accounted || len(t.crashes) > 0) {
			return true
		}
	}
	return false
}

// startHalls returns the halls in which a former owner may have started tasks of s, and the empty
// name of workers whose hall is not known.
func (s *stage) startHalls() []string {
	halls := append([]string{"", s.job.spec.Hall}, s.inheritedHalls...)
	slices.Sort(halls)
	return slices.Compact(halls)
}

// addInheritedCrash counts a loss of a former owner against a task. workers are those with which the
// run may have been lost.
func (c *Cell) addInheritedCrash(s *stage, index int, crash flow.Crash, workers []string, now time.Time) {
	t := &s.tasks[index]
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run == crash.Run }) {
		return
	}
	t.crashes = append(t.crashes, crash)
	c.inheritedLosses = append(c.inheritedLosses, InheritedLoss{
		Task: s.taskID(index), Run: crash.Run, Blame: crash.Blame, Crashes: len(t.crashes), Workers: workers,
	})
	c.markDirty(s.job)
	c.giveUpIfCrashing(s, index, now)
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
