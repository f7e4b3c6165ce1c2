// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"dewpass.org/cell"
	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/rtt"
	"dewpass.org/internal/window"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

// Config is what a Driver works with.
type Config struct {
	// Name is the cell's.
	Name string
	// Mine reports whether the workers of a rack are of this cell.
	Mine func(rack string) bool
	// Lease is how long the runs of a worker go on without being renewed, and LeaseMost the
	// longest that a worker grants, whatever it is told; 0 is Lease.
	Lease, LeaseMost time.Duration
	// Former is for how long after the cell lease was taken a former owner may go on.
	Former time.Duration
	// Keep is how long a job that is over can be asked for.
	Keep time.Duration
	// Claim is this instance's claim to the cell; the Driver is its only user.
	Claim     *claim.Claim
	Store     rows.Store
	Reachable func() bool
	Workers   Workers
	// Carriers send orders where this instance cannot send all by itself; nil is none.
	Carriers  Carriers
	Directory Directory
	// LinkRate is how many bytes a second this instance's link carries, 0 if not known.
	LinkRate int
	// Advise asks the policy, and Callers is how many questions may be under
	// way at once.
	Advise  func(ctx context.Context, a cell.Ask) (Tickets, error)
	Callers func() int
	// HeardByAll reports whether every instance that might take the cell lease is known
	// to have heard this one lately.
	HeardByAll func() bool
	// Succeeded returns the jobs of which this instance has heard that they succeeded.
	Succeeded func() []string
	// Lost is called when another instance holds the cell lease.
	Lost func()
	// LoadTimedOut is called when the jobs could not be read in time although the store
	// answers: another instance may have the means.
	LoadTimedOut func()
	Log          log.Logger
	Scope        tally.Scope
}

// Driver runs the cell. Make one with New.
type Driver struct {
	Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	began  time.Time

	mu    sync.Mutex
	cell  *cell.Cell
	links map[string]*link
	// topFence is the highest fence that any worker was held under.
	topFence uint64
	// stale names the jobs whose records are to be removed.
	stale    []string
	archives archives
	// ended holds the jobs that are over and not archived yet.
	ended  []cell.Over
	frozen bool
	loaded bool
	// scanned is the version up to which the jobs were read.
	scanned uint64
	// workerListChanged says that the workers of the cell are not those of the
	// worker list in the store.
	workerListChanged bool
	// workerListRows is how many rows the worker list in the store may have, and
	// workerListSize how many workers the last one lists.
	workerListRows, workerListSize int
	// lastRead is when the last whole reading of the directory began; only watch sets it.
	lastRead time.Time
	// starts bounds the starts under way by what this instance's link and processor carry.
	starts window.Window
	// bad holds why entries of workers could not be used, as last logged.
	bad map[string]string
	// lateness follows by how much the answers of workers are late by this side's doing.
	lateness rtt.Common
	// heldBack is when orders were last held back for want of room to send.
	heldBack time.Time
	// attaching holds a place for each worker of a hall that is being attached.
	attaching map[string]chan struct{}
	// kept is closed and renewed whenever the store has taken a write.
	kept chan struct{}

	wake  chan struct{}
	write chan struct{}
}

const (
	// runsPerEpoch is how many numbers for runs of one task an epoch has.
	runsPerEpoch = 1 << 12
	// fencesPerEpoch is how many fences for one worker an epoch has.
	fencesPerEpoch = 1 << 20
	// placeEvery bounds how long a decision that only time brings may wait.
	placeEvery = 100 * time.Millisecond
	// gather is how long events are gathered before a decision.
	gather = 2 * time.Millisecond
	// pauseLimit is the gap between two ticks that counts as a pause of the
	// process.
	pauseLimit = 900 * time.Millisecond
)

// New returns a Driver for a cell lease that has just been taken.
func New(c Config) *Driver {
	d := &Driver{
		Config: c,
		cell:   cell.New(int(c.Claim.Epoch()) * runsPerEpoch),
		links:  make(map[string]*link),

		attaching: make(map[string]chan struct{}),
		kept:      make(chan struct{}),
		wake:      make(chan struct{}, 1),
		write:     make(chan struct{}, 1),
		began:     clock.Now(),
	}
	d.cell.Name = c.Name
	d.starts.Rate = d.LinkRate
	if d.Carriers == nil {
		d.Carriers = noCarriers{}
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start reads the cell's jobs and then runs until Close.
func (d *Driver) Start() {
	// The cell lease is renewed while the jobs are read.
	d.spawn(d.commitLoop)
	d.spawn(func() {
		if d.load() {
			d.spawn(d.watch)
			d.spawn(d.scan)
			d.spawn(d.sweep)
			d.spawn(d.followShares)
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

// Close ends everything at once.
func (d *Driver) Close() {
	d.cancel()
	d.wg.Wait()
}

// Freeze lets nothing new start, and ends everything once the orders that are
// under way have their answers, or after a moment. Ends that are not kept yet
// come again to the next owner.
func (d *Driver) Freeze() {
	d.mu.Lock()
	d.frozen = true
	d.mu.Unlock()
	for range freezeTries {
		if !d.ordering() {
			break
		}
		time.Sleep(freezePause)
	}
	d.Close()
}

const (
	freezePause = 5 * time.Millisecond
	freezeTries = 10
)

// ordering reports whether orders are under way.
func (d *Driver) ordering() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if len(l.orders) > 0 {
			return true
		}
	}
	return false
}

func (d *Driver) keptSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kept
}

// Configure sets the queues and the client accounts.
func (d *Driver) Configure(queues []cell.Queue, accounts ...cell.Account) {
	d.mu.Lock()
	d.cell.Configure(queues, accounts...)
	d.mu.Unlock()
	notify(d.wake)
}

// Ready reports whether the cell's jobs have been read.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded && !d.frozen
}

// Loaded reports whether the cell's jobs have been read, also when it has been given
// up since.
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

// State returns the state of a job, and whether the cell has it. It is not
// known before Ready.
func (d *Driver) State(id string) (flow.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.State(id)
}

// MayUse reports whether an account may ask for and cancel a job.
func (d *Driver) MayUse(id, account string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.MayUse(id, account)
}

// Cancel cancels a job and returns once that is kept. Its error is of kind
// NotFound if the hall does not have the job.
func (d *Driver) Cancel(ctx context.Context, id string) error {
	d.mu.Lock()
	known := d.cell.Cancel(id, clock.Now())
	d.mu.Unlock()
	if !known {
		return kind.New(kind.NotFound, "the cell has no such job")
	}
	notify(d.wake)
	notify(d.write)
	for {
		kept := d.keptSignal()
		if s, ok := d.State(id); !ok || s.Final() {
			return nil
		}
		select {
		case <-kept:
		case <-ctx.Done():
			return kind.Wrap(kind.Lost, ctx.Err(), "cancel").Uncertain(id)
		}
	}
}

// lost is called when a fence or the store shows another owner.
func (d *Driver) lost(why string) {
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
	go d.Lost()
}

// placeLoop decides whenever something happened.
func (d *Driver) placeLoop() {
	tick := time.NewTicker(placeEvery)
	defer tick.Stop()
	last := clock.Now()
	tidied := last
	for {
		select {
		case <-d.wake:
			time.Sleep(gather)
		case <-tick.C:
		case <-d.ctx.Done():
			return
		}
		now := clock.Now()
		if now.Sub(last) > pauseLimit && !d.confirm(now.Sub(last)) {
			return
		}
		last = clock.Now()
		if now.Sub(tidied) > tidyEvery {
			tidied = now
			d.tidy(now)
		}
		d.place(now)
	}
}

// mayOrder reports whether what is ordered now cannot meet the orders of another
// owner: the cell lease was written lately, or all who could take it hear this
// instance.
func (d *Driver) mayOrder(now time.Time) bool {
	return d.Claim.Valid(now) || d.HeardByAll()
}

// confirm makes sure after a pause that the cell lease is still held.
func (d *Driver) confirm(gap time.Duration) bool {
	level.Warn(d.Log).Log("event", "paused", "gap_ms", gap.Milliseconds())
	d.mu.Lock()
	for id := range d.links {
		d.unsure(id)
	}
	d.mu.Unlock()
	for d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		held, err := d.Claim.Held(ctx)
		cancel()
		if err == nil {
			if !held {
				d.lost("the cell lease changed hands during a pause")
			}
			return held
		}
		if !d.Reachable() {
			return true
		}
	}
	return false
}

func (d *Driver) tidy(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report()
	d.checkWorkerList()
	d.tidyUp(now)
}

// report sets the gauges of the cell. The lock is held.
func (d *Driver) report() {
	counts, load := d.cell.Counts(), d.cell.Load()
	for name, v := range map[string]float64{
		"runs_started": float64(counts.Started), "runs_done": float64(counts.Done), "runs_failed": float64(counts.Failed),
		"runs_stopped": float64(counts.Stopped), "runs_lapsed": float64(counts.Lapsed),
		"workers": float64(load.Workers), "workers_attached": float64(load.Attached), "stages_waiting": float64(load.Stages),
		"room_millicores": float64(load.Room[sched.Milli]), "free_millicores": float64(load.Free[sched.Milli]),
	} {
		d.Scope.Gauge(name).Update(v)
	}
}

// place lets the cell decide and carries it out.
func (d *Driver) place(now time.Time) {
	d.mu.Lock()
	if d.frozen || !d.mayOrder(now) {
		d.mu.Unlock()
		return
	}
	for id, l := range d.links {
		d.cell.Silent(id, l.silent(now))
		if !l.attached {
			d.cell.LeaseEnds(id, l.over)
		}
	}
	if d.cell.HeldBack() {
		d.heldBack = now
	}
	carried := d.carries(now)
	d.cell.SendMost(d.starts.Free(), carried)
	a := d.cell.Place(now, clock.Wall(), d.Callers())
	d.startRuns(a.Starts, carried)
	for i := range a.Stops {
		d.stopRun(a.Stops[i])
	}
	for i := range a.Paces {
		d.paceRun(a.Paces[i])
	}
	d.logWaits(a.Waits)
	d.logLate(a.Late)
	d.logChanges()
	d.logLostRuns()
	for i := range a.Asks {
		ask := a.Asks[i]
		d.spawn(func() { d.ask(ask) })
	}
	d.archiveEnded()
	if d.cell.Restless() {
		// Somebody is to yield: the stops go out with the next decision.
		notify(d.wake)
	}
	if d.cell.Dirty() {
		notify(d.write)
	}
	d.mu.Unlock()
}

func (d *Driver) ask(a cell.Ask) {
	ctx, cancel := context.WithTimeout(d.ctx, 2*a.Takes()+time.Second)
	defer cancel()
	sent := clock.Now()
	t, err := d.Advise(ctx, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		level.Info(d.Log).Log("event", "not_advised", "job", a.Step.Job, "step", a.Step.Step, "asked", len(a.Workers), "err", err)
		d.cell.Unadvised(a, clock.Now())
		return
	}
	level.Debug(d.Log).Log("event", "advised", "job", a.Step.Job, "step", a.Step.Step, "asked", len(a.Workers), "good", len(t.Rows), "took_ms", clock.Since(sent).Milliseconds())
	// The ticket counts from the answer, which took its time after sent.
	valid := a.Advice.Valid
	if t.Valid > 0 {
		valid = min(valid, t.Valid)
	}
	d.cell.Advised(a, t.Rows, valid, maxTime(sent.Add(a.Takes()), sent))
	notify(d.wake)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// notify wakes whoever waits on c, which has room for one value. It never blocks.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
