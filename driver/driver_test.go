// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "driver")
}

// memStore is an in-memory store that counts the reads of each part and can fail them.
type memStore struct {
	mu   sync.Mutex
	rows map[rows.Key]rows.Row
	ver  uint64
	// failReads is how many further reads of a part of the jobs fail.
	failReads map[string]int
	reads     map[string]int
	// rangesRead are all ranges that were read.
	rangesRead []rows.Range
}

// maxRowBytes is the row size limit of the users' store.
const maxRowBytes = 65536

func newMemStore() *memStore {
	return &memStore{rows: make(map[rows.Key]rows.Row), failReads: make(map[string]int), reads: make(map[string]int)}
}

func (t *memStore) Tx(_ context.Context, tx rows.Tx) (rows.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(tx.Expect) + len(tx.Put) + len(tx.Remove); n > rows.MaxEntries {
		return rows.Result{}, kind.New(kind.BadRequest, fmt.Sprintf("%d entries", n))
	}
	for _, e := range tx.Expect {
		if t.rows[e.Key].Ver != e.Ver {
			return rows.Result{Refused: true, Rows: []rows.Row{t.rows[e.Key]}}, nil
		}
	}
	for _, r := range tx.Put {
		if len(r.Value) > maxRowBytes {
			return rows.Result{}, kind.New(kind.BadRequest, "a value is too long")
		}
	}
	t.ver++
	for _, r := range tx.Put {
		r.Ver = t.ver
		t.rows[r.Key] = r
	}
	for _, k := range tx.Remove {
		delete(t.rows, k)
	}
	return rows.Result{Ver: t.ver}, nil
}

func (t *memStore) Get(_ context.Context, r rows.Range) (rows.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rangesRead = append(t.rangesRead, r)
	if r.Table == TableSpecs {
		t.reads[r.Part]++
		if t.failReads[r.Part] > 0 {
			t.failReads[r.Part]--
			return rows.Page{}, kind.New(kind.Lost, "read timed out")
		}
	}
	page := rows.Page{Ver: t.ver}
	for k, row := range t.rows {
		if k.Table == r.Table && k.Part == r.Part && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func (t *memStore) Feed(ctx context.Context, _ rows.FeedQuery) (rows.Page, error) {
	return rows.Page{}, kind.New(kind.Unavailable, "no feed")
}

func (t *memStore) has(k rows.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[k].Ver > 0
}

// unreachable implements Workers; no worker can be reached.
type unreachable struct{}

var errUnreachable = kind.New(kind.Unavailable, "no answer")

func (unreachable) Start(context.Context, StartOrder) (StartAnswer, error) {
	return StartAnswer{}, errUnreachable
}
func (unreachable) Stop(context.Context, StopOrder) error { return errUnreachable }
func (unreachable) Pace(context.Context, PaceOrder) error { return errUnreachable }
func (unreachable) Hold(context.Context, HoldOrder) (HoldAnswer, error) {
	return HoldAnswer{}, errUnreachable
}

// stuckWorkers answer no hold until they are released, so that what a test has set is not changed.
type stuckWorkers struct {
	unreachable
	released chan struct{}
}

func (w stuckWorkers) Hold(context.Context, HoldOrder) (HoldAnswer, error) {
	<-w.released
	return HoldAnswer{}, kind.New(kind.Unavailable, "released")
}

// newStuckDriver returns a driver of which no worker answers before the test is over.
func newStuckDriver(ctx context.Context, t *memStore) *Driver {
	d := newDriver(ctx, t, func() {})
	workers := stuckWorkers{released: make(chan struct{})}
	d.Workers = workers
	ginkgo.DeferCleanup(func() {
		close(workers.released)
		d.Close()
	})
	return d
}

// emptyDirectory is a directory without workers.
type emptyDirectory struct{}

func (emptyDirectory) All(context.Context) ([]Entry, error) { return nil, nil }

func newDriver(ctx context.Context, t *memStore, loadTimedOut func()) *Driver {
	ginkgo.GinkgoHelper()
	c := &claim.Claim{Store: t, Cell: "c", Owner: "me", Boot: "b"}
	lease, err := c.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.Take(ctx, lease)).To(Succeed())
	return New(Config{
		Name: "c", WorkerLease: time.Second, Retention: time.Hour, Claim: c, Store: t,
		Workers: unreachable{}, OwnsRack: func(string) bool { return true }, StoreReachable: func() bool { return true },
		Directory: emptyDirectory{}, AskLimit: func() int { return 1 }, HeardByAll: func() bool { return true },
		OnLeaseLost: func() {}, OnLoadTimeout: loadTimedOut, Log: log.NewNopLogger(), Scope: tally.NoopScope,
	})
}

func (t *memStore) putSpec(id string) {
	raw, err := json.Marshal(flow.Spec{ID: id, Cell: "c", Queue: "q", Steps: []flow.Step{{Count: 1}}, AcceptedMS: time.Now().UnixMilli()})
	Expect(err).NotTo(HaveOccurred())
	_, err = t.Tx(context.Background(), rows.Tx{Put: []rows.Row{{Key: SpecKey(id), Value: raw}}})
	Expect(err).NotTo(HaveOccurred())
}

var _ = ginkgo.Describe("a new owner of a cell", func() {
	ginkgo.It("reads only the parts again that it could not read", func(ctx context.Context) {
		t := newMemStore()
		t.putSpec("a1")
		t.putSpec("b1")
		t.failReads["b"] = 2
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		Expect(t.reads["a"]).To(Equal(1))
		Expect(t.reads["b"]).To(Equal(3))
		for _, id := range []string{"a1", "b1"} {
			Expect(d.cell.Known(id)).To(BeTrue(), id)
		}
	})

	ginkgo.It("renews its cell lease while it loads, and gives up if that takes too long", func(ctx context.Context) {
		t := newMemStore()
		t.failReads["a"] = 1 << 20
		var slow atomic.Bool
		d := newDriver(ctx, t, func() { slow.Store(true) })
		before := t.rows[rows.Key{Table: claim.Table, Part: "c", Name: claim.Range("c").From}].Ver
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(slow.Load, 2*loadTimeout, 20*time.Millisecond).Should(BeTrue())
		t.mu.Lock()
		defer t.mu.Unlock()
		Expect(t.rows[rows.Key{Table: claim.Table, Part: "c", Name: claim.Range("c").From}].Ver).To(BeNumerically(">", before+4))
	})
})

var _ = ginkgo.Describe("an owner of a cell", func() {
	ginkgo.It("sends no orders once its cell lease may be taken, unless all instances hear from it", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		heardByAll := false
		d.HeardByAll = func() bool { return heardByAll }
		w := d.Claim.LastWrite()
		Expect(d.mayOrder(w.Begun.Add(w.Valid - 1))).To(BeTrue())
		Expect(d.mayOrder(w.Begun.Add(w.Valid))).To(BeFalse())
		heardByAll = true
		Expect(d.mayOrder(w.Begun.Add(w.Valid))).To(BeTrue())
	})

	ginkgo.It("removes the records of jobs whose specification is gone", func(ctx context.Context) {
		t := newMemStore()
		old := RecordKey("c", "over")
		_, err := t.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: old, Value: flow.Encode(flow.Record{State: flow.Running})}}})
		Expect(err).NotTo(HaveOccurred())
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		Expect(d.commitOnce(false)).To(BeTrue())
		Expect(t.has(old)).To(BeFalse())
	})

	ginkgo.It("removes the ends of its own cell that were kept for long enough, and no others", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		now := time.Now()
		row := func(id, cell string, age time.Duration) rows.Row {
			e := flow.FinalRecord{State: flow.Succeeded, Cell: cell, AtMS: now.Add(-age).UnixMilli()}
			return rows.Row{Key: EndedKey(id), Value: flow.Encode(e)}
		}
		d.sweepPart([]rows.Row{row("a1", "c", 2*d.Retention), row("a2", "c", d.Retention/2), row("a3", "other", 2*d.Retention), row("a4", "c", d.Retention+maxClockSkew/2)}, now)
		Expect(d.archives.take("a")).To(Equal([]archive{{id: "a1", removeLast: true}}), "a4 may be younger by another instance's clock")
	})
})

var _ = ginkgo.Describe("the worker list of a large cell", func() {
	ginkgo.It("is written in rows within the store's limit, and read back completely", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		const workers = 2 * workersPerRow
		entries := make([]workerListEntry, workers)
		for i := range entries {
			entries[i] = workerListEntry{ID: fmt.Sprintf("i-%010d", i), Addr: "10.200.200.200:65000", Hall: "a-hall-with-a-long-name"}
		}
		defer d.Close()
		d.mu.Lock()
		d.restoreWorkers(entries)
		d.mu.Unlock()
		Expect(d.commitOnce(false)).To(BeTrue())
		// With fewer workers the list takes one row less.
		d.mu.Lock()
		for _, e := range entries[workersPerRow:] {
			d.dropLink(d.links[e.ID], cell.LossSilent, time.Now())
		}
		d.mu.Unlock()
		Expect(d.commitOnce(false)).To(BeTrue())
		next := newDriver(ctx, t, func() {})
		defer next.Close()
		Expect(next.load()).To(BeTrue())
		next.mu.Lock()
		defer next.mu.Unlock()
		Expect(next.links).To(HaveLen(workersPerRow))
		Expect(next.workerListRows).To(Equal(1))
	})
})

var _ = ginkgo.Describe("worker leases granted by a former owner", func() {
	ginkgo.It("last for their full length after the former owner's last possible order", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		d.FormerGrace = time.Second
		d.mu.Lock()
		defer d.mu.Unlock()
		d.restoreWorkers([]workerListEntry{{ID: "w", Addr: "127.0.0.1:1"}})
		Expect(d.links["w"].leasesEnd).To(BeTemporally(">=", d.startedAt.Add(time.Second+claim.TakeoverMargin+d.WorkerLease)))
	})
})

var _ = ginkgo.Describe("the worker list", func() {
	ginkgo.It("omits workers that certainly have no runs, until they are attached again", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		// The links must send no orders by themselves: each attempt to reach a worker would raise
		// its fence, and an answer under the previous fence does not count.
		d.cancel()
		d.mu.Lock()
		defer d.mu.Unlock()
		names := func() []string {
			var out []string
			for _, e := range d.workerList() {
				out = append(out, e.ID)
			}
			return out
		}
		now := time.Now()
		for _, id := range []string{"runs", "lapsed", "leaves"} {
			d.applyEntry(Entry{Ver: 1, Worker: cell.Worker{ID: id, Addr: "127.0.0.1:1", Draining: id == "leaves"}}, now, now)
			d.cell.Attached(id, cell.Lists{}, now)
			d.links[id].attached = true
		}
		Expect(names()).To(Equal([]string{"lapsed", "runs"}), "a leaving worker without runs gets none")
		d.links["leaves"].addOrder(now)
		Expect(names()).To(ContainElement("leaves"), "an order may still arrive")
		d.workerListSize, d.workerListChanged = 3, false
		d.checkWorkerList()
		Expect(d.workerListChanged).To(BeFalse())
		lapsed := d.links["lapsed"]
		lapsed.lapsed, lapsed.attached = true, false
		Expect(names()).To(Equal([]string{"leaves", "runs"}))
		d.checkWorkerList()
		Expect(d.workerListChanged).To(BeTrue())
		d.workerListChanged = false
		lapsed.missingSince = now
		d.mu.Unlock()
		d.holdAnswered(lapsed, HoldOrder{Target: Target{Fence: lapsed.fence}}, HoldAnswer{}, now, true)
		d.mu.Lock()
		Expect(d.workerListChanged).To(BeTrue())
		Expect(names()).To(ContainElement("lapsed"))
		w := d.cell.Load()
		Expect(w.Attached).To(Equal(1), "nothing is placed there while its entry is missing")
	})
})

var _ = ginkgo.Describe("a job that is submitted again", func() {
	ginkgo.It("does not run again under a new owner that never read it before it ended", func(ctx context.Context) {
		t := newMemStore()
		t.putSpec("a1")
		spec := &flow.Spec{ID: "a1", Cell: "c", Steps: []flow.Step{{Count: 1}}}
		accepted := t.rows[SpecKey("a1")].Ver
		delete(t.rows, SpecKey("a1"))
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		Expect(d.Adopt(spec, accepted)).To(Succeed())
		Expect(d.cell.Known("a1")).To(BeFalse())
		d.addFound([]rows.Row{{Key: SpecKey("a1"), Value: flow.Encode(spec), Ver: accepted}})
		Expect(d.cell.Known("a1")).To(BeFalse(), "nor by a stale read")
		Expect(d.Adopt(spec, t.ver+1)).To(Succeed())
		Expect(d.cell.Known("a1")).To(BeTrue(), "a job that was accepted later is added")
	})
})

var _ = ginkgo.Describe("while the cell's own part of the store is down", func() {
	ginkgo.It("no end is written or visible, whatever it is, until that part has it", func(ctx context.Context) {
		t := newMemStore()
		t.putSpec("1")
		t.putSpec("2")
		d := newDriver(ctx, t, func() {})
		room := sched.Vec{sched.MilliCPU: 4000, sched.MemoryMiB: 4000}
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.cell.Heard(cell.Worker{ID: "w", Pool: "p", Hall: "h", Room: room}, time.Now())
		d.cell.Attached("w", cell.Lists{}, time.Now())
		d.addJob(&flow.Spec{ID: "1", Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, time.Now())
		start := d.cell.Place(time.Now(), time.Now(), 1).Starts[0]
		d.addJob(&flow.Spec{ID: "2", Cell: "c", Queue: "none", Steps: []flow.Step{{Count: 1}}}, time.Now())
		d.cell.Cancel("2", time.Now())
		end := cell.Finished{Number: 1, Task: start.Task, Run: start.Run, How: flow.EndDone}
		d.cell.Listed("w", cell.Lists{Finished: []cell.Finished{end}}, time.Now(), time.Now())
		archive := func() {
			d.mu.Lock()
			d.archiveEnded()
			d.mu.Unlock()
			d.wg.Wait()
		}
		archive()
		ends := map[string]flow.State{"1": flow.Succeeded, "2": flow.Canceled}
		// No group commit was written, as if the part with the cell lease were down.
		for id := range ends {
			s, _ := d.State(id)
			Expect(s.Final()).To(BeFalse(), "another owner might not know of it, and run the job")
			Expect(t.has(EndedKey(id))).To(BeFalse(), "without a write under the cell lease the end is not written")
			Expect(t.has(SpecKey(id))).To(BeTrue())
		}
		Expect(d.commitOnce(false)).To(BeTrue())
		archive()
		for id, want := range ends {
			s, _ := d.State(id)
			Expect(s).To(Equal(want))
			Expect(t.has(EndedKey(id))).To(BeTrue())
			Expect(t.has(SpecKey(id))).To(BeFalse())
		}
	})
})

var _ = ginkgo.Describe("a job that has ended", func() {
	ginkgo.It("leaves one small row, so that the next owner does not read all of it", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		const jobs = 120
		for i := range jobs {
			id := fmt.Sprintf("%x-%d", i%16, i)
			t.putSpec(id)
			d.addJob(&flow.Spec{ID: id, Cell: "c", Steps: []flow.Step{{Count: 1}}, AcceptedMS: time.Now().UnixMilli()}, time.Now())
			d.cell.Cancel(id, time.Now())
		}
		settle := func() {
			Eventually(func() bool {
				d.mu.Lock()
				d.archiveEnded()
				d.mu.Unlock()
				return d.commitOnce(false)
			}).Should(BeFalse())
			d.wg.Wait()
		}
		settle()
		settle()
		d.retireJobs(time.Now().Add(2 * retireAfter))
		settle()
		for i := range jobs {
			id := fmt.Sprintf("%x-%d", i%16, i)
			Expect(t.has(SpecKey(id))).To(BeFalse())
			Expect(t.has(RecordKey("c", id))).To(BeFalse())
			Expect(t.has(EndedKey(id))).To(BeTrue())
			s, known := d.State(id)
			Expect(known).To(BeTrue())
			Expect(s).To(Equal(flow.Canceled))
		}
		d.addJob(&flow.Spec{ID: "0-0", Cell: "c", Steps: []flow.Step{{Count: 1}}}, time.Now())
		Expect(d.cell.Place(time.Now(), time.Now(), 1)).To(Equal(cell.Actions{}), "submitted again, it does not run")
	})
})
