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

// Guards against waiting too long for lost orders: while workers left 5% of the orders unanswered,
// a quarter of the short jobs were late. The timeout was 0.7 s, longer than such a job takes,
// though answers took 4 ms and the next attempt was in flight 4 ms after the timeout.

// unresponsiveWorker answers at once, except to the first start.
type unresponsiveWorker struct {
	mu     sync.Mutex
	fences []uint64
}

func (w *unresponsiveWorker) Start(ctx context.Context, o StartOrder) (StartAnswer, error) {
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

func (w *unresponsiveWorker) Stop(context.Context, StopOrder) error { return nil }
func (w *unresponsiveWorker) Pace(context.Context, PaceOrder) error { return nil }

func (w *unresponsiveWorker) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	if o.Wait > 0 {
		select {
		case <-time.After(o.Wait):
		case <-ctx.Done():
			return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
		}
	}
	return HoldAnswer{ClockMS: 1}, nil
}

func (w *unresponsiveWorker) starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.fences)
}

// singleWorkerDirectory is a directory of one worker.
type singleWorkerDirectory struct{}

func (singleWorkerDirectory) All(context.Context) ([]Entry, error) {
	room := sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}
	return []Entry{{Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}, Ver: 1}}, nil
}

var _ = ginkgo.Describe("an order without an answer", func() {
	ginkgo.It("is considered lost after a time that depends on the worker's response times", func() {
		l := &link{}
		l.answerTimes.Answered(4 * time.Millisecond)
		Expect(l.orderTimeout()).To(Equal(minOrderTimeout), "not 0.7 s")
	})

	ginkgo.It("does not include a hold that was abandoned to attach its worker again", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		l := &link{id: "w"}
		l.answerTimes.Answered(4 * time.Millisecond)
		d.holdFailed(l, kind.New(kind.Lost, "abandoned"))
		Expect(l.orderTimeout()).To(Equal(minOrderTimeout))
		l.attached = true
		d.holdFailed(l, kind.New(kind.Lost, "no answer"))
		Expect(l.orderTimeout()).To(Equal(2 * minOrderTimeout))
	})

	ginkgo.It("is sent again under the next fence", func(ctx context.Context) {
		t, w := newMemStore(), &unresponsiveWorker{}
		t.putSpec("0")
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory = w, singleWorkerDirectory{}
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		defer d.Close()
		Eventually(w.starts, "5s").Should(BeNumerically(">=", 2))
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.fences[1]).To(BeNumerically(">", w.fences[0]), "so that the first order can no longer take effect")
	})
})
