// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/kind"
	"dewpass.org/link"
	"dewpass.org/rows"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

// countedDirectory is a directory of one worker in each of some racks, and an invalid entry. It
// counts the entries that it returns.
type countedDirectory struct {
	racks    int
	returned atomic.Int32
}

// All implements driver.Directory.
func (d *countedDirectory) All(context.Context) ([]driver.Entry, error) {
	out := []driver.Entry{{Worker: cell.Worker{ID: "bad"}, Ver: 3, Invalid: "names no hall"}}
	for i := range d.racks {
		rack := fmt.Sprint("rack", i)
		out = append(out, driver.Entry{Ver: 2, Worker: cell.Worker{
			ID: "w-" + rack, Born: 5, Addr: "a", Pool: "p", Hall: "h", Rack: rack, Labels: []string{rack, "fast"},
			Room: sched.Vec{sched.MilliCPU: 7, sched.MemoryMiB: 8}, Draining: i%2 == 0, Remaining: time.Second,
		}})
	}
	d.returned.Add(int32(len(out)))
	return out, nil
}

// directoryFleet is an instance that reads a directory for the owners of the other cells.
type directoryFleet struct {
	directory *countedDirectory
	cells     int
	reader    *Instance
	greeting  *wire.Greeting
}

// newDirectoryFleet starts the reader, whose requests h answers if it is not nil.
func newDirectoryFleet(cells int, h link.Handler) *directoryFleet {
	GinkgoHelper()
	f := &directoryFleet{directory: &countedDirectory{racks: 8 * cells}, cells: cells, reader: testInstance(&fakePolicy{})}
	f.reader.division.set(cells)
	f.reader.Directory = func(rows.Store) driver.Directory { return f.directory }
	f.reader.cells["cell-0"] = &ownCell{driver: driver.New(driver.Config{Name: "cell-0", Claim: &claim.Claim{}})}
	f.reader.storeClient.Direct = staticStore{}
	f.answer()
	if h == nil {
		h = f.reader
	}
	f.greeting = &wire.Greeting{
		Instance: "reader", Hall: "h", Boot: "r", Addr: listenForPeers(h), StoreOk: true,
		Cells: []*wire.CellSummary{{Name: "cell-0", Ready: true}},
	}
	return f
}

// answer lets the store answer the reader.
func (f *directoryFleet) answer() {
	GinkgoHelper()
	_, err := f.reader.storeClient.Get(context.Background(), rows.Range{Table: "t"})
	Expect(err).NotTo(HaveOccurred())
}

// owner returns the lister of a cell whose owner has heard the reader.
func (f *directoryFleet) owner(cellName string) *cellLister {
	n := testInstance(&fakePolicy{})
	n.division.set(f.cells)
	n.members.applyGreeting(f.greeting, time.Now())
	n.cells[cellName] = &ownCell{driver: driver.New(driver.Config{Name: cellName, Claim: &claim.Claim{}})}
	return &cellLister{n: n, cell: cellName, directory: f.directory}
}

// listenForPeers answers requests of peers with h, and returns the address.
func listenForPeers(h link.Handler) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &link.Server{Handler: h}
	go server.Serve(l)
	DeferCleanup(server.Close)
	return l.Addr().String()
}

// Guards against reads of the directory that grow with the number of workers times that of cells.
// Ten owners that each read 6,000 entries every 2 s read ten times what they needed.
var _ = Describe("the directory of workers", func() {
	DescribeTable("is read as often however many owners need it", func(ctx context.Context, cells int) {
		f := newDirectoryFleet(cells, nil)
		var got []driver.Entry
		const reads = 3
		owners := make([]*cellLister, 0, cells)
		for i := 1; i < cells; i++ {
			owners = append(owners, f.owner(fmt.Sprint("cell-", i)))
		}
		for range reads {
			f.answer()
			_, err := f.reader.readListing(ctx, f.directory)
			Expect(err).NotTo(HaveOccurred())
			for _, o := range owners {
				o.n.members.applyGreeting(f.greeting, time.Now())
				l, err := o.list(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(l.Workers).To(Equal(f.directory.racks + 1))
				got = append(got, l.Entries...)
			}
			time.Sleep(recentListing + 10*time.Millisecond)
		}
		Expect(f.directory.returned.Load()).To(BeEquivalentTo(reads*(f.directory.racks+1)), "by the reader alone")
		Expect(len(got)).To(BeNumerically("<=", reads*(f.directory.racks+cells)), "each entry was sent to one owner")
	}, Entry("one cell", 1), Entry("two", 2), Entry("four", 4), Entry("eight", 8))

	It("reaches an owner unchanged, with the entries that are its own and those that are invalid", func(ctx context.Context) {
		f := newDirectoryFleet(2, nil)
		before := time.Now()
		all, err := f.reader.readListing(ctx, f.directory)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		l, err := f.owner("cell-1").list(ctx)
		Expect(err).NotTo(HaveOccurred())
		var want []driver.Entry
		for _, e := range all.Entries {
			if e.Invalid != "" || f.reader.division.hashCell(e.Rack) == "cell-1" {
				want = append(want, e)
			}
		}
		Expect(l.Entries).To(ConsistOf(want))
		Expect(l.Begun).To(And(BeTemporally("<=", all.Begun), BeTemporally(">", before.Add(-time.Second))), "never later than the read began")
	})

	// Guards against reads by all owners whenever the reader changes: 13 of them, twice, when the store
	// had turned the first one away for a while.
	It("is read once for all owners by a reader that has not read it lately", func(ctx context.Context) {
		for _, cells := range []int{4, 8, 16} {
			f := newDirectoryFleet(cells, nil)
			_, err := f.reader.readListing(ctx, f.directory)
			Expect(err).NotTo(HaveOccurred())
			last, _ := f.reader.listings.latest()
			last.Begun = time.Now().Add(-maxListingAge - time.Second)
			var wg sync.WaitGroup
			for i := 1; i < cells; i++ {
				o := f.owner(fmt.Sprint("cell-", i))
				wg.Go(func() {
					defer GinkgoRecover()
					l, err := o.list(ctx)
					Expect(err).NotTo(HaveOccurred())
					Expect(time.Since(l.Begun)).To(BeNumerically("<", time.Second))
				})
			}
			wg.Wait()
			Expect(f.directory.returned.Load()).To(BeEquivalentTo(2*(f.directory.racks+1)), "with %d cells", cells)
		}
	})

	It("is read by the owner itself if the store does not answer the reader", func(ctx context.Context) {
		f := newDirectoryFleet(2, nil)
		time.Sleep(time.Second)
		l, err := f.owner("cell-1").list(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Entries).To(HaveLen(f.directory.racks + 1))
	})

	DescribeTable("is read by the owner itself within the time that a read may stall if the reader", func(ctx context.Context, h handlerFunc) {
		f := newDirectoryFleet(2, h)
		o := f.owner("cell-1")
		begun := time.Now()
		for range 2 {
			l, err := o.list(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Entries).To(HaveLen(f.directory.racks + 1))
			time.Sleep(recentListing + time.Millisecond)
		}
		Expect(time.Since(begun)).To(BeNumerically("<", 2*recentListing+listingTimeout+200*time.Millisecond), "it is not asked again soon")
	},
		Entry("is of an earlier build", handlerFunc(func(*wire.Request) *wire.Reply {
			return &wire.Reply{Error: wire.ToError(kind.New(kind.BadRequest, "unknown type of peer request"))}
		})),
		Entry("does not answer", handlerFunc(func(*wire.Request) *wire.Reply {
			time.Sleep(2 * time.Second)
			return &wire.Reply{}
		})),
	)

	It("is read by the owner of the first cell that is heard, ready and reaches the store", func(ctx context.Context) {
		f := newDirectoryFleet(3, nil)
		o := f.owner("cell-2")
		Expect(o.n.directoryReader(time.Now()).name).To(Equal("reader"))
		f.greeting.StoreOk = false
		o.n.members.applyGreeting(f.greeting, time.Now())
		Expect(o.n.directoryReader(time.Now())).To(BeNil())
		f.greeting.StoreOk = true
		f.greeting.Cells[0].Ready = false
		o.n.members.applyGreeting(f.greeting, time.Now())
		Expect(o.n.directoryReader(time.Now())).To(BeNil())
		o.n.members.applyGreeting(&wire.Greeting{Instance: "second", Hall: "h", Boot: "s", Addr: "s", StoreOk: true, Cells: []*wire.CellSummary{{Name: "cell-1", Ready: true}}}, time.Now())
		Expect(o.n.directoryReader(time.Now()).name).To(Equal("second"))
		Expect(o.n.directoryReader(time.Now().Add(2 * peerMaxSilence))).To(BeNil())
		f.greeting.Cells[0].Ready = true
		o.n.members.applyGreeting(f.greeting, time.Now())
		o.n.cells["cell-0"] = o.n.cells["cell-2"]
		f.greeting.Cells = nil
		o.n.members.applyGreeting(f.greeting, time.Now())
		Expect(o.n.directoryReader(time.Now()).name).To(Equal("second"), "the store does not answer the owner of the first cell")
		o.n.storeClient.Direct = staticStore{}
		_, err := o.n.storeClient.Get(ctx, rows.Range{Table: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(o.n.directoryReader(time.Now())).To(BeNil(), "it owns the first cell itself")
	})
})
