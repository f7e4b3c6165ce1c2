// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

const (
	// adviceLead is added to the time that advice takes when it is asked for
	// before its step opens.
	adviceLead = 250 * time.Millisecond
	// runCheckInterval spaces the looks over all runs, for those that stand still or have
	// to leave. What somebody decided about a run is seen at once.
	runCheckInterval = 50 * time.Millisecond
)

// Start is a run to start.
type Start struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
	Text         string
	Saved        string
	Ticket       string
}

// Stop is a run to stop.
type Stop struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
}

// Actions are what is to be done.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Asks   []Ask
	Paces  []Pace
	// Waits are steps that have waited for long and wait on.
	Waits []Wait
	// Late are steps of which the last task starts now, late.
	Late []LateStart
}

// Place decides what to do now. At most asks questions are under way at once.
// wall is the time of day, against which due times are held.
func (c *Cell) Place(now, wall time.Time, asks int) Actions {
	var a Actions
	if c.runsNeedCheck || now.Sub(c.runsCheckedAt) >= runCheckInterval {
		c.runsNeedCheck, c.runsCheckedAt = false, now
		c.decideStops(&a, now)
		c.decidePaces(&a, now)
	}
	c.pruneOpenStages()
	c.expireUnmatchedEnds(now)
	c.sortOpenStages(now)
	unsettled, most, inDoubt := c.unsettled(), c.mostFree(), c.stagesInDoubt()
	c.countPossiblyUsed(&unsettled, now)
	c.countTrials(now)
	c.sendBudgetLeft, c.sendLimited, c.maxAsks = c.sendBudget, false, asks
	for _, w := range c.sortedWorkers {
		w.reserved = sched.Vec{}
	}
	for _, s := range c.openStages {
		q := c.queues[s.job.spec.Queue]
		if q == nil || s.job.state.Final() {
			continue
		}
		if !s.due.IsZero() && s.due.After(wall) {
			continue
		}
		if s.waiting == 0 || s.pendingDeps > 0 || !s.job.stored {
			c.askAhead(s, q, &a, asks, now)
			s.needsMove = false
			continue
		}
		s.needsMove = false
		if c.sendBudgetLeft <= 0 {
			c.sendLimited = true
			c.askAhead(s, q, &a, asks, now)
			c.reportWait(s, LinkFull, &a, now)
			continue
		}
		room := s.def.Room()
		why := NoWorker
		switch {
		case c.heldUp(s, &unsettled):
			why = HeldUp
		case inDoubt[s]:
			why = InDoubt
		case s.accountAtLimit():
			why = LimitReached
		case s.def.Gang:
			c.placeGang(s, q, &a, now)
		case !most.Covers(&room):
			why = Full
		default:
			c.placeTasks(s, q, &a, now)
		}
		if s.waiting > 0 && c.sendBudgetLeft <= 0 {
			c.sendLimited = true
			why = LinkFull
		}
		if s.waiting > 0 && s.accountAtLimit() {
			why = LimitReached
		}
		if s.waiting > 0 && why != HeldUp && why != LinkFull && why != LimitReached {
			c.askFor(s, q, &a, asks, now)
			c.reserve(s, q, now)
		}
		if s.waiting == 0 {
			c.allStarted(s, q, &a, now)
		} else {
			s.setWaitReason(c.waitReason(s, why, now), now)
		}
		c.reportWait(s, why, &a, now)
	}
	c.askOldest(&a, asks, now)
	return a
}

// mostFree returns what no worker has more of to give.
func (c *Cell) mostFree() sched.Vec {
	var most sched.Vec
	for _, w := range c.sortedWorkers {
		if !w.usable() {
			continue
		}
		for i := range most {
			most[i] = max(most[i], w.free[i])
		}
	}
	return most
}

// pruneOpenStages forgets stages that have nothing left to place.
func (c *Cell) pruneOpenStages() {
	c.openStages = slices.DeleteFunc(c.openStages, func(s *stage) bool {
		return (s.waiting == 0 && !s.needsMove) || s.job.state.Final()
	})
}

func (c *Cell) askLeadTime(q *Queue) time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.Decide + time.Duration(min(len(c.sortedWorkers), minAskWorkers))*q.Advice.Each + adviceLead
}

// opensWithin guesses whether the steps before s are done within d.
func (c *Cell) opensWithin(s *stage, d time.Duration, now time.Time) bool {
	for _, b := range s.def.After {
		before := s.job.stage(s.time, b)
		if before.tasksLeft == 0 {
			continue
		}
		if before.waiting > 0 || before.pendingDeps > 0 {
			return false
		}
		for i := range before.tasks {
			t := &before.tasks[i]
			for _, r := range t.runs {
				if r.remaining(now) > d {
					return false
				}
			}
		}
	}
	return true
}

// remaining guesses how long r still runs.
func (r *run) remaining(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return r.stage.def.Estimate()
	}
	ran := now.Sub(r.confirmedAt)
	if r.percent <= 0 || r.percent > 100 {
		return max(r.stage.def.Estimate()-ran, 0)
	}
	until := r.lastProgress.Sub(r.confirmedAt)
	whole := until * 100 / time.Duration(r.percent)
	return max(whole-ran, 0)
}

// rank orders stages, smaller first: by priority, then those within the share of their client
// account before those beyond it, then by whether they can still be in time (0), count as late (1) or for nothing (2), then by the time that is
// left beyond the work still to do.
type rank struct {
	priority    int
	beyondShare bool
	late        int
	slack       time.Duration
}

func (c *Cell) rank(s *stage, now time.Time) rank {
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return rank{priority: lowestPriority}
	}
	r := rank{priority: q.Priority, beyondShare: s.job.beyondShare}
	if s.def.Lasting {
		r.slack = s.waitingSince.Sub(now)
		return r
	}
	objective := q.Target + time.Duration(q.Stretch*float64(s.job.longestChain))
	r.slack = objective - now.Sub(s.job.arrived) - s.chain
	switch {
	case r.slack >= -q.Target:
	case r.slack >= -2*objective:
		r.late = 1
	default:
		r.late = 2
	}
	return r
}

const lowestPriority = 1 << 30

// sortOpenStages orders the open stages. Each is ranked once.
func (c *Cell) sortOpenStages(now time.Time) {
	for _, s := range c.openStages {
		s.rank = c.rank(s, now)
	}
	slices.SortStableFunc(c.openStages, compareStages)
}

func compareStages(x, y *stage) int {
	return cmp.Or(
		cmp.Compare(x.rank.priority, y.rank.priority),
		compareBools(x.rank.beyondShare, y.rank.beyondShare),
		cmp.Compare(x.rank.late, y.rank.late),
		cmp.Compare(x.rank.slack, y.rank.slack),
		cmp.Compare(x.job.spec.ID, y.job.spec.ID),
		cmp.Compare(x.step, y.step),
	)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// placeTasks starts as many of the tasks of s as find room.
func (c *Cell) placeTasks(s *stage, q *Queue, a *Actions, now time.Time) {
	c.chooseHall(s, q, now)
	if s.def.Lasting {
		// Others rely on a task that was at work before: it comes back first.
		c.placeWhere(s, q, a, now, func(t *task) bool { return t.state == taskWaiting && t.lastRun > 0 })
	}
	c.placeWhere(s, q, a, now, func(t *task) bool { return t.state == taskWaiting })
}

// placeWhere starts as many of some tasks of s as find room.
func (c *Cell) placeWhere(s *stage, q *Queue, a *Actions, now time.Time, which func(*task) bool) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if !which(t) || !c.mayTry(s, i, now) {
			continue
		}
		if c.sendBudgetLeft <= 0 || s.accountAtLimit() {
			return
		}
		w, ticket := c.choose(s, t, q, now)
		if w == nil {
			if len(t.avoid) == 0 && !s.needsTrial(t) {
				return
			}
			continue
		}
		if !c.mayStartIn(s, w.Hall) {
			return
		}
		t.lastRun++
		a.Starts = append(a.Starts, c.startRun(s, i, w, t.lastRun, ticket, now))
	}
}

// pick is a worker chosen for a member of a gang.
type pick struct {
	worker *worker
	ticket string
}

// placeGang starts all tasks of s, or none. A try that finds no room for all leaves
// nothing behind, no number of a run either: a gang may wait for long, and the
// numbers of an owner are few.
func (c *Cell) placeGang(s *stage, q *Queue, a *Actions, now time.Time) {
	if s.waiting < len(s.tasks) || !c.mayTryGang(s, now) {
		return
	}
	c.chooseHall(s, q, now)
	picks, ok := c.pickGang(s, q, now)
	if !ok {
		return
	}
	n, saved := s.gangLastRun, ""
	for i := range s.tasks {
		n = max(n, s.tasks[i].lastRun)
		if s.tasks[i].checkpoint != "" {
			saved = s.tasks[i].checkpoint
		}
	}
	n++
	for i, p := range picks {
		t := &s.tasks[i]
		t.checkpoint, t.lastRun = saved, n
		a.Starts = append(a.Starts, c.startRun(s, i, p.worker, n, p.ticket, now))
	}
	s.gangLastRun = n
}

// pickGang chooses the workers for all tasks of s. It reports whether each has one
// on which it may start.
func (c *Cell) pickGang(s *stage, q *Queue, now time.Time) ([]pick, bool) {
	var picks []pick
	room := s.def.Room()
	defer func() {
		for _, p := range picks {
			p.worker.free = p.worker.free.Add(room)
			s.countRunOn(p.worker, -1)
		}
	}()
	for i := range s.tasks {
		w, ticket := c.choose(s, &s.tasks[i], q, now)
		if w == nil || !c.mayStartIn(s, w.Hall) {
			return nil, false
		}
		w.free = w.free.Sub(room)
		s.countRunOn(w, 1)
		picks = append(picks, pick{w, ticket})
	}
	return picks, true
}

// startRun puts a run on the books.
func (c *Cell) startRun(s *stage, index int, w *worker, n int, ticket string, now time.Time) Start {
	t := &s.tasks[index]
	s.setWaiting(t, false)
	t.state = taskActive
	r := &run{stage: s, index: index, number: n + c.runBase, worker: w, decidedAt: now, taken: s.def.Room(), checkpoint: t.checkpoint}
	t.runs = append(t.runs, r)
	w.addRun(r)
	s.countRunOn(w, 1)
	c.startTrialIfNeeded(r, now)
	if s.job.history.Runs == 0 {
		s.job.history.Began = now.Sub(s.job.arrived)
	}
	s.job.history.Runs++
	c.counts.Started++
	c.noteChange(r, RunOrdered)
	start := Start{
		Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.number,
		Text: s.job.spec.Text, Saved: t.checkpoint, Ticket: ticket,
	}
	c.sendBudgetLeft -= c.sendSize(&start)
	return start
}

// startOverheadBytes is about how many bytes an order to start a run has on the wire beside its
// texts: names, fences and headers.
const startOverheadBytes = 450

// Size returns about how many bytes the order has on the wire.
func (s *Start) Size() int { return startOverheadBytes + len(s.Text) + len(s.Saved) + len(s.Ticket) }

// sendSize returns about how many bytes a start takes of this instance's link.
func (c *Cell) sendSize(start *Start) int {
	if c.textShared {
		return start.CarriedSize()
	}
	return start.Size()
}

const (
	// carriedOverheadBytes is about how many bytes an order has in the message to the instance
	// that carries it beside its texts.
	carriedOverheadBytes = 100
	// startsPerText is how many starts share a text that one instance was given: as many as a
	// job has tasks on average, over the few instances that carry them.
	startsPerText = 8
)

// CarriedSize returns about how many bytes the order takes where another instance carries it.
func (s *Start) CarriedSize() int {
	return carriedOverheadBytes + len(s.Text)/startsPerText + len(s.Saved) + len(s.Ticket)
}

// SendMost says how many bytes the orders of the next decision may have, and whether those of
// a step share their text. Starts that would only wait at this instance's own link are not
// decided, so that the most urgent goes first whenever there is room to send, and no answer
// is late for that wait. A gang goes whole.
func (c *Cell) SendMost(bytes int, shared bool) { c.sendBudget, c.textShared = bytes, shared }

// HeldBack reports whether the last decision left out starts for want of room to send.
func (c *Cell) HeldBack() bool { return c.sendLimited }
