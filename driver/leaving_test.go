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

// A task was run twice: its run ended as done on a worker that left 4 ms later, and it was
// started again when the lease of that worker was over. An order to that worker had gone
// without an answer a moment before, so that it was to be held anew under the next fence. The
// hold that waited there was given up for that, and with it its answer, which listed the end:
// the worker lists an end at once to whoever waits. It was gone before the next hold came.

// leaver is a worker that loses the answer of a stop, ends its run as done a moment later, lists
// that to the hold that waits, and is gone.
type leaver struct {
	// loses says that the answer that lists the end is lost as well.
	loses bool

	mu     sync.Mutex
	starts []StartOrder
	ended  chan struct{}
	gone   bool
}

func (w *leaver) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}

// Stop carries out nothing, as the run is about to end by itself, and its answer is lost.
func (w *leaver) Stop(ctx context.Context, _ StopOrder) error {
	<-ctx.Done()
	close(w.ended)
	return kind.Wrap(kind.Lost, ctx.Err(), "stop")
}

func (w *leaver) Pace(context.Context, PaceOrder) error { return nil }

// endsAfter is how long after the stop is taken for lost the run ends: the hold that waits has
// been given up by then.
const endsAfter = 10 * time.Millisecond

func (w *leaver) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	if o.Target.Worker != "w" {
		return w.lists(o.Target.Worker), nil
	}
	w.mu.Lock()
	gone, running := w.gone, len(w.starts) > 0
	w.mu.Unlock()
	if gone || (running && o.Wait == 0) {
		// It leaves before a hold under the next fence comes.
		return HoldAnswer{}, errAway
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
	case <-time.After(endsAfter):
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

// lists lists what runs on a worker.
func (w *leaver) lists(worker string) HoldAnswer {
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

func (w *leaver) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

// two is a directory of the leaver and another worker, which comes later.
type two struct {
	mu   sync.Mutex
	more bool
}

func (d *two) All(context.Context) ([]Entry, error) {
	room := sched.Vec{sched.Milli: 1000, sched.MiB: 1000}
	all := []Entry{{Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}, Ver: 1}}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.more {
		all = append(all, Entry{Worker: cell.Worker{ID: "x", Addr: "x", Pool: "p", Hall: "h", Room: room}, Ver: 2})
	}
	return all, nil
}

var _ = ginkgo.Describe("an end listed while its worker is to be held anew", func() {
	// play has a run begin on a worker, an order there lost, the run ended and the worker
	// gone, with another worker free.
	play := func(ctx context.Context, w *leaver) *Driver {
		t, workers := newTable(), &two{}
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
			return d.links["w"].attached && d.links["w"].anew != nil
		}
		Eventually(waits).Should(BeTrue())
		// The hold that waits is on its way.
		time.Sleep(50 * time.Millisecond)
		workers.mu.Lock()
		workers.more = true
		workers.mu.Unlock()
		d.mu.Lock()
		d.stopRun(cell.Stop{Worker: "w", Addr: "w", Task: w.starts[0].Task, Run: w.starts[0].Run})
		d.mu.Unlock()
		return d
	}

	ginkgo.It("counts, and the task is not started again when the lease is over", func(ctx context.Context) {
		w := &leaver{ended: make(chan struct{})}
		d := play(ctx, w)
		Eventually(func() flow.State { s, _ := d.State("0"); return s }, "3s").Should(Equal(flow.Succeeded))
		Consistently(w.started, stretch(d.Lease)+time.Second).Should(Equal(1))
	})

	ginkgo.It("is told of, as a run that was left behind", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		var lines bytes.Buffer
		d.Log = log.NewLogfmtLogger(&lines)
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		now := time.Now()
		all, _ := (&two{}).All(ctx)
		d.cell.Heard(all[0].Worker, now)
		d.cell.Attached("w", cell.Lists{Running: []cell.Running{{Task: flow.TaskID{Job: "j", Index: 3}, Run: 5, Percent: 98}}}, now)
		l := &link{id: "w", entryWord: entryWord{draining: true}, life: life{heard: now.Add(-6 * time.Second)}}
		d.holdFailed(l, errAway)
		Expect(lines.String()).To(ContainSubstring("event=lease_over worker=w left=true heard_ms_ago=6"))
		Expect(lines.String()).To(ContainSubstring("event=run_left_behind job=j step=0 index=3 run=5 worker=w percent=98"))
	})

	ginkgo.It("is not known if that answer is lost and the worker gone: the task runs again, after the lease", func(ctx context.Context) {
		w := &leaver{ended: make(chan struct{}), loses: true}
		d := play(ctx, w)
		begun := time.Now()
		Eventually(w.started, "5s").Should(Equal(2))
		Expect(time.Since(begun)).To(BeNumerically(">", d.Lease/2))
	})
})
