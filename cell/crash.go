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
	// soon is how long after its start a run is the first to be blamed for the loss of its
	// worker: what it is given and what it loads are read by then.
	soon = time.Second
	// soonWide is the same where several workers are lost together, for which there is
	// mostly another cause.
	soonWide = 250 * time.Millisecond
	// together is within which time workers are lost for one cause: a rack without power
	// takes all of its connections at once, and an owner reads that within some tens of
	// milliseconds.
	together = 150 * time.Millisecond
	// togetherSilent is the same where nothing ended a connection: each call to a worker
	// finds that out when its own time is over.
	togetherSilent = 2500 * time.Millisecond
	// clearedAfter is how long a run has to go on for nothing to be held against its task
	// any more, nor the loss of its worker from then on: workers fail by themselves as well.
	clearedAfter = 30 * time.Second
	// lossesKept is for how long losses are compared with others.
	lossesKept = 30 * time.Second
	// hungUpMost is how many workers may be in doubt with young runs of one step before
	// no more of it are started.
	hungUpMost = 2
)

// A task is given up after so many workers. Two losses at the same time after a start, within soon
// and with nobody else to blame, are beyond chance, as are three later, or one beside three at the
// same time for which others may be to blame. A task that crashes each worker must not be
// started three times more after the third: so five end it in any case, if it was to blame for
// most of them.
const (
	crashesSoon  = 2
	crashesSole  = 3
	crashesAlike = 4
	crashesAll   = 5
	blamedOfAll  = 3
	// Losses are at the same time after their starts within alikeLeast, and within a part of
	// that time, as a divisor: what a task does until it ends its worker takes about as long
	// each time, while workers that end by themselves do so at any time.
	alikeLeast = 100 * time.Millisecond
	alikeShare = 8
)

// loss is a worker that was lost not long ago.
type loss struct {
	id string
	at time.Time
	// young are the steps with young runs there, and suspect says that a task was there that
	// was blamed before.
	young   []*stage
	suspect bool
}

// explains reports whether a loss has a cause of its own, or that of the worker of r: a task that
// was blamed before, or the step that both had just started. A rack without power takes other
// workers as well.
func (l *loss) explains(r *run) bool { return l.suspect || slices.Contains(l.young, r.stage) }

// lossOf returns the loss of w at a time.
func lossOf(w *worker, at time.Time) loss {
	l := loss{id: w.ID, at: at, young: w.youngStages(at)}
	for _, r := range w.held {
		l.suspect = l.suspect || r.blamedBefore(at)
	}
	return l
}

// blamedBefore reports whether the task of r was blamed before, and r had not gone on for much
// longer than then.
func (r *run) blamedBefore(at time.Time) bool {
	if r.stage.stray {
		return false
	}
	t := &r.stage.tasks[r.index]
	return t.suspect() && r.age(at) <= max(soon, 2*t.longestCrash())
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
		w.endSeen = w.endSeen || just
	}
}

// lost reports whether w was attached before and is not now. The entry of a worker that is no
// more may be listed for a while, and is then that of one that was never met.
func (w *worker) lost() bool { return w.met && !w.attached }

// left reports whether w was lost as it had said that it leaves, or was being emptied, and not
// well before its time.
func (w *worker) left(at time.Time) bool {
	return w.leaving() && !(w.Draining && w.leavesIn(at) > lastEnds)
}

// lostAt returns since when nothing is known of w.
func (w *worker) lostAt(now time.Time) time.Time {
	if w.attached {
		return now
	}
	return w.unsureSince
}

// age returns how long r surely went on where its worker was lost at a time. That is when its
// side ended a connection; where none was seen to end, as all had gone silent, the worker may
// have been lost at any moment since it last spoke of r.
func (r *run) age(at time.Time) time.Duration {
	if !r.w.endSeen {
		at = r.decided
		for _, heard := range []time.Time{r.confirmed, r.listed} {
			if heard.After(at) {
				at = heard
			}
		}
	}
	return max(at.Sub(r.decided), 0)
}

// youngStages returns the steps of which runs on w were started within soon of at.
func (w *worker) youngStages(at time.Time) []*stage {
	var out []*stage
	for _, r := range w.held {
		if r.age(at) <= soon && !slices.Contains(out, r.stage) {
			out = append(out, r.stage)
		}
	}
	return out
}

// blame holds the loss of w against what ran there.
func (c *Cell) blame(w *worker, how Loss, now time.Time) {
	at := w.lostAt(now)
	if how == LossPlanned || w.left(at) {
		return
	}
	suspects, lost := w.blamed(at), lossOf(w, at)
	var steps []*stage
	for _, r := range w.held {
		if r.stage.stray || r.stage.job.state.Final() {
			continue
		}
		if r.age(at) > clearedAfter {
			continue
		}
		b := flow.BlameBeside
		if slices.Contains(suspects, r) {
			b = c.blameOf(r, how, at, len(suspects))
		}
		if b != flow.BlameBeside && !slices.Contains(steps, r.stage) {
			r.stage.blamed++
			steps = append(steps, r.stage)
		}
		c.crashed(r, flow.Crash{Run: r.n, Blame: b, AgeMS: r.age(at).Milliseconds()})
	}
	c.losses = slices.DeleteFunc(c.losses, func(l loss) bool { return now.Sub(l.at) > lossesKept })
	if w.met {
		c.losses = append(c.losses, lost)
	}
}

// blamed returns the runs on w that may have ended it: those of tasks that were blamed before,
// else the young ones, else all that have not gone on for long.
func (w *worker) blamed(at time.Time) []*run {
	var some, young, before []*run
	for _, r := range w.held {
		if r.stage.stray || r.age(at) > clearedAfter {
			continue
		}
		some = append(some, r)
		if r.age(at) <= soon {
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
	case c.lostWith(r, how, at):
		// A hall that is cut off, or a rack without power, which says little of a task that
		// was blamed before, and nothing where all is silent.
		if how != LossSilent && (again || r.age(at) <= soonWide) {
			return flow.BlameShared
		}
		return flow.BlameBeside
	case some == 1 && how != LossSilent:
		return flow.BlameSole
	}
	return flow.BlameShared
}

// lostWith reports whether other workers were lost together with that of r, for a cause that
// is not known.
func (c *Cell) lostWith(r *run, how Loss, at time.Time) bool {
	within := together
	if how == LossSilent {
		within = togetherSilent
	}
	near := func(other time.Time) bool { return at.Sub(other).Abs() <= within }
	for _, l := range c.losses {
		if l.id != r.w.ID && near(l.at) && !l.explains(r) {
			return true
		}
	}
	for _, w := range c.order {
		if w == r.w || !w.lost() || w.left(w.unsureSince) || !near(w.unsureSince) {
			continue
		}
		if l := lossOf(w, w.unsureSince); !l.explains(r) {
			return true
		}
	}
	return false
}

// lostBefore notes that a worker which a former owner had was gone when this one came.
func (c *Cell) lostBefore(w *worker, how Loss) {
	if w.inherited && !w.met && how != LossPlanned {
		c.lostInherited = true
	}
}

// countInherited holds a run of a former owner against its task: nobody has it, and a worker was
// lost while the owner changed. It counts once for each owner, by a number that no run has. A
// task that was blamed before is blamed for it, as it was tried or would have been.
func (c *Cell) countInherited(s *stage, index int, now time.Time) {
	t := &s.tasks[index]
	if !c.lostInherited || !s.job.restored || t.last > 0 {
		return
	}
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run >= c.firstRun }) {
		return
	}
	crash := flow.Crash{Run: c.firstRun, Blame: flow.BlameBeside, Inherited: true}
	if t.suspect() {
		crash.Blame = flow.BlameShared
	}
	t.crashes = append(t.crashes, crash)
	c.mark(s.job)
	c.judge(s, index, now)
}

// crashed notes that a run was lost with its worker.
func (c *Cell) crashed(r *run, crash flow.Crash) {
	t := &r.stage.tasks[r.index]
	if slices.ContainsFunc(t.crashes, func(o flow.Crash) bool { return o.Run == crash.Run }) {
		// A former owner has taken note of it.
		return
	}
	t.crashes = append(t.crashes, crash)
	t.lostRacks = append(t.lostRacks, r.w.Rack)
	if t.suspect() {
		c.mark(r.stage.job)
	}
}

// suspect reports whether a task may be one that crashes its workers.
func (t *task) suspect() bool {
	return len(t.crashes) > 1 ||
		slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Blame != flow.BlameBeside })
}

// toKeep reports whether what is held against a task has to be in its job's record: not what is
// only beside a loss, as the neighbours of many workers lost together are, unless each owner in a
// row would have to begin with it.
func (t *task) toKeep() bool {
	return t.suspect() || slices.ContainsFunc(t.crashes, func(c flow.Crash) bool { return c.Inherited })
}

// longestCrash returns how long the longest run that was lost had gone on.
func (t *task) longestCrash() time.Duration {
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

// guilty reports whether crashes are enough to give a task up.
func guilty(crashes []flow.Crash) bool {
	sole, blamed, seen, lost := 0, 0, 0, 0
	for _, c := range crashes {
		lost += lossesIn(c)
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
		all, alone := alike(crashes, c)
		if all >= crashesAlike || (alone >= crashesSoon && c.AgeMS <= soon.Milliseconds()) {
			return true
		}
	}
	// What may be two losses, and may be none, gives a task up only beside losses that were seen.
	return sole >= crashesSole || (blamed >= blamedOfAll && len(crashes) >= crashesAll) ||
		(seen >= blamedOfAll && lost >= crashesAll)
}

// lossesIn returns how many losses c may stand for. An owner starts a task again that was beside one
// loss before the store has that: if it cannot write, it may have lost two runs that the next owner
// does not know of.
func lossesIn(c flow.Crash) int {
	if c.Inherited && c.Blame == flow.BlameBeside {
		return 2
	}
	return 1
}

// alike counts the losses at the same time after their starts as c, itself among them, and those
// for which nobody else is to blame.
func alike(crashes []flow.Crash, c flow.Crash) (all, alone int) {
	within := max(alikeLeast.Milliseconds(), c.AgeMS/alikeShare)
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

// judge gives a task up if its workers have crashed too often, and its job with it. A cell
// that has a part of a job gives up the task alone: the job's own cell says what becomes of it.
func (c *Cell) judge(s *stage, index int, now time.Time) {
	if s.stray {
		return
	}
	t := &s.tasks[index]
	if t.state == taskDone || t.state == taskGivenUp || s.job.state.Final() || !guilty(s.crashesOf(index)) {
		return
	}
	c.givenUps = append(c.givenUps, GivenUp{Task: s.taskID(index), Crashes: s.crashesOf(index)})
	if s.job.share.Foreign() {
		if t.state == taskWaiting {
			s.setWaiting(t, false)
		}
		t.state = taskGivenUp
		c.mark(s.job)
		return
	}
	c.finish(s.job, flow.Failed, now)
}

// inDoubt returns the steps of which young runs are on several workers whose connections have
// just ended: more of them would meet the same end before it is known what they did.
func (c *Cell) inDoubt() map[*stage]bool {
	var seen map[*stage]int
	var out map[*stage]bool
	for _, w := range c.order {
		if w.attached || !w.hungUp || len(w.held) == 0 {
			continue
		}
		for _, s := range w.youngStages(w.unsureSince) {
			if seen == nil {
				seen, out = make(map[*stage]int), make(map[*stage]bool)
			}
			if seen[s]++; seen[s] >= hungUpMost {
				out[s] = true
			}
		}
	}
	return out
}
