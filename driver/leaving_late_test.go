// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Guards against running a task twice: its worker left earlier than the owner had computed, 13 ms
// after the run was done.

// timeToLeave is how long the worker stays after it has announced that it leaves, and
// endBeforeLeaving how long before it leaves its run would end, too late to be reported.
const (
	timeToLeave      = 2 * time.Second
	endBeforeLeaving = 13 * time.Millisecond
)

// departingWorker announces that it leaves right after the first read of the directory. It is also
// the directory, with entries of itself and another worker.
type departingWorker struct {
	mu    sync.Mutex
	reads int
	// leaves is when the worker leaves.
	leaves  time.Time
	starts  []StartOrder
	begun   time.Time
	stopped time.Time
	changed chan struct{}
}

func (w *departingWorker) All(context.Context) ([]Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	room := sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}
	one := cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}
	if w.reads == 1 {
		w.leaves = time.Now().Add(timeToLeave)
		return []Entry{{Ver: 1, Worker: one}}, nil
	}
	one.Draining, one.Remaining = true, timeToLeave
	other := cell.Worker{ID: "x", Addr: "x", Pool: "p", Hall: "h", Room: room}
	return []Entry{{Ver: 2, Worker: one}, {Ver: 3, Worker: other}}, nil
}

func (w *departingWorker) gone() bool { return time.Now().After(w.leaves) }

func (w *departingWorker) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	w.begun = time.Now()
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}

func (w *departingWorker) Stop(_ context.Context, o StopOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Worker == "w" && w.stopped.IsZero() && !w.gone() {
		w.stopped = time.Now()
		close(w.changed)
	}
	return nil
}

func (w *departingWorker) Pace(context.Context, PaceOrder) error { return nil }

func (w *departingWorker) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	if o.Wait > 0 {
		select {
		case <-time.After(min(o.Wait, 100*time.Millisecond)):
		case <-w.changed:
		case <-ctx.Done():
			return HoldAnswer{}, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Worker == "w" && w.gone() {
		return HoldAnswer{}, errUnreachable
	}
	return HoldAnswer{ClockMS: 1, Lists: w.lists(o.Worker)}, nil
}

// lists returns the runs on a worker. The run would be done endBeforeLeaving before the worker
// leaves.
func (w *departingWorker) lists(worker string) cell.Lists {
	if len(w.starts) == 0 || w.starts[0].Worker != worker {
		return cell.Lists{}
	}
	s := w.starts[0]
	if !w.stopped.IsZero() {
		return cell.Lists{Finished: []cell.Finished{{Number: 1, Task: s.Task, Run: s.Run, How: flow.EndStopped}}}
	}
	whole := w.leaves.Add(-endBeforeLeaving).Sub(w.begun)
	return cell.Lists{Running: []cell.Running{{Task: s.Task, Run: s.Run, Percent: int(100 * time.Since(w.begun) / whole)}}}
}

var _ = ginkgo.Describe("a run that would be done just before its worker leaves", func() {
	ginkgo.It("is stopped early enough to be reported, though the worker's announcement is read late", func(ctx context.Context) {
		t, w := newMemStore(), &departingWorker{changed: make(chan struct{})}
		t.putSpec("0")
		d := newDriver(ctx, t, func() {})
		d.WorkerLease = 6 * time.Second
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		stopped := func() time.Time {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.stopped
		}
		Eventually(stopped, timeToLeave+time.Second, 5*time.Millisecond).ShouldNot(BeZero())
		Expect(w.leaves.Sub(stopped())).To(BeNumerically(">", endBeforeLeaving))
	})
})
