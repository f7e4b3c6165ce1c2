// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

// noWorkers is a directory without workers.
type noWorkers struct{}

func (noWorkers) All(context.Context) ([]driver.Entry, error) { return nil, nil }

// ownedStore is a store whose cells have an owner, and which counts the looks at
// their leases.
type ownedStore struct {
	table
	lease claim.Lease
	// clock is what the store's clock shows, 0 if it says nothing of it.
	clock int64
	looks atomic.Int32
	wrote rows.Tx
	// full is after how many transactions the store takes no more, 0 if never.
	full, taken int32
}

func (s *ownedStore) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	if r.Table == claim.Table && r.Part != "" && r.From == claim.Range(r.Part).From {
		s.looks.Add(1)
		return rows.Page{Ver: 1, ClockMS: s.clock, Rows: []rows.Row{{Value: flow.Encode(s.lease), Ver: 1}}}, nil
	}
	if r.From != "" {
		return s.table.Get(ctx, r)
	}
	page := rows.Page{Ver: 1}
	for key, value := range s.table {
		if key.Table == r.Table && key.Part == r.Part {
			page.Rows = append(page.Rows, rows.Row{Key: key, Value: value, Ver: 1})
		}
	}
	return page, nil
}

func (s *ownedStore) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	if s.full > 0 && atomic.AddInt32(&s.taken, 1) > s.full {
		return rows.Result{}, errBusy
	}
	s.wrote = t
	return rows.Result{Ver: 2}, nil
}

func instanceOnOwnedStore() (*Instance, *ownedStore) {
	n := testInstance(&policy{})
	s := &ownedStore{table: table{}, lease: claim.Lease{Owner: "other", Boot: "b", Addr: "127.0.0.1:1", ValidMS: 900}}
	n.storeClient.Direct = s
	n.Directory = func(rows.Store) driver.Directory { return noWorkers{} }
	n.division.set(1)
	return n, s
}

// fullListener returns an address on this machine that drops connections, as one behind a
// cut does: its queue of new connections is full.
func fullListener() string {
	GinkgoHelper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(syscall.Close, fd)
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	own, err := syscall.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	addr := fmt.Sprintf("127.0.0.1:%d", own.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		DeferCleanup(c.Close)
	}
}

var _ = Describe("a vacant cell", func() {
	It("is looked at once at a time, and not yet by a weak instance that has just started", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.settings.Cluster.Processor = 0.2
		n.members.found([]memberRow{{Addr: "b", Processor: 800}}, n.began)
		vacant := map[string]*vacancy{"cell-0": {since: n.began.Add(-time.Minute)}}
		n.elect(ctx, vacant, n.began)
		Consistently(s.looks.Load, 50*time.Millisecond).Should(BeZero())
		vacant["cell-0"].trying.Store(true)
		n.elect(ctx, vacant, n.began.Add(startPause))
		Consistently(s.looks.Load, 50*time.Millisecond).Should(BeZero())
		vacant["cell-0"].trying.Store(false)
		n.leaving.Store(true)
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: n.settings.Listen.Peer, ValidMS: 60_000}
		n.elect(ctx, vacant, n.began.Add(startPause))
		Eventually(s.looks.Load).Should(BeNumerically(">", 0))
	})

	// All instances lost power. The first one back left the cell without an owner for up to
	// 0.27 s: it had not seen the lease before, and counted from its first look.
	It("is taken at the first look once the store's clock shows that its lease is over", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.listed.Store(true)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: l.Addr().String(), ValidMS: 400, WrittenMS: 7000}
		s.clock = 7000 + s.lease.Silence().Milliseconds()
		n.tryTake(ctx, "cell-0")
		Expect(n.own("cell-0")).To(BeNil(), "its owner may still give orders")
		s.clock++
		n.listed.Store(false)
		n.tryTake(ctx, "cell-0")
		Expect(n.own("cell-0")).To(BeNil(), "its owner may go on, and does not know this instance")
		n.listed.Store(true)
		n.tryTake(ctx, "cell-0")
		Expect(n.own("cell-0")).NotTo(BeNil())
		Expect(n.own("cell-0").Former).To(Equal(claim.Margin))
	})

	// An owner behind a cut: its address said nothing for 0.25 s, and the look that found
	// the lease over came that much later.
	It("is not looked at later because the address of its owner says nothing", func(ctx context.Context) {
		n, _ := instanceOnOwnedStore()
		lease := claim.Lease{Owner: "other", Boot: "b", Addr: fullListener(), ValidMS: 400}
		begun := time.Now()
		Expect(n.vacant(ctx, lease, lease.Silence()-20*time.Millisecond)).To(BeEmpty())
		Expect(time.Since(begun)).To(BeNumerically("<", probeTime/2))
	})

	It("is taken from an owner that refuses connections with regard to its last orders, and its counts outlast it", func(ctx context.Context) {
		n, _ := instanceOnOwnedStore()
		n.tryTake(ctx, "cell-0")
		d := n.own("cell-0")
		Expect(d).NotTo(BeNil())
		Expect(d.Former).To(Equal(900*time.Millisecond + claim.Margin))
		Eventually(d.Loaded).Should(BeTrue())
		n.dropDriver("cell-0", d)
		Expect(n.members.last).To(HaveKey("cell-0"))
	})
})

var _ = Describe("an owner that has not read its jobs", func() {
	It("goes by the last counts that were heard", func() {
		n, _ := instanceOnOwnedStore()
		n.cells["cell-0"] = &ownCell{driver: driver.New(driver.Config{Name: "cell-0", Claim: &claim.Claim{}})}
		n.members.note("cell-0", []*wire.QueuePending{{Queue: "q", Jobs: 4}}, time.Now())
		Expect(n.Pending("q")).To(Equal(4))
	})
})

var _ = Describe("those who are greeted", func() {
	It("are all by an owner, and a few by others", func() {
		n := testInstance(&policy{})
		now := time.Now()
		for i := range 40 {
			name := fmt.Sprint("i", i)
			n.members.heard(&wire.Greeting{Instance: name, Hall: "h", Boot: "b", Addr: name}, now.Add(-newFor/8))
		}
		Expect(len(n.targets(now))).To(BeNumerically("<=", nearMost+farMost))
		n.cells["c"] = &ownCell{}
		Expect(n.targets(now)).To(HaveLen(40))
	})
})

var _ = Describe("the division", func() {
	It("is written only if there is none", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.settings.Cluster.Cells = 3
		Expect(n.decideDivision(ctx, &census{})).To(BeTrue())
		Expect(s.wrote.Expect).To(Equal([]rows.Check{{Key: divisionKey}}))
	})
})
