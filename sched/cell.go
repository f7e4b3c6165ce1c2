// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// Op says what a Decision asks for.
type Op uint8

// The decisions.
const (
	// OpStart starts a waiting task on a worker.
	OpStart Op = iota
	// OpThrottle takes processor time from a running task.
	OpThrottle
	// OpResume gives a throttled task its processor time back.
	OpResume
	// OpCheckpoint saves and stops a running task, which then waits again.
	OpCheckpoint
	// OpStop stops a running task, which then waits again.
	OpStop
	// OpExpire gives up a waiting task that can no longer start in time.
	OpExpire
)

// String returns the name of o.
func (o Op) String() string {
	return [...]string{"start", "throttle", "resume", "checkpoint", "stop", "expire"}[o]
}

// Decision is one thing for the caller to do.
type Decision struct {
	Op     Op
	Task   Handle
	Ref    uint64
	Worker WorkerID
}

// Team is what a team may use.
type Team struct {
	// Quota is what the team is entitled to.
	Quota Vec
	// Borrow lets the team use more while nobody below quota waits.
	Borrow bool
	used   Vec
	share  float64
	set    bool
}

// Config holds the bounds of a Cell. Its zero value is usable: see the
// defaults beside each field.
type Config struct {
	// QueueLimit bounds the waiting calls; 0 is DefaultQueueLimit.
	QueueLimit int
	// MinRun is how long a task runs before it may be made to yield; 0 is
	// DefaultMinRun.
	MinRun time.Duration
	// MaxYields is how often one task yields before it is left alone; 0 is
	// DefaultMaxYields.
	MaxYields uint8
}

// The defaults of Config.
const (
	DefaultQueueLimit = 2048
	DefaultMinRun     = 200 * time.Millisecond
	DefaultMaxYields  = 8
)

// Cell is the state of one owner. Its zero value is an empty cell.
type Cell struct {
	Pool
	Config  Config
	reserve Reserve

	teams   []Team
	slots   []slot
	spare   []int32
	running [][]int32
	later   heap
	waiting [numClasses]classQueue
	drained [numClasses]rate
	seq     uint64
	calls   int64
	count   int
	misfits []Vec
	retries []entry
	skipped []bool
	// health is that of each worker, typical that of all of them.
	health    []health
	typical   health
	slowCount int
}

// SetTeam says what a team may use from now on.
func (c *Cell) SetTeam(id TeamID, quota Vec, borrow bool) {
	for int(id) >= len(c.teams) {
		c.teams = append(c.teams, Team{})
	}
	t := &c.teams[id]
	t.Quota, t.Borrow, t.set = quota, borrow, true
	t.share = t.used.Share(t.Quota)
}

// TeamShare returns the dominant share that a team uses of its quota.
func (c *Cell) TeamShare(id TeamID) float64 {
	if int(id) >= len(c.teams) {
		return 0
	}
	return c.teams[id].share
}

// Running returns the number of running tasks.
func (c *Cell) Running() int { return c.count }

// Waiting returns the number of tasks of a class that wait to start.
func (c *Cell) Waiting(class Class) int { return c.waiting[class].live }

// Queued returns the number of tasks of all classes that wait to start.
func (c *Cell) Queued() int {
	n := 0
	for i := range c.waiting {
		n += c.waiting[i].live
	}
	return n
}

// Get returns the task behind h and the worker that runs it, or NoWorker.
func (c *Cell) Get(h Handle) (Task, WorkerID, bool) {
	s := c.slot(h)
	if s == nil {
		return Task{}, NoWorker, false
	}
	return s.Task, s.worker, true
}

func (c *Cell) slot(h Handle) *slot {
	if h.gen == 0 || int(h.index) >= len(c.slots) {
		return nil
	}
	s := &c.slots[h.index]
	if s.gen != h.gen || s.state == taskFree {
		return nil
	}
	return s
}

func (c *Cell) insert(t Task) Handle {
	var i int32
	if n := len(c.spare); n > 0 {
		i = c.spare[n-1]
		c.spare = c.spare[:n-1]
	} else {
		c.slots = append(c.slots, slot{})
		i = int32(len(c.slots) - 1)
	}
	s := &c.slots[i]
	gen := s.gen + 1
	*s = slot{Task: t, gen: gen, worker: NoWorker, hold: NoWorker}
	for int(t.Team) >= len(c.teams) {
		c.teams = append(c.teams, Team{Borrow: true})
	}
	return Handle{index: i, gen: gen}
}

func (c *Cell) release(h Handle) {
	s := &c.slots[h.index]
	s.state = taskFree
	c.spare = append(c.spare, h.index)
}

// Submit takes a task in to wait, without an admission check.
func (c *Cell) Submit(t Task, now time.Duration) Handle {
	h := c.insert(t)
	s := &c.slots[h.index]
	s.since = now
	c.enqueue(h, s, now)
	return h
}

// CallArrived tells the reserve of a call, whether it was admitted or not.
func (c *Cell) CallArrived(demand Vec, now time.Duration) {
	if c.reserve.Arrived(demand, now) {
		c.setUnit(c.reserve.unit)
	}
}

func (c *Cell) enqueue(h Handle, s *slot, now time.Duration) {
	c.seq++
	s.seq = c.seq
	if s.NotBefore > now {
		s.state = taskLater
		c.later.push(entry{handle: h, key: s.NotBefore, seq: s.seq})
		return
	}
	s.state = taskWaiting
	c.waiting[s.Class].push(s.Team, entry{handle: h, key: s.slack(), seq: s.seq})
}

// Cancel takes a waiting task out. It reports false when the task does not
// wait, which includes that it runs.
func (c *Cell) Cancel(h Handle) bool {
	s := c.slot(h)
	if s == nil || s.state == taskRunning {
		return false
	}
	if s.state == taskWaiting {
		c.waiting[s.Class].gone(s.Team)
	}
	c.unhold(s)
	c.release(h)
	return true
}

// TryStart places a task at once or not at all, past the queue. It is the path
// of calls that find room, and gives false while tasks of the same or a higher
// class wait.
func (c *Cell) TryStart(t Task, now time.Duration) (Handle, WorkerID, bool) {
	for class := t.Class; class < numClasses; class++ {
		if c.waiting[class].live > 0 {
			return Handle{}, NoWorker, false
		}
	}
	if c.overLimit(&t) {
		return Handle{}, NoWorker, false
	}
	q := c.query(&t, Handle{}, now)
	w := c.find(&q)
	if w == NoWorker {
		return Handle{}, NoWorker, false
	}
	h := c.insert(t)
	c.run(h, w, now)
	return h, w, true
}

// Adopt takes in a task that already runs on w.
func (c *Cell) Adopt(t Task, w WorkerID, now time.Duration) Handle {
	h := c.insert(t)
	c.run(h, w, now)
	return h
}

// Finish takes a running task out and gives its room back.
func (c *Cell) Finish(h Handle, now time.Duration) {
	s := c.slot(h)
	if s == nil || s.state != taskRunning {
		return
	}
	if s.Call {
		c.reserve.Finished(now - s.started)
		c.observe(s.worker, s, now)
	}
	c.drained[s.Class].add(1, now)
	c.halt(s)
	c.release(h)
}

// Requeue makes a running task wait again, after it yielded or its start was
// refused.
func (c *Cell) Requeue(h Handle, now time.Duration) {
	s := c.slot(h)
	if s == nil || s.state != taskRunning {
		return
	}
	c.halt(s)
	s.yielding, s.throttled = false, false
	c.enqueue(h, s, now)
}

// Saved tells of a checkpoint of a running task.
func (c *Cell) Saved(h Handle, now time.Duration) {
	if s := c.slot(h); s != nil {
		s.saved = now
	}
}

func (c *Cell) run(h Handle, w WorkerID, now time.Duration) {
	s := &c.slots[h.index]
	s.state = taskRunning
	s.worker = w
	s.started, s.saved = now, now
	s.given = s.Demand
	s.yielding, s.throttled = false, false
	for int(w) >= len(c.running) {
		c.running = append(c.running, nil)
	}
	s.place = int32(len(c.running[w]))
	c.running[w] = append(c.running[w], h.index)
	c.Take(w, s.given)
	c.join(w, s.Group, 1)
	c.charge(s.Team, s.given)
	c.count++
	if s.Call {
		c.calls++
	}
	c.unhold(s)
}

func (c *Cell) halt(s *slot) {
	w := s.worker
	list := c.running[w]
	last := len(list) - 1
	list[s.place] = list[last]
	c.slots[list[s.place]].place = s.place
	c.running[w] = list[:last]
	c.Give(w, s.given)
	c.join(w, s.Group, -1)
	c.charge(s.Team, Vec{}.Sub(s.given))
	c.count--
	if s.Call {
		c.calls--
	}
	s.worker = NoWorker
}

func (c *Cell) charge(id TeamID, d Vec) {
	t := &c.teams[id]
	t.used = t.used.Add(d)
	t.share = t.used.Share(t.Quota)
}

// query returns the search for a worker for t. Work that is not a call must
// leave the units of the reserve.
func (c *Cell) query(t *Task, asker Handle, now time.Duration) query {
	q := query{
		demand: t.Demand, rack: t.Rack, strategy: strategyOf(t),
		group: t.Group, asker: asker, call: t.Call,
	}
	if !t.Call && !c.unit.IsZero() {
		q.bounded = true
		q.sparing = c.totalUnits - c.reserve.more(now, c.calls)
	}
	return q
}

// overLimit reports whether t would take a team that may not borrow past its
// quota.
func (c *Cell) overLimit(t *Task) bool {
	if int(t.Team) >= len(c.teams) {
		return false
	}
	team := &c.teams[t.Team]
	if !team.set || team.Borrow {
		return false
	}
	return team.used.Add(t.Demand).Share(team.Quota) > 1
}

func strategyOf(t *Task) Strategy {
	if t.Call || t.Group != 0 {
		return Spread
	}
	return Pack
}

// SetReserveFloor sets the least number of calls that room is kept for.
func (c *Cell) SetReserveFloor(n int64) { c.reserve.Floor = n }

// RunningOn returns the number of tasks that run on w.
func (c *Cell) RunningOn(w WorkerID) int {
	if int(w) >= len(c.running) || w < 0 {
		return 0
	}
	return len(c.running[w])
}

// Remove takes a worker out. The caller has finished or moved its tasks.
func (c *Cell) Remove(w WorkerID) {
	if c.slow[w] {
		c.slow[w] = false
		c.slowCount--
	}
	if int(w) < len(c.health) {
		c.health[w] = health{}
	}
	c.Pool.Remove(w)
}
