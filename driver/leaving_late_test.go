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

// A task was run twice: its worker left before its owner had reckoned with, 13 ms after the run was done.

// staysFor is for how long a worker that leaves stays after it has said so, and lateEnd how
// long before it leaves its run ends, too late for anybody to be told.
const (
	staysFor = 2 * time.Second
	lateEnd  = 13 * time.Millisecond
)

// departing is a worker that says that it leaves right after the first reading of the list, and
// a directory of it and of another worker.
type departing struct {
	mu    sync.Mutex
	reads int
	// leaves is when it leaves.
	leaves  time.Time
	starts  []StartOrder
	begun   time.Time
	stopped time.Time
	changed chan struct{}
}

func (w *departing) All(context.Context) ([]Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	room := sched.Vec{sched.Milli: 1000, sched.MiB: 1000}
	one := cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}
	if w.reads == 1 {
		w.leaves = time.Now().Add(staysFor)
		return []Entry{{Ver: 1, Worker: one}}, nil
	}
	one.Draining, one.Remaining = true, staysFor
	other := cell.Worker{ID: "x", Addr: "x", Pool: "p", Hall: "h", Room: room}
	return []Entry{{Ver: 2, Worker: one}, {Ver: 3, Worker: other}}, nil
}

func (w *departing) gone() bool { return time.Now().After(w.leaves) }

func (w *departing) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	w.begun = time.Now()
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}

func (w *departing) Stop(_ context.Context, o StopOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Worker == "w" && w.stopped.IsZero() && !w.gone() {
		w.stopped = time.Now()
		close(w.changed)
	}
	return nil
}

func (w *departing) Pace(context.Context, PaceOrder) error { return nil }

func (w *departing) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
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
		return HoldAnswer{}, errAway
	}
	return HoldAnswer{ClockMS: 1, Lists: w.lists(o.Worker)}, nil
}

// lists lists what is on a worker. The run would be done lateEnd before it leaves.
func (w *departing) lists(worker string) cell.Lists {
	if len(w.starts) == 0 || w.starts[0].Worker != worker {
		return cell.Lists{}
	}
	s := w.starts[0]
	if !w.stopped.IsZero() {
		return cell.Lists{Finished: []cell.Finished{{Number: 1, Task: s.Task, Run: s.Run, How: flow.EndStopped}}}
	}
	whole := w.leaves.Add(-lateEnd).Sub(w.begun)
	return cell.Lists{Running: []cell.Running{{Task: s.Task, Run: s.Run, Percent: int(100 * time.Since(w.begun) / whole)}}}
}

var _ = ginkgo.Describe("a run that would be done just before its worker leaves", func() {
	ginkgo.It("is stopped in time for that to be known, though the worker's word is read late", func(ctx context.Context) {
		t, w := newTable(), &departing{changed: make(chan struct{})}
		t.putSpec("0")
		d := newDriver(ctx, t, func() {})
		d.Lease = 6 * time.Second
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		stopped := func() time.Time {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.stopped
		}
		Eventually(stopped, staysFor+time.Second, 5*time.Millisecond).ShouldNot(BeZero())
		Expect(w.leaves.Sub(stopped())).To(BeNumerically(">", lateEnd))
	})
})
