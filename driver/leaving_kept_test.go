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
	"dewpass.org/rows"
)

// stuck is a table that takes no write while it is told so.
type stuck struct {
	*table
	now atomic.Bool
}

func (s *stuck) Tx(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	for s.now.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return s.table.Tx(ctx, tx)
}

// leavingLives is a worker that says that it leaves soon.
type leavingLives struct {
	*lives
	leaving atomic.Bool
}

func (w *leavingLives) All(ctx context.Context) ([]Entry, error) {
	all, err := w.lives.All(ctx)
	if w.leaving.Load() {
		all[0].Ver++
		all[0].Draining, all[0].Remaining = true, leavingSoon
	}
	return all, err
}

// An end that its worker lists in the pause in which the ends before are being written would not
// be heard of where the worker is gone after it.
var _ = ginkgo.Describe("a worker that leaves soon and has listed ends that are not kept yet", func() {
	ginkgo.It("is asked for more without a long pause", func(ctx context.Context) {
		t, w := &stuck{table: newTable()}, &leavingLives{lives: newLives()}
		d := newDriver(ctx, t.table, func() {})
		d.Claim.Store, d.Store = t, t
		d.Lease = 5 * time.Second
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(func() int { return d.Load().Attached }, "3s").Should(Equal(1))
		w.leaving.Store(true)
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"].draining }, "3s", 5*time.Millisecond).Should(BeTrue())
		t.now.Store(true)
		ginkgo.DeferCleanup(func() { t.now.Store(false) })
		_, _ = w.Start(ctx, StartOrder{Task: flow.TaskID{Job: "other"}, Run: 1})
		holds := func() int { w.mu.Lock(); defer w.mu.Unlock(); return len(w.holds) }
		time.Sleep(leavingPause)
		before := holds()
		time.Sleep(unsavedPause)
		Expect(holds() - before).To(BeNumerically(">=", 2))
	})
})
