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
	// notice is how long the worker stays after its announcement, and endsBefore how long before it
	// leaves its run is done.
	notice, endsBefore time.Duration
	// stopTakes is how long the worker takes to stop a run.
	stopTakes time.Duration
	// lateEntry says that an entry which the worker wrote after its announcement takes effect only
	// before the fourth read.
	lateEntry bool
	// alone says that there is no other worker to move the run to.
	alone bool

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
		w.leaves = time.Now().Add(w.notice)
		return []Entry{{Ver: 1, Worker: one}}, nil
	}
	one.Draining, one.Remaining = true, w.notice
	entry := Entry{Ver: 2, Worker: one}
	if w.lateEntry && w.reads > 3 {
		entry.Ver, entry.Remaining = 4, w.notice-100*time.Millisecond
	}
	if w.alone {
		return []Entry{entry}, nil
	}
	other := cell.Worker{ID: "x", Addr: "x", Pool: "p", Hall: "h", Room: room}
	return []Entry{entry, {Ver: 3, Worker: other}}, nil
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

// lists returns the runs on a worker. The run is done endsBefore the worker leaves if it has not
// stopped by then.
func (w *departingWorker) lists(worker string) cell.Lists {
	if len(w.starts) == 0 || w.starts[0].Worker != worker {
		return cell.Lists{}
	}
	s := w.starts[0]
	if !w.stopped.IsZero() && time.Since(w.stopped) >= w.stopTakes {
		return cell.Lists{Finished: []cell.Finished{{Number: 1, Task: s.Task, Run: s.Run, How: flow.EndStopped}}}
	}
	whole := w.leaves.Add(-w.endsBefore).Sub(w.begun)
	return cell.Lists{Running: []cell.Running{{Task: s.Task, Run: s.Run, Percent: int(100 * time.Since(w.begun) / whole)}}}
}

// wasDone reports whether the run was done before it had stopped. It was then not reported, as the
// worker left too soon after that.
func (w *departingWorker) wasDone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped.IsZero() || w.stopped.Add(w.stopTakes).After(w.leaves.Add(-w.endsBefore))
}

func (w *departingWorker) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leaves.IsZero() && w.gone()
}

var _ = ginkgo.Describe("a run that would be done just before its worker leaves", func() {
	ginkgo.It("is stopped early enough to be reported, though the worker's announcement is read late", func(ctx context.Context) {
		t, w := newMemStore(), &departingWorker{notice: timeToLeave, endsBefore: endBeforeLeaving, changed: make(chan struct{})}
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

	// leave starts a run on w, which then leaves.
	leave := func(ctx context.Context, w *departingWorker) {
		t := newMemStore()
		t.putSpec("0")
		d := newDriver(ctx, t, func() {})
		d.WorkerLease = 2 * time.Second
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(w.hasLeft, w.notice+time.Second, 10*time.Millisecond).Should(BeTrue())
	}
	for name, w := range map[string]*departingWorker{
		"its worker takes long to stop it":          {notice: 2500 * time.Millisecond, stopTakes: 900 * time.Millisecond},
		"an entry of its worker is written late":    {notice: 4 * time.Second, lateEntry: true},
		"both, with a stop that takes a usual time": {notice: 4 * time.Second, lateEntry: true, stopTakes: 200 * time.Millisecond},
	} {
		ginkgo.It("is not done without being reported: "+name, func(ctx context.Context) {
			var played sync.WaitGroup
			var all []*departingWorker
			for _, ms := range []time.Duration{0, 1, 4, 13, 30, 60, 120} {
				one := &departingWorker{notice: w.notice, endsBefore: ms * time.Millisecond, stopTakes: w.stopTakes, lateEntry: w.lateEntry, alone: true, changed: make(chan struct{})}
				all = append(all, one)
				played.Go(func() {
					defer ginkgo.GinkgoRecover()
					leave(ctx, one)
				})
			}
			played.Wait()
			for _, one := range all {
				Expect(one.starts).NotTo(BeEmpty())
				Expect(one.wasDone()).To(BeFalse(), "%v before its worker left", one.endsBefore)
			}
		})
	}
})
