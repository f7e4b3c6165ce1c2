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

// feeds is a table whose feed always tells the same.
type feeds struct {
	*table
	page rows.Page
}

func (f feeds) Feed(context.Context, rows.Since) (rows.Page, error) { return f.page, nil }

// An owner told a worker to forget the end of a job that it did not know yet, and was lost.
var _ = ginkgo.Describe("the end of a run of a job that is not known", func() {
	run := func(ctx context.Context, t *table, store rows.Store) *lives {
		// A store that was never written has no changes to tell.
		t.putSpec("0")
		w := newLives()
		w.ends = []cell.Finished{{Number: 1, Task: flow.TaskID{Job: "x"}, Run: 1, How: flow.EndDone}}
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory, d.Store = w, w, store
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		return w
	}
	forgotten := func(w *lives) func() bool {
		return func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.observed > 0
		}
	}

	ginkgo.It("is not forgotten while the job may still be found", func(ctx context.Context) {
		t := newTable()
		Consistently(forgotten(run(ctx, t, t)), 3*scanEvery).Should(BeFalse(), "changed jobs cannot be read")
	})

	ginkgo.It("is not forgotten while there may be more changed jobs than were read", func(ctx context.Context) {
		t := newTable()
		page := rows.Page{Rows: make([]rows.Row, feedMost)}
		for i := range page.Rows {
			page.Rows[i].Gone = true
		}
		Consistently(forgotten(run(ctx, t, feeds{t, page})), 3*scanEvery).Should(BeFalse())
	})

	ginkgo.It("is forgotten once all jobs of its time were read", func(ctx context.Context) {
		t := newTable()
		Eventually(forgotten(run(ctx, t, feeds{t, rows.Page{}})), 3*scanEvery+time.Second).Should(BeTrue())
	})

	ginkgo.It("is forgotten once all jobs were read as the store has no history", func(ctx context.Context) {
		t := newTable()
		store := feeds{t, rows.Page{Forgotten: true}}
		Eventually(forgotten(run(ctx, t, store)), 5*scanEvery+time.Second).Should(BeTrue())
	})
})
