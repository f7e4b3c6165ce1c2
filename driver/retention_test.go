// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/rows"
)

// Guards against removing a job too early. The state of a job accepted at -5 s was answered with
// 410 at 128 s, though it can be queried for 120 s after its end. Its owner had persisted the end
// in the record and was replaced in a planned restart before it archived the end. The next owner
// restored the job with the time of its acceptance as that of its end, and removed it at -5 s + 120
// s = 115 s. The window is some tens of milliseconds at each change of owner; test days shorter
// than 120 s never reach the removal.
var _ = ginkgo.Describe("a job whose end is persisted but not archived when its owner changes", func() {
	const keep = 2 * time.Minute
	accepted := time.Now().Add(-time.Hour)

	restoreJob := func(ctx context.Context, rec flow.Record) (*memStore, *Driver) {
		ginkgo.GinkgoHelper()
		t := newMemStore()
		spec := flow.Spec{ID: "1", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: accepted.UnixMilli()}
		_, err := t.Tx(ctx, rows.Tx{Put: []rows.Row{
			{Key: SpecKey("1"), Value: flow.Encode(spec)},
			{Key: HomeKey("1"), Value: []byte("c")},
			{Key: RecordKey("c", "1"), Value: flow.Encode(rec)},
		}})
		Expect(err).NotTo(HaveOccurred())
		d := newDriver(ctx, t, func() {})
		d.Retention = keep
		Expect(d.load()).To(BeTrue())
		return t, d
	}
	tidy := func(d *Driver, now time.Time) {
		d.commitOnce(false)
		d.mu.Lock()
		d.archiveEnded()
		d.mu.Unlock()
		d.wg.Wait()
		d.mu.Lock()
		d.retireJobs(now)
		d.writeArchives()
		d.mu.Unlock()
		d.wg.Wait()
	}
	expectKept := func(ctx context.Context, rec flow.Record) {
		ginkgo.GinkgoHelper()
		t, d := restoreJob(ctx, rec)
		defer d.Close()
		now := time.Now()
		for _, after := range []time.Duration{2 * retireAfter, 3 * retireAfter, keep} {
			tidy(d, now.Add(after))
			s, known := d.State("1")
			Expect(known).To(BeTrue(), after.String())
			Expect(s.Final()).To(BeTrue(), after.String())
			Expect(t.has(HomeKey("1"))).To(BeTrue(), after.String())
		}
		tidy(d, now.Add(2*keep))
		Expect(t.has(HomeKey("1"))).To(BeFalse(), "it is not kept forever")
		Expect(t.has(EndedKey("1"))).To(BeFalse())
	}
	for _, state := range []flow.State{flow.Succeeded, flow.Failed, flow.Canceled} {
		ginkgo.It("can be queried for the full retention time: "+string(state), func(ctx context.Context) {
			expectKept(ctx, flow.Record{State: state})
		})
	}

	ginkgo.It("can be queried for the full retention time: all tasks done", func(ctx context.Context) {
		var done flow.BitSet
		done.Set(0)
		expectKept(ctx, flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Done: done}}})
	})
})

// Guards against ignoring a job that was accepted long ago by the clock of another instance: a job
// of which no instance could tell the owner never ran once it was older than the retention time of
// ended jobs.
var _ = ginkgo.Describe("a job that its owner finds late in the store", func() {
	ginkgo.It("runs, however long ago it was accepted", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		Expect(d.load()).To(BeTrue())
		spec := flow.Spec{ID: "1", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: time.Now().Add(-2 * d.Retention).UnixMilli()}
		d.addFound([]rows.Row{{Key: SpecKey("1"), Value: flow.Encode(spec), Ver: d.scannedVer + 1}})
		Expect(d.cell.Known("1")).To(BeTrue())
	})

	ginkgo.It("does not run if the same changes show that it has ended", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		Expect(d.load()).To(BeTrue())
		spec := flow.Spec{ID: "1", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: time.Now().UnixMilli()}
		d.addFound([]rows.Row{
			{Key: SpecKey("1"), Value: flow.Encode(spec), Ver: d.scannedVer + 1},
			{Key: SpecKey("1"), Deleted: true, Ver: d.scannedVer + 2},
		})
		Expect(d.cell.Known("1")).To(BeFalse())
	})
})

// noHistoryStore is a memStore whose feed has no history.
type noHistoryStore struct{ *memStore }

func (f noHistoryStore) Feed(context.Context, rows.FeedQuery) (rows.Page, error) {
	return rows.Page{HistoryTrimmed: true}, nil
}

// Guards against reviving an ended job. A part of the store was down for longer than jobs are kept,
// while all jobs were being read again. The rows read before were kept for the next attempt, and a
// job among them that had ended and been forgotten meanwhile was taken for a new one.
var _ = ginkgo.Describe("a read of all jobs that continues after failures", func() {
	ginkgo.It("does not bring back a job that ended and was forgotten meanwhile", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		defer d.Close()
		d.Retention = time.Second
		d.Store = noHistoryStore{t}
		Expect(d.load()).To(BeTrue())
		t.putSpec("1")
		t.putSpec("2")
		d.addFound([]rows.Row{t.rows[SpecKey("1")]})
		t.mu.Lock()
		t.failReads["f"] = 2 // the last part is down
		t.mu.Unlock()
		d.spawn(d.scan)
		Eventually(func() int { t.mu.Lock(); defer t.mu.Unlock(); return t.failReads["f"] }, 5*time.Second).Should(Equal(1))
		// The job ends, is archived and forgotten, as retireJobs does it.
		d.mu.Lock()
		d.cell.Cancel("1", time.Now())
		d.mu.Unlock()
		d.commitOnce(false)
		for range 3 {
			d.mu.Lock()
			d.archiveEnded()
			d.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			d.mu.Lock()
			d.retireJobs(time.Now().Add(time.Minute))
			d.mu.Unlock()
			d.commitOnce(false)
		}
		d.mu.Lock()
		d.retireJobs(time.Now().Add(time.Minute + 3*d.Retention))
		d.writeArchives()
		d.mu.Unlock()
		known := func(id string) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.cell.Known(id)
		}
		Expect(known("1")).To(BeFalse())
		Eventually(func() bool { return t.has(SpecKey("1")) || t.has(HomeKey("1")) }).Should(BeFalse())
		Eventually(func() bool { return known("2") }, 10*time.Second).Should(BeTrue(), "the read is complete")
		Expect(known("1")).To(BeFalse(), "it was revived, and would run again")
	})
})

var _ = ginkgo.Describe("an owner whose job feed has failed for a long time", func() {
	ginkgo.It("reads all jobs, as changes and removals may be in different pages of the feed", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		defer d.Close()
		d.Retention = time.Second
		Expect(d.load()).To(BeTrue())
		d.spawn(d.scan)
		t.putSpec("7")
		Eventually(func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.cell.Known("7")
		}, 10*time.Second).Should(BeTrue())
	})
})
