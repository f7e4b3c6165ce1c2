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

// thin are workers that start whatever they are told, behind a link over which orders leave
// one after the other. It stands in for the carriers too, whose own link is not the owner's.
type thin struct {
	mu sync.Mutex
	// each is how long an order takes the link, and free when the link is free.
	each time.Duration
	free time.Time
	// direct and carried hold the orders that came, and longest is how long a direct one
	// waited.
	direct, carried []StartOrder
	longest         time.Duration
	held            int
	// carry is the error of the carriers.
	carry error
}

func (t *thin) Start(ctx context.Context, o StartOrder) (StartAnswer, error) {
	t.mu.Lock()
	now := time.Now()
	if t.free.Before(now) {
		t.free = now
	}
	t.free = t.free.Add(t.each)
	wait := t.free.Sub(now)
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

func (t *thin) Stop(context.Context, StopOrder) error { return nil }
func (t *thin) Pace(context.Context, PaceOrder) error { return nil }

func (t *thin) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
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

// lists returns what runs on a worker.
func (t *thin) lists(worker string) cell.Lists {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l cell.Lists
	for _, all := range [][]StartOrder{t.direct, t.carried} {
		for _, o := range all {
			if o.Worker == worker {
				l.Running = append(l.Running, cell.Running{Task: o.Task, Run: o.Run, Percent: 100})
			}
		}
	}
	return l
}

// carriers are those of a thin.
type carriers struct{ *thin }

func (c carriers) Ready() bool { return true }

func (c carriers) Starts(_ context.Context, _ string, orders []StartOrder, _ time.Duration) ([]StartResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.carry != nil {
		return nil, c.carry
	}
	c.carried = append(c.carried, orders...)
	out := make([]StartResult, len(orders))
	for i := range out {
		out[i] = StartResult{Answer: StartAnswer{Outcome: cell.Accepted, ClockMS: 1}, Took: time.Millisecond}
	}
	return out, nil
}

func (c carriers) Hold(context.Context, string, HoldOrder, time.Duration) (HoldAnswer, bool, error) {
	return HoldAnswer{}, false, kind.New(kind.Lost, "the carrier is gone")
}

func (t *thin) counts() (direct, carried int, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.direct), len(t.carried), t.longest
}

// many is a directory of workers with room for everything.
type many struct{}

func (many) All(context.Context) ([]Entry, error) {
	var all []Entry
	for _, id := range strings.Split("abcdefghijklmnopqrst", "") {
		room := sched.Vec{sched.Milli: 1 << 40, sched.MiB: 1 << 40, sched.Slots: 1 << 20, sched.Conns: 1 << 20}
		all = append(all, Entry{Worker: cell.Worker{ID: id, Addr: id, Pool: "p", Hall: "h", Room: room}, Ver: 1})
	}
	return all, nil
}

const (
	wideTasks = 130
	wideText  = 700
)

// wide returns a driver that has a step of many tasks to start. adapt changes it first.
func wide(ctx context.Context, t *thin, adapt func(*Driver)) *Driver {
	d := newDriver(ctx, newTable(), func() {})
	d.Workers, d.Directory = t, many{}
	adapt(d)
	d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
	d.Start()
	Eventually(d.Ready).Should(BeTrue())
	spec := &flow.Spec{ID: "0", Cell: "c", Queue: "q", Hall: "h", Text: strings.Repeat("x", wideText), AcceptedMS: time.Now().UnixMilli(),
		Steps: []flow.Step{{Count: wideTasks, EstimateMS: 60_000}}}
	Expect(d.Adopt(spec, 1<<40)).To(Succeed())
	return d
}

// What happened: an owner whose link carries 2 Mbit/s sent 130 starts of 1 KB at once. The
// last left 0.6 s later; after 0.1 to 0.3 s each was taken for lost, its worker was held anew
// over the same link, and what had not begun was sent again. Of 17 other instances none had
// anything to do.
var _ = ginkgo.Describe("a wide step whose owner has a thin link", func() {
	// An order of 1.1 KB takes 4.6 ms of a link of 2 Mbit/s.
	const each = 4600 * time.Microsecond

	ginkgo.It("is sent as the link carries it", func(ctx context.Context) {
		t := &thin{each: each}
		d := wide(ctx, t, func(*Driver) {})
		defer d.Close()
		Eventually(func() int { n, _, _ := t.counts(); return n }, "10s").Should(Equal(wideTasks))
		Consistently(func() int { n, _, _ := t.counts(); return n }, "300ms").Should(Equal(wideTasks), "none is sent twice")
		_, _, longest := t.counts()
		Expect(longest).To(BeNumerically("<", wideTasks*each/2), "what waits, waits at the owner, where it has an order")
	})

	ginkgo.It("is sent by other instances once orders are held back", func(ctx context.Context) {
		t := &thin{each: each}
		d := wide(ctx, t, func(d *Driver) { d.Carriers = carriers{t} })
		defer d.Close()
		Eventually(func() int { n, m, _ := t.counts(); return n + m }, "10s").Should(Equal(wideTasks))
		direct, carried, _ := t.counts()
		Expect(carried).To(BeNumerically(">", direct))
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, o := range t.carried {
			Expect(o.Fence).To(BeNumerically(">", d.Claim.Epoch()*fencesPerEpoch), "under the owner's fence")
			Expect(o.Text).To(HaveLen(wideText))
		}
	})

	ginkgo.It("is sent by the owner where no carrier is reached", func(ctx context.Context) {
		t := &thin{each: time.Millisecond, carry: kind.New(kind.Unavailable, "refused")}
		d := wide(ctx, t, func(d *Driver) { d.Carriers = carriers{t} })
		defer d.Close()
		Eventually(func() int { n, _, _ := t.counts(); return n }, "10s").Should(Equal(wideTasks))
		Consistently(func() int { n, _, _ := t.counts(); return n }, "300ms").Should(Equal(wideTasks))
	})

	ginkgo.It("is sent again under the next fence where a carrier is lost", func(ctx context.Context) {
		t := &thin{each: time.Millisecond, carry: kind.New(kind.Lost, "no answer")}
		d := wide(ctx, t, func(d *Driver) { d.Carriers = carriers{t} })
		defer d.Close()
		Eventually(func() int { n, _, _ := t.counts(); return n }, "1s").Should(BeNumerically(">", 0))
		time.Sleep(200 * time.Millisecond)
		t.mu.Lock()
		before := t.held
		t.carry = nil
		t.mu.Unlock()
		Expect(before).To(BeNumerically(">", 20), "workers whose orders had no answer are held anew")
		Eventually(func() int { n, m, _ := t.counts(); return n + m }, "10s").Should(Equal(wideTasks))
	})

	ginkgo.It("has its workers held from here where a carrier brings no word of them", func(ctx context.Context) {
		t := &thin{}
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		d.Workers, d.Carriers = t, carriers{t}
		a, err := d.sendHold(ctx, sentHold{HoldOrder: HoldOrder{Target: Target{Worker: "a"}}, hall: "h", limit: time.Second, carried: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.ClockMS).To(Equal(int64(1)))
	})
})

// What happened: a run ended as done, and its worker listed that in the answer to a look 4 ms
// before it left. An order to that worker had just been taken for lost, so that the answer was
// one of an earlier fence, and all of it was thrown away. When the lease was over the task was
// started again elsewhere.
var _ = ginkgo.Describe("an end that comes under an earlier fence", func() {
	answer := func(d *Driver, brief bool, fence uint64) {
		l := d.links["w"]
		o := HoldOrder{Target: Target{Worker: "w", Fence: fence}, Wait: time.Second}
		d.held(l, o, HoldAnswer{ClockMS: 1, Brief: brief, Lists: cell.Lists{Finished: []cell.Finished{
			{Number: 1, Task: flow.TaskID{Job: "0"}, Run: 1, How: flow.EndDone},
		}}}, time.Now(), false)
	}
	started := func(ctx context.Context) *Driver {
		d := newDriver(ctx, newTable(), func() {})
		d.Workers = away{}
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.cell.Heard(cell.Worker{ID: "w", Pool: "p", Hall: "h", Room: sched.Vec{sched.Milli: 1000, sched.MiB: 1000}}, now)
		d.cell.Attached("w", cell.Lists{}, now)
		d.cell.Submit(&flow.Spec{ID: "0", Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, now, now)
		d.cell.Keep("0")
		Expect(d.cell.Place(now, now, 0).Starts).To(HaveLen(1))
		d.links["w"] = &link{id: "w", fence: 7, attached: true, kick: make(chan struct{}, 1), cancel: func() {}}
		return d
	}
	again := func(d *Driver) []cell.Start {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.cell.Heard(cell.Worker{ID: "v", Pool: "p", Hall: "h", Room: sched.Vec{sched.Milli: 1000, sched.MiB: 1000}}, now)
		d.cell.Attached("v", cell.Lists{}, now)
		d.forget(d.links["w"], cell.LossSilent, now)
		// What is held against a task for the loss is kept before it starts again.
		d.cell.Saved(d.cell.Saves(savesAtOnce), true)
		return d.cell.Place(now, now, 0).Starts
	}

	ginkgo.It("is taken in, and its task is not started again", func(ctx context.Context) {
		d := started(ctx)
		defer d.Close()
		d.mu.Lock()
		d.unsure("w")
		d.links["w"].fence++
		d.mu.Unlock()
		answer(d, false, 7)
		Expect(again(d)).To(BeEmpty())
	})

	ginkgo.It("is taken in while its worker waits to be held anew", func(ctx context.Context) {
		d := started(ctx)
		defer d.Close()
		d.mu.Lock()
		d.unsure("w")
		d.mu.Unlock()
		answer(d, false, 7)
		Expect(again(d)).To(BeEmpty())
	})

	ginkgo.It("is taken in from an answer that leaves out what runs, and nothing else is", func(ctx context.Context) {
		d := started(ctx)
		defer d.Close()
		answer(d, true, 7)
		Expect(d.links["w"].listed).To(BeZero())
		Expect(again(d)).To(BeEmpty())
	})

	ginkgo.It("was needed: without it the task starts again", func(ctx context.Context) {
		d := started(ctx)
		defer d.Close()
		Expect(again(d)).To(HaveLen(1))
	})
})

// What happened: a list of 48 KB in front of them made the answers of all workers 0.2 s late, and
// each was taken for lost after 0.1 s.
var _ = ginkgo.Describe("the limit of an order", func() {
	ginkgo.It("grows while the answers of several workers are late, within its bound", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		l, now := &link{}, time.Now()
		l.answers.Answered(4 * time.Millisecond)
		Expect(d.orderTime(l, now)).To(Equal(orderLeast))
		Expect(d.lookWithin(l, now)).To(Equal(d.cell.LookWithin(l.id)))
		for _, w := range []string{"a", "b", "c"} {
			d.lateness.Saw(w, 200*time.Millisecond, now)
		}
		Expect(d.orderTime(l, now)).To(Equal(orderLeast + 200*time.Millisecond))
		Expect(d.lookWithin(l, now)).To(Equal(lookLateMost), "looks are what the link can do without")
		for _, w := range []string{"a", "b", "c"} {
			d.lateness.Saw(w, time.Minute, now)
		}
		Expect(d.orderTime(l, now)).To(Equal(orderMost))
	})
})

// crowd are workers that note how many of them are being held at once.
type crowd struct {
	away
	mu        sync.Mutex
	now, most int
}

func (c *crowd) Hold(ctx context.Context, _ HoldOrder) (HoldAnswer, error) {
	c.mu.Lock()
	c.now++
	c.most = max(c.most, c.now)
	c.mu.Unlock()
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.now--
	c.mu.Unlock()
	return HoldAnswer{}, errAway
}

var _ = ginkgo.Describe("the workers of a hall", func() {
	ginkgo.It("are attached a few at a time", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		defer d.Close()
		c := &crowd{}
		d.Workers, d.Directory = c, many{}
		d.Start()
		Eventually(func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.most }, "5s").Should(Equal(attachMost))
		Consistently(func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.most }, "300ms").Should(Equal(attachMost))
	})
})
