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
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

// Guards against starting a task on the same failing worker over and over. A task waited for 16 s
// although most workers had room. One worker had reached its connection limit: a new owner after a
// power failure got one connection, for its holds, and each further one was reset. Every start
// order there was lost (start_lost, 16 runs from 60.3 to 76.8 s), the worker was attached again,
// which worked, and was again the best fit for the task.

// lossyWorkers implements Workers: the worker "small" answers holds but loses every start order.
type lossyWorkers struct {
	mu     sync.Mutex
	lost   int
	others int
	// works says that "small" no longer loses orders.
	works bool
}

func (w *lossyWorkers) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Worker == "small" && !w.works {
		w.lost++
		return StartAnswer{}, kind.New(kind.Lost, "connection reset by peer")
	}
	w.others++
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}

func (w *lossyWorkers) Stop(context.Context, StopOrder) error { return nil }
func (w *lossyWorkers) Pace(context.Context, PaceOrder) error { return nil }

func (w *lossyWorkers) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	select {
	case <-time.After(o.Wait):
		return HoldAnswer{ClockMS: 1}, nil
	case <-ctx.Done():
		return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
	}
}

func (w *lossyWorkers) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.others
}

// mend stops the losses and returns how many orders were lost.
func (w *lossyWorkers) mend() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.works = true
	return w.lost
}

// sizedDirectory is a directory of workers by size.
type sizedDirectory map[string]int64

func (s sizedDirectory) All(context.Context) ([]Entry, error) {
	var all []Entry
	for id, size := range s {
		room := sched.Vec{sched.MilliCPU: size, sched.MemoryMiB: size}
		all = append(all, Entry{Worker: cell.Worker{ID: id, Addr: id, Pool: "p", Hall: "h", Room: room}, Ver: 1})
	}
	return all, nil
}

var _ = ginkgo.Describe("a worker that loses every start order and answers every hold", func() {
	// submitTask submits a job whose task fits best into the worker that loses orders.
	submitTask := func(ctx context.Context, w *lossyWorkers, workers sizedDirectory) *Driver {
		t := newMemStore()
		spec := flow.Spec{ID: "0", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: sched.Vec{sched.MilliCPU: 500, sched.MemoryMiB: 500}}}, AcceptedMS: time.Now().UnixMilli()}
		_, err := t.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: SpecKey("0"), Value: flow.Encode(&spec)}}})
		Expect(err).NotTo(HaveOccurred())
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory = w, workers
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		return d
	}

	ginkgo.It("does not keep a task from another worker with room", func(ctx context.Context) {
		w := &lossyWorkers{}
		submitTask(ctx, w, sizedDirectory{"small": 1000, "large": 100_000})
		Eventually(w.started, "2s").Should(Equal(1))
	})

	ginkgo.It("is tried less and less often, and used again once it accepts orders", func(ctx context.Context) {
		w := &lossyWorkers{}
		submitTask(ctx, w, sizedDirectory{"small": 1000})
		time.Sleep(3 * time.Second)
		Expect(w.mend()).To(BeNumerically("<", 8))
		Eventually(w.started, "5s").Should(Equal(1))
	})
})
