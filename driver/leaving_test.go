// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/sched"
)

// Guards against running a task twice. Its run ended as done on a worker that left 4 ms later, and
// it was started again when the worker's lease had expired. An order to the worker had had no
// answer a moment before, so the worker was to be attached again under the next fence. The long
// poll that was waiting there was abandoned for that, and with it its answer, which listed the end.
// The worker was gone before the next hold arrived.

// dyingWorker loses the answer to a stop, ends its run as done a moment later, lists that in the
// answer to the waiting hold, and is gone.
type dyingWorker struct {
	// loses says that the answer that lists the end is lost as well.
	loses bool

	mu     sync.Mutex
	starts []StartOrder
	ended  chan struct{}
	gone   bool
}

func (w *dyingWorker) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}

// Stop does nothing, as the run is about to end by itself, and its answer is lost.
func (w *dyingWorker) Stop(ctx context.Context, _ StopOrder) error {
	<-ctx.Done()
	close(w.ended)
	return kind.Wrap(kind.Lost, ctx.Err(), "stop")
}

func (w *dyingWorker) Pace(context.Context, PaceOrder) error { return nil }

// endDelay is how long the run ends after the stop is considered lost. The waiting hold has been
// abandoned by then.
const endDelay = 10 * time.Millisecond

func (w *dyingWorker) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	if o.Target.Worker != "w" {
		return w.lists(o.Target.Worker), nil
	}
	w.mu.Lock()
	gone, running := w.gone, len(w.starts) > 0
	w.mu.Unlock()
	if gone || (running && o.Wait == 0) {
		// The worker leaves before a hold under the next fence arrives.
		return HoldAnswer{}, errUnreachable
	}
	if o.Wait == 0 {
		return HoldAnswer{ClockMS: 1}, nil
	}
	select {
	case <-w.ended:
	case <-time.After(o.Wait):
		return w.lists("w"), nil
	case <-ctx.Done():
		return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
	}
	select {
	case <-time.After(endDelay):
	case <-ctx.Done():
		return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	if w.loses {
		return HoldAnswer{}, kind.New(kind.Lost, "the answer did not arrive")
	}
	return HoldAnswer{ClockMS: 2, Lists: cell.Lists{Finished: []cell.Finished{{Number: 1, Task: w.starts[0].Task, Run: w.starts[0].Run, How: flow.EndDone}}}}, nil
}

// lists returns the running runs on a worker.
func (w *dyingWorker) lists(worker string) HoldAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := HoldAnswer{ClockMS: 1}
	for _, s := range w.starts {
		if s.Worker == worker {
			a.Lists.Running = append(a.Lists.Running, cell.Running{Task: s.Task, Run: s.Run})
		}
	}
	return a
}

func (w *dyingWorker) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

// growingDirectory contains the dyingWorker and, later, another worker.
type growingDirectory struct {
	mu   sync.Mutex
	more bool
}

func (d *growingDirectory) All(context.Context) ([]Entry, error) {
	room := sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}
	all := []Entry{{Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}, Ver: 1}}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.more {
		all = append(all, Entry{Worker: cell.Worker{ID: "x", Addr: "x", Pool: "p", Hall: "h", Room: room}, Ver: 2})
	}
	return all, nil
}

var _ = ginkgo.Describe("an end listed while its worker is to be attached again", func() {
	// stopAndLeave starts a run on a worker, loses an order to it, and lets the run end and the
	// worker disappear while another worker is free.
	stopAndLeave := func(ctx context.Context, w *dyingWorker) *Driver {
		t, workers := newMemStore(), &growingDirectory{}
		t.putSpec("0")
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory = w, workers
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(w.started, "5s").Should(Equal(1))
		waits := func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.links["w"].attached && d.links["w"].rehold != nil
		}
		Eventually(waits).Should(BeTrue())
		// Let the waiting hold reach the worker.
		time.Sleep(50 * time.Millisecond)
		workers.mu.Lock()
		workers.more = true
		workers.mu.Unlock()
		d.mu.Lock()
		d.sendStop(cell.Stop{Worker: "w", Addr: "w", Task: w.starts[0].Task, Run: w.starts[0].Run})
		d.mu.Unlock()
		return d
	}

	ginkgo.It("counts, and the task is not started again when the lease has expired", func(ctx context.Context) {
		w := &dyingWorker{ended: make(chan struct{})}
		d := stopAndLeave(ctx, w)
		Eventually(func() flow.State { s, _ := d.State("0"); return s }, "3s").Should(Equal(flow.Succeeded))
		Consistently(w.started, slowClockDuration(d.WorkerLease)+time.Second).Should(Equal(1))
	})

	ginkgo.It("may be missed, and then the run is logged as left behind", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		var lines bytes.Buffer
		d.Log = log.NewLogfmtLogger(&lines)
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		now := time.Now()
		all, _ := (&growingDirectory{}).All(ctx)
		d.cell.Heard(all[0].Worker, now)
		d.cell.Attached("w", cell.Lists{Running: []cell.Running{{Task: flow.TaskID{Job: "j", Index: 3}, Run: 5, Percent: 98}}}, now)
		l := &link{id: "w", entryInfo: entryInfo{draining: true}, incarnation: incarnation{answeredAt: now.Add(-6 * time.Second)}}
		d.holdFailed(l, errUnreachable)
		Expect(lines.String()).To(ContainSubstring("event=lease_over worker=w left=true heard_ms_ago=6"))
		Expect(lines.String()).To(ContainSubstring("event=run_left_behind job=j step=0 index=3 run=5 worker=w percent=98"))
	})

	ginkgo.It("is not known if that answer is lost and the worker gone: the task runs again after the lease has expired", func(ctx context.Context) {
		w := &dyingWorker{ended: make(chan struct{}), loses: true}
		d := stopAndLeave(ctx, w)
		begun := time.Now()
		Eventually(w.started, "5s").Should(Equal(2))
		Expect(time.Since(begun)).To(BeNumerically(">", d.WorkerLease/2))
	})
})
