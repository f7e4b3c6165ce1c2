// SPDX-License-Identifier: Apache-2.0

//go:build faults

package driver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

// Guards against an owner that resumes after a suspension of 3 s and sends orders under a lease
// that has long expired: the monotonic clock, which all times were read from, does not advance
// during a suspension.

// obedientWorker implements Workers, accepting every order, and a directory of one worker.
type obedientWorker struct{ starts atomic.Int32 }

func (w *obedientWorker) Start(context.Context, StartOrder) (StartAnswer, error) {
	w.starts.Add(1)
	return StartAnswer{ClockMS: 1, Outcome: cell.Accepted}, nil
}
func (w *obedientWorker) Stop(context.Context, StopOrder) error { return nil }
func (w *obedientWorker) Pace(context.Context, PaceOrder) error { return nil }
func (w *obedientWorker) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	select {
	case <-time.After(o.Wait):
	case <-ctx.Done():
	}
	return HoldAnswer{ClockMS: 1, Lists: cell.Lists{RunsIncomplete: o.EndsOnly}}, ctx.Err()
}

func (w *obedientWorker) All(context.Context) ([]Entry, error) {
	room := sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}
	return []Entry{{Ver: 1, Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: room}}}, nil
}

var _ = ginkgo.Describe("an owner whose machine was suspended", func() {
	// afterSuspension starts an owner with a worker and suspends its machine, while another
	// instance takes the cell if takenOver is set. A job is waiting when the machine resumes.
	afterSuspension := func(ctx context.Context, takenOver bool, d time.Duration) (*obedientWorker, *atomic.Bool) {
		t, w := newMemStore(), &obedientWorker{}
		lost := new(atomic.Bool)
		o := newDriver(ctx, t, func() {})
		o.Workers, o.Directory, o.HeardByAll = w, w, func() bool { return false }
		o.OnLeaseLost = func() { lost.Store(true) }
		o.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		o.Start()
		ginkgo.DeferCleanup(o.Close)
		Eventually(func() int { return o.Load().Attached }, "5s").Should(Equal(1))
		if takenOver {
			t.mu.Lock()
			t.ver++
			key := rows.Key{Table: claim.Table, Part: "c", Name: claim.Range("c").From}
			t.rows[key] = rows.Row{Key: key, Ver: t.ver, Value: flow.Encode(claim.Lease{Owner: "other", Boot: "x", Epoch: 9})}
			t.mu.Unlock()
		}
		clock.Sleep(d)
		err := o.Adopt(&flow.Spec{ID: "1", Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, 1<<40)
		if takenOver && kind.Is(err, kind.Unavailable) {
			// A renewal has shown before that another instance holds the lease.
			Eventually(lost.Load, "3s").Should(BeTrue())
			return w, lost
		}
		Expect(err).NotTo(HaveOccurred())
		return w, lost
	}

	for _, d := range []time.Duration{3 * time.Second, 30 * time.Second} {
		ginkgo.It("sends no orders under a lease that another instance holds, after "+d.String(), func(ctx context.Context) {
			w, lost := afterSuspension(ctx, true, d)
			Eventually(lost.Load, "3s").Should(BeTrue())
			Consistently(w.starts.Load, "300ms").Should(BeZero())
		})

		ginkgo.It("goes on once it has confirmed that it still holds its lease, after "+d.String(), func(ctx context.Context) {
			w, lost := afterSuspension(ctx, false, d)
			Eventually(w.starts.Load, "5s").Should(BeNumerically("==", 1))
			Expect(lost.Load()).To(BeFalse())
		})
	}
})
