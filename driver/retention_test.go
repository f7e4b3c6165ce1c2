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

// A job accepted 5 s before the traffic was answered 410 at 128 s, though its state can be
// asked for for 120 s after its end. Its owner had written the record of its end and was
// replaced, in a planned restart, before the end itself was archived. The next owner
// restored the job with the time of its arrival for that of its end: -5 s + 120 s = 115 s,
// when the last that was known of it was removed. The window is some tens of milliseconds
// at each change of owner; days shorter than 120 s never get to the removal.
var _ = ginkgo.Describe("a job whose end is recorded, but not archived, when its owner changes", func() {
	const keep = 2 * time.Minute
	accepted := time.Now().Add(-time.Hour)

	inherit := func(ctx context.Context, rec flow.Record) (*table, *Driver) {
		ginkgo.GinkgoHelper()
		t := newTable()
		spec := flow.Spec{ID: "1", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: accepted.UnixMilli()}
		_, err := t.Tx(ctx, rows.Tx{Put: []rows.Row{
			{Key: SpecKey("1"), Value: flow.Encode(spec)},
			{Key: HomeKey("1"), Value: []byte("c")},
			{Key: RecordKey("c", "1"), Value: flow.Encode(rec)},
		}})
		Expect(err).NotTo(HaveOccurred())
		d := newDriver(ctx, t, func() {})
		d.Keep = keep
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
		d.tidyUp(now)
		d.writeArchives()
		d.mu.Unlock()
		d.wg.Wait()
	}
	keeps := func(ctx context.Context, rec flow.Record) {
		ginkgo.GinkgoHelper()
		t, d := inherit(ctx, rec)
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
		Expect(t.has(HomeKey("1"))).To(BeFalse(), "it is not kept for ever")
		Expect(t.has(EndedKey("1"))).To(BeFalse())
	}
	for _, state := range []flow.State{flow.Succeeded, flow.Failed, flow.Canceled} {
		ginkgo.It("can be asked for as long after its end as any other: "+string(state), func(ctx context.Context) {
			keeps(ctx, flow.Record{State: state})
		})
	}

	ginkgo.It("can be asked for as long after its end as any other: all tasks done", func(ctx context.Context) {
		var done flow.Bits
		done.Set(0)
		keeps(ctx, flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Done: done}}})
	})
})

// The same cause in another place: a job of which no instance could tell the owner was
// passed over, and never ran, once it had been accepted for as long as jobs that are over
// are kept, by a clock of another instance.
var _ = ginkgo.Describe("a job that its owner finds late", func() {
	ginkgo.It("runs, however long ago it was accepted", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		Expect(d.load()).To(BeTrue())
		spec := flow.Spec{ID: "1", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: time.Now().Add(-2 * d.Keep).UnixMilli()}
		d.found([]rows.Row{{Key: SpecKey("1"), Value: flow.Encode(spec), Ver: d.scanned + 1}})
		Expect(d.cell.Known("1")).To(BeTrue())
	})

	ginkgo.It("does not run if the same changes tell that it is over", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		Expect(d.load()).To(BeTrue())
		spec := flow.Spec{ID: "1", Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: time.Now().UnixMilli()}
		d.found([]rows.Row{
			{Key: SpecKey("1"), Value: flow.Encode(spec), Ver: d.scanned + 1},
			{Key: SpecKey("1"), Gone: true, Ver: d.scanned + 2},
		})
		Expect(d.cell.Known("1")).To(BeFalse())
	})
})

// forgotten is a table whose feed has no history.
type forgotten struct{ *table }

func (f forgotten) Feed(context.Context, rows.Since) (rows.Page, error) {
	return rows.Page{Forgotten: true}, nil
}

// A part of the store was silent for longer than jobs are kept, while all jobs were read
// again. What had been read before was kept for the next try, and a job among it that had
// ended and been forgotten meanwhile was taken for a new one.
var _ = ginkgo.Describe("a reading of all jobs that goes on after failures", func() {
	ginkgo.It("does not bring back a job that ended and was forgotten meanwhile", func(ctx context.Context) {
		t := newTable()
		d := newDriver(ctx, t, func() {})
		defer d.Close()
		d.Keep = time.Second
		d.Store = forgotten{t}
		Expect(d.load()).To(BeTrue())
		t.putSpec("1")
		t.putSpec("2")
		d.found([]rows.Row{t.rows[SpecKey("1")]})
		t.mu.Lock()
		t.fails["f"] = 2 // the last part is silent
		t.mu.Unlock()
		d.spawn(d.scan)
		Eventually(func() int { t.mu.Lock(); defer t.mu.Unlock(); return t.fails["f"] }, 5*time.Second).Should(Equal(1))
		// The job ends, is archived and forgotten, as tidyUp does.
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
			d.tidyUp(time.Now().Add(time.Minute))
			d.mu.Unlock()
			d.commitOnce(false)
		}
		d.mu.Lock()
		d.tidyUp(time.Now().Add(time.Minute + 3*d.Keep))
		d.writeArchives()
		d.mu.Unlock()
		known := func(id string) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.cell.Known(id)
		}
		Expect(known("1")).To(BeFalse())
		Eventually(func() bool { return t.has(SpecKey("1")) || t.has(HomeKey("1")) }).Should(BeFalse())
		Eventually(func() bool { return known("2") }, 10*time.Second).Should(BeTrue(), "the reading has ended")
		Expect(known("1")).To(BeFalse(), "it is back, and would run again")
	})
})

var _ = ginkgo.Describe("an owner whose feed of jobs has failed for long", func() {
	ginkgo.It("reads them all, as the feed may tell apart what was put and what is gone", func(ctx context.Context) {
		t := newTable()
		d := newDriver(ctx, t, func() {})
		defer d.Close()
		d.Keep = time.Second
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
