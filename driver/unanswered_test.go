// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/kind"
	"dewpass.org/sched"
)

// What happened: while workers left a twentieth of the orders unanswered, a quarter of the
// short jobs were late. An order was given 0.7 s, longer than such a job has; the next
// try was under way 4 ms after that. Answers took 4 ms.

// deaf is a worker that answers at once but leaves the first start unanswered.
type deaf struct {
	mu     sync.Mutex
	fences []uint64
}

func (w *deaf) Start(ctx context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	w.fences = append(w.fences, o.Fence)
	first := len(w.fences) == 1
	w.mu.Unlock()
	if !first {
		return StartAnswer{Outcome: cell.Accepted}, nil
	}
	<-ctx.Done()
	return StartAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "start")
}

func (w *deaf) Stop(context.Context, StopOrder) error { return nil }
func (w *deaf) Pace(context.Context, PaceOrder) error { return nil }

func (w *deaf) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	if o.Wait > 0 {
		select {
		case <-time.After(o.Wait):
		case <-ctx.Done():
			return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
		}
	}
	return HoldAnswer{ClockMS: 1}, nil
}

func (w *deaf) starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.fences)
}

// one is a directory of one worker.
type one struct{}

func (one) All(context.Context) ([]Entry, error) {
	room := sched.Vec{sched.Milli: 1000, sched.MiB: 1000}
	return []Entry{{Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}, Ver: 1}}, nil
}

var _ = ginkgo.Describe("an order without an answer", func() {
	ginkgo.It("is taken for lost by how long answers take", func() {
		l := &link{}
		l.answers.Answered(4 * time.Millisecond)
		Expect(l.orderTime()).To(Equal(orderLeast), "in place of 0.7 s")
	})

	ginkgo.It("is none where a hold was given up as its worker is held anew", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		l := &link{id: "w"}
		l.answers.Answered(4 * time.Millisecond)
		d.holdFailed(l, kind.New(kind.Lost, "given up"))
		Expect(l.orderTime()).To(Equal(orderLeast))
		l.attached = true
		d.holdFailed(l, kind.New(kind.Lost, "no answer"))
		Expect(l.orderTime()).To(Equal(2 * orderLeast))
	})

	ginkgo.It("is given again under the next fence", func(ctx context.Context) {
		t, w := newTable(), &deaf{}
		t.putSpec("0")
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory = w, one{}
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		defer d.Close()
		Eventually(w.starts, "5s").Should(BeNumerically(">=", 2))
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.fences[1]).To(BeNumerically(">", w.fences[0]), "so that the first can't be carried out any more")
	})
})
