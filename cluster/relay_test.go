// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

// recordingWorkers records the start orders that it receives.
type recordingWorkers struct {
	driver.Workers
	mu       sync.Mutex
	starts   []driver.StartOrder
	finished []cell.Finished
}

func (w *recordingWorkers) Start(_ context.Context, o driver.StartOrder) (driver.StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	if o.Worker == "full" {
		return driver.StartAnswer{ClockMS: 7, Outcome: cell.NoRoom}, nil
	}
	if o.Worker == "gone" {
		return driver.StartAnswer{}, kind.New(kind.NotFound, "another incarnation")
	}
	return driver.StartAnswer{ClockMS: 7}, nil
}

func (w *recordingWorkers) Hold(_ context.Context, o driver.HoldOrder) (driver.HoldAnswer, error) {
	if o.Worker == "gone" {
		return driver.HoldAnswer{}, kind.New(kind.NotFound, "another incarnation")
	}
	run := cell.Running{Task: flow.TaskID{Job: "j", Round: 1, Step: 2, Index: 3}, Run: 4, Checkpoint: "s", Percent: 50, Tail: 9}
	return driver.HoldAnswer{ClockMS: 7, Lists: cell.Lists{Running: []cell.Running{run}, Finished: w.finished, Truncated: true}}, nil
}

// sendToRelay has the relay n handle orders as they arrive from the network.
func sendToRelay(ctx context.Context, n *Instance, orders []driver.StartOrder, text string) ([]driver.StartResult, error) {
	m := startOrders(orders, time.Second)
	m.Text = text
	reply, err := n.handle(ctx, &wire.Request{Body: &wire.Request_Starts{Starts: m}})
	return startResults(reply.GetStarts()), err
}

var _ = Describe("orders that another instance relays", func() {
	order := func(worker string, index int) driver.StartOrder {
		return driver.StartOrder{
			Target: driver.Target{Worker: worker, Addr: "a", Fence: 99},
			Task:   flow.TaskID{Job: "j", Round: 1, Step: 2, Index: index}, Run: 5, Text: "text", Saved: "s", Ticket: "t", LeaseUntilMS: 1234,
		}
	}

	It("reach the workers as the owner gave them, each with its own result", func(ctx context.Context) {
		n, w := testInstance(nil), &recordingWorkers{}
		n.RelayWorkers = w
		orders := []driver.StartOrder{order("good", 3), order("full", 4), order("gone", 5)}
		got, err := sendToRelay(ctx, n, orders, "text")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.starts).To(ConsistOf(orders))
		Expect(got).To(HaveLen(3))
		Expect(got[0].Answer).To(Equal(driver.StartAnswer{ClockMS: 7}))
		Expect(got[1].Answer.Outcome).To(Equal(cell.NoRoom))
		Expect(kind.Is(got[2].Err, kind.NotFound)).To(BeTrue())
	})

	It("contain the text of a job only once", func(ctx context.Context) {
		n, w := testInstance(nil), &recordingWorkers{}
		n.RelayWorkers = w
		_, err := sendToRelay(ctx, n, []driver.StartOrder{order("good", 0)}, "")
		Expect(kind.Is(err, kind.Conflict)).To(BeTrue(), "the relay does not have the text")
		Expect(w.starts).To(BeEmpty())
		_, err = sendToRelay(ctx, n, []driver.StartOrder{order("good", 0)}, "text")
		Expect(err).NotTo(HaveOccurred())
		_, err = sendToRelay(ctx, n, []driver.StartOrder{order("good", 1)}, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.starts).To(HaveLen(2))
		Expect(w.starts[1].Text).To(Equal("text"))
	})

	It("omit running tasks only if a brief answer is wanted and there are finished ones", func(ctx context.Context) {
		n, w := testInstance(nil), &recordingWorkers{}
		n.RelayWorkers = w
		hold := func(worker string, brief bool) (driver.HoldAnswer, error) {
			reply, err := n.handle(ctx, &wire.Request{Body: &wire.Request_Hold{Hold: &wire.HoldOrder{Worker: worker, Brief: brief}}})
			Expect(err).NotTo(HaveOccurred())
			return holdAnswer(reply.GetHold())
		}
		a, err := hold("good", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Lists.RunsIncomplete).To(BeFalse())
		Expect(a.Lists.Truncated).To(BeTrue())
		Expect(a.ClockMS).To(Equal(int64(7)))
		Expect(a.Lists.Running).To(Equal([]cell.Running{{Task: flow.TaskID{Job: "j", Round: 1, Step: 2, Index: 3}, Run: 4, Checkpoint: "s", Percent: 50, Tail: 9}}))
		w.finished = []cell.Finished{{Number: 3, Task: flow.TaskID{Job: "j"}, Run: 2, How: flow.EndDone, Checkpoint: "x"}}
		a, err = hold("good", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Lists.Running).To(HaveLen(1))
		a, err = hold("good", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Lists.RunsIncomplete).To(BeTrue())
		Expect(a.Lists.Running).To(BeEmpty())
		Expect(a.Lists.Finished).To(Equal(w.finished))
		_, err = hold("gone", true)
		Expect(kind.Is(err, kind.NotFound)).To(BeTrue(), "the worker's error is passed on")
	})

	It("go to an instance of the workers' hall, or to one that has the text and few orders in progress", func() {
		n := testInstance(nil)
		now := time.Now()
		hear := func(name, hall string) {
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: hall, Boot: "b", Addr: name}, now)
		}
		by, _ := n.startRelay("h", "j", 8)
		Expect(by).To(BeNil())
		hear("far", "other")
		by, hasText := n.startRelay("h", "j", 8)
		Expect(by.name).To(Equal("far"))
		Expect(hasText).To(BeFalse())
		hear("near", "h")
		by, _ = n.startRelay("h", "j", 8)
		Expect(by.name).To(Equal("near"))
		n.textHolders.add("j", "far", now)
		by, hasText = n.startRelay("h", "j", 8)
		Expect(by.name).To(Equal("far"))
		Expect(hasText).To(BeTrue())
		n.members.addRelayedOrders("far", maxRelayedOrders)
		by, hasText = n.startRelay("h", "j", 8)
		Expect(by.name).To(Equal("near"))
		Expect(hasText).To(BeFalse())
		n.members.addRelayedOrders("far", -2*maxRelayedOrders)
		Expect(n.members.list(now, func(k *member) bool { return k.relayedOrders < 0 })).To(BeEmpty())
	})

	It("are not relayed for an owner that does not reach the store itself", func() {
		Expect(relays{testInstance(nil)}.Ready()).To(BeFalse())
	})
})

var _ = Describe("the texts of jobs that are cached for relayed orders", func() {
	It("are the most recently used ones, up to a limit", func() {
		var t jobTexts
		for i := range maxJobTexts {
			t.set(fmt.Sprint(i), "x")
		}
		t.set("0", "x")
		t.set("new", "x")
		Expect(t.get("0")).To(Equal("x"))
		Expect(t.get("1")).To(BeEmpty())
		Expect(t.texts).To(HaveLen(maxJobTexts))
		Expect(t.order).To(HaveLen(maxJobTexts))
	})

	It("are assumed by the owner to be evicted a while after the last order", func() {
		var g textHolders
		now := time.Now()
		g.add("j", "a", now)
		g.add("j", "a", now)
		g.add("j", "b", now)
		Expect(g.holders("j", now)).To(Equal([]string{"a", "b"}))
		Expect(g.holders("j", now.Add(holderTTL+1))).To(BeEmpty())
		g.add("k", "a", now.Add(holderTTL+1))
		Expect(g.jobs).To(HaveLen(1))
	})
})
