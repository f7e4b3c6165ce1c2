// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"dewpass.org/capacity"
	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/rtt"
	"dewpass.org/internal/window"
	"dewpass.org/kind"
	"dewpass.org/outage"
	"dewpass.org/quota"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

// Config configures a Driver.
type Config struct {
	// Name is the name of the cell.
	Name string
	// OwnsRack reports whether the workers of a rack belong to this cell.
	OwnsRack func(rack string) bool
	// WorkerLease is how long runs on a worker go on without a renewal, and MaxWorkerLease the
	// longest lease that a worker grants, whatever it is told. A MaxWorkerLease of 0 stands for
	// WorkerLease.
	WorkerLease, MaxWorkerLease time.Duration
	// FormerGrace is for how long after this instance took the cell lease a former owner may still
	// send orders.
	FormerGrace time.Duration
	// Retention is how long clients can query a job after its end.
	Retention time.Duration
	// FairSharing divides full pools fairly between client accounts.
	FairSharing bool
	// Claim holds the cell lease. The Driver is its only user.
	Claim          *claim.Claim
	Store          rows.Store
	StoreReachable func() bool
	Workers        Workers
	// Relays send orders on behalf of this instance when its own link is saturated. It may be
	// nil.
	Relays    Relays
	Directory Directory
	// Cordons is nil if halls cannot be cordoned.
	Cordons Cordons
	// List returns a listing that this instance, or the owner of another cell, has just read. If it
	// is nil, the Directory is read.
	List func(ctx context.Context) (Listing, error)
	// LinkRate is the capacity of this instance's network link in bytes per second, 0 if unknown.
	LinkRate int
	// Headroom means that the cell keeps room for its most urgent queues.
	Headroom bool
	// WorkerSpeed enables learning the speeds of workers and choosing workers by them.
	WorkerSpeed bool
	// Cells is the number of cells; 0 counts as 1. Elsewhere stands for the others; it is nil if there
	// are none.
	Cells     int
	Elsewhere Elsewhere
	// Advise asks the policy, and AskLimit returns how many such requests may be in flight at once.
	Advise   func(ctx context.Context, a cell.Ask) (Tickets, error)
	AskLimit func() int
	// HeardByAll reports whether every instance that might take the cell lease is known to have
	// heard from this one recently.
	HeardByAll func() bool
	// OnLeaseLost is called when another instance holds the cell lease.
	OnLeaseLost func()
	// OnLoadTimeout is called when the jobs could not be read in time although the store answers.
	// Another instance may have a faster connection to it.
	OnLoadTimeout func()
	Log           log.Logger
	Scope         tally.Scope
}

// Driver runs a cell. Use New to create one.
type Driver struct {
	Config
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	startedAt time.Time

	mu    sync.Mutex
	cell  *cell.Cell
	links map[string]*link
	// topFence is the highest fence under which any worker was held.
	topFence uint64
	// staleRecords holds the ids of jobs whose records are to be removed.
	staleRecords []string
	archives     archives
	refusals     refusals
	// unarchived holds the jobs that have ended and whose end is not archived yet.
	unarchived []cell.EndedJob
	frozen     bool
	loaded     bool
	// storedQuotas holds the shares of client accounts' limits that the store has.
	storedQuotas map[string]quota.Ledger
	// giftsKnown holds the cells with which this one has exchanged what they have given to each other.
	giftsKnown map[string]bool
	// workers are those that could run tasks a moment ago, if workersKnown is set.
	workers      capacity.Workers
	workersKnown bool
	// moved holds the jobs that were moved to another cell.
	moved map[string]movedJob
	// scannedVer is the version of the store up to which the jobs have been read.
	scannedVer uint64
	// badSpecs holds the jobs whose specifications could not be read then. They are left to a next
	// owner, which reads their records as well once the specifications are repaired.
	badSpecs map[string]bool
	// workerListChanged says that the worker list in the store is out of date.
	workerListChanged bool
	// workerListRows is the largest number of rows that the worker list in the store may have, and
	// workerListSize the number of workers in the last one written.
	workerListRows, workerListSize int
	// lostWorkers holds, by hall, the lost workers of whose runs some records may still have to be
	// written. lostWorkersStored says that the store may have a row of lost workers.
	lostWorkers       map[string][]string
	lostWorkersStored bool
	// directoryReadAt is when the last complete read of the directory that was applied began.
	directoryReadAt time.Time
	// startWindow limits the start orders in flight to what this instance's link and CPU can
	// handle.
	startWindow window.Window
	// loggedInvalid holds, by worker, the reason last logged for an invalid entry.
	loggedInvalid map[string]string
	// lateness estimates the delay of workers' answers that this side causes.
	lateness rtt.SharedDelay
	// throttledAt is when orders were last held back because the link was full.
	throttledAt time.Time
	// outages tells which halls may be cut off. Nothing is started there.
	outages outage.Detector
	// cordoned holds the halls in which operators want nothing more to be started, sorted.
	cordoned []string
	// attachSlots limits, by hall, how many workers are attached at once.
	attachSlots map[string]chan struct{}
	// persisted is closed and replaced whenever the store has accepted a write.
	persisted chan struct{}

	placeNow  chan struct{}
	commitNow chan struct{}
	scanNow   chan struct{}
}

const (
	// runsPerEpoch is the number of run numbers reserved for each task in an epoch.
	runsPerEpoch = 1 << 12
	// fencesPerEpoch is the number of fences reserved for each worker in an epoch.
	fencesPerEpoch = 1 << 20
	// fenceReserve is how many of these are left when an owner gives its cell up: more than it takes
	// while it is being stopped.
	fenceReserve = 1 << 10
)

// New returns a Driver for a cell lease that has just been taken.
func New(c Config) *Driver {
	d := &Driver{
		Config: c,
		cell:   cell.New(int(c.Claim.Epoch()) * runsPerEpoch),
		links:  make(map[string]*link),

		attachSlots: make(map[string]chan struct{}),
		persisted:   make(chan struct{}),
		placeNow:    make(chan struct{}, 1),
		commitNow:   make(chan struct{}, 1),
		scanNow:     make(chan struct{}, 1),
		badSpecs:    make(map[string]bool),

		storedQuotas: make(map[string]quota.Ledger),
		giftsKnown:   make(map[string]bool),
		startedAt:    clock.Now(),
	}
	d.cell.Name, d.cell.FairSharing, d.cell.Headroom, d.cell.CellCount = c.Name, c.FairSharing, c.Headroom, c.Cells
	d.cell.UseSpeeds(c.WorkerSpeed)
	d.startWindow.Rate = d.LinkRate
	if d.Relays == nil {
		d.Relays = noRelays{}
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start begins to read the cell's jobs and to run the cell. It returns at once; Close ends it.
func (d *Driver) Start() {
	// The cell lease is renewed while the jobs are read.
	d.spawn(d.commitLoop)
	d.spawn(func() {
		if d.load() {
			d.spawn(d.watchDirectory)
			d.spawn(d.scan)
			d.spawn(d.sweep)
			d.spawn(d.watchShares)
			d.spawn(d.watchCordons)
			if d.Elsewhere != nil {
				d.spawn(d.watchMoves)
				d.spawn(d.watchQuotas)
			}
			d.placeLoop()
		}
	})
}

func (d *Driver) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// Close stops the driver at once and waits for its goroutines.
func (d *Driver) Close() {
	d.cancel()
	d.wg.Wait()
}

// Freeze stops the start of new runs, waits briefly for the answers to the orders in flight, and
// closes the driver. Ends that are not persisted yet are listed to the next owner again.
func (d *Driver) Freeze() {
	d.mu.Lock()
	d.frozen = true
	d.mu.Unlock()
	for range freezePolls {
		if !d.ordersInFlight() {
			break
		}
		time.Sleep(freezePollInterval)
	}
	d.Close()
}

const (
	freezePollInterval = 5 * time.Millisecond
	freezePolls        = 10
)

// ordersInFlight reports whether there are orders without an answer.
func (d *Driver) ordersInFlight() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if len(l.pendingOrders) > 0 {
			return true
		}
	}
	return false
}

func (d *Driver) persistedSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.persisted
}

// Configure sets the queues and the client accounts.
func (d *Driver) Configure(queues []cell.Queue, accounts ...cell.Account) {
	d.mu.Lock()
	d.cell.Configure(queues, accounts...)
	d.mu.Unlock()
	notify(d.placeNow)
}

// Ready reports whether the cell's jobs have been read.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded && !d.frozen
}

// Loaded reports whether the cell's jobs have been read, even if the cell was given up since.
func (d *Driver) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Load returns the cell's load.
func (d *Driver) Load() cell.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.Load()
}

// State returns the state of a job, and whether the cell has the job. Before Ready it is unknown.
func (d *Driver) State(id string) (flow.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.State(id)
}

// ExclusiveAccount returns the only account that may query and cancel a job, "" if all may, and
// whether the cell has the job.
func (d *Driver) ExclusiveAccount(id string) (account string, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.ExclusiveAccount(id)
}

// Cancel cancels a job and returns once the cancellation is persisted. It returns an error of kind
// NotFound if the cell does not have the job, one of kind Unavailable if the job is on its way to another
// cell, and one of kind Lost if the driver is closed before.
func (d *Driver) Cancel(ctx context.Context, id string) error {
	d.mu.Lock()
	moving, known := d.cell.Moving(id), d.cell.Cancel(id, clock.Now())
	d.mu.Unlock()
	if moving {
		return kind.New(kind.Unavailable, "the job is being moved to another cell")
	}
	if !known {
		return kind.New(kind.NotFound, "the cell has no such job")
	}
	notify(d.placeNow)
	notify(d.commitNow)
	for {
		kept := d.persistedSignal()
		if s, ok := d.State(id); !ok || s.Final() {
			return nil
		}
		select {
		case <-kept:
		case <-d.ctx.Done():
			return kind.New(kind.Lost, "the cell has been given up").WithUnknownOutcome(id)
		case <-ctx.Done():
			return kind.Wrap(kind.Lost, ctx.Err(), "cancel").WithUnknownOutcome(id)
		}
	}
}

// leaseLost stops the driver after a fence or the store has shown that another instance owns the
// cell.
func (d *Driver) leaseLost(why string) {
	d.mu.Lock()
	was := d.frozen
	d.frozen = true
	d.mu.Unlock()
	if was {
		return
	}
	d.Scope.Counter("cell_leases_lost_total").Inc(1)
	level.Warn(d.Log).Log("event", "cell_lease_lost", "cell", d.Name, "epoch", d.Claim.Epoch(), "why", why)
	d.cancel()
	go d.OnLeaseLost()
}

func (d *Driver) housekeep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateGauges()
	d.checkWorkerList()
	d.retireJobs(now)
}

// updateGauges sets the cell's gauges. The lock is held.
func (d *Driver) updateGauges() {
	counts, load := d.cell.Counts(), d.cell.Load()
	unitsKept, unitsFree := d.cell.HeadroomUnits()
	slow, fast := d.cell.SpeedClasses()
	for name, v := range map[string]float64{
		"runs_started": float64(counts.Started), "runs_done": float64(counts.Done), "runs_failed": float64(counts.Failed),
		"runs_stopped": float64(counts.Stopped), "runs_lapsed": float64(counts.Lapsed),
		"workers": float64(load.Workers), "workers_attached": float64(load.Attached), "workers_slow": float64(slow), "workers_fast": float64(fast), "stages_waiting": float64(load.Stages),
		"room_millicores": float64(load.Room[sched.MilliCPU]), "free_millicores": float64(load.Free[sched.MilliCPU]),
		"headroom_units_kept": float64(unitsKept), "headroom_units_free": float64(unitsFree),
	} {
		d.Scope.Gauge(name).Update(v)
	}
}

// notify wakes the receiver of c, which has a buffer of one. It never blocks.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
