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
	// adviceLead is added to the time that an answer takes when the policy is asked before a step
	// opens.
	adviceLead = 250 * time.Millisecond
	// runCheckInterval is the time between checks of all runs for those that stall or have to move.
	// Decisions about a run, such as a cancel, trigger a check at once.
	runCheckInterval = 50 * time.Millisecond
)

// Start is an order to start a run.
type Start struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
	Text         string
	Checkpoint   string
	Ticket       string
	// Recorded means that the store had to have the start before, and Waited is how long that took.
	Recorded bool
	Waited   time.Duration
}

// Stop is an order to stop a run.
type Stop struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
}

// Actions are the decisions of one call of Place.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Asks   []Ask
	Paces  []Pace
	// Waits are the steps that have waited for long and still wait.
	Waits []Wait
	// Late are the steps whose last waiting task starts now, after a long wait.
	Late []LateStart
}

// Place decides what to do now. asks limits the number of questions in flight. wall is the time of
// day, with which due times are compared.
func (c *Cell) Place(now, wall time.Time, asks int) Actions {
	var a Actions
	c.sendBudgetLeft, c.sendLimited, c.maxAsks = c.sendBudget, false, asks
	c.examined = 0
	c.places++
	c.observeUrgent(now, wall)
	c.sendRecorded(&a, now)
	if c.runsNeedCheck || now.Sub(c.runsCheckedAt) >= runCheckInterval {
		c.runsNeedCheck, c.runsCheckedAt = false, now
		c.decideStops(&a, now)
		c.decidePaces(&a, now)
	}
	c.pruneOpenStages()
	c.expireUnmatchedEnds(now)
	c.sortOpenStages(now)
	c.shareFairly(now, wall)
	d := decision{a: &a, now: now, wall: wall, asks: asks, unsettled: c.unsettled(), inDoubt: c.stagesInDoubt()}
	c.updateMostFree()
	c.refreshSpeeds(now)
	c.countPossiblyUsed(&d.unsettled, now)
	c.countTrials(now)
	for _, w := range c.sortedWorkers {
		w.reserved, w.claimed = sched.Vec{}, sched.Vec{}
	}
	c.shortages, c.noRooms = c.shortages[:0], c.noRooms[:0]
	for _, s := range c.openStages {
		s.reservation.held = false
	}
	for _, s := range c.openStages {
		c.considerStage(s, &d)
	}
	c.askOldest(&a, asks, now)
	c.askEarly(&a, asks, now)
	c.crowded = c.examined > c.examinedLimit()/crowdedDivisor
	return a
}

// decision holds what one Place passes to its parts.
type decision struct {
	a         *Actions
	now, wall time.Time
	// asks limits the number of questions in flight.
	asks      int
	unsettled unsettled
	inDoubt   map[*stage]bool
}

// considerStage starts the tasks of s that may start now, or asks the policy about them.
func (c *Cell) considerStage(s *stage, d *decision) {
	q := c.queues[s.job.spec.Queue]
	if q == nil || s.job.state.Final() || !s.due.IsZero() && s.due.After(d.wall) {
		return
	}
	if s.advice.asking {
		s.addClaims()
	}
	if c.postponed(s, q, d.now) {
		s.keepReservation()
		c.reportWait(s, s.waitTimes.why, d.a, d.now)
		return
	}
	s.examinedAt = d.now
	if s.waiting == 0 || s.pendingDeps > 0 || !s.job.stored {
		c.askAhead(s, q, d.a, d.asks, d.now)
		s.backoff.attempted(false, c.maxBackoff(q), d.now)
		s.needsMove = false
		return
	}
	s.needsMove = false
	if c.sendBudgetLeft <= 0 {
		c.sendLimited = true
		c.askAhead(s, q, d.a, d.asks, d.now)
		c.reportWait(s, LinkFull, d.a, d.now)
		return
	}
	before := s.waiting
	why := c.placeStage(s, q, d)
	if s.waiting > 0 && why != HeldUp && why != LinkFull && why != LimitReached {
		c.askFor(s, q, d.a, d.asks, d.now)
		c.reserve(s, q, d.now)
		s.backoff.attempted(s.waiting < before, c.maxBackoff(q), d.now)
	}
	if s.waiting == 0 {
		c.allStarted(s, q, d.a, d.now)
	} else {
		s.setWaitReason(c.waitReason(s, why, d.now), d.now)
	}
	c.reportWait(s, why, d.a, d.now)
}

// noRoom is a demand for which no worker of a pool that has the label has room in the present
// decision. Room is only taken during a decision, so that it holds until its end.
type noRoom struct {
	pool, label string
	room        sched.Vec
}

// foundNoRoom reports whether a step before s found no worker although it needs no more than s. It
// saves the search where no policy chooses among the workers.
func (c *Cell) foundNoRoom(s *stage, q *Queue) bool {
	room := s.def.Reservation()
	return q.Advice == nil && slices.ContainsFunc(c.noRooms, func(k noRoom) bool {
		return k.pool == q.Pool && k.label == s.def.RequiredLabel && room.Covers(&k.room)
	})
}

// noteNoRoom records that no worker has room for the rest of s, unless only some workers were
// searched.
func (c *Cell) noteNoRoom(s *stage, q *Queue) {
	if s.waiting == 0 || q.Advice != nil || s.def.MaxPerWorker > 0 || len(s.hallsToStore) > 0 || c.sendBudgetLeft <= 0 || s.accountAtLimit() {
		return
	}
	room := s.def.Reservation()
	if !slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.Pool == q.Pool && w.usable() && w.suits(s, q) && w.hasRoom(&room) }) {
		c.noRooms = append(c.noRooms, noRoom{q.Pool, s.def.RequiredLabel, room})
	}
}

// placeStage starts the tasks of s that find room, and returns why others still wait.
func (c *Cell) placeStage(s *stage, q *Queue, d *decision) WaitReason {
	room, mostFree := s.def.Reservation(), c.mostFree[q.Pool]
	why := NoWorker
	switch {
	case c.heldUp(s, &d.unsettled):
		why = HeldUp
	case d.inDoubt[s]:
		why = InDoubt
	case s.accountAtLimit():
		why = LimitReached
	case c.heldBack(s):
		why = Full
	case s.def.Gang:
		c.placeGang(s, q, d.a, d.now)
	case !mostFree.Covers(&room):
		why = Full
	case c.foundNoRoom(s, q):
	default:
		c.placeTasks(s, q, d.a, d.now)
		c.noteNoRoom(s, q)
	}
	if s.waiting > 0 && c.sendBudgetLeft <= 0 {
		c.sendLimited = true
		why = LinkFull
	}
	if s.waiting > 0 && s.accountAtLimit() {
		why = LimitReached
	}
	return why
}

// updateMostFree sets mostFree.
func (c *Cell) updateMostFree() {
	c.mostFree = make(map[string]sched.Vec)
	for _, w := range c.sortedWorkers {
		if w.usable() {
			c.mostFree[w.Pool] = c.mostFree[w.Pool].Max(w.free)
		}
	}
}

// pruneOpenStages removes the stages that have nothing left to place.
func (c *Cell) pruneOpenStages() {
	c.openStages = slices.DeleteFunc(c.openStages, func(s *stage) bool {
		s.open = (s.waiting > 0 || s.needsMove) && !s.job.state.Final()
		return !s.open
	})
}

// openStage adds s to the stages that have waiting tasks or soon will.
func (c *Cell) openStage(s *stage) {
	if !s.open {
		s.open = true
		c.openStages = append(c.openStages, s)
	}
	s.backoff = backoff{}
}

func (c *Cell) askLeadTime(q *Queue) time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.Decide + time.Duration(min(len(c.sortedWorkers), minAskWorkers))*q.Advice.Each + adviceLead
}

// opensWithin estimates whether the steps before s will be done within d.
func (c *Cell) opensWithin(s *stage, d time.Duration, now time.Time) bool {
	for _, b := range s.def.DependsOn {
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

// remaining estimates how much longer r will run.
func (r *run) remaining(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return r.expected()
	}
	ran := now.Sub(r.confirmedAt)
	if r.percent <= 0 || r.percent > 100 {
		return max(r.expected()-ran, 0)
	}
	until := r.lastProgress.Sub(r.confirmedAt)
	whole := until * 100 / time.Duration(r.percent)
	return max(whole-ran, 0)
}

// rank orders stages, smaller first: those that are so late that they count for nothing come last;
// then by priority; then jobs within the share of their client
// account before those beyond it; then by late, which is 0 for a stage that can still meet its
// objective, 1 for one that is late and 2 for one that is so late that it counts for nothing; then
// by level, how much of a full pool the account uses (see shareFairly); then by slack, the time left
// beyond the work still to do.
type rank struct {
	expired     bool
	priority    int
	beyondShare bool
	late        int
	level       int
	slack       time.Duration
}

func (c *Cell) rank(s *stage, now time.Time) rank {
	q := c.queues[s.job.spec.Queue]
	if q == nil {
		return rank{priority: lowestPriority}
	}
	r := rank{priority: q.Priority, beyondShare: s.job.beyondShare}
	if s.def.LongRunning {
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
		r.expired = c.places%expiredTurn != 0
	}
	return r
}

// expiredTurn is how often a decision ranks steps by priority although they are so late that they
// count for nothing, 1 in expiredTurn. In the other decisions they come last: after a burst they would
// otherwise keep all others late. In this one they are run, so that they end.
const expiredTurn = 8

const lowestPriority = 1 << 30

// sortOpenStages ranks each open stage once and sorts the stages by rank.
func (c *Cell) sortOpenStages(now time.Time) {
	for _, s := range c.openStages {
		s.rank = c.rank(s, now)
	}
	// The order rarely changes between two decisions.
	if !slices.IsSortedFunc(c.openStages, compareStages) {
		slices.SortStableFunc(c.openStages, compareStages)
	}
}

// compareStages compares by rank apart from the level, which shareFairly applies.
func compareStages(x, y *stage) int {
	return cmp.Or(
		compareBools(x.rank.expired, y.rank.expired),
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

// placeTasks starts as many of the waiting tasks of s as find room.
func (c *Cell) placeTasks(s *stage, q *Queue, a *Actions, now time.Time) {
	p := c.newPlacement(s, q, now)
	if len(p.candidates) == 0 {
		return
	}
	c.chooseHall(s, q, now)
	p.scoreAll()
	if s.def.LongRunning {
		// Other systems depend on a task that was already running, so it restarts first.
		c.placeWhere(&p, a, func(t *task) bool { return t.state == taskWaiting && t.lastRun > 0 })
	}
	c.placeWhere(&p, a, func(t *task) bool { return t.state == taskWaiting })
}

// placeWhere starts as many of the matching tasks of a step as find room.
func (c *Cell) placeWhere(p *placement, a *Actions, which func(*task) bool) {
	s := p.step
	for i := range s.tasks {
		t := &s.tasks[i]
		if !which(t) || !c.mayTry(s, i, p.now) {
			continue
		}
		if c.sendBudgetLeft <= 0 || s.accountAtLimit() {
			return
		}
		at := p.best(t)
		if at < 0 || !c.mayStartIn(s, p.candidates[at].worker.Hall) {
			return
		}
		t.lastRun++
		c.startRun(a, s, i, p.candidates[at].permit, t.lastRun, t.startNeedsRecord(), p.now)
		p.taken(at)
	}
}

// placeGang starts all tasks of s or none. A failed attempt leaves no trace and uses up no run
// number: a gang may wait for long, and an owner has few run numbers.
func (c *Cell) placeGang(s *stage, q *Queue, a *Actions, now time.Time) {
	if s.waiting < len(s.tasks) || !c.mayTryGang(s, now) {
		return
	}
	picks, ok := c.pickGang(s, q, now)
	if !ok {
		return
	}
	n, checkpoint := s.gangLastRun, ""
	for i := range s.tasks {
		n = max(n, s.tasks[i].lastRun)
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	n++
	record := s.gangStartNeedsRecord()
	for i, p := range picks {
		t := &s.tasks[i]
		t.checkpoint, t.lastRun = checkpoint, n
		c.startRun(a, s, i, p, n, record, now)
	}
	s.gangLastRun = n
}

// pickGang chooses the workers for all tasks of s. It reports whether there is one for each task on
// which it may start.
func (c *Cell) pickGang(s *stage, q *Queue, now time.Time) ([]permit, bool) {
	p := c.newPlacement(s, q, now)
	if !p.holds(len(s.tasks)) {
		return nil, false
	}
	c.chooseHall(s, q, now)
	p.scoreAll()
	picks := make([]permit, 0, len(s.tasks))
	defer func() {
		for _, k := range picks {
			k.worker.free = k.worker.free.Add(p.room)
			c.updateUnits(k.worker)
			s.countRunOn(k.worker, -1)
		}
	}()
	for i := range s.tasks {
		at := p.best(&s.tasks[i])
		if at < 0 || !c.mayStartIn(s, p.candidates[at].worker.Hall) {
			return nil, false
		}
		k := p.candidates[at].permit
		k.worker.free = k.worker.free.Sub(p.room)
		c.updateUnits(k.worker)
		s.countRunOn(k.worker, 1)
		picks = append(picks, k)
		p.taken(at)
	}
	return picks, true
}

// holds reports whether the candidates have room for a number of tasks together, so that the search
// for a gang's workers ends early where it cannot succeed.
func (p *placement) holds(tasks int) bool {
	for i := range p.candidates {
		w := p.candidates[i].worker
		most := tasks
		if limit := p.step.def.MaxPerWorker; limit > 0 {
			most = min(most, limit-p.step.runsByWorker[w])
		}
		for free := w.free.Sub(w.reserved); most > 0 && free.Covers(&p.room); most-- {
			free = free.Sub(p.room)
			tasks--
		}
		if tasks <= 0 {
			return true
		}
	}
	return tasks <= 0
}

// startRun adds a new run of a task on the chosen worker. The order to start it is sent now or, if
// record is set, once the store has it.
func (c *Cell) startRun(a *Actions, s *stage, index int, p permit, n int, record bool, now time.Time) {
	t := &s.tasks[index]
	s.setWaiting(t, false)
	t.state, t.accounted = taskActive, true
	r := &run{stage: s, index: index, number: n + c.runBase, worker: p.worker, decidedAt: now, room: s.def.Reservation(), checkpoint: t.checkpoint}
	t.runs = append(t.runs, r)
	p.worker.addRun(r)
	c.updateUnits(p.worker)
	s.countRunOn(p.worker, 1)
	c.startTrialIfNeeded(r, now)
	if record {
		c.recordStart(r)
		return
	}
	a.Starts = append(a.Starts, c.order(r, p.ticket, now))
}

// order returns the order to start r.
func (c *Cell) order(r *run, ticket string, now time.Time) Start {
	s, w := r.stage, r.worker
	s.advice.started++
	c.noteCopy(r, now)
	if s.job.history.Runs == 0 {
		s.job.history.Began = now.Sub(s.job.arrived)
	}
	s.job.history.Runs++
	c.counts.Started++
	c.noteChange(r, RunOrdered)
	start := Start{
		Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.number,
		Text: s.job.spec.Text, Checkpoint: r.checkpoint, Ticket: ticket, Recorded: r.recorded, Waited: now.Sub(r.decidedAt),
	}
	c.sendBudgetLeft -= c.sendSize(&start)
	return start
}

// startOverheadBytes is the approximate size of an order to start a run without its texts: names,
// fencing tokens and headers.
const startOverheadBytes = 450

// Size returns the approximate size of the order on the wire, in bytes.
func (s *Start) Size() int {
	return startOverheadBytes + len(s.Text) + len(s.Checkpoint) + len(s.Ticket)
}

// sendSize returns the approximate number of bytes that a start takes of this instance's link.
func (c *Cell) sendSize(start *Start) int {
	if c.textShared {
		return start.RelayedSize()
	}
	return start.Size()
}

const (
	// relayedOverheadBytes is the approximate size, without its texts, of an order in a message to
	// the instance that relays it.
	relayedOverheadBytes = 100
	// startsPerText is the number of starts that share one copy of a text sent to an instance: the
	// average number of tasks of a job, divided among the few instances that relay them.
	startsPerText = 8
)

// RelayedSize returns the approximate size, in bytes, of the order in a message to another instance
// that relays it.
func (s *Start) RelayedSize() int {
	return relayedOverheadBytes + len(s.Text)/startsPerText + len(s.Checkpoint) + len(s.Ticket)
}

// SetSendBudget sets how many bytes the orders of the next decision may take, and whether the
// starts of a step share their text. Starts that would only queue at this instance's own link are
// not decided, so that the most urgent task always goes first when there is room to send and no
// answer is delayed by that queue. A gang is always sent whole.
func (c *Cell) SetSendBudget(bytes int, shared bool) { c.sendBudget, c.textShared = bytes, shared }

// SendLimited reports whether the last decision left out starts because the send budget was used
// up.
func (c *Cell) SendLimited() bool { return c.sendLimited }
