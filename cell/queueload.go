// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dewpass.org/admission"
	"dewpass.org/flow"
	"dewpass.org/sched"
)

// The load of a queue is what a new job of it has to wait for: the work that waits before it, and
// the rate at which such work completes. Both are in terms of estimated durations, so that
// estimates that are all off by the same factor, or workers of another speed, do not change the
// predicted wait.

const (
	// queueLoadInterval is the shortest time between two computations of the loads. They are read
	// for each submitted job and sum over all waiting steps, of which there may be thousands.
	queueLoadInterval = 200 * time.Millisecond
	// Rates are averages over 3 s: rateSlots slots of rateSlot each. That is long enough for some
	// tens of completions where a task takes seconds, and short enough to follow a burst.
	rateSlot  = 250 * time.Millisecond
	rateSlots = 12
	// minRateTime is how long completions are counted before the rate counts as known.
	minRateTime = time.Second
	// maxQueueLoads bounds the number of reported queues, as every greeting of an owner carries
	// them: 16 of them are about 0.5 KB, four times a second.
	maxQueueLoads = 16
	// uselessAfter is the multiple of its objective after which the end of a job counts for nothing.
	uselessAfter = 3
)

// QueueLoad is the load that a new job of a queue finds before it.
type QueueLoad struct {
	Queue string
	// Waiting is the work that waits at the queue's priority or a more urgent one, in milliseconds
	// of one processor, and Rate the rate at which such work completes, in thousandths of a
	// processor, 0 if it is not known yet.
	Waiting, Rate int64
}

// QueueLoads are the loads of the queues in which a new job may have to wait for long.
type QueueLoads struct {
	// At is the time of the report.
	At time.Time
	// Capacity is the processor capacity of the attached workers, in thousandths of a processor.
	Capacity int64
	// Queues are sorted by name.
	Queues []QueueLoad
}

// Find returns the load of a queue, zero if it has none to report.
func (l *QueueLoads) Find(queue string) QueueLoad {
	at, ok := slices.BinarySearchFunc(l.Queues, queue, func(q QueueLoad, name string) int { return cmp.Compare(q.Queue, name) })
	if !ok {
		return QueueLoad{Queue: queue}
	}
	return l.Queues[at]
}

// QueueLoads returns the loads of the queues, which may be up to queueLoadInterval old. The result
// must not be changed.
func (c *Cell) QueueLoads(now time.Time) QueueLoads {
	c.completed.begin(now)
	if c.queueLoads.At.IsZero() || now.Sub(c.queueLoads.At) >= queueLoadInterval {
		c.queueLoads = c.sumQueueLoads(now)
	}
	return c.queueLoads
}

func (c *Cell) sumQueueLoads(now time.Time) QueueLoads {
	capacity := c.capacity()
	loads := c.loadsByPriority(c.waitingWork(now), c.completed.rates(now))
	return QueueLoads{At: now, Capacity: capacity, Queues: c.longestWaits(loads, capacity)}
}

// loadsByPriority returns the load of each queue from the work that waits in each and the rate at
// which the work of each completes. These are summed up by priority within each pool, as work does
// not wait for that of other pools; see WaitsFor.
func (c *Cell) loadsByPriority(waiting, rates map[string]int64) []QueueLoad {
	ordered := slices.SortedFunc(maps.Values(c.queues), func(x, y *Queue) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Name, y.Name))
	})
	var loads []QueueLoad
	var sum QueueLoad
	for at := 0; at < len(ordered); {
		first := ordered[at]
		mostUrgent := at == 0 || ordered[at-1].Pool != first.Pool
		if mostUrgent {
			sum = QueueLoad{}
		}
		end := at
		for ; end < len(ordered) && ordered[end].Pool == first.Pool && ordered[end].Priority == first.Priority; end++ {
			sum.Waiting += waiting[ordered[end].Name]
			sum.Rate += rates[ordered[end].Name]
		}
		for _, q := range ordered[at:end] {
			load := QueueLoad{Queue: q.Name, Waiting: sum.Waiting, Rate: sum.Rate}
			if mostUrgent {
				load.Waiting, load.Rate = waiting[q.Name], rates[q.Name]
			}
			loads = append(loads, load)
		}
		at = end
	}
	return loads
}

// longestWaits returns the loads that may have a job refused, at most maxQueueLoads, sorted by
// queue. A load that makes a job wait for less than half of its queue's Target is left out.
func (c *Cell) longestWaits(loads []QueueLoad, capacity int64) []QueueLoad {
	beyondTarget := func(l QueueLoad) time.Duration {
		r := admission.Report{Waiting: l.Waiting, Rate: l.Rate, Capacity: capacity}
		return r.Wait() - c.queues[l.Queue].Target
	}
	loads = slices.DeleteFunc(loads, func(l QueueLoad) bool {
		return l.Waiting == 0 || beyondTarget(l) < -c.queues[l.Queue].Target/2
	})
	if len(loads) > maxQueueLoads {
		slices.SortStableFunc(loads, func(x, y QueueLoad) int { return cmp.Compare(beyondTarget(y), beyondTarget(x)) })
		loads = loads[:maxQueueLoads]
	}
	slices.SortFunc(loads, func(x, y QueueLoad) int { return cmp.Compare(x.Queue, y.Queue) })
	return loads
}

// capacity returns the processor capacity that Load reports.
func (c *Cell) capacity() int64 {
	var sum int64
	for _, w := range c.sortedWorkers {
		if w.inService() {
			sum += w.Room[sched.MilliCPU]
		}
	}
	return sum
}

// waitingWork returns the work of the tasks that wait, by queue, also of steps that are not open
// yet. Jobs that are too late to be of use are not counted, because they are placed after others,
// nor steps that are held up: after a change of owner most of their tasks are running already.
func (c *Cell) waitingWork(now time.Time) map[string]int64 {
	sum := make(map[string]int64, len(c.queues))
	unsettled := c.unsettled()
	for _, s := range c.openStages {
		if s.waiting == 0 || s.job.state.Final() || c.heldUp(s, &unsettled) {
			continue
		}
		if q := c.queues[s.job.spec.Queue]; q != nil && !s.useless(q, now) {
			sum[q.Name] += queuedWork(s.job.spec, s.step, s.waiting)
		}
	}
	return sum
}

// useless reports whether the job of s cannot end while it is still of use even if the rest of it
// begins now. A queue without an objective has no such jobs.
func (s *stage) useless(q *Queue, now time.Time) bool {
	objective := q.objective(s.job.longestChain)
	return objective > 0 && now.Sub(s.job.arrived)+s.chain > uselessAfter*objective
}

// objective returns the time within which a job should end, without the time for the policy.
func (q *Queue) objective(longestChain time.Duration) time.Duration {
	return q.Target + time.Duration(q.Stretch*float64(longestChain))
}

// Objective returns the time within which a job with a longest chain of steps should end: the
// objective of the queue and, if the queue has a policy, one question to it.
func (q *Queue) Objective(longestChain time.Duration) time.Duration {
	return q.objective(longestChain) + q.Question()
}

// Question returns how long the policy of the queue takes for a question of the usual size, 0
// without a policy.
func (q *Queue) Question() time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.Decide + minAskWorkers*q.Advice.Each
}

// WaitsFor reports whether the load of q includes the work of other. mostUrgent says that no queue
// of its pool is more urgent than q. Such a queue is judged by its own work only, as its small jobs
// take the first room that comes free.
func (q *Queue) WaitsFor(other *Queue, mostUrgent bool) bool {
	if mostUrgent {
		return q.Name == other.Name
	}
	return q.Pool == other.Pool && other.Priority <= q.Priority
}

// QueuedWork returns the work by which a new job raises the load of its queue, in milliseconds of
// one processor.
func QueuedWork(spec *flow.Spec) int64 {
	var sum int64
	for i := range spec.Steps {
		sum += queuedWork(spec, i, spec.Steps[i].Count)
	}
	return sum
}

// queuedWork returns the estimated work of some tasks of a step. Repeated jobs and long-running
// tasks are not counted, and tasks that reserve no processor have none.
func queuedWork(spec *flow.Spec, step, tasks int) int64 {
	def := &spec.Steps[step]
	if spec.RepeatCount > 0 || def.LongRunning {
		return 0
	}
	room := def.Reservation()
	return int64(tasks) * def.Estimate().Milliseconds() * max(room[sched.MilliCPU], 0) / 1000
}

// countCompleted counts tasks of s that are done. As with waiting work, those that were too late to
// be of use when they began are left out.
func (c *Cell) countCompleted(s *stage, tasks int, now time.Time) {
	q := c.queues[s.job.spec.Queue]
	if q == nil || s.useless(q, now.Add(-s.def.Estimate())) {
		return
	}
	if work := queuedWork(s.job.spec, s.step, tasks); work > 0 {
		c.completed.add(q.Name, work, now)
	}
}

// completedWork is the work that has been completed in each of the last slots of time, by queue.
type completedWork struct {
	// since is when the count began.
	since   time.Time
	byQueue map[string]*[rateSlots]slotWork
}

// slotWork is the work completed in the slot with a number.
type slotWork struct{ number, work int64 }

// begin begins the count if it has not begun.
func (w *completedWork) begin(now time.Time) {
	if w.since.IsZero() {
		w.since, w.byQueue = now, make(map[string]*[rateSlots]slotWork)
	}
}

func (w *completedWork) slot(now time.Time) int64 { return int64(max(now.Sub(w.since), 0) / rateSlot) }

// add counts completed work of a queue.
func (w *completedWork) add(queue string, work int64, now time.Time) {
	w.begin(now)
	slots := w.byQueue[queue]
	if slots == nil {
		slots = new([rateSlots]slotWork)
		w.byQueue[queue] = slots
	}
	n := w.slot(now)
	s := &slots[n%rateSlots]
	if s.number != n {
		*s = slotWork{number: n}
	}
	s.work += work
}

// rates returns the average rate of each queue in thousandths of a processor. It forgets the queues
// that have completed nothing lately. The result is empty until rates are known.
func (w *completedWork) rates(now time.Time) map[string]int64 {
	out := make(map[string]int64, len(w.byQueue))
	counted := now.Sub(w.since)
	if counted < minRateTime {
		return out
	}
	n := w.slot(now)
	if n >= rateSlots {
		// The last slot has just begun.
		counted = (rateSlots-1)*rateSlot + counted%rateSlot
	}
	for queue, slots := range w.byQueue {
		var sum int64
		for _, s := range slots {
			if n-s.number < rateSlots {
				sum += s.work
			}
		}
		if sum == 0 {
			delete(w.byQueue, queue)
			continue
		}
		out[queue] = sum * 1000 / counted.Milliseconds()
	}
	return out
}
