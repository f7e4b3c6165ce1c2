// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// Op is the operation that a Decision asks for.
type Op uint8

// The operations.
const (
	// OpStart starts a waiting task on a worker.
	OpStart Op = iota
	// OpThrottle reduces the processor time of a running task.
	OpThrottle
	// OpResume restores the full processor time of a throttled task.
	OpResume
	// OpCheckpoint saves and stops a running task, which is then queued again.
	OpCheckpoint
	// OpStop stops a running task, which is then queued again.
	OpStop
	// OpExpire drops a waiting task that can no longer start in time.
	OpExpire
)

// String returns the name of the operation.
func (o Op) String() string {
	return [...]string{"start", "throttle", "resume", "checkpoint", "stop", "expire"}[o]
}

// Decision is one operation for the caller to carry out.
type Decision struct {
	Op     Op
	Task   Handle
	Ref    uint64
	Worker WorkerID
}

// Team holds the quota and the usage of a team.
type Team struct {
	// Quota is what the team is entitled to.
	Quota Vec
	// Borrow lets the team exceed its quota while no team below its own quota waits.
	Borrow   bool
	used     Vec
	share    float64
	quotaSet bool
}

// Config holds the limits of a Cell. Its zero value selects the defaults.
type Config struct {
	// QueueLimit is the number of waiting tasks at which Admit refuses further ones; 0 means
	// DefaultQueueLimit.
	QueueLimit int
	// MinRun is how long a task runs before it may be preempted; 0 means DefaultMinRun.
	MinRun time.Duration
	// MaxPreemptions is how often one task may be preempted; 0 means DefaultMaxPreemptions.
	MaxPreemptions uint8
}

// Defaults of Config.
const (
	DefaultQueueLimit     = 2048
	DefaultMinRun         = 200 * time.Millisecond
	DefaultMaxPreemptions = 8
)

// Cell is the scheduling state of one owner: its workers, teams, waiting and running tasks. The
// zero value is an empty cell.
type Cell struct {
	Pool
	Config      Config
	callReserve CallReserve

	teams        []Team
	records      []taskRecord
	freeRecords  []int32
	running      [][]int32
	deferred     heap
	waiting      [numClasses]classQueue
	finishRate   [numClasses]decayingRate
	seq          uint64
	runningCalls int64
	runningCount int
	// unplaceable, passedOver and skippedTeams are the scratch space of a step: demands that did
	// not fit, entries to put back into their queue, and teams without a task that fits.
	unplaceable  []Vec
	passedOver   []queueEntry
	skippedTeams []bool
	// latency holds the call latencies of each worker, overallLatency those of all workers
	// together.
	latency        []latencyStats
	overallLatency latencyStats
	slowCount      int
}

// SetTeam sets the quota of a team and whether it may borrow beyond it.
func (c *Cell) SetTeam(id TeamID, quota Vec, borrow bool) {
	for int(id) >= len(c.teams) {
		c.teams = append(c.teams, Team{})
	}
	t := &c.teams[id]
	t.Quota, t.Borrow, t.quotaSet = quota, borrow, true
	t.share = t.used.Share(t.Quota)
}

// TeamShare returns the dominant share of its quota that a team uses.
func (c *Cell) TeamShare(id TeamID) float64 {
	if int(id) >= len(c.teams) {
		return 0
	}
	return c.teams[id].share
}

// Running returns the number of running tasks.
func (c *Cell) Running() int { return c.runningCount }

// Waiting returns the number of tasks of a class that wait to start.
func (c *Cell) Waiting(class Class) int { return c.waiting[class].liveCount }

// Queued returns the number of tasks of all classes that wait to start.
func (c *Cell) Queued() int {
	n := 0
	for i := range c.waiting {
		n += c.waiting[i].liveCount
	}
	return n
}

// Get returns the task for h and the worker that runs it, or NoWorker while it waits.
func (c *Cell) Get(h Handle) (Task, WorkerID, bool) {
	r := c.record(h)
	if r == nil {
		return Task{}, NoWorker, false
	}
	return r.Task, r.worker, true
}

func (c *Cell) record(h Handle) *taskRecord {
	if h.gen == 0 || int(h.index) >= len(c.records) {
		return nil
	}
	r := &c.records[h.index]
	if r.gen != h.gen || r.state == taskUnused {
		return nil
	}
	return r
}

func (c *Cell) addRecord(t Task) Handle {
	var i int32
	if n := len(c.freeRecords); n > 0 {
		i = c.freeRecords[n-1]
		c.freeRecords = c.freeRecords[:n-1]
	} else {
		c.records = append(c.records, taskRecord{})
		i = int32(len(c.records) - 1)
	}
	r := &c.records[i]
	gen := r.gen + 1
	*r = taskRecord{Task: t, gen: gen, worker: NoWorker, heldWorker: NoWorker}
	for int(t.Team) >= len(c.teams) {
		c.teams = append(c.teams, Team{Borrow: true})
	}
	return Handle{index: i, gen: gen}
}

func (c *Cell) freeRecord(h Handle) {
	r := &c.records[h.index]
	r.state = taskUnused
	c.freeRecords = append(c.freeRecords, h.index)
}

// Submit queues a task without an admission check.
func (c *Cell) Submit(t Task, now time.Duration) Handle {
	h := c.addRecord(t)
	r := &c.records[h.index]
	r.queuedAt = now
	c.enqueue(h, r, now)
	return h
}

// RecordCallArrival counts a call, admitted or not, towards the capacity reserved for calls.
func (c *Cell) RecordCallArrival(demand Vec, now time.Duration) {
	if c.callReserve.RecordArrival(demand, now) {
		c.setCallUnit(c.callReserve.unit)
	}
}

func (c *Cell) enqueue(h Handle, r *taskRecord, now time.Duration) {
	c.seq++
	r.seq = c.seq
	if r.NotBefore > now {
		r.state = taskDeferred
		c.deferred.push(queueEntry{handle: h, key: r.NotBefore, seq: r.seq})
		return
	}
	r.state = taskWaiting
	c.waiting[r.Class].push(r.Team, queueEntry{handle: h, key: r.latestStart(), seq: r.seq})
}

// Cancel removes a waiting task. It returns false if the task does not wait, for example
// because it already runs.
func (c *Cell) Cancel(h Handle) bool {
	r := c.record(h)
	if r == nil || r.state == taskRunning {
		return false
	}
	if r.state == taskWaiting {
		c.waiting[r.Class].removeLive(r.Team)
	}
	c.releaseHold(r)
	c.freeRecord(h)
	return true
}

// TryStart starts a task at once, without queueing it, or returns false. It is the fast path of
// calls. It also returns false while tasks of the same or a higher class wait.
func (c *Cell) TryStart(t Task, now time.Duration) (Handle, WorkerID, bool) {
	for class := t.Class; class < numClasses; class++ {
		if c.waiting[class].liveCount > 0 {
			return Handle{}, NoWorker, false
		}
	}
	if c.exceedsQuota(&t) {
		return Handle{}, NoWorker, false
	}
	q := c.newQuery(&t, Handle{}, now)
	w := c.find(&q)
	if w == NoWorker {
		return Handle{}, NoWorker, false
	}
	h := c.addRecord(t)
	c.beginRun(h, w, now)
	return h, w, true
}

// Adopt adds a task that already runs on w.
func (c *Cell) Adopt(t Task, w WorkerID, now time.Duration) Handle {
	h := c.addRecord(t)
	c.beginRun(h, w, now)
	return h
}

// Finish removes a running task and releases its resources.
func (c *Cell) Finish(h Handle, now time.Duration) {
	r := c.record(h)
	if r == nil || r.state != taskRunning {
		return
	}
	if r.Call {
		c.callReserve.RecordDuration(now - r.startedAt)
		c.observeLatency(r.worker, r, now)
	}
	c.finishRate[r.Class].add(1, now)
	c.endRun(r)
	c.freeRecord(h)
}

// Requeue makes a running task wait again, after it was preempted or its start was refused.
func (c *Cell) Requeue(h Handle, now time.Duration) {
	r := c.record(h)
	if r == nil || r.state != taskRunning {
		return
	}
	c.endRun(r)
	r.preempting, r.throttled = false, false
	c.enqueue(h, r, now)
}

// RecordCheckpoint notes that a running task has saved a checkpoint.
func (c *Cell) RecordCheckpoint(h Handle, now time.Duration) {
	if r := c.record(h); r != nil {
		r.checkpointedAt = now
	}
}

func (c *Cell) beginRun(h Handle, w WorkerID, now time.Duration) {
	r := &c.records[h.index]
	r.state = taskRunning
	r.worker = w
	r.startedAt, r.checkpointedAt = now, now
	r.allocated = r.Demand
	r.preempting, r.throttled = false, false
	for int(w) >= len(c.running) {
		c.running = append(c.running, nil)
	}
	r.runningIndex = int32(len(c.running[w]))
	c.running[w] = append(c.running[w], h.index)
	c.Allocate(w, r.allocated)
	c.addGroupMembers(w, r.Group, 1)
	c.chargeTeam(r.Team, r.allocated)
	c.runningCount++
	if r.Call {
		c.runningCalls++
	}
	c.releaseHold(r)
}

func (c *Cell) endRun(r *taskRecord) {
	w := r.worker
	list := c.running[w]
	last := len(list) - 1
	list[r.runningIndex] = list[last]
	c.records[list[r.runningIndex]].runningIndex = r.runningIndex
	c.running[w] = list[:last]
	c.Release(w, r.allocated)
	c.addGroupMembers(w, r.Group, -1)
	c.chargeTeam(r.Team, Vec{}.Sub(r.allocated))
	c.runningCount--
	if r.Call {
		c.runningCalls--
	}
	r.worker = NoWorker
}

func (c *Cell) chargeTeam(id TeamID, d Vec) {
	t := &c.teams[id]
	t.used = t.used.Add(d)
	t.share = t.used.Share(t.Quota)
}

// newQuery returns the query that finds a worker for t. Work other than calls must leave the
// capacity reserved for calls free.
func (c *Cell) newQuery(t *Task, requester Handle, now time.Duration) query {
	q := query{
		demand: t.Demand, rack: t.Rack, strategy: strategyOf(t),
		group: t.Group, requester: requester, call: t.Call,
	}
	if !t.Call && !c.callUnit.IsZero() {
		q.keepReserve = true
		q.maxUnitsLost = c.totalFreeUnits - c.callReserve.shortfall(now, c.runningCalls)
	}
	return q
}

// exceedsQuota reports whether starting t would take its team above its quota although the team
// may not borrow.
func (c *Cell) exceedsQuota(t *Task) bool {
	if int(t.Team) >= len(c.teams) {
		return false
	}
	team := &c.teams[t.Team]
	if !team.quotaSet || team.Borrow {
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

// SetReserveFloor sets the least number of concurrent calls for which capacity is reserved.
func (c *Cell) SetReserveFloor(n int64) { c.callReserve.Floor = n }

// RunningOn returns the number of tasks that run on w.
func (c *Cell) RunningOn(w WorkerID) int {
	if int(w) >= len(c.running) || w < 0 {
		return 0
	}
	return len(c.running[w])
}

// Remove removes a worker. The caller must have finished or moved its tasks.
func (c *Cell) Remove(w WorkerID) {
	if c.slow[w] {
		c.slow[w] = false
		c.slowCount--
	}
	if int(w) < len(c.latency) {
		c.latency[w] = latencyStats{}
	}
	c.Pool.Remove(w)
}
