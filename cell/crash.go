// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// A task may end the process of each worker that starts it. Nobody lists the end of such a
// run, and what ran beside it is lost as well. So each loss of a worker is held against the
// runs that may have caused it, and a task against which there is something is tried alone:
// on the worker with the least to lose, with nothing started beside it at first. The next loss
// then names one task, and takes little with it.
// docs/design/crashes.md says what counts and what a wrong verdict costs.

const (
	// youngRunAge is how long after its start a run is the first to be blamed for the loss of its
	// worker: what it is given and what it loads are read by then.
	youngRunAge = time.Second
	// correlatedYoungRunAge is the same where several workers are lost together, for which there is
	// mostly another cause.
	correlatedYoungRunAge = 250 * time.Millisecond
	// correlationWindow is within which time workers are lost for one cause: a rack without power
	// takes all of its connections at once, and an owner reads that within some tens of
	// milliseconds.
	correlationWindow = 150 * time.Millisecond
	// silentCorrelationWindow is the same where nothing ended a connection: each call to a worker
	// finds that out when its own time is over.
	silentCorrelationWindow = 2500 * time.Millisecond
	// crashClearTime is how long a run has to go on for nothing to be held against its task
	// any more, nor the loss of its worker from then on: workers fail by themselves as well.
	crashClearTime = 30 * time.Second
	// lossRetention is for how long losses are compared with others.
	lossRetention = 30 * time.Second
	// maxWorkersInDoubt is how many workers may be in doubt with young runs of one step before
	// no more of it are started.
	maxWorkersInDoubt = 2
)

// A task is given up after so many workers. Two losses at the same time after a start, within soon
// and with nobody else to blame, are beyond chance, as are three later, or one beside three at the
// same time for which others may be to blame. A task that crashes each worker must not be
// started three times more after the third: so five end it in any case, if it was to blame for
// most of them.
const (
	youngSoleLimit = 2
	soleLimit      = 3
	alikeLimit     = 4
	totalLimit     = 5
	blamedLimit    = 3
	// Losses are at the same time after their starts within minAlikeTolerance, and within a part of
	// that time, as a divisor: what a task does until it ends its worker takes about as long
	// each time, while workers that end by themselves do so at any time.
	minAlikeTolerance = 100 * time.Millisecond
	alikeDivisor      = 8
)

// workerLoss is a worker that was lost not long ago.
type workerLoss struct {
	id string
	at time.Time
	// youngStages are the steps with youngStages runs there, and suspect says that a task was there that
	// was blamed before.
	youngStages []*stage
	suspect     bool
}

// explains reports whether a loss has a cause of its own, or that of the worker of r: a task that
// was blamed before, or the step that both had just started. A rack without power takes other
// workers as well.
func (l *workerLoss) explains(r *run) bool {
	return l.suspect || slices.Contains(l.youngStages, r.stage)
}

// newWorkerLoss returns the loss of w at a time.
func newWorkerLoss(w *worker, at time.Time) workerLoss {
	l := workerLoss{id: w.ID, at: at, youngStages: w.youngStages(at)}
	for _, r := range w.runList {
		l.suspect = l.suspect || r.blamedBefore(at)
	}
	return l
}

// blamedBefore reports whether the task of r was blamed before, and r had not gone on for much
// longer than then.
func (r *run) blamedBefore(at time.Time) bool {
	if r.stage.unknown {
		return false
	}
	t := &r.stage.tasks[r.index]
	return t.suspect() && r.age(at) <= max(youngRunAge, 2*t.longestCrashAge())
}

// GivenUp is a task that is started no more, as its workers crash.
type GivenUp struct {
	Task    flow.TaskID
	Crashes []flow.Crash
}

// GivenUps returns the tasks that were given up since the last call.
func (c *Cell) GivenUps() []GivenUp {
	out := c.givenUps
	c.givenUps = nil
	return out
}

// HungUp says that the connection to a worker was ended or refused by its side, as when its
// process ends. just says that it was open until now, so that this is the moment of it.
func (c *Cell) HungUp(id string, just bool) {
	if w := c.workers[id]; w != nil && !w.attached {
		w.hungUp = true
		w.disconnectSeen = w.disconnectSeen || just
	}
}

// wasLost reports whether w was attached before and is not now. The entry of a worker that is no
// more may be listed for a while, and is then that of one that was never met.
func (w *worker) wasLost() bool { return w.everAttached && !w.attached }

// leftAsAnnounced reports whether w was lost as it had said that it leaves, or was being emptied, and not
// well before its time.
func (w *worker) leftAsAnnounced(at time.Time) bool {
	return w.leaving() && !(w.Draining && w.timeUntilLeave(at) > endListingMargin)
}

// lostAt returns since when nothing is known of w.
func (w *worker) lostAt(now time.Time) time.Time {
	if w.attached {
		return now
	}
	return w.detachedSince
}

// age returns how long r surely went on where its worker was lost at a time. That is when its
// side ended a connection; where none was seen to end, as all had gone silent, the worker may
// have been lost at any moment since it last spoke of r.
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

// youngStages returns the steps of which runs on w were started within soon of at.
func (w *worker) youngStages(at time.Time) []*stage {
	var out []*stage
	for _, r := range w.runList {
		if r.age(at) <= youngRunAge && !slices.Contains(out, r.stage) {
			out = append(out, r.stage)
		}
	}
	return out
}

// blame holds the loss of w against what ran there.
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
		b := flow.BlameBeside
		if slices.Contains(suspects, r) {
			b = c.blameOf(r, how, at, len(suspects))
		}
		if b != flow.BlameBeside && !slices.Contains(steps, r.stage) {
			r.stage.blamedLosses++
			steps = append(steps, r.stage)
		}
		c.addCrash(r, flow.Crash{Run: r.number, Blame: b, AgeMS: r.age(at).Milliseconds()})
	}
	c.recentLosses = slices.DeleteFunc(c.recentLosses, func(l workerLoss) bool { return now.Sub(l.at) > lossRetention })
	if w.everAttached {
		c.recentLosses = append(c.recentLosses, lost)
	}
}

// suspects returns the runs on w that may have ended it: those of tasks that were suspects before,
// else the young ones, else all that have not gone on for long.
func (w *worker) suspects(at time.Time) []*run {
	var some, young, before []*run
	for _, r := range w.runList {
		if r.stage.unknown || r.age(at) > crashClearTime {
			continue
		}
		some = append(some, r)
		if r.age(at) <= youngRunAge {
			young = append(young, r)
		}
		if r.blamedBefore(at) {
			before = append(before, r)
		}
	}
	switch {
	case len(before) > 0:
		return before
	case len(young) > 0:
		return young
	}
	return some
}

// blameOf returns how r, one of some that may have ended its worker, is blamed for it.
func (c *Cell) blameOf(r *run, how Loss, at time.Time, some int) flow.Blame {
	again := r.stage.tasks[r.index].suspect()
	switch {
	case c.lostTogether(r, how, at):
		// A hall that is cut off, or a rack without power, which says little of a task that
		// was blamed before, and nothing where all is silent.
		if how != LossSilent && (again || r.age(at) <= correlatedYoungRunAge) {
			return flow.BlameShared
		}
		return flow.BlameBeside
	case some == 1 && how != LossSilent:
		return flow.BlameSole
	}
	return flow.BlameShared
}

// lostTogether reports whether other workers were lost together with that of r, for a cause that
// is not known.
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

// noteInheritedLoss notes that a worker which a former owner had was gone when this one came.
func (c *Cell) noteInheritedLoss(w *worker, how Loss) {
	if w.inherited && !w.everAttached && how != LossPlanned {
		c.inheritedWorkerLost = true
	}
}

// countInheritedLoss holds a run of a former owner against its task: nobody has it, and a worker was
// lost while the owner changed. It counts once for each owner, by a number that no run has. A
// task that was blamed before is blamed for it, as it was tried or would have been.
func (c *Cell) countInheritedLoss(s *stage, index int, now time.Time) {
	t := &s.tasks[index]
	if !c.inheritedWorkerLost || !s.job.restored || t.lastRun > 0 {
		return
	}
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run >= c.runBase }) {
		return
	}
	crash := flow.Crash{Run: c.runBase, Blame: flow.BlameBeside, Inherited: true}
	if t.suspect() {
		crash.Blame = flow.BlameShared
	}
	t.crashes = append(t.crashes, crash)
	c.markDirty(s.job)
	c.giveUpIfCrashing(s, index, now)
}

// addCrash notes that a run was lost with its worker.
func (c *Cell) addCrash(r *run, crash flow.Crash) {
	t := &r.stage.tasks[r.index]
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run == crash.Run }) {
		// A former owner has taken note of it.
		return
	}
	t.crashes = append(t.crashes, crash)
	t.lostRacks = append(t.lostRacks, r.worker.Rack)
	if t.suspect() {
		c.markDirty(r.stage.job)
	}
}

// suspect reports whether a task may be one that crashes its workers.
func (t *task) suspect() bool {
	return len(t.crashes) > 1 ||
		slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Blame != flow.BlameBeside })
}

// crashesMustBeStored reports whether what is held against a task has to be in its job's record: not what is
// only beside a loss, as the neighbours of many workers lost together are, unless each owner in a
// row would have to begin with it.
func (t *task) crashesMustBeStored() bool {
	return t.suspect() || slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Inherited })
}

// longestCrashAge returns how long the longest run that was lost had gone on.
func (t *task) longestCrashAge() time.Duration {
	longest := int64(0)
	for _, c := range t.crashes {
		longest = max(longest, c.AgeMS)
	}
	return time.Duration(longest) * time.Millisecond
}

// crashesOf returns what is held against a task. The members of a gang are lost as one.
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
			} else if c.Blame == flow.BlameSole || out[at].Blame == flow.BlameBeside {
				out[at] = c
			}
		}
	}
	return out
}

// mustGiveUp reports whether crashes are enough to give a task up.
func mustGiveUp(crashes []flow.Crash) bool {
	sole, blamed, seen, lost := 0, 0, 0, 0
	for _, c := range crashes {
		lost += lossWeight(c)
		if c.Blame != flow.BlameBeside {
			blamed++
			if !c.Inherited {
				seen++
			}
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
	// What may be two losses, and may be none, gives a task up only beside losses that were seen.
	return sole >= soleLimit || (blamed >= blamedLimit && len(crashes) >= totalLimit) ||
		(seen >= blamedLimit && lost >= totalLimit)
}

// lossWeight returns how many losses c may stand for. An owner starts a task again that was beside one
// loss before the store has that: if it cannot write, it may have lost two runs that the next owner
// does not know of.
func lossWeight(c flow.Crash) int {
	if c.Inherited && c.Blame == flow.BlameBeside {
		return 2
	}
	return 1
}

// countAlike counts the losses at the same time after their starts as c, itself among them, and those
// for which nobody else is to blame.
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

// giveUpIfCrashing gives a task up if its workers have crashed too often, and its job with it. A cell
// that has a part of a job gives up the task alone: the job's own cell says what becomes of it.
func (c *Cell) giveUpIfCrashing(s *stage, index int, now time.Time) {
	if s.unknown {
		return
	}
	t := &s.tasks[index]
	if t.state == taskDone || t.state == taskGivenUp || s.job.state.Final() || !mustGiveUp(s.crashesOf(index)) {
		return
	}
	c.givenUps = append(c.givenUps, GivenUp{Task: s.taskID(index), Crashes: s.crashesOf(index)})
	if s.job.share.Foreign() {
		if t.state == taskWaiting {
			s.setWaiting(t, false)
		}
		t.state = taskGivenUp
		c.markDirty(s.job)
		return
	}
	c.finish(s.job, flow.Failed, now)
}

// stagesInDoubt returns the steps of which young runs are on several workers whose connections have
// just ended: more of them would meet the same end before it is known what they did.
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
