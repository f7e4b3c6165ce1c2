// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
	"dewpass.org/settings"
	"dewpass.org/wire"
)

// unansweredStore is a store that answers writes but no reads.
type unansweredStore struct {
	*ownedStore
	silent silentStore
}

func (s unansweredStore) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	return s.silent.Get(ctx, r)
}

// overloadedInstance returns an instance that has heard, some time ago, of 20 s of work waiting in
// the queue "batch" of the only cell, and the store, which has the jobs given.
func overloadedInstance(ctx context.Context, age time.Duration, known ...string) (*Instance, *ownedStore) {
	GinkgoHelper()
	n := instanceWithOwner(ownerRecorder{make(chan *flow.Spec, 100)})
	n.reload(&settings.Settings{Cluster: &settings.Cluster{Admission: true}})
	n.config.Install(&config.Config{Version: 1, Queues: []config.Queue{
		{Queue: cell.Queue{Name: "calls", Pool: "p", Stretch: 1.5, Target: time.Second}},
		{Queue: cell.Queue{Name: "batch", Pool: "p", Priority: 1, Stretch: 2, Target: time.Second}},
	}})
	addr := n.members.owner("cell-0", time.Now()).addr
	n.members.applyGreeting(&wire.Greeting{Instance: "owner", Hall: "h", Boot: "b", Addr: addr, Cells: []*wire.CellSummary{{
		Name: "cell-0", Ready: true, Room: 100_000, Queues: queueLoads(cell.QueueLoads{Queues: []cell.QueueLoad{{Queue: "batch", Waiting: 1_000_000, Rate: 50_000}}}),
	}}}, time.Now().Add(-age))
	s := &ownedStore{staticStore: staticStore{}}
	for _, id := range known {
		s.staticStore[driver.HomeKey(id)] = []byte("cell-0")
	}
	n.storeClient.Direct = s
	_, err := n.storeClient.Get(ctx, rows.Range{})
	Expect(err).NotTo(HaveOccurred())
	return n, s
}

// Guards against accepting jobs that cannot end in time: 859 accepted jobs of one run were never
// completed while still of use.
var _ = Describe("a job that would wait for too long", func() {
	job := func(queue string) *flow.Spec {
		step := flow.Step{Count: 10, EstimateMS: 2000, Demand: sched.Vec{sched.MilliCPU: 2000}}
		return &flow.Spec{ID: "0123456789abcdef", Queue: queue, Steps: []flow.Step{step}}
	}

	It("is refused before anything is written, and its caller is told when to return", func(ctx context.Context) {
		n, s := overloadedInstance(ctx, 0)
		err := n.Submit(ctx, job("batch"))
		Expect(kind.Is(err, kind.QueueFull)).To(BeTrue())
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun))
		Expect(kind.Of(err).RetryAfter).To(BeNumerically(">=", 10*time.Second))
		Expect(s.lastTx.Put).To(BeEmpty())
		Expect(n.sentWork.cells).To(BeEmpty())
	})

	It("is refused because of the jobs that the instance has sent since the report", func(ctx context.Context) {
		n, s := overloadedInstance(ctx, 0)
		n.members.known["owner"].cells[0].Queues[0].Waiting = 140_000
		Expect(n.Submit(ctx, job("batch"))).To(Succeed())
		s.lastTx = rows.Tx{}
		Expect(kind.Is(n.Submit(ctx, job("batch")), kind.QueueFull)).To(BeTrue())
		Expect(s.lastTx.Put).To(BeEmpty())
	})

	It("is judged by its queue's own work only if no queue of the pool is more urgent", func(ctx context.Context) {
		n, _ := overloadedInstance(ctx, 0)
		Expect(findQueue(n.config.Load(), "calls").mostUrgent).To(BeTrue())
		Expect(findQueue(n.config.Load(), "batch").mostUrgent).To(BeFalse())
		Expect(findQueue(n.config.Load(), "none")).To(BeNil())
	})

	It("is accepted if it was submitted before, or the store does not tell", func(ctx context.Context) {
		n, s := overloadedInstance(ctx, 0, job("batch").ID)
		Expect(n.Submit(ctx, job("batch"))).To(Succeed())
		Expect(s.lastTx.Put).NotTo(BeEmpty(), "the write shows whether the job is known")

		n, s = overloadedInstance(ctx, 0)
		n.storeClient.Direct = unansweredStore{ownedStore: s}
		Expect(n.Submit(ctx, job("batch"))).To(Succeed())
		Expect(s.lastTx.Put).NotTo(BeEmpty())
	})

	DescribeTable("is accepted", func(ctx context.Context, queue string, age time.Duration, change func(*Instance, *flow.Spec)) {
		n, s := overloadedInstance(ctx, age)
		j := job(queue)
		change(n, j)
		Expect(n.Submit(ctx, j)).To(Succeed())
		Expect(s.lastTx.Put).NotTo(BeEmpty())
	},
		Entry("if refusing is not enabled", "batch", time.Duration(0), func(n *Instance, _ *flow.Spec) { n.reload(&settings.Settings{Cluster: &settings.Cluster{}}) }),
		Entry("if nothing is reported of its queue", "calls", time.Duration(0), func(n *Instance, _ *flow.Spec) {
			n.sentWork.add("cell-0", findQueue(n.config.Load(), "calls").Queue, 10_000_000, n.members.known["owner"].heardAt)
		}),
		Entry("if the report is old", "batch", 1100*time.Millisecond, func(*Instance, *flow.Spec) {}),
		Entry("if the owner is not ready", "batch", time.Duration(0), func(n *Instance, _ *flow.Spec) { n.members.known["owner"].cells[0].Ready = false }),
		Entry("if it is repeated", "batch", time.Duration(0), func(_ *Instance, j *flow.Spec) { j.RepeatCount = 2 }),
		Entry("if its tasks are long-running", "batch", time.Duration(0), func(_ *Instance, j *flow.Spec) { j.Steps[0].LongRunning = true }),
	)
})

var _ = Describe("the work that an instance has sent to a cell", func() {
	It("counts for queues that wait for it, until the next report", func() {
		calls, batch, other := &cell.Queue{Name: "calls", Pool: "p"}, &cell.Queue{Name: "batch", Pool: "p", Priority: 1}, &cell.Queue{Name: "other", Pool: "o"}
		var s sentWork
		report := time.Now()
		for _, q := range []*cell.Queue{calls, batch, batch, other} {
			s.add("c", q, 10, report)
		}
		s.add("c", batch, 10, time.Time{})
		Expect(s.sum("c", &admissionQueue{Queue: calls, mostUrgent: true}, report)).To(Equal(int64(10)))
		Expect(s.sum("c", &admissionQueue{Queue: batch}, report)).To(Equal(int64(30)))
		Expect(s.sum("d", &admissionQueue{Queue: batch}, report)).To(BeZero())
		Expect(s.sum("c", &admissionQueue{Queue: batch}, report.Add(1))).To(BeZero())
		s.add("c", batch, 5, report.Add(1))
		Expect(s.sum("c", &admissionQueue{Queue: batch}, report.Add(1))).To(Equal(int64(5)))
	})
})
