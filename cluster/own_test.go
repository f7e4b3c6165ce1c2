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

// ownedStore is a store in which each cell has an owner. It counts the reads of the cell leases.
type ownedStore struct {
	staticStore
	lease claim.Lease
	// clock is the store's clock in milliseconds, 0 if the store does not report it.
	clock      int64
	leaseReads atomic.Int32
	lastTx     rows.Tx
	// fullAfter is after how many transactions the store accepts no more, 0 for never.
	fullAfter, txCount int32
}

func (s *ownedStore) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	if r.Table == claim.Table && r.Part != "" && r.From == claim.Range(r.Part).From {
		s.leaseReads.Add(1)
		return rows.Page{Ver: 1, ClockMS: s.clock, Rows: []rows.Row{{Value: flow.Encode(s.lease), Ver: 1}}}, nil
	}
	if r.From != "" {
		return s.staticStore.Get(ctx, r)
	}
	page := rows.Page{Ver: 1}
	for key, value := range s.staticStore {
		if key.Table == r.Table && key.Part == r.Part {
			page.Rows = append(page.Rows, rows.Row{Key: key, Value: value, Ver: 1})
		}
	}
	return page, nil
}

func (s *ownedStore) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	if s.fullAfter > 0 && atomic.AddInt32(&s.txCount, 1) > s.fullAfter {
		return rows.Result{}, errBusy
	}
	s.lastTx = t
	return rows.Result{Ver: 2}, nil
}

func instanceOnOwnedStore() (*Instance, *ownedStore) {
	n := testInstance(&fakePolicy{})
	s := &ownedStore{staticStore: staticStore{}, lease: claim.Lease{Owner: "other", Boot: "b", Addr: "127.0.0.1:1", ValidMS: 900}}
	n.storeClient.Direct = s
	n.Directory = func(rows.Store) driver.Directory { return noWorkers{} }
	n.division.set(1)
	return n, s
}

// fullListener returns a local address that drops connections, like an address behind a network
// cut: the backlog of its listener is full.
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
	It("is checked once at a time, and not yet by a weak instance that has just started", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.settings.Cluster.Processor = 0.2
		n.members.addListed([]memberRow{{Addr: "b", Processor: 800}}, n.startedAt)
		vacant := map[string]*vacancy{"cell-0": {since: n.startedAt.Add(-time.Minute)}}
		n.elect(ctx, vacant, n.startedAt)
		Consistently(s.leaseReads.Load, 50*time.Millisecond).Should(BeZero())
		vacant["cell-0"].claiming.Store(true)
		n.elect(ctx, vacant, n.startedAt.Add(startupDelay))
		Consistently(s.leaseReads.Load, 50*time.Millisecond).Should(BeZero())
		vacant["cell-0"].claiming.Store(false)
		n.leaving.Store(true)
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: n.settings.Listen.Peer, ValidMS: 60_000}
		n.elect(ctx, vacant, n.startedAt.Add(startupDelay))
		Eventually(s.leaseReads.Load).Should(BeNumerically(">", 0))
	})

	// After a power loss of all instances the first one back left the cell without an owner for up
	// to 0.27 s: it had not seen the lease before, and measured its age from its own first read.
	It("is taken at the first read once the store's clock shows that its lease is over", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.listed.Store(true)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: l.Addr().String(), ValidMS: 400, WrittenMS: 7000}
		s.clock = 7000 + s.lease.Expiry().Milliseconds()
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).To(BeNil(), "its owner may still give orders")
		s.clock++
		n.listed.Store(false)
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).To(BeNil(), "its owner may still be active, and does not know this instance")
		n.listed.Store(true)
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).NotTo(BeNil())
		Expect(n.ownDriver("cell-0").FormerGrace).To(Equal(claim.OwnerActiveTime), "an earlier process of this instance may have answered it a moment ago")
	})

	// The address of an owner behind a network cut did not answer for 0.25 s, and the check that
	// found the lease over was delayed by that time.
	It("is not checked later because the address of its owner does not answer", func(ctx context.Context) {
		n, _ := instanceOnOwnedStore()
		lease := claim.Lease{Owner: "other", Boot: "b", Addr: fullListener(), ValidMS: 400}
		begun := time.Now()
		Expect(n.vacancyReason(ctx, lease, lease.Expiry()-20*time.Millisecond)).To(BeEmpty())
		Expect(time.Since(begun)).To(BeNumerically("<", dialProbeTimeout/2))
	})

	It("is taken with allowance for the last orders of an owner that refuses connections, and its counts are kept after it is dropped", func(ctx context.Context) {
		n, _ := instanceOnOwnedStore()
		n.takeLease(ctx, "cell-0", 0)
		d := n.ownDriver("cell-0")
		Expect(d).NotTo(BeNil())
		Expect(d.FormerGrace).To(Equal(900*time.Millisecond + claim.TakeoverMargin))
		Eventually(d.Loaded).Should(BeTrue())
		n.dropDriver("cell-0", d)
		Expect(n.members.lastPending).To(HaveKey("cell-0"))
	})
})

var _ = Describe("an owner that has not loaded its jobs", func() {
	It("uses the last counts that were heard", func() {
		n, _ := instanceOnOwnedStore()
		n.cells["cell-0"] = &ownCell{driver: driver.New(driver.Config{Name: "cell-0", Claim: &claim.Claim{}})}
		n.members.keepPending("cell-0", []*wire.QueuePending{{Queue: "q", Jobs: 4}}, time.Now())
		Expect(n.Pending("q")).To(Equal(4))
	})
})

var _ = Describe("the instances that are greeted", func() {
	It("are all for an owner, and a few for others", func() {
		n := testInstance(&fakePolicy{})
		now := time.Now()
		for i := range 40 {
			name := fmt.Sprint("i", i)
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: "h", Boot: "b", Addr: name}, now.Add(-newAddrTime/8))
		}
		Expect(len(n.greetTargets(now))).To(BeNumerically("<=", maxNear+maxFar))
		n.cells["c"] = &ownCell{}
		Expect(n.greetTargets(now)).To(HaveLen(40))
	})
})

var _ = Describe("the division", func() {
	It("is written only if there is none", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		n.settings.Cluster.Cells = 3
		Expect(n.decideDivision(ctx, &workerCount{})).To(BeTrue())
		Expect(s.lastTx.Expect).To(Equal([]rows.Check{{Key: divisionKey}}))
	})
})
