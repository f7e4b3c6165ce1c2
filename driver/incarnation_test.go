// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/sched"
)

const bornBefore, bornAfter = 1000, 2000

// endsPerPage is how many ends a worker lists at once.
const endsPerPage = 500

// restartingWorker implements Workers for a worker that can be restarted under its id, and a
// directory with its entry. Its runs end at once.
type restartingWorker struct {
	unreachable

	mu       sync.Mutex
	born     int64
	addr     string
	clockMS  int64
	fence    uint64
	ends     []cell.Finished
	holds    []HoldOrder
	starts   []StartOrder
	observed int
	// forgot is set when the worker was told to forget an end that it had not listed.
	forgot  bool
	listed  int
	begun   time.Time
	changed chan struct{}
}

func newRestartingWorker() *restartingWorker {
	return &restartingWorker{born: bornBefore, addr: "a", clockMS: 5_000_000, begun: time.Now(), changed: make(chan struct{})}
}

func (w *restartingWorker) clock() int64 { return w.clockMS + time.Since(w.begun).Milliseconds() }

// restart begins another incarnation at the given address.
func (w *restartingWorker) restart(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.addr, w.clockMS, w.begun = bornAfter, addr, 1, time.Now()
	w.fence, w.ends, w.observed, w.listed = 0, nil, 0, 0
}

func (w *restartingWorker) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	w.ends = append(w.ends, cell.Finished{Number: w.observed + len(w.ends) + 1, Task: o.Task, Run: o.Run, How: flow.EndDone})
	close(w.changed)
	w.changed = make(chan struct{})
	return StartAnswer{ClockMS: w.clock(), Outcome: cell.Accepted}, nil
}

func (w *restartingWorker) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Addr != w.addr {
		return HoldAnswer{}, errUnreachable
	}
	if o.Fence < w.fence {
		return HoldAnswer{}, kind.New(kind.Fenced, "fence")
	}
	w.fence = o.Fence
	w.holds = append(w.holds, o)
	for len(w.ends) > 0 && w.ends[0].Number <= o.Observed {
		w.forgot = w.forgot || w.ends[0].Number > w.listed
		w.observed = w.ends[0].Number
		w.ends = w.ends[1:]
	}
	if o.Wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(o.Wait):
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	page := slices.Clone(w.ends[:min(len(w.ends), endsPerPage)])
	for _, f := range page {
		w.listed = max(w.listed, f.Number)
	}
	return HoldAnswer{ClockMS: w.clock(), Lists: cell.Lists{Born: w.born, Finished: page, Truncated: len(page) == endsPerPage}}, nil
}

func (w *restartingWorker) All(context.Context) ([]Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := cell.Worker{ID: "w", Born: w.born, Addr: w.addr, Pool: "p", Hall: "h", Room: sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}}
	return []Entry{{Worker: one, Ver: uint64(w.born)}}, nil
}

// startCount returns the number of starts received.
func (w *restartingWorker) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

var _ = ginkgo.Describe("a worker that restarts under its id", func() {
	startDriver := func(ctx context.Context, w *restartingWorker) *Driver {
		d := newDriver(ctx, newMemStore(), func() {})
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"] != nil && d.links["w"].attached }, "3s").Should(BeTrue())
		return d
	}
	runJob := func(d *Driver, id string) {
		ginkgo.GinkgoHelper()
		Expect(d.Adopt(&flow.Spec{ID: id, Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, 1<<30)).To(Succeed())
		Eventually(func() flow.State { s, _ := d.State(id); return s }, "3s").Should(Equal(flow.Succeeded), id)
	}

	ginkgo.It("between two directory reads runs nothing twice and forgets no end that was not listed", func(ctx context.Context) {
		w := newRestartingWorker()
		d := startDriver(ctx, w)
		for _, id := range []string{"1", "2", "3"} {
			runJob(d, id)
		}
		w.restart("a")
		for _, id := range []string{"4", "5", "6"} {
			runJob(d, id)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.starts).To(HaveLen(6))
		Expect(w.forgot).To(BeFalse())
	})

	ginkgo.It("at another address is attached there", func(ctx context.Context) {
		w := newRestartingWorker()
		d := startDriver(ctx, w)
		runJob(d, "1")
		w.restart("b")
		runJob(d, "2")
		Expect(w.startCount()).To(Equal(2))
	})

	ginkgo.It("is told to forget nothing when it is attached", func(ctx context.Context) {
		w := newRestartingWorker()
		d := startDriver(ctx, w)
		runJob(d, "1")
		w.mu.Lock()
		w.addr = "nowhere"
		close(w.changed)
		w.changed = make(chan struct{})
		w.mu.Unlock()
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"].attached }, "5s").Should(BeFalse())
		w.restart("nowhere")
		// A late order for the previous incarnation reaches it.
		_, _ = w.Start(ctx, StartOrder{Task: flow.TaskID{Job: "1"}, Run: 1})
		w.mu.Lock()
		w.addr = "a"
		w.mu.Unlock()
		Eventually(func() int64 { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"].born }, "5s").Should(Equal(int64(bornAfter)))
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.forgot).To(BeFalse())
	})

	// attachedDriver returns a driver whose link is attached to a worker's incarnation and which
	// sends nothing by itself.
	attachedDriver := func(ctx context.Context) (*Driver, *link) {
		d := newDriver(ctx, newMemStore(), func() {})
		d.cancel()
		ginkgo.DeferCleanup(d.Close)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		now := time.Now()
		room := sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}
		d.applyEntry(Entry{Ver: 1, Worker: cell.Worker{ID: "w", Born: bornBefore, Addr: "a", Pool: "p", Hall: "h", Room: room}}, now, now)
		l := d.links["w"]
		d.mu.Unlock()
		err := d.holdAnswered(l, HoldOrder{Target: Target{Fence: l.fence}}, HoldAnswer{ClockMS: 5_000_000, Lists: cell.Lists{Born: bornBefore}}, now, true)
		d.mu.Lock()
		Expect(err).NotTo(HaveOccurred())
		Expect(l.attached).To(BeTrue())
		return d, l
	}
	answer := func(d *Driver, l *link, born int64, attach bool) error {
		return d.holdAnswered(l, HoldOrder{Target: Target{Fence: l.fence}, Wait: time.Second}, HoldAnswer{ClockMS: 1, Lists: cell.Lists{Born: born}}, time.Now(), attach)
	}

	ginkgo.It("is attached again before a list counts that came under a fence of orders for the previous incarnation", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		Expect(answer(d, l, bornAfter, false)).To(Succeed())
		Expect(l.attached).To(BeFalse())
		Expect(l.born).To(Equal(int64(bornBefore)))
		d.workerListChanged = false
		Expect(answer(d, l, bornAfter, true)).To(Succeed())
		Expect(d.workerListChanged).To(BeTrue(), "the next owner has to know the new incarnation")
		Expect(l.born).To(Equal(int64(bornAfter)))
		Expect(l.clockMS).To(Equal(int64(1)))
	})

	ginkgo.It("may keep a lease set by the previous incarnation's clock for the longest time that workers grant", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		d.MaxWorkerLease = 10 * time.Second
		Expect(answer(d, l, bornAfter, true)).To(Succeed())
		Expect(time.Until(l.leasesEnd)).To(BeNumerically(">", 9*time.Second))
	})

	ginkgo.It("is not taken for the same incarnation if it no longer states its start time", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		err := answer(d, l, 0, false)
		Expect(kind.Is(err, kind.Damaged)).To(BeTrue())
	})

	ginkgo.It("is attached again once after an entry of another incarnation, and at the entry's address", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		applyEntry := func(ver uint64, born int64, addr string) {
			d.applyEntry(Entry{Ver: ver, Worker: cell.Worker{ID: "w", Born: born, Addr: addr, Pool: "p", Hall: "h"}}, time.Now(), time.Now())
		}
		applyEntry(2, bornAfter, "a")
		Expect(l.attached).To(BeFalse())
		l.attached = true
		applyEntry(3, bornAfter, "a")
		Expect(l.attached).To(BeTrue())
		applyEntry(4, bornAfter, "b")
		Expect(l.attached).To(BeFalse())
		Expect(l.addr).To(Equal("b"))
	})

	ginkgo.It("is not dead because another worker is at its former address", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		d.mu.Lock()
		o, _ := d.newStartOrder(&cell.Start{Worker: "w", Task: flow.TaskID{Job: "0"}, Run: 1}, time.Now())
		d.applyEntry(Entry{Ver: 2, Worker: cell.Worker{ID: "w", Born: bornBefore, Addr: "b"}}, time.Now(), time.Now())
		other := kind.New(kind.NotFound, "another incarnation is at a")
		d.ctx = ctx
		d.startAnswered(&o, StartResult{Err: other})
		Expect(d.links).To(HaveKey("w"))
		d.mu.Unlock()
		Expect(kind.Is(d.ignoreOldAddress(l, "a", other), kind.NotFound)).To(BeFalse())
		Expect(kind.Is(d.ignoreOldAddress(l, "b", other), kind.NotFound)).To(BeTrue())
	})

	ginkgo.It("is missing in this cell once its entry is in a rack of another cell", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		d.OwnsRack = func(rack string) bool { return rack != "theirs" }
		d.applyDirectory([]Entry{{Ver: 2, Worker: cell.Worker{ID: "w", Born: bornAfter, Addr: "b", Rack: "theirs"}}}, time.Now())
		Expect(l.missingSince).NotTo(BeZero())
	})

	ginkgo.It("keeps its clock though a late answer of the previous incarnation is read", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		o, _ := d.newStartOrder(&cell.Start{Worker: "w", Task: flow.TaskID{Job: "0"}, Run: 1}, time.Now())
		l.fence++
		l.incarnation = incarnation{born: bornAfter, clockMS: 1, clockAt: time.Now()}
		d.ctx = ctx
		d.startAnswered(&o, StartResult{Answer: StartAnswer{ClockMS: 5_000_001}})
		Expect(l.clockMS).To(Equal(int64(1)))
	})

	ginkgo.It("is not ended by the upkeep that ended the previous incarnation", func(ctx context.Context) {
		d, _ := attachedDriver(ctx)
		d.IncarnationEnded("w", bornBefore-1)
		Expect(d.links).To(HaveKey("w"))
		born, sure := d.Incarnation("w")
		Expect(born).To(Equal(int64(bornBefore)))
		Expect(sure).To(BeTrue())
		d.IncarnationEnded("w", bornBefore)
		Expect(d.links).NotTo(HaveKey("w"))
	})

	ginkgo.It("has a leaving time of its own, not that of the previous incarnation", func(ctx context.Context) {
		d, l := attachedDriver(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.applyEntry(Entry{Ver: 2, Worker: cell.Worker{ID: "w", Born: bornBefore, Addr: "a", Draining: true, Remaining: time.Hour}}, time.Now(), time.Now())
		Expect(l.draining).To(BeTrue())
		d.applyEntry(Entry{Ver: 3, Worker: cell.Worker{ID: "w", Born: bornAfter, Addr: "a", Draining: true, Remaining: time.Second}}, time.Now(), time.Now())
		Expect(time.Until(l.leavesAt)).To(BeNumerically("<", 2*time.Second))
		d.applyEntry(Entry{Ver: 4, Worker: cell.Worker{ID: "w", Born: bornAfter + 1, Addr: "a", Draining: true, Remaining: time.Hour}}, time.Now(), time.Now())
		Expect(time.Until(l.leavesAt)).To(BeNumerically(">", time.Hour-maxEntryAge-2*time.Second))
	})

	ginkgo.It("is attached again if the answer to a start has the clock of another incarnation", func(ctx context.Context) {
		for _, ms := range []int64{1, 9_000_000} {
			d, l := attachedDriver(ctx)
			d.mu.Lock()
			o, ok := d.newStartOrder(&cell.Start{Worker: "w", Task: flow.TaskID{Job: "0"}, Run: 1}, time.Now())
			Expect(ok).To(BeTrue())
			// Answers are ignored once the driver's context has ended.
			d.ctx = ctx
			d.startAnswered(&o, StartResult{Answer: StartAnswer{ClockMS: 5_000_001}})
			Expect(l.attached).To(BeTrue())
			d.startAnswered(&o, StartResult{Answer: StartAnswer{ClockMS: ms}})
			Expect(l.attached).To(BeFalse(), "%d ms", ms)
			d.mu.Unlock()
		}
	})

	ginkgo.It("is known to the next owner by the worker list", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		defer d.Close()
		d.mu.Lock()
		d.restoreWorkers([]workerListEntry{{ID: "w", Addr: "127.0.0.1:1", Born: bornBefore}})
		d.mu.Unlock()
		Expect(d.commitOnce(false)).To(BeTrue())
		next := newDriver(ctx, t, func() {})
		defer next.Close()
		Expect(next.load()).To(BeTrue())
		next.mu.Lock()
		defer next.mu.Unlock()
		Expect(next.links["w"].born).To(Equal(int64(bornBefore)))
	})

	ginkgo.It("is held directly if a relay does not say which incarnation has answered", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		w := newRestartingWorker()
		d.Workers, d.Relays = w, relaysWithoutBorn{}
		a, err := d.sendHold(ctx, pendingHold{HoldOrder: HoldOrder{Target: Target{Worker: "w", Addr: "a"}}, hall: "h", limit: time.Second, relayed: true, born: bornBefore})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Lists.Born).To(Equal(int64(bornBefore)))
	})
})

// relaysWithoutBorn are Relays whose answers do not say which incarnation has answered.
type relaysWithoutBorn struct{ noRelays }

func (relaysWithoutBorn) Hold(context.Context, string, HoldOrder, time.Duration) (HoldAnswer, bool, error) {
	return HoldAnswer{ClockMS: 1}, true, nil
}
