// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
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

// lives is a worker that starts again under its id when it is told to, and a directory of it. A
// run there takes no time.
type lives struct {
	away

	mu       sync.Mutex
	born     int64
	addr     string
	clockMS  int64
	fence    uint64
	ends     []cell.Finished
	holds    []HoldOrder
	starts   []StartOrder
	observed int
	// forgot is set when the worker forgot an end that it had not listed.
	forgot  bool
	listed  int
	begun   time.Time
	changed chan struct{}
}

func newLives() *lives {
	return &lives{born: bornBefore, addr: "a", clockMS: 5_000_000, begun: time.Now(), changed: make(chan struct{})}
}

func (w *lives) clock() int64 { return w.clockMS + time.Since(w.begun).Milliseconds() }

// restart begins another life.
func (w *lives) restart(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.addr, w.clockMS, w.begun = bornAfter, addr, 1, time.Now()
	w.fence, w.ends, w.observed, w.listed = 0, nil, 0, 0
}

func (w *lives) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	w.ends = append(w.ends, cell.Finished{Number: w.observed + len(w.ends) + 1, Task: o.Task, Run: o.Run, How: flow.EndDone})
	close(w.changed)
	w.changed = make(chan struct{})
	return StartAnswer{ClockMS: w.clock(), Outcome: cell.Accepted}, nil
}

func (w *lives) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Addr != w.addr {
		return HoldAnswer{}, errAway
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
	for _, f := range w.ends {
		w.listed = max(w.listed, f.Number)
	}
	return HoldAnswer{ClockMS: w.clock(), Lists: cell.Lists{Born: w.born, Finished: append([]cell.Finished(nil), w.ends...)}}, nil
}

func (w *lives) All(context.Context) ([]Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := cell.Worker{ID: "w", Born: w.born, Addr: w.addr, Pool: "p", Hall: "h", Room: sched.Vec{sched.Milli: 1000, sched.MiB: 1000}}
	return []Entry{{Worker: one, Ver: uint64(w.born)}}, nil
}

// begins counts the starts.
func (w *lives) begins() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

var _ = ginkgo.Describe("a worker that starts again under its id", func() {
	run := func(ctx context.Context, w *lives) *Driver {
		d := newDriver(ctx, newTable(), func() {})
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"] != nil && d.links["w"].attached }, "3s").Should(BeTrue())
		return d
	}
	do := func(d *Driver, id string) {
		ginkgo.GinkgoHelper()
		Expect(d.Adopt(&flow.Spec{ID: id, Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, 1<<30)).To(Succeed())
		Eventually(func() flow.State { s, _ := d.State(id); return s }, "3s").Should(Equal(flow.Succeeded), id)
	}

	ginkgo.It("between two looks, seen by its lists alone, runs nothing twice and forgets no end unheard", func(ctx context.Context) {
		w := newLives()
		d := run(ctx, w)
		for _, id := range []string{"1", "2", "3"} {
			do(d, id)
		}
		w.restart("a")
		for _, id := range []string{"4", "5", "6"} {
			do(d, id)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.starts).To(HaveLen(6))
		Expect(w.forgot).To(BeFalse())
	})

	ginkgo.It("at another address is held there", func(ctx context.Context) {
		w := newLives()
		d := run(ctx, w)
		do(d, "1")
		w.restart("b")
		do(d, "2")
		Expect(w.begins()).To(Equal(2))
	})

	ginkgo.It("is told to forget nothing when it is attached", func(ctx context.Context) {
		w := newLives()
		d := run(ctx, w)
		do(d, "1")
		w.mu.Lock()
		w.addr = "nowhere"
		close(w.changed)
		w.changed = make(chan struct{})
		w.mu.Unlock()
		Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"].attached }, "5s").Should(BeFalse())
		w.restart("nowhere")
		// An order of before reaches it late.
		_, _ = w.Start(ctx, StartOrder{Task: flow.TaskID{Job: "1"}, Run: 1})
		w.mu.Lock()
		w.addr = "a"
		w.mu.Unlock()
		Eventually(func() int64 { d.mu.Lock(); defer d.mu.Unlock(); return d.links["w"].born }, "5s").Should(Equal(int64(bornAfter)))
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.forgot).To(BeFalse())
	})

	// known is a driver whose link to a worker is attached to a life, and runs nothing by itself.
	known := func(ctx context.Context) (*Driver, *link) {
		d := newDriver(ctx, newTable(), func() {})
		d.cancel()
		ginkgo.DeferCleanup(d.Close)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		now := time.Now()
		room := sched.Vec{sched.Milli: 1000, sched.MiB: 1000}
		d.heard(Entry{Ver: 1, Worker: cell.Worker{ID: "w", Born: bornBefore, Addr: "a", Pool: "p", Hall: "h", Room: room}}, now)
		l := d.links["w"]
		d.mu.Unlock()
		err := d.held(l, HoldOrder{Target: Target{Fence: l.fence}}, HoldAnswer{ClockMS: 5_000_000, Lists: cell.Lists{Born: bornBefore}}, now, true)
		d.mu.Lock()
		Expect(err).NotTo(HaveOccurred())
		Expect(l.attached).To(BeTrue())
		return d, l
	}
	answer := func(d *Driver, l *link, born int64, attach bool) error {
		return d.held(l, HoldOrder{Target: Target{Fence: l.fence}, Wait: time.Second}, HoldAnswer{ClockMS: 1, Lists: cell.Lists{Born: born}}, time.Now(), attach)
	}

	ginkgo.It("is held anew before anything follows from a list under a fence that orders of before bear", func(ctx context.Context) {
		d, l := known(ctx)
		Expect(answer(d, l, bornAfter, false)).To(Succeed())
		Expect(l.attached).To(BeFalse())
		Expect(l.born).To(Equal(int64(bornBefore)))
		d.workerListChanged = false
		Expect(answer(d, l, bornAfter, true)).To(Succeed())
		Expect(d.workerListChanged).To(BeTrue(), "the next owner has to know")
		Expect(l.born).To(Equal(int64(bornAfter)))
		Expect(l.clockMS).To(Equal(int64(1)))
	})

	ginkgo.It("may run on for as long as a worker grants a lease, by a deadline on the clock of before", func(ctx context.Context) {
		d, l := known(ctx)
		d.LeaseMost = 10 * time.Second
		Expect(answer(d, l, bornAfter, true)).To(Succeed())
		Expect(time.Until(l.over)).To(BeNumerically(">", 9*time.Second))
	})

	ginkgo.It("is not believed to be the same where it does not say so any more", func(ctx context.Context) {
		d, l := known(ctx)
		err := answer(d, l, 0, false)
		Expect(kind.Is(err, kind.Damaged)).To(BeTrue())
	})

	ginkgo.It("is held anew once where an entry is of another life, and at the address that it says", func(ctx context.Context) {
		d, l := known(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		hear := func(ver uint64, born int64, addr string) {
			d.heard(Entry{Ver: ver, Worker: cell.Worker{ID: "w", Born: born, Addr: addr, Pool: "p", Hall: "h"}}, time.Now())
		}
		hear(2, bornAfter, "a")
		Expect(l.attached).To(BeFalse())
		l.attached = true
		hear(3, bornAfter, "a")
		Expect(l.attached).To(BeTrue())
		hear(4, bornAfter, "b")
		Expect(l.attached).To(BeFalse())
		Expect(l.addr).To(Equal("b"))
	})

	ginkgo.It("is not over because another worker is at the address of before", func(ctx context.Context) {
		d, l := known(ctx)
		d.mu.Lock()
		o, _ := d.startOrder(&cell.Start{Worker: "w", Task: flow.TaskID{Job: "0"}, Run: 1}, time.Now())
		d.heard(Entry{Ver: 2, Worker: cell.Worker{ID: "w", Born: bornBefore, Addr: "b"}}, time.Now())
		other := kind.New(kind.NotFound, "another life is at a")
		d.ctx = ctx
		d.startAnswered(&o, StartResult{Err: other})
		Expect(d.links).To(HaveKey("w"))
		d.mu.Unlock()
		Expect(kind.Is(d.ofAddress(l, "a", other), kind.NotFound)).To(BeFalse())
		Expect(kind.Is(d.ofAddress(l, "b", other), kind.NotFound)).To(BeTrue())
	})

	ginkgo.It("is missing here once its entry is in a rack of another cell", func(ctx context.Context) {
		d, l := known(ctx)
		d.Mine = func(rack string) bool { return rack != "theirs" }
		d.readAll([]Entry{{Ver: 2, Worker: cell.Worker{ID: "w", Born: bornAfter, Addr: "b", Rack: "theirs"}}})
		Expect(l.missing).NotTo(BeZero())
	})

	ginkgo.It("keeps its clock though an answer to the life before is read late", func(ctx context.Context) {
		d, l := known(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		o, _ := d.startOrder(&cell.Start{Worker: "w", Task: flow.TaskID{Job: "0"}, Run: 1}, time.Now())
		l.fence++
		l.life = life{born: bornAfter, clockMS: 1, clockAt: time.Now()}
		d.ctx = ctx
		d.startAnswered(&o, StartResult{Answer: StartAnswer{ClockMS: 5_000_001}})
		Expect(l.clockMS).To(Equal(int64(1)))
	})

	ginkgo.It("is not ended by the upkeep that ended the life before", func(ctx context.Context) {
		d, _ := known(ctx)
		d.Over("w", bornBefore-1)
		Expect(d.links).To(HaveKey("w"))
		born, sure := d.Life("w")
		Expect(born).To(Equal(int64(bornBefore)))
		Expect(sure).To(BeTrue())
		d.Over("w", bornBefore)
		Expect(d.links).NotTo(HaveKey("w"))
	})

	ginkgo.It("does not leave, by an entry of its own, because the life before did", func(ctx context.Context) {
		d, l := known(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.heard(Entry{Ver: 2, Worker: cell.Worker{ID: "w", Born: bornBefore, Addr: "a", Draining: true, Remaining: time.Hour}}, time.Now())
		Expect(l.draining).To(BeTrue())
		d.heard(Entry{Ver: 3, Worker: cell.Worker{ID: "w", Born: bornAfter, Addr: "a", Draining: true, Remaining: time.Second}}, time.Now())
		Expect(time.Until(l.leaves)).To(BeNumerically("<", 2*time.Second))
	})

	ginkgo.It("is held anew where the answer to a start bears the clock of another life", func(ctx context.Context) {
		for _, ms := range []int64{1, 9_000_000} {
			d, l := known(ctx)
			d.mu.Lock()
			o, ok := d.startOrder(&cell.Start{Worker: "w", Task: flow.TaskID{Job: "0"}, Run: 1}, time.Now())
			Expect(ok).To(BeTrue())
			// Under a context that has ended no answer is taken in.
			d.ctx = ctx
			d.startAnswered(&o, StartResult{Answer: StartAnswer{ClockMS: 5_000_001}})
			Expect(l.attached).To(BeTrue())
			d.startAnswered(&o, StartResult{Answer: StartAnswer{ClockMS: ms}})
			Expect(l.attached).To(BeFalse(), "%d ms", ms)
			d.mu.Unlock()
		}
	})

	ginkgo.It("is told of to the next owner", func(ctx context.Context) {
		t := newTable()
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

	ginkgo.It("is held from here where a carrier does not say which life answers", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		w := newLives()
		d.Workers, d.Carriers = w, mute{}
		a, err := d.sendHold(ctx, sentHold{HoldOrder: HoldOrder{Target: Target{Worker: "w", Addr: "a"}}, hall: "h", limit: time.Second, carried: true, born: bornBefore})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Lists.Born).To(Equal(int64(bornBefore)))
	})
})

// mute are carriers that leave out which life of a worker answers.
type mute struct{ noCarriers }

func (mute) Hold(context.Context, string, HoldOrder, time.Duration) (HoldAnswer, bool, error) {
	return HoldAnswer{ClockMS: 1}, true, nil
}
