// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/driver"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/stall"
	"dewpass.org/kind"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

// The owner of each cell needs the directory's entries of its own workers, but the store can only
// return the whole directory. If each owner read it, the reads would grow with the number of workers
// times the number of cells. So one owner reads it, the reader, and the others ask the reader for
// their part of each read. The reader is the owner of the first cell, by number, whose owner is
// heard and reaches the store. If it refuses, the next one is asked; whoever gets no answer reads the
// directory itself.
const (
	// listingWait is how long the reader waits for its next read before it answers a query.
	listingWait = 300 * time.Millisecond
	// listingTimeout limits a query. It is shorter than the time after which the driver gives up a
	// read without progress.
	listingTimeout = listingWait + 150*time.Millisecond
	// maxListingAge is the age from which a listing of the reader is not used any more.
	maxListingAge = 4 * time.Second
	// firstListingWait is how long an owner without a listing waits for that of the reader.
	firstListingWait = time.Second
	// recentListing is the age up to which the cells of one instance use the same read.
	recentListing = 400 * time.Millisecond
	// failedReaderPause is how long an owner that returned no listing is not asked again.
	failedReaderPause = 3 * time.Second
	// fastRefusal is the time within which a reader has to refuse for the next one to be asked in the
	// same read. It is far below listingTimeout.
	fastRefusal = listingTimeout / 4
)

// numberedListing is a listing with its number among those of this process.
type numberedListing struct {
	driver.Listing
	number uint64

	indexOnce sync.Once
	// byCell holds the entries of each cell in the form that other instances receive.
	byCell map[string][]*wire.WorkerEntry
	// invalid holds the entries whose cell is not known.
	invalid []*wire.WorkerEntry
}

// forCell returns the entries that concern a cell. cellOf returns the cell of a rack.
func (l *numberedListing) forCell(name string, cellOf func(rack string) string) []*wire.WorkerEntry {
	l.indexOnce.Do(func() {
		l.byCell = make(map[string][]*wire.WorkerEntry)
		for i := range l.Entries {
			e := &l.Entries[i]
			if e.Invalid != "" {
				l.invalid = append(l.invalid, &wire.WorkerEntry{Id: e.ID, Version: e.Ver, Invalid: e.Invalid})
				continue
			}
			c := cellOf(e.Rack)
			l.byCell[c] = append(l.byCell[c], encodeEntry(e))
		}
	})
	return append(l.byCell[name][:len(l.byCell[name]):len(l.byCell[name])], l.invalid...)
}

// listings holds the last listing that this instance has read from the directory.
type listings struct {
	// reading is a semaphore of one: the cells of one instance read one after another.
	reading chan struct{}

	mu   sync.Mutex
	last *numberedListing
	// replaced is closed when last is replaced.
	replaced chan struct{}
}

func newListings() *listings {
	return &listings{reading: make(chan struct{}, 1), replaced: make(chan struct{})}
}

// latest returns the last listing, nil if there is none, and a channel that is closed when it is
// replaced.
func (l *listings) latest() (*numberedListing, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.replaced
}

// set replaces the last listing.
func (l *listings) set(listing driver.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := uint64(1)
	if l.last != nil {
		number = l.last.number + 1
	}
	l.last = &numberedListing{Listing: listing, number: number}
	close(l.replaced)
	l.replaced = make(chan struct{})
}

// await returns the last listing once it is a recent one whose number is not have, or after
// listingWait.
func (l *listings) await(ctx context.Context, have uint64) *numberedListing {
	last, replaced := l.latest()
	if last != nil && last.number != have && clock.Since(last.Begun) <= maxListingAge {
		return last
	}
	select {
	case <-replaced:
	case <-time.After(listingWait):
	case <-ctx.Done():
	}
	last, _ = l.latest()
	return last
}

// readListing reads the directory, or returns the listing that another cell of this instance has
// just read.
func (n *Instance) readListing(ctx context.Context, d driver.Directory) (driver.Listing, error) {
	select {
	case n.listings.reading <- struct{}{}:
		defer func() { <-n.listings.reading }()
	case <-ctx.Done():
		return driver.Listing{}, kind.Wrap(kind.Unavailable, ctx.Err(), "another cell is reading the directory")
	}
	if last, _ := n.listings.latest(); last != nil && clock.Since(last.Begun) < recentListing {
		return last.Listing, nil
	}
	listing, err := driver.ReadListing(ctx, d)
	if err == nil {
		n.listings.set(listing)
	}
	return listing, err
}

// readOnDemand reads the directory because an owner asks for it, unless this instance has read it
// lately: the reader before it is gone, or the store has turned it away.
func (n *Instance) readOnDemand(ctx context.Context) {
	if last, _ := n.listings.latest(); last != nil && clock.Since(last.Begun) < maxListingAge {
		return
	}
	go func() {
		// The owner's query may end before the read does, which the other owners need as well.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxListingAge)
		defer cancel()
		_, _ = n.readListing(ctx, n.Directory(n.storeClient))
	}()
}

// cellLister lists the workers of one cell.
type cellLister struct {
	n         *Instance
	cell      string
	directory driver.Directory
	// begun is when the last listing began.
	begun time.Time

	// reader is the boot of the instance that returned the last listing, and have its number.
	reader string
	have   uint64
	// failed holds the boots of the readers that returned no listing, with when that was.
	failed map[string]time.Time
}

// list returns the next listing of the reader, or reads the directory if this instance is the reader
// or gets no listing.
func (l *cellLister) list(ctx context.Context) (driver.Listing, error) {
	listing, ok := l.fromReader(ctx)
	var err error
	if !ok {
		listing, err = l.n.readListing(ctx, l.directory)
	}
	if err == nil {
		l.begun = listing.Begun
	}
	return listing, err
}

// fromReader waits for the next listing of the reader, as long as that answers and the listing from
// before is not too old. ok is false if there is none. A reader that refuses at once is passed over, as
// when the store has turned it away: whoever comes after it reads the directory for all. One that does
// not answer has taken the time in which another one could be asked.
func (l *cellLister) fromReader(ctx context.Context) (listing driver.Listing, ok bool) {
	until := l.begun.Add(maxListingAge)
	if first := clock.Now().Add(firstListingWait); first.After(until) {
		until = first
	}
	for ctx.Err() == nil && clock.Now().Before(until) {
		asked := clock.Now()
		r := l.n.directoryReaderExcept(asked, l.passedOver)
		if r == nil {
			return listing, false
		}
		listing, fresh, err := l.query(ctx, r)
		if err != nil {
			l.passOver(r.boot, clock.Now())
			level.Info(l.n.kit.Log).Log("event", "workers_not_listed", "cell", l.cell, "reader", r.name, "err", err)
			if clock.Since(asked) > fastRefusal {
				return listing, false
			}
			continue
		}
		if fresh {
			return listing, true
		}
		// The reader has answered, and is still reading.
		stall.Progress(ctx)
	}
	return listing, false
}

// passOver has a reader not be asked for failedReaderPause.
func (l *cellLister) passOver(boot string, now time.Time) {
	if l.failed == nil {
		l.failed = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.failed, func(_ string, at time.Time) bool { return now.Sub(at) >= failedReaderPause })
	l.failed[boot] = now
}

// passedOver reports whether a reader is not asked, because it returned no listing a moment ago.
func (l *cellLister) passedOver(boot string) bool {
	at, ok := l.failed[boot]
	return ok && clock.Since(at) < failedReaderPause
}

// query asks the reader for its next listing. fresh is false if it has only the one that this
// instance has already.
func (l *cellLister) query(ctx context.Context, r *member) (listing driver.Listing, fresh bool, err error) {
	if r.boot != l.reader {
		l.reader, l.have = r.boot, 0
	}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	sent := clock.Now()
	reply, err := l.n.dialer.Do(ctx, r.addr, &wire.Request{Body: &wire.Request_Workers{Workers: &wire.WorkersQuery{Cell: l.cell, Have: l.have}}})
	if err != nil {
		return driver.Listing{}, false, err
	}
	got := reply.GetWorkers()
	if got.GetRead() == l.have {
		return driver.Listing{}, false, nil
	}
	l.have = got.GetRead()
	// The age is that at the time of the answer, which was given after the query was sent.
	listing = driver.Listing{Workers: int(got.GetWorkers()), Begun: sent.Add(-time.Duration(got.GetAgeUs()) * time.Microsecond)}
	for _, e := range got.GetEntries() {
		listing.Entries = append(listing.Entries, decodeEntry(e))
	}
	return listing, true, nil
}

// directoryReader returns the instance that reads the directory for all owners, nil if this instance
// does or none is known. An owner that the store does not answer is passed over, also by itself: it
// would have to read the directory through a peer.
func (n *Instance) directoryReader(now time.Time) *member {
	return n.directoryReaderExcept(now, func(string) bool { return false })
}

// directoryReaderExcept is directoryReader without the instances whose boot is passed over.
func (n *Instance) directoryReaderExcept(now time.Time, passedOver func(boot string) bool) *member {
	own, heard := n.ownCells(), n.members.cellsByName(now)
	for _, name := range n.division.cells() {
		if own[name] != nil && n.storeClient.DirectlyReachable() {
			return nil
		}
		if o, ok := heard[name]; ok && o.cell.Ready && o.storeOK && o.responsive(now) && !passedOver(o.boot) {
			return &o.member
		}
	}
	return nil
}

// handleWorkers answers an owner's query for the workers of its cell.
func (n *Instance) handleWorkers(ctx context.Context, q *wire.WorkersQuery) (*wire.Reply, error) {
	if len(n.ownCells()) == 0 || !n.storeClient.DirectlyReachable() {
		return nil, kind.New(kind.Unavailable, "this instance does not read the directory")
	}
	n.readOnDemand(ctx)
	last := n.listings.await(ctx, q.Have)
	if last == nil || clock.Since(last.Begun) > maxListingAge {
		// The read is not over yet.
		return &wire.Reply{Body: &wire.Reply_Workers{Workers: &wire.WorkerListing{Read: q.Have}}}, nil
	}
	out := &wire.WorkerListing{Read: last.number, AgeUs: uint64(clock.Since(last.Begun).Microseconds()), Workers: uint32(last.Workers)}
	if last.number != q.Have {
		out.Entries = last.forCell(q.Cell, n.division.hashCell)
	}
	return &wire.Reply{Body: &wire.Reply_Workers{Workers: out}}, nil
}

func encodeEntry(e *driver.Entry) *wire.WorkerEntry {
	return &wire.WorkerEntry{
		Id: e.ID, Version: e.Ver, Addr: e.Addr, Pool: e.Pool, Hall: e.Hall, Rack: e.Rack, Labels: e.Labels,
		Room: e.Room[:], Draining: e.Draining, RemainingMs: e.Remaining.Milliseconds(), Born: e.Born,
	}
}

func decodeEntry(e *wire.WorkerEntry) driver.Entry {
	w := cell.Worker{
		ID: e.Id, Born: e.Born, Addr: e.Addr, Pool: e.Pool, Hall: e.Hall, Rack: e.Rack, Labels: e.Labels,
		Draining: e.Draining, Remaining: time.Duration(e.RemainingMs) * time.Millisecond,
	}
	copy(w.Room[:min(len(e.Room), int(sched.NumDims))], e.Room)
	return driver.Entry{Worker: w, Ver: e.Version, Invalid: e.Invalid}
}
