// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/rows"
)

// fixedFeedStore is a memStore whose feed always returns the same page.
type fixedFeedStore struct {
	*memStore
	page rows.Page
}

func (f fixedFeedStore) Feed(context.Context, rows.FeedQuery) (rows.Page, error) { return f.page, nil }

// Guards against an owner that tells a worker to forget the end of a run of a job that it does not
// know yet, and then fails: nobody knows of the end then.
var _ = ginkgo.Describe("the end of a run of an unknown job", func() {
	run := func(ctx context.Context, t *memStore, store rows.Store) *restartingWorker {
		// The feed of a store that was never written reports no changes.
		t.putSpec("0")
		w := newRestartingWorker()
		w.ends = []cell.Finished{{Number: 1, Task: flow.TaskID{Job: "x"}, Run: 1, How: flow.EndDone}}
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory, d.Store = w, w, store
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		return w
	}
	forgotten := func(w *restartingWorker) func() bool {
		return func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.observed > 0
		}
	}

	ginkgo.It("is not forgotten while the job may still be found", func(ctx context.Context) {
		t := newMemStore()
		Consistently(forgotten(run(ctx, t, t)), 3*scanInterval).Should(BeFalse(), "the feed cannot be read")
	})

	ginkgo.It("is not forgotten while the feed may have more changes than were read", func(ctx context.Context) {
		t := newMemStore()
		page := rows.Page{Rows: make([]rows.Row, maxFeedRows)}
		for i := range page.Rows {
			page.Rows[i].Deleted = true
		}
		Consistently(forgotten(run(ctx, t, fixedFeedStore{t, page})), 3*scanInterval).Should(BeFalse())
	})

	ginkgo.It("is forgotten once all jobs accepted before it have been read", func(ctx context.Context) {
		t := newMemStore()
		Eventually(forgotten(run(ctx, t, fixedFeedStore{t, rows.Page{}})), 3*scanInterval+time.Second).Should(BeTrue())
	})

	ginkgo.It("is forgotten once all jobs have been read because the feed has no history", func(ctx context.Context) {
		t := newMemStore()
		store := fixedFeedStore{t, rows.Page{HistoryTrimmed: true}}
		Eventually(forgotten(run(ctx, t, store)), 5*scanInterval+time.Second).Should(BeTrue())
	})
})
