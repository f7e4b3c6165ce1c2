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

// stallingStore is a memStore whose writes block while stalled is set.
type stallingStore struct {
	*memStore
	stalled atomic.Bool
}

func (s *stallingStore) Tx(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	for s.stalled.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return s.memStore.Tx(ctx, tx)
}

// leavingWorker is a worker that can announce that it leaves soon.
type leavingWorker struct {
	*restartingWorker
	leaving atomic.Bool
}

func (w *leavingWorker) All(ctx context.Context) ([]Entry, error) {
	all, err := w.restartingWorker.All(ctx)
	if w.leaving.Load() {
		all[0].Ver++
		all[0].Draining, all[0].Remaining = true, leavingSoon
	}
	return all, err
}

// Guards against losing an end that a worker lists just before it leaves, while the link is waiting
// for earlier ends to be persisted.
var _ = ginkgo.Describe("a worker that leaves soon and has listed ends that are not persisted yet", func() {
	ginkgo.It("is polled again without a long delay", func(ctx context.Context) {
		t, w := &stallingStore{memStore: newMemStore()}, &leavingWorker{restartingWorker: newRestartingWorker()}
		d := newDriver(ctx, t.memStore, func() {})
		d.Claim.Store, d.Store = t, t
		d.WorkerLease = 5 * time.Second
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(func() int { return d.Load().Attached }, "3s").Should(Equal(1))
		w.leaving.Store(true)
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"].draining }, "3s", 5*time.Millisecond).Should(BeTrue())
		t.stalled.Store(true)
		ginkgo.DeferCleanup(func() { t.stalled.Store(false) })
		_, _ = w.Start(ctx, StartOrder{Task: flow.TaskID{Job: "other"}, Run: 1})
		holds := func() int { w.mu.Lock(); defer w.mu.Unlock(); return len(w.holds) }
		time.Sleep(leavingPersistWait)
		before := holds()
		time.Sleep(maxPersistWait)
		Expect(holds() - before).To(BeNumerically(">=", 2))
	})
})
