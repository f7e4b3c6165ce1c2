// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/sched"
)

// thinLink implements Workers whose orders pass one after the other over a slow link. Every start
// is accepted. It also records the orders sent by thinRelays, which do not use the owner's link.
type thinLink struct {
	mu sync.Mutex
	// perOrder is the transfer time of an order, and linkFree when the link is free again.
	perOrder time.Duration
	linkFree time.Time
	// direct and relayed hold the orders received, and longest is the longest delay of a direct
	// one.
	direct, relayed []StartOrder
	longest         time.Duration
	held            int
	// relayErr is the error that the relays return.
	relayErr error
}

func (t *thinLink) Start(ctx context.Context, o StartOrder) (StartAnswer, error) {
	t.mu.Lock()
	now := time.Now()
	if t.linkFree.Before(now) {
		t.linkFree = now
	}
	t.linkFree = t.linkFree.Add(t.perOrder)
	wait := t.linkFree.Sub(now)
	t.direct = append(t.direct, o)
	t.longest = max(t.longest, wait)
	t.mu.Unlock()
	select {
	case <-time.After(wait):
		return StartAnswer{Outcome: cell.Accepted, ClockMS: 1}, nil
	case <-ctx.Done():
		return StartAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "start")
	}
}

func (t *thinLink) Stop(context.Context, StopOrder) error { return nil }
func (t *thinLink) Pace(context.Context, PaceOrder) error { return nil }

func (t *thinLink) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	t.mu.Lock()
	t.held++
	t.mu.Unlock()
	select {
	case <-time.After(max(o.Wait, time.Millisecond)):
		return HoldAnswer{ClockMS: 1, Lists: t.lists(o.Worker)}, nil
	case <-ctx.Done():
		return HoldAnswer{}, kind.Wrap(kind.Lost, ctx.Err(), "hold")
	}
}

// lists returns the runs on a worker.
func (t *thinLink) lists(worker string) cell.Lists {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l cell.Lists
	for _, all := range [][]StartOrder{t.direct, t.relayed} {
		for _, o := range all {
			if o.Worker == worker {
				l.Running = append(l.Running, cell.Running{Task: o.Task, Run: o.Run, Percent: 100})
			}
		}
	}
	return l
}

// thinRelays are Relays that deliver orders without the owner's link.
type thinRelays struct{ *thinLink }

func (c thinRelays) Ready() bool { return true }

func (c thinRelays) Starts(_ context.Context, _ string, orders []StartOrder, _ time.Duration) ([]StartResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayErr != nil {
		return nil, c.relayErr
	}
	c.relayed = append(c.relayed, orders...)
	out := make([]StartResult, len(orders))
	for i := range out {
		out[i] = StartResult{Answer: StartAnswer{Outcome: cell.Accepted, ClockMS: 1}, Took: time.Millisecond}
	}
	return out, nil
}

func (c thinRelays) Hold(context.Context, string, HoldOrder, time.Duration) (HoldAnswer, bool, error) {
	return HoldAnswer{}, false, kind.New(kind.Lost, "the relay does not answer")
}

func (t *thinLink) counts() (direct, relayed int, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.direct), len(t.relayed), t.longest
}

// roomyDirectory is a directory of 20 workers with room for everything.
type roomyDirectory struct{}

func (roomyDirectory) All(context.Context) ([]Entry, error) {
	var all []Entry
	for _, id := range strings.Split("abcdefghijklmnopqrst", "") {
		room := sched.Vec{sched.MilliCPU: 1 << 40, sched.MemoryMiB: 1 << 40, sched.Slots: 1 << 20, sched.Connections: 1 << 20}
		all = append(all, Entry{Worker: cell.Worker{ID: id, Addr: id, Pool: "p", Hall: "h", Room: room}, Ver: 1})
	}
	return all, nil
}

const (
	wideTasks = 130
	wideText  = 700
)

// newWideDriver returns a driver with a step of many tasks to start. adapt changes the driver
// first.
func newWideDriver(ctx context.Context, t *thinLink, adapt func(*Driver)) *Driver {
	d := newDriver(ctx, newMemStore(), func() {})
	d.Workers, d.Directory = t, roomyDirectory{}
	adapt(d)
	d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
	d.Start()
	Eventually(d.Ready).Should(BeTrue())
	spec := &flow.Spec{ID: "0", Cell: "c", Queue: "q", Hall: "h", Text: strings.Repeat("x", wideText), AcceptedMS: time.Now().UnixMilli(),
		Steps: []flow.Step{{Count: wideTasks, EstimateMS: 60_000}}}
	Expect(d.Adopt(spec, 1<<40)).To(Succeed())
	return d
}

// Guards against sending more starts than the link carries. An owner with a 2 Mbit/s link sent 130
// starts of 1 KB at once; the last one left 0.6 s later. Each was considered lost after 0.1 to 0.3
// s, its worker was attached again over the same link, and the runs that had not begun were sent
// again, while 17 other instances were idle.
var _ = ginkgo.Describe("a wide step whose owner has a slow link", func() {
	// An order of 1.1 KB takes 4.6 ms on a 2 Mbit/s link.
	const each = 4600 * time.Microsecond

	ginkgo.It("is sent at the rate of the link", func(ctx context.Context) {
		t := &thinLink{perOrder: each}
		d := newWideDriver(ctx, t, func(*Driver) {})
		defer d.Close()
		Eventually(func() int { n, _, _ := t.counts(); return n }, "10s").Should(Equal(wideTasks))
		Consistently(func() int { n, _, _ := t.counts(); return n }, "300ms").Should(Equal(wideTasks), "no order is sent twice")
		_, _, longest := t.counts()
		Expect(longest).To(BeNumerically("<", wideTasks*each/2), "orders queue at the owner, which sorts them, not on the link")
	})

	ginkgo.It("is sent by relays once orders are held back", func(ctx context.Context) {
		t := &thinLink{perOrder: each}
		d := newWideDriver(ctx, t, func(d *Driver) { d.Relays = thinRelays{t} })
		defer d.Close()
		Eventually(func() int { n, m, _ := t.counts(); return n + m }, "10s").Should(Equal(wideTasks))
		direct, relayed, _ := t.counts()
		Expect(relayed).To(BeNumerically(">", direct))
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, o := range t.relayed {
			Expect(o.Fence).To(BeNumerically(">", d.Claim.Epoch()*fencesPerEpoch), "under the owner's fence")
			Expect(o.Text).To(HaveLen(wideText))
		}
	})

	ginkgo.It("is sent by the owner if no relay can be reached", func(ctx context.Context) {
		t := &thinLink{perOrder: time.Millisecond, relayErr: kind.New(kind.Unavailable, "refused")}
		d := newWideDriver(ctx, t, func(d *Driver) { d.Relays = thinRelays{t} })
		defer d.Close()
		Eventually(func() int { n, _, _ := t.counts(); return n }, "10s").Should(Equal(wideTasks))
		Consistently(func() int { n, _, _ := t.counts(); return n }, "300ms").Should(Equal(wideTasks))
	})

	ginkgo.It("is sent again under the next fence if a relay is lost", func(ctx context.Context) {
		t := &thinLink{perOrder: time.Millisecond, relayErr: kind.New(kind.Lost, "no answer")}
		d := newWideDriver(ctx, t, func(d *Driver) { d.Relays = thinRelays{t} })
		defer d.Close()
		Eventually(func() int { n, _, _ := t.counts(); return n }, "1s").Should(BeNumerically(">", 0))
		time.Sleep(200 * time.Millisecond)
		t.mu.Lock()
		before := t.held
		t.relayErr = nil
		t.mu.Unlock()
		Expect(before).To(BeNumerically(">", 20), "workers whose orders had no answer are attached again")
		Eventually(func() int { n, m, _ := t.counts(); return n + m }, "10s").Should(Equal(wideTasks))
	})

	ginkgo.It("has its workers held directly if a relay gets no answer from them", func(ctx context.Context) {
		t := &thinLink{}
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		d.Workers, d.Relays = t, thinRelays{t}
		a, err := d.sendHold(ctx, pendingHold{HoldOrder: HoldOrder{Target: Target{Worker: "a"}}, hall: "h", limit: time.Second, relayed: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.ClockMS).To(Equal(int64(1)))
	})
})

// Guards against running a task twice. A worker listed the end of a run in the answer to a long
// poll 4 ms before it left. An order to it had just been considered lost, so the answer came under
// an earlier fence and was discarded as a whole. When the lease had expired the task was started
// again elsewhere.
var _ = ginkgo.Describe("an end listed under an earlier fence", func() {
	answer := func(d *Driver, endsOnly bool, fence uint64) {
		l := d.links["w"]
		o := HoldOrder{Target: Target{Worker: "w", Fence: fence}, Wait: time.Second}
		d.holdAnswered(l, o, HoldAnswer{ClockMS: 1, Lists: cell.Lists{RunsIncomplete: endsOnly, Finished: []cell.Finished{
			{Number: 1, Task: flow.TaskID{Job: "0"}, Run: 1, How: flow.EndDone},
		}}}, time.Now(), false)
	}
	driverWithRun := func(ctx context.Context) *Driver {
		d := newDriver(ctx, newMemStore(), func() {})
		d.Workers = unreachable{}
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.cell.Heard(cell.Worker{ID: "w", Pool: "p", Hall: "h", Room: sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}}, now)
		d.cell.Attached("w", cell.Lists{}, now)
		d.cell.Submit(&flow.Spec{ID: "0", Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, now, now)
		d.cell.JobStored("0")
		Expect(d.cell.Place(now, now, 0).Starts).To(HaveLen(1))
		d.links["w"] = &link{id: "w", fence: 7, attached: true, retryNow: make(chan struct{}, 1), cancel: func() {}}
		return d
	}
	restarts := func(d *Driver) []cell.Start {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.cell.Heard(cell.Worker{ID: "v", Pool: "p", Hall: "h", Room: sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1000}}, now)
		d.cell.Attached("v", cell.Lists{}, now)
		d.dropLink(d.links["w"], cell.LossSilent, now)
		// The loss and the next start are persisted before the task starts again.
		early := d.cell.Place(now, now, 0).Starts
		d.cell.Saved(d.cell.Saves(maxSavesPerCommit), true)
		return append(early, d.cell.Place(now, now, 0).Starts...)
	}

	ginkgo.It("counts, and its task is not started again", func(ctx context.Context) {
		d := driverWithRun(ctx)
		defer d.Close()
		d.mu.Lock()
		d.reattach("w")
		d.links["w"].fence++
		d.mu.Unlock()
		answer(d, false, 7)
		Expect(restarts(d)).To(BeEmpty())
	})

	ginkgo.It("counts while its worker waits to be attached again", func(ctx context.Context) {
		d := driverWithRun(ctx)
		defer d.Close()
		d.mu.Lock()
		d.reattach("w")
		d.mu.Unlock()
		answer(d, false, 7)
		Expect(restarts(d)).To(BeEmpty())
	})

	ginkgo.It("counts, and nothing else does, in an answer that omits the running runs", func(ctx context.Context) {
		d := driverWithRun(ctx)
		defer d.Close()
		answer(d, true, 7)
		Expect(d.links["w"].listedAt).To(BeZero())
		Expect(restarts(d)).To(BeEmpty())
	})

	ginkgo.It("is what prevents another start: without it the task starts again", func(ctx context.Context) {
		d := driverWithRun(ctx)
		defer d.Close()
		Expect(restarts(d)).To(HaveLen(1))
	})
})

// Guards against taking local delay for lost orders. A list of 48 KB sent ahead of them made the
// answers of all workers 0.2 s late, and each was considered lost after 0.1 s.
var _ = ginkgo.Describe("the timeout of an order", func() {
	ginkgo.It("grows up to its maximum while the answers of several workers are late", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		l, now := &link{}, time.Now()
		l.answerTimes.Answered(4 * time.Millisecond)
		Expect(d.orderTimeout(l, now)).To(Equal(minOrderTimeout))
		Expect(d.holdWait(l, now)).To(Equal(d.cell.MaxPollWait(l.id)))
		for _, w := range []string{"a", "b", "c"} {
			d.lateness.Observe(w, 200*time.Millisecond, now)
		}
		Expect(d.orderTimeout(l, now)).To(Equal(minOrderTimeout + 200*time.Millisecond))
		Expect(d.holdWait(l, now)).To(Equal(maxHoldWait), "long polls are what the link can do without")
		for _, w := range []string{"a", "b", "c"} {
			d.lateness.Observe(w, time.Minute, now)
		}
		Expect(d.orderTimeout(l, now)).To(Equal(maxOrderTimeout))
	})
})

// holdCounter implements Workers and counts the holds in flight.
type holdCounter struct {
	unreachable
	mu            sync.Mutex
	current, peak int
}

func (c *holdCounter) Hold(ctx context.Context, _ HoldOrder) (HoldAnswer, error) {
	c.mu.Lock()
	c.current++
	c.peak = max(c.peak, c.current)
	c.mu.Unlock()
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.current--
	c.mu.Unlock()
	return HoldAnswer{}, errUnreachable
}

var _ = ginkgo.Describe("the workers of a hall", func() {
	ginkgo.It("are attached a few at a time", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		defer d.Close()
		c := &holdCounter{}
		d.Workers, d.Directory = c, roomyDirectory{}
		d.Start()
		Eventually(func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.peak }, "5s").Should(Equal(maxAttaching))
		Consistently(func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.peak }, "300ms").Should(Equal(maxAttaching))
	})
})
