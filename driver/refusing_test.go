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

// What happened: a task waited for 16 s, to the end of the day, with most of the workers' room
// free. One worker had as many connections as it bears: an owner that came after a loss of power
// got one, for its holds, and each further one was reset. Every order to start the task was
// lost there ("start_lost", the same worker, 16 runs from 60.3 to 76.8 s), the worker was held
// anew, which worked, and was again the one into which the task fitted best.

// choosy is a pair of workers of which one answers holds and loses every order to start.
type choosy struct {
	mu     sync.Mutex
	lost   int
	others int
	// works says that it loses none any more.
	works bool
}

func (w *choosy) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Worker == "small" && !w.works {
		w.lost++
		return StartAnswer{}, kind.New(kind.Lost, "connection reset by peer")
	}
	w.others++
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}

func (w *choosy) Stop(context.Context, StopOrder) error { return nil }
func (w *choosy) Pace(context.Context, PaceOrder) error { return nil }

func (w *choosy) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	select {
	case <-time.After(o.Wait):
		return HoldAnswer{ClockMS: 1}, nil
	case <-ctx.Done():
		return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
	}
}

func (w *choosy) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.others
}

// mend has it lose no more, and returns how many it has lost.
func (w *choosy) mend() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.works = true
	return w.lost
}

// sizes is a directory of workers by their sizes.
type sizes map[string]int64

func (s sizes) All(context.Context) ([]Entry, error) {
	var all []Entry
	for id, size := range s {
		room := sched.Vec{sched.Milli: size, sched.MiB: size}
		all = append(all, Entry{Worker: cell.Worker{ID: id, Addr: id, Pool: "p", Hall: "h", Room: room}, Ver: 1})
	}
	return all, nil
}

var _ = ginkgo.Describe("a worker that loses every order and answers every hold", func() {
	// play has a job come whose task fits best into the worker that loses orders.
	play := func(ctx context.Context, w *choosy, workers sizes) *Driver {
		t := newTable()
		spec := flow.Spec{ID: "0", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1, Demand: sched.Vec{sched.Milli: 500, sched.MiB: 500}}}, AcceptedMS: time.Now().UnixMilli()}
		_, err := t.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: SpecKey("0"), Value: flow.Encode(&spec)}}})
		Expect(err).NotTo(HaveOccurred())
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory = w, workers
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		return d
	}

	ginkgo.It("does not keep a task from another one that has room", func(ctx context.Context) {
		w := &choosy{}
		play(ctx, w, sizes{"small": 1000, "large": 100_000})
		Eventually(w.started, "2s").Should(Equal(1))
	})

	ginkgo.It("is tried less and less often, and used again once it works", func(ctx context.Context) {
		w := &choosy{}
		play(ctx, w, sizes{"small": 1000})
		time.Sleep(3 * time.Second)
		Expect(w.mend()).To(BeNumerically("<", 8))
		Eventually(w.started, "5s").Should(Equal(1))
	})
})
