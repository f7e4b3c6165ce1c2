// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
)

// cutOffWorker is a worker that can be cut off. Its runs do not end.
type cutOffWorker struct {
	*restartingWorker
	cut atomic.Bool
}

func (w *cutOffWorker) Start(context.Context, StartOrder) (StartAnswer, error) {
	return StartAnswer{ClockMS: w.clock(), Outcome: cell.Accepted}, nil
}

func (w *cutOffWorker) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	if w.cut.Load() {
		return HoldAnswer{}, errUnreachable
	}
	o.Wait = min(o.Wait, 20*time.Millisecond)
	a, err := w.restartingWorker.Hold(ctx, o)
	a.Lists.RunsIncomplete = true
	return a, err
}

var _ = ginkgo.Describe("a long-running task on a worker that is cut off", func() {
	ginkgo.It("makes the owner ask the policy before the leases there expire", func(ctx context.Context) {
		w := &cutOffWorker{restartingWorker: newRestartingWorker()}
		d := newDriver(ctx, newMemStore(), func() {})
		d.WorkerLease = 4 * time.Second
		d.Workers, d.Directory = w, w
		var asked atomic.Int64
		d.Advise = func(_ context.Context, a cell.Ask) (Tickets, error) {
			asked.Add(1)
			return Tickets{Rows: []cell.Ticket{{Worker: a.Workers[0], Text: "t"}}}, nil
		}
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1, Advice: &cell.Advice{Valid: 100 * time.Millisecond}}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(func() int { return d.Load().Attached }, "3s").Should(Equal(1))
		step := flow.Step{Count: 1, LongRunning: true}
		Expect(d.Adopt(&flow.Spec{ID: "1", Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{step}}, 1<<30)).To(Succeed())
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.cell.Busy("w") }, "3s").Should(BeTrue())
		w.cut.Store(true)
		Eventually(func() bool { return d.Load().Attached == 0 }, "3s").Should(BeTrue())
		d.mu.Lock()
		defer d.mu.Unlock()
		over := d.links["w"].leasesEnd
		d.cell.Heard(cell.Worker{ID: "x", Addr: "x", Pool: "p", Hall: "h"}, clock.Now())
		d.cell.Attached("x", cell.Lists{}, clock.Now())
		before := asked.Load()
		d.mu.Unlock()
		Eventually(asked.Load, time.Until(over)).Should(BeNumerically(">", before))
		d.mu.Lock()
		Expect(clock.Now()).To(BeTemporally("<", over))
	})
})
