// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/admission"
	"dewpass.org/cell"
	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

// admitReadTimeout limits the check whether a job that would be refused is already stored. A store
// that takes longer is asked again by the write, and the caller does not wait for both.
const admitReadTimeout = 150 * time.Millisecond

// admit returns an error of kind QueueFull for a job that cannot meet its objective because of the
// work that waits before it in its cell. It is called before anything is written.
//
// A refusal states that the job has not run and never will. A job that the store has, or that it
// may have because it does not answer in time, is therefore never refused: its write shows whether
// it is known. One case is left open: an earlier write of the same id, sent by this or another
// instance, that has not reached the store when the check reads. If its caller submits the job again
// meanwhile and is refused, the job still runs. That caller either has not waited for the answer to
// its first call or was told that the outcome is unknown, and finds out by the job's state.
func (n *Instance) admit(ctx context.Context, cellName string, spec *flow.Spec) error {
	q := n.admissionQueue(spec)
	if q == nil {
		return nil
	}
	r := n.queueReport(cellName, q)
	job := q.job(spec)
	d := admission.Decide(r.Report, job)
	if d.Refused && !n.maybeStored(ctx, spec) {
		level.Info(n.kit.Log).Log("event", "refused", "job", spec.ID, "queue", spec.Queue, "account", spec.Account, "cell", cellName,
			"why", "the wait is too long", "waiting", r.Waiting, "sent", r.Sent, "rate", r.Rate, "capacity", r.Capacity, "age_ms", r.Age.Milliseconds(),
			"end_ms", d.End.Milliseconds(), "objective_ms", job.Objective.Milliseconds(), "retry_ms", d.RetryAfter.Milliseconds(), "last", true)
		n.countRefused(spec.Queue, "wait")
		return kind.New(kind.QueueFull, "the job cannot end within the objective of its queue").WithRetryAfter(d.RetryAfter)
	}
	n.sentWork.add(cellName, q.Queue, cell.QueuedWork(spec), r.at)
	return nil
}

// admissionQueue is a queue whose jobs may be refused.
type admissionQueue struct {
	*cell.Queue
	// mostUrgent says that no queue of its pool is more urgent.
	mostUrgent bool
}

// admissionQueue returns the queue of a job that may be refused, nil for a job that may not.
func (n *Instance) admissionQueue(spec *flow.Spec) *admissionQueue {
	conf := n.config.Load()
	if !n.currentReloadable().admission || conf == nil || spec.RepeatCount > 0 || spec.HasLongRunning() {
		return nil
	}
	return findQueue(conf, spec.Queue)
}

// findQueue returns the queue with a name, nil if there is none.
func findQueue(conf *config.Config, name string) *admissionQueue {
	var q *admissionQueue
	for i := range conf.Queues {
		if conf.Queues[i].Name == name {
			q = &admissionQueue{Queue: &conf.Queues[i].Queue, mostUrgent: true}
		}
	}
	for i := range conf.Queues {
		if q != nil && conf.Queues[i].Pool == q.Pool && conf.Queues[i].Priority < q.Priority {
			q.mostUrgent = false
		}
	}
	return q
}

// job returns what the decision depends on of a job of q.
func (q *admissionQueue) job(spec *flow.Spec) admission.Job {
	var chain time.Duration
	for i := range spec.Steps {
		chain = max(chain, spec.CriticalPath(i))
	}
	return admission.Job{ID: spec.ID, Objective: q.Objective(chain), Chain: chain, Question: q.Question()}
}

// queueReport is a report with the time at which it was made or heard, zero if there is none.
type queueReport struct {
	admission.Report
	at time.Time
}

// queueReport returns what is known of the load of a queue in a cell. There is no report of a cell
// whose owner is not heard or not ready.
func (n *Instance) queueReport(cellName string, q *admissionQueue) queueReport {
	var r queueReport
	if d := n.ownDriver(cellName); d != nil {
		if !d.Ready() {
			return r
		}
		loads := d.QueueLoads()
		load := loads.Find(q.Name)
		r.at, r.Capacity, r.Waiting, r.Rate = loads.At, loads.Capacity, load.Waiting, load.Rate
	} else if o, ok := n.members.cellsByName(clock.Now())[cellName]; ok && o.cell.Ready {
		r.at, r.Capacity = o.heardAt, o.cell.Room
		for _, load := range o.cell.Queues {
			if load.Queue == q.Name {
				r.Waiting, r.Rate = load.Waiting, load.Rate
			}
		}
	}
	if r.Waiting == 0 {
		// The owner is of an earlier build, or the wait is too short for a report.
		return queueReport{at: r.at}
	}
	r.Sent, r.Age = n.sentWork.sum(cellName, q, r.at), clock.Since(r.at)
	return r
}

// maybeStored reports whether the store has or may have a job that would be refused.
func (n *Instance) maybeStored(ctx context.Context, spec *flow.Spec) bool {
	ctx, cancel := context.WithTimeout(ctx, admitReadTimeout)
	defer cancel()
	row, err := n.readJobRow(ctx, driver.HomeKey(spec.ID))
	if err == nil && row.Ver == 0 {
		return false
	}
	level.Info(n.kit.Log).Log("event", "not_refused", "job", spec.ID, "queue", spec.Queue, "known", row.Ver > 0, "err", err)
	return true
}

// sentWork counts the work that this instance has sent to each cell since the last report of the
// cell's owner.
type sentWork struct {
	mu    sync.Mutex
	cells map[string]*sentSince
}

// sentSince is the work sent since a report, in milliseconds of one processor, by queue.
type sentSince struct {
	report  time.Time
	byQueue map[string]sentToQueue
}

type sentToQueue struct {
	queue *cell.Queue
	work  int64
}

// add counts work sent to a cell after the report made or heard at a time.
func (s *sentWork) add(cellName string, q *cell.Queue, work int64, report time.Time) {
	if report.IsZero() || work == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.cells[cellName]
	if since == nil || since.report.Before(report) {
		if s.cells == nil {
			s.cells = make(map[string]*sentSince)
		}
		since = &sentSince{report: report, byQueue: make(map[string]sentToQueue)}
		s.cells[cellName] = since
	}
	since.byQueue[q.Name] = sentToQueue{queue: q, work: since.byQueue[q.Name].work + work}
}

// sum returns the work sent since a report for which a new job of q has to wait.
func (s *sentWork) sum(cellName string, q *admissionQueue, report time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.cells[cellName]
	if since == nil || !since.report.Equal(report) {
		return 0
	}
	var sum int64
	for _, sent := range since.byQueue {
		if q.WaitsFor(sent.queue, q.mostUrgent) {
			sum += sent.work
		}
	}
	return sum
}

// queueLoads returns the loads of an own cell's queues for other instances.
func queueLoads(loads cell.QueueLoads) []*wire.QueueLoad {
	out := make([]*wire.QueueLoad, 0, len(loads.Queues))
	for _, q := range loads.Queues {
		out = append(out, &wire.QueueLoad{Queue: q.Queue, Waiting: q.Waiting, Rate: q.Rate})
	}
	return out
}
