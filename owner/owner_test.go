// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"dewpass.org/commit"
	"dewpass.org/hall"
	"dewpass.org/internal/standin"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/owner"
	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

func TestOwner(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "owner")
}

const treeDoc = `{"settings":{"cpu":"1","memory":"1GiB"},"branches":{
  "batch":{"settings":{"kind":"batch"}},
  "saving":{"settings":{"kind":"batch","yield":["checkpoint"]}},
  "order":{"settings":{"kind":"call","deadline":"3s","repeat":"never"}}}}`

// fixture is a rack of stand-in workers and a table that several owners can share.
type fixture struct {
	platform *standin.Platform
	table    *standin.Local
	workers  []ports.Instance
	register *tree.Register
	servers  map[string]*httptest.Server
	standins []*standin.Worker
	// cleanup registers a function that is called at the end of the test.
	cleanup func(func())
}

// stop makes a worker unreachable.
func (c *fixture) stop(id string) {
	c.servers[id].CloseClientConnections()
	c.servers[id].Close()
}

// newFixture creates a fixture with two workers for a spec.
func newFixture() *fixture {
	return newFixtureWith(func(f func()) { DeferCleanup(f) }, "w1", "w2")
}

// newFixtureWith creates a fixture with the named workers.
func newFixtureWith(cleanup func(func()), ids ...string) *fixture {
	c := &fixture{
		platform: standin.NewPlatform(), table: standin.NewLocal(), register: &tree.Register{},
		servers: make(map[string]*httptest.Server), cleanup: cleanup,
	}
	_, err := c.register.InstallHead(tree.Head{Version: 1, Doc: []byte(treeDoc)})
	Expect(err).NotTo(HaveOccurred())
	for _, id := range ids {
		w := standin.NewWorker(c.platform, id, "h", "r", "", sched.Vec{4000, 8 << 10, 0, 8, 64})
		s := httptest.NewServer(w.Handler())
		c.cleanup(s.Close)
		c.servers[id] = s
		c.standins = append(c.standins, w)
		addr := strings.TrimPrefix(s.URL, "http://")
		c.workers = append(c.workers, ports.Instance{ID: id, Role: ports.RoleWorker, Hall: "h", Rack: "r", Addr: addr})
	}
	return c
}

// startOwner starts an owner, writes it to the row of the rack, makes it adopt the rack and
// waits until all workers are attached.
func (c *fixture) startOwner(name string, epoch uint64, connect func(string) ports.Worker, workers []ports.Instance) *owner.Owner {
	ctx, cancel := context.WithCancel(context.Background())
	c.cleanup(cancel)
	j := commit.New(c.table, name, "boot")
	go j.Run(ctx)
	o := owner.New(ctx, owner.Config{
		Name: name, Hall: "h", Connect: connect, Table: c.table, Journal: j, Tree: c.register,
		LastHeartbeat: time.Now, OnOwnershipDoubt: func() {}, NotifyMoved: func(job.Job, uint64) {},
		FindRack:  func(sched.Vec, string) (string, string, bool) { return "", "", false },
		TaskLease: 2 * time.Second,
		Log:       log.NewNopLogger(), Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
	})
	go o.Run(ctx)
	row := c.table.Table.Commit(ports.Txn{Puts: []ports.Put{{Key: hall.RackKey("h", "r"), Value: []byte(`{"owner":"` + name + `"}`)}}})
	o.Adopt("r", lease.Epoch{Table: epoch}, row.Version, workers)
	Eventually(func() uint32 { return o.Summary()[0].Attached }).Should(BeEquivalentTo(len(workers)))
	return o
}

// blockedWorker is a worker whose starts block until startBlock.open is closed.
type blockedWorker struct {
	ports.Worker
	addr  string
	block *startBlock
}

// startBlock blocks the starts on its workers, and keeps the result of the first one.
type startBlock struct {
	mu          sync.Mutex
	blockedAddr string
	open        chan struct{}
	firstResult sync.Once
	err         error
	done        chan struct{}
}

func newStartBlock() *startBlock {
	return &startBlock{open: make(chan struct{}), done: make(chan struct{})}
}

func (g *startBlock) connect(addr string) ports.Worker {
	return &blockedWorker{Worker: ports.NewWorkers().At(addr), addr: addr, block: g}
}

func (g *startBlock) workerAddr() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blockedAddr
}

func (g *blockedWorker) Start(_ context.Context, c ports.Command, t ports.Task, d time.Duration) (ports.TaskReport, error) {
	g.block.mu.Lock()
	g.block.blockedAddr = g.addr
	g.block.mu.Unlock()
	<-g.block.open
	rep, err := g.Worker.Start(context.Background(), c, t, d)
	g.block.firstResult.Do(func() {
		g.block.err = err
		close(g.block.done)
	})
	return rep, err
}

var _ = Describe("an owner", func() {
	submit := func(ctx context.Context, o *owner.Owner) job.Job {
		row := job.Job{
			ID: "j1", Account: "s", Workload: "batch", Repeat: ports.RepeatSafe, Hall: "h", Rack: "r",
			Payload: []byte(`{"ms":60000}`), Submitted: time.Now(),
		}
		row, err := o.Submit(ctx, row)
		Expect(err).NotTo(HaveOccurred())
		return row
	}
	connect := ports.NewWorkers().At

	It("is fenced if it was paused in the middle of a start", func(ctx context.Context) {
		c := newFixture()
		g := newStartBlock()
		first := c.startOwner("o1", 1, g.connect, c.workers)
		submit(ctx, first)
		Eventually(g.workerAddr).ShouldNot(BeEmpty())
		workers := append([]ports.Instance(nil), c.workers...)
		for i := range workers {
			// The next owner must not choose the same worker.
			workers[i].Leaving = workers[i].Addr == g.workerAddr()
		}
		c.startOwner("o2", 2, connect, workers)
		Eventually(func() int { return c.platform.Record.Summary().Starts }).Should(Equal(1))
		close(g.open)
		<-g.done
		Expect(kind.Is(g.err, kind.Fenced)).To(BeTrue(), "%v", g.err)
		Expect(c.platform.Record.Summary().Doubled).To(BeEmpty())
	})

	It("writes the intent of a call that must not be repeated before it sends the call, and sends nothing without it", func(ctx context.Context) {
		c := newFixture()
		o := c.startOwner("o1", 1, connect, c.workers)
		call := func(id string) (*wire.CallReply, error) {
			return o.Call(ctx, &wire.Call{Id: id, Account: "s", Key: id, Workload: "order", Once: true, LeftUs: 2e6, Payload: []byte(`{"ms":5}`), Queue: true})
		}
		_, err := call("k1")
		Expect(err).NotTo(HaveOccurred())
		c.table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(ports.Txn) error { return kind.New(kind.Unavailable, "test") }
		})
		_, err = call("k2")
		Expect(kind.Is(err, kind.CutOff)).To(BeTrue(), "%v", err)
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun))
		Expect(c.platform.Record.Summary().Starts).To(Equal(1))
	})

	It("starts a job once if a scan of the index finds its row before Submit returns", func(ctx context.Context) {
		c := newFixture()
		// The owner scans the index between the commit and its reply.
		c.table.Set(func(l *standin.Local) {
			l.AfterCommit = func(t ports.Txn) error {
				if len(t.Puts) > 2 {
					time.Sleep(1600 * time.Millisecond)
				}
				return nil
			}
		})
		o := c.startOwner("o1", 1, connect, c.workers)
		submit(ctx, o)
		Eventually(func() int { return c.platform.Record.Summary().Starts }).Should(Equal(1))
		Consistently(func() int { return c.platform.Record.Summary().Starts }, time.Second).Should(Equal(1))
		Expect(c.platform.Record.Summary().Doubled).To(BeEmpty())
	})

	It("removes a worker that is listed no more, once its leases have expired", func() {
		c := newFixture()
		o := c.startOwner("o1", 1, connect, c.workers)
		o.SetWorkers(c.workers[:1])
		Consistently(func() uint32 { return o.Summary()[0].Workers }, time.Second).Should(BeEquivalentTo(2), "the list is only a hint")
		c.stop("w2")
		Eventually(func() uint32 { return o.Summary()[0].Workers }).Should(BeEquivalentTo(1))
	})

	It("marks an intent as refused if the result of its transaction is unknown", func(ctx context.Context) {
		c := newFixture()
		o := c.startOwner("o1", 1, connect, c.workers)
		c.table.Set(func(l *standin.Local) {
			l.AfterCommit = func(ports.Txn) error { return kind.New(kind.Lost, "test") }
			l.BeforeRead = func() error { return kind.New(kind.Unavailable, "test") }
		})
		_, err := o.Call(ctx, &wire.Call{Id: "k1", Account: "s", Key: "k1", Workload: "order", Once: true, LeftUs: 3e6, Queue: true})
		Expect(kind.Of(err).Outcome).To(Equal(kind.Unknown), "%v", err)
		c.table.Set(func(l *standin.Local) { l.AfterCommit, l.BeforeRead = nil, nil })
		Eventually(func() job.State {
			row, _ := job.Decode(c.table.Table.Get(job.RowKey("k1"))[0].Value)
			return row.State
		}).Should(Equal(job.Refused))
		Expect(c.platform.Record.Summary().Starts).To(BeZero())
	})

	// onIntent calls f, once, while the table is about to commit the intent row of the call k1.
	onIntent := func(c *fixture, f func(row job.Job)) {
		var once sync.Once
		c.table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(t ports.Txn) error {
				for _, p := range t.Puts {
					if row, err := job.Decode(p.Value); err == nil && p.Key == job.RowKey("k1") && row.State == job.Dispatched {
						once.Do(func() { f(row) })
					}
				}
				return nil
			}
		})
	}
	order := func(ctx context.Context, o *owner.Owner, id string) (*wire.CallReply, error) {
		return o.Call(ctx, &wire.Call{Id: id, Account: "s", Key: id, Workload: "order", Once: true, LeftUs: 3e6, Payload: []byte(`{"ms":5}`)})
	}
	stateOf := func(c *fixture, id string) job.State {
		row, _ := job.Decode(c.table.Table.Get(job.RowKey(id))[0].Value)
		return row.State
	}

	It("sends a call whose worker is attached again while its row is written", func(ctx context.Context) {
		c := newFixture()
		o := c.startOwner("o1", 1, connect, c.workers)
		onIntent(c, func(row job.Job) {
			defer GinkgoRecover()
			// Another party raises the epoch of the worker: the owner must attach it again.
			for _, in := range c.workers {
				if in.ID == row.Worker {
					higher := ports.Command{Owner: "o1", Epoch: lease.Epoch{Table: 1, Local: 5}}
					_, err := connect(in.Addr).Attach(ctx, higher)
					Expect(err).NotTo(HaveOccurred())
				}
			}
		})
		_, err := order(ctx, o, "k1")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.platform.Record.Summary().Starts).To(Equal(1))
	})

	It("sends nothing that is not on its books, even if its worker was restarted", func(ctx context.Context) {
		c := newFixture()
		o := c.startOwner("o1", 1, connect, c.workers)
		onIntent(c, func(row job.Job) {
			defer GinkgoRecover()
			for _, w := range c.standins {
				w.Restart()
				w.Leave(false) // wakes those who watch it
				Eventually(w.Owner).Should(Equal("o1"))
			}
		})
		_, err := order(ctx, o, "k1")
		Expect(err).To(HaveOccurred())
		Expect(c.platform.Record.Summary().Starts).To(BeZero())
		Eventually(func() job.State { return stateOf(c, "k1") }).Should(Equal(job.Refused))
	})

	It("sends what was placed before its rack is handed over, and accepts nothing new meanwhile", func(ctx context.Context) {
		c := newFixture()
		o := c.startOwner("o1", 1, connect, c.workers)
		written, proceed := make(chan struct{}), make(chan struct{})
		onIntent(c, func(job.Job) {
			close(written)
			<-proceed
		})
		answered := make(chan error, 1)
		go func() {
			_, err := order(ctx, o, "k1")
			answered <- err
		}()
		<-written
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(o.Close(short, "r")).To(BeFalse(), "a call has not been sent yet")
		_, err := order(ctx, o, "k2")
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun), "%v", err)
		close(proceed)
		Expect(o.Close(ctx, "r")).To(BeTrue())
		o.Drop("r")
		Expect(<-answered).To(Succeed(), "a call in progress continues to its answer")
		Expect(c.platform.Record.Summary().Starts).To(Equal(1))
	})

	It("does not stop a call whose row is just being written", func(ctx context.Context) {
		c := newFixture()
		load := make(chan struct{})
		c.table.Set(func(l *standin.Local) {
			l.BeforeRead = func() error { <-load; return nil }
		})
		o := c.startOwner("o1", 1, connect, c.workers)
		onIntent(c, func(job.Job) {
			close(load)
			// Gives the scan of the index time to end; a longer sleep would do no harm.
			time.Sleep(50 * time.Millisecond)
		})
		_, err := o.Call(ctx, &wire.Call{Id: "k1", Account: "s", Key: "k1", Workload: "order", Once: true, LeftUs: 3e6, Payload: []byte(`{"ms":400}`)})
		Expect(err).NotTo(HaveOccurred())
	})
})
