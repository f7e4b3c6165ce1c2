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

const doc = `{"settings":{"cpu":"1","memory":"1GiB"},"branches":{
  "batch":{"settings":{"kind":"batch"}},
  "saving":{"settings":{"kind":"batch","yield":["checkpoint"]}},
  "order":{"settings":{"kind":"call","deadline":"3s","repeat":"never"}}}}`

// cell is a rack of stand-in workers, a table, and owners that share them.
type cell struct {
	platform *standin.Platform
	table    *standin.Local
	workers  []ports.Instance
	register *tree.Register
	servers  map[string]*httptest.Server
	standins []*standin.Worker
	// cleanup has a function called at the end of the test.
	cleanup func(func())
}

// stop makes a worker unreachable.
func (c *cell) stop(id string) {
	c.servers[id].CloseClientConnections()
	c.servers[id].Close()
}

// newCell makes a cell of two workers for a spec.
func newCell() *cell {
	return newCellOf(func(f func()) { DeferCleanup(f) }, "w1", "w2")
}

// newCellOf makes a cell of the named workers.
func newCellOf(cleanup func(func()), ids ...string) *cell {
	c := &cell{
		platform: standin.NewPlatform(), table: standin.NewLocal(), register: &tree.Register{},
		servers: make(map[string]*httptest.Server), cleanup: cleanup,
	}
	_, err := c.register.InstallHead(tree.Head{Version: 1, Doc: []byte(doc)})
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

// own writes an owner into the row of the rack and makes it own the rack.
func (c *cell) own(name string, epoch uint64, connect func(string) ports.Worker, workers []ports.Instance) *owner.Owner {
	ctx, cancel := context.WithCancel(context.Background())
	c.cleanup(cancel)
	j := commit.New(c.table, name, "boot")
	go j.Run(ctx)
	o := owner.New(ctx, owner.Config{
		Name: name, Hall: "h", Connect: connect, Table: c.table, Journal: j, Tree: c.register,
		Shown: time.Now, Lost: func() {}, Tell: func(job.Job, uint64) {},
		Elsewhere: func(sched.Vec, string) (string, string, bool) { return "", "", false },
		TaskLease: 2 * time.Second,
		Log:       log.NewNopLogger(), Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
	})
	go o.Run(ctx)
	row := c.table.Table.Commit(ports.Txn{Puts: []ports.Put{{Key: hall.RackKey("h", "r"), Value: []byte(`{"owner":"` + name + `"}`)}}})
	o.Adopt("r", lease.Epoch{Table: epoch}, row.Version, workers)
	Eventually(func() uint32 { return o.Summary()[0].Attached }).Should(BeEquivalentTo(len(workers)))
	return o
}

// gate holds starts back until it is opened, and keeps what became of them.
type gate struct {
	ports.Worker
	addr  string
	gates *gates
}

type gates struct {
	mu    sync.Mutex
	held  string
	open  chan struct{}
	first sync.Once
	err   error
	done  chan struct{}
}

func newGates() *gates { return &gates{open: make(chan struct{}), done: make(chan struct{})} }

func (g *gates) connect(addr string) ports.Worker {
	return &gate{Worker: ports.NewWorkers().At(addr), addr: addr, gates: g}
}

func (g *gates) at() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

func (g *gate) Start(_ context.Context, c ports.Command, t ports.Task, d time.Duration) (ports.TaskReport, error) {
	g.gates.mu.Lock()
	g.gates.held = g.addr
	g.gates.mu.Unlock()
	<-g.gates.open
	rep, err := g.Worker.Start(context.Background(), c, t, d)
	g.gates.first.Do(func() {
		g.gates.err = err
		close(g.gates.done)
	})
	return rep, err
}

var _ = Describe("an owner", func() {
	submit := func(ctx context.Context, o *owner.Owner) job.Job {
		row := job.Job{
			ID: "j1", Shop: "s", Workload: "batch", Repeat: ports.RepeatSafe, Hall: "h", Rack: "r",
			Payload: []byte(`{"ms":60000}`), Submitted: time.Now(),
		}
		row, err := o.Submit(ctx, row)
		Expect(err).NotTo(HaveOccurred())
		return row
	}
	connect := ports.NewWorkers().At

	It("that was paused in the middle of a start is fenced", func(ctx context.Context) {
		c := newCell()
		g := newGates()
		first := c.own("o1", 1, g.connect, c.workers)
		submit(ctx, first)
		Eventually(g.at).ShouldNot(BeEmpty())
		workers := append([]ports.Instance(nil), c.workers...)
		for i := range workers {
			// The next owner must not choose the same worker.
			workers[i].Leaving = workers[i].Addr == g.at()
		}
		c.own("o2", 2, connect, workers)
		Eventually(func() int { return c.platform.Record.Summary().Starts }).Should(Equal(1))
		close(g.open)
		<-g.done
		Expect(kind.Is(g.err, kind.Fenced)).To(BeTrue(), "%v", g.err)
		Expect(c.platform.Record.Summary().Doubled).To(BeEmpty())
	})

	It("writes the intent before it sends what must not be repeated, and sends nothing without it", func(ctx context.Context) {
		c := newCell()
		o := c.own("o1", 1, connect, c.workers)
		call := func(id string) (*wire.CallReply, error) {
			return o.Call(ctx, &wire.Call{Id: id, Shop: "s", Key: id, Workload: "order", Once: true, LeftUs: 2e6, Payload: []byte(`{"ms":5}`), Queue: true})
		}
		_, err := call("k1")
		Expect(err).NotTo(HaveOccurred())
		c.table.Set(func(l *standin.Local) {
			l.Before = func(ports.Txn) error { return kind.New(kind.Unavailable, "test") }
		})
		_, err = call("k2")
		Expect(kind.Is(err, kind.CutOff)).To(BeTrue(), "%v", err)
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun))
		Expect(c.platform.Record.Summary().Starts).To(Equal(1))
	})

	It("does not take a job in twice whose row is seen before its caller goes on", func(ctx context.Context) {
		c := newCell()
		// The owner's own look at the index falls between the commit and its
		// answer.
		c.table.Set(func(l *standin.Local) {
			l.After = func(t ports.Txn) error {
				if len(t.Puts) > 2 {
					time.Sleep(1600 * time.Millisecond)
				}
				return nil
			}
		})
		o := c.own("o1", 1, connect, c.workers)
		submit(ctx, o)
		Eventually(func() int { return c.platform.Record.Summary().Starts }).Should(Equal(1))
		Consistently(func() int { return c.platform.Record.Summary().Starts }, time.Second).Should(Equal(1))
		Expect(c.platform.Record.Summary().Doubled).To(BeEmpty())
	})

	It("forgets a worker that is listed no more, once its leases are over", func() {
		c := newCell()
		o := c.own("o1", 1, connect, c.workers)
		o.Workers(c.workers[:1])
		Consistently(func() uint32 { return o.Summary()[0].Workers }, time.Second).Should(BeEquivalentTo(2), "the list is a hint")
		c.stop("w2")
		Eventually(func() uint32 { return o.Summary()[0].Workers }).Should(BeEquivalentTo(1))
	})

	It("settles an intent whose transaction has an unknown end as refused", func(ctx context.Context) {
		c := newCell()
		o := c.own("o1", 1, connect, c.workers)
		c.table.Set(func(l *standin.Local) {
			l.After = func(ports.Txn) error { return kind.New(kind.Lost, "test") }
			l.Reading = func() error { return kind.New(kind.Unavailable, "test") }
		})
		_, err := o.Call(ctx, &wire.Call{Id: "k1", Shop: "s", Key: "k1", Workload: "order", Once: true, LeftUs: 3e6, Queue: true})
		Expect(kind.Of(err).Outcome).To(Equal(kind.Unknown), "%v", err)
		c.table.Set(func(l *standin.Local) { l.After, l.Reading = nil, nil })
		Eventually(func() job.State {
			row, _ := job.Decode(c.table.Table.Get(job.RowKey("k1"))[0].Value)
			return row.State
		}).Should(Equal(job.Refused))
		Expect(c.platform.Record.Summary().Starts).To(BeZero())
	})

	// holdIntent makes f run while the table holds the row of a call, and
	// reports through the channel that it came to it.
	holdIntent := func(c *cell, f func(row job.Job)) {
		var once sync.Once
		c.table.Set(func(l *standin.Local) {
			l.Before = func(t ports.Txn) error {
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
		return o.Call(ctx, &wire.Call{Id: id, Shop: "s", Key: id, Workload: "order", Once: true, LeftUs: 3e6, Payload: []byte(`{"ms":5}`)})
	}
	stateOf := func(c *cell, id string) job.State {
		row, _ := job.Decode(c.table.Table.Get(job.RowKey(id))[0].Value)
		return row.State
	}

	It("sends a call whose worker is attached again while its row is written", func(ctx context.Context) {
		c := newCell()
		o := c.own("o1", 1, connect, c.workers)
		holdIntent(c, func(row job.Job) {
			defer GinkgoRecover()
			// Somebody raises the epoch of the worker: the owner must attach anew.
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

	It("sends nothing that is not on its books, though its worker came back with another name", func(ctx context.Context) {
		c := newCell()
		o := c.own("o1", 1, connect, c.workers)
		holdIntent(c, func(row job.Job) {
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

	It("sends what was placed before its rack is handed over, and takes nothing new meanwhile", func(ctx context.Context) {
		c := newCell()
		o := c.own("o1", 1, connect, c.workers)
		written, goOn := make(chan struct{}), make(chan struct{})
		holdIntent(c, func(job.Job) {
			close(written)
			<-goOn
		})
		answered := make(chan error, 1)
		go func() {
			_, err := order(ctx, o, "k1")
			answered <- err
		}()
		<-written
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(o.Close(short, "r")).To(BeFalse(), "a call is not sent yet")
		_, err := order(ctx, o, "k2")
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun), "%v", err)
		close(goOn)
		Expect(o.Close(ctx, "r")).To(BeTrue())
		o.Drop("r")
		Expect(<-answered).To(Succeed(), "a call in progress goes on to its answer")
		Expect(c.platform.Record.Summary().Starts).To(Equal(1))
	})

	It("does not take a call whose row is being written for a stray", func(ctx context.Context) {
		c := newCell()
		load := make(chan struct{})
		c.table.Set(func(l *standin.Local) {
			l.Reading = func() error { <-load; return nil }
		})
		o := c.own("o1", 1, connect, c.workers)
		holdIntent(c, func(job.Job) {
			close(load)
			// Leaves the look at the index time to end; longer harms nothing.
			time.Sleep(50 * time.Millisecond)
		})
		_, err := o.Call(ctx, &wire.Call{Id: "k1", Shop: "s", Key: "k1", Workload: "order", Once: true, LeftUs: 3e6, Payload: []byte(`{"ms":400}`)})
		Expect(err).NotTo(HaveOccurred())
	})
})
