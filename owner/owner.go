// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/trace"

	"github.com/uber-go/tally/v4"

	"dewpass.org/commit"
	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/tree"
)

// Config is what an Owner works with.
type Config struct {
	// Name is the name under which this start of the instance owns racks.
	Name    string
	Hall    string
	Connect func(addr string) ports.Worker
	Table   ports.Table
	Objects ports.Objects
	Journal *commit.Journal
	Tree    *tree.Register
	// Shown returns when the instance last showed in the table that it lives.
	Shown func() time.Time
	// Elsewhere returns another rack with room for a demand, and Tell tells its
	// owner of a job that was moved there.
	Elsewhere func(demand sched.Vec, not string) (hall, rack string, ok bool)
	Tell      func(row job.Job, version uint64)
	// Lost is called when a worker or the table shows that a rack may be
	// another's.
	Lost   func()
	Log    log.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
	// TaskLease is how long tasks go on at a worker that hears nothing; 0 is
	// DefaultTaskLease.
	TaskLease time.Duration
}

const (
	// DefaultTaskLease is longer than a takeover, so that one ends no task.
	DefaultTaskLease = 20 * time.Second
	tickEvery        = 50 * time.Millisecond
	pauseLimit       = 750 * time.Millisecond
)

// Owner runs the racks that an instance owns. Make one with New.
type Owner struct {
	Config
	start time.Time
	// base ends when the instance does.
	base context.Context

	mu      sync.Mutex
	cell    sched.Cell
	guard   lease.Guard
	racks   map[string]*rack
	workers map[sched.WorkerID]*worker
	byRef   map[uint64]*task
	byID    map[string]*task
	jobs    map[string]*jobState
	// creating holds the ids whose rows are being written, with their racks: a
	// look at the index of the rack may find them before their caller goes on.
	creating map[string]*rack
	names    numbers
	history  map[string]*estimate
	nextRef  uint64
	treeSeen uint64
	share    float64
	cellSize int
	out      []sched.Decision
	draining bool
	// away is set while the instance has not shown itself in the table for so
	// long that others may have moved its jobs.
	away bool
}

// rack is a rack that is owned.
type rack struct {
	name    string
	id      sched.RackID
	epoch   lease.Epoch
	row     uint64
	since   time.Time
	workers map[string]*worker
	loaded  bool
	// looked and scanned are when its jobs and its index were last gone through.
	looked  time.Time
	scanned time.Time
	// mostSince is when more than half of the workers were attached and have
	// been since; zero while they are not.
	mostSince time.Time
	// closing is set while the rack is about to be handed over.
	closing bool
	// ignored is set when a worker reported work whose row was not loaded yet.
	ignored bool
	ctx     context.Context
	cancel  context.CancelFunc
}

// task is a task that waits or runs.
type task struct {
	ref      uint64
	handle   sched.Handle
	spec     ports.Task
	workload *tree.Workload
	rack     *rack
	// worker is where it was placed; nil while it waits.
	worker *worker
	// epoch and incarnation are those of its last start.
	epoch       lease.Epoch
	incarnation string
	sent        bool
	// absent is set when the worker has shown that it does not have the task.
	absent bool
	// call is set while a caller waits for a place.
	call *pendingCall
	// callerWaits is set while a caller's goroutine holds the task.
	callerWaits bool
	// job is set for work with a row.
	job     *jobState
	placed  time.Duration
	queued  time.Duration
	stopped bool
}

// New returns an Owner without racks. ctx ends with the instance.
func New(ctx context.Context, c Config) *Owner {
	if c.TaskLease == 0 {
		c.TaskLease = DefaultTaskLease
	}
	return &Owner{
		Config:  c,
		base:    ctx,
		start:   clock.Now(),
		guard:   lease.Guard{Limit: pauseLimit},
		racks:   make(map[string]*rack),
		workers: make(map[sched.WorkerID]*worker),
		byRef:   make(map[uint64]*task),
		byID:    make(map[string]*task),
		jobs:    make(map[string]*jobState),

		creating: make(map[string]*rack),
		history:  make(map[string]*estimate),
		names:    newNumbers(),
		share:    1,
	}
}

// now is the time as the cell counts it.
func (o *Owner) now() time.Duration { return clock.Since(o.start) }

// Run keeps the books until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			o.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkPause()
	o.followTree()
	o.sweep()
	o.moveOn()
	o.step()
}

// checkPause makes every worker attach again if this process was paused: what
// it knew before may be long over. The lock is held. It comes before every
// decision.
func (o *Owner) checkPause() {
	if !o.guard.Tick(clock.Now()) {
		return
	}
	level.Warn(o.Log).Log("msg", "this process was paused", "action", "attaching all workers again")
	for _, r := range o.racks {
		for _, w := range r.workers {
			o.suspect(w)
		}
	}
	o.Lost()
}

// forget takes a task off the books.
func (o *Owner) forget(t *task) {
	if !o.cell.Cancel(t.handle) {
		o.cell.Finish(t.handle, o.now())
	}
	delete(o.byRef, t.ref)
	if o.byID[t.spec.ID] == t {
		delete(o.byID, t.spec.ID)
	}
}

// followTree takes in a new version of the tree.
func (o *Owner) followTree() {
	c := o.Tree.Now()
	if c.Version == o.treeSeen {
		return
	}
	o.treeSeen = c.Version
	o.quotas()
	for _, js := range o.jobs {
		o.release(js)
	}
}

var _ hall.Racks = (*Owner)(nil)

// numbers hands out a number for each name.
type numbers struct {
	known map[string]int32
}

func newNumbers() numbers { return numbers{known: make(map[string]int32)} }

func (n numbers) of(name string) int32 {
	id, ok := n.known[name]
	if !ok {
		id = int32(len(n.known) + 1)
		n.known[name] = id
	}
	return id
}

// task makes the record of a task. The lock is held.
func (o *Owner) newTask(w *tree.Workload, spec ports.Task) *task {
	o.nextRef++
	spec.Demand = w.Demand
	spec.Workload = w.Path
	t := &task{ref: o.nextRef, workload: w, spec: spec}
	o.byRef[t.ref] = t
	o.byID[spec.ID] = t
	return t
}

// schedTask returns what the cell needs to know of t.
func (o *Owner) schedTask(t *task) sched.Task {
	s := sched.Task{
		Ref:        t.ref,
		Team:       sched.TeamID(o.names.of("team/" + t.workload.Team)),
		Class:      t.workload.Class,
		Demand:     t.spec.Demand,
		Rack:       sched.AnyRack,
		Call:       t.spec.Call,
		Estimate:   o.estimate(t.workload),
		Preemption: t.workload.Ladder,
	}
	if t.job != nil && t.job.rack != nil && !t.spec.Call {
		s.Rack = t.job.rack.id
		o.jobTimes(t.job, &s)
	}
	if t.spec.Call || t.spec.Repeat == ports.RepeatNever {
		s.Preemption = 0
	}
	if t.workload.Kind == tree.Service {
		s.Group = o.names.of("group/" + t.workload.Path)
	}
	return s
}

func (o *Owner) jobTimes(js *jobState, s *sched.Task) {
	if js.row.NotBefore != nil {
		s.NotBefore = js.row.NotBefore.Sub(o.wall())
	}
	if js.row.Deadline != nil {
		s.Deadline = js.row.Deadline.Sub(o.wall())
	}
}

// wall is the wall clock's time at which the cell's clock began.
func (o *Owner) wall() time.Time { return clock.Wall().Add(-o.now()) }

// Job returns a job of an owned rack. Unless it is over, Job waits for its end
// until ctx ends.
func (o *Owner) Job(ctx context.Context, id string) (job.Job, bool) {
	o.mu.Lock()
	js := o.jobs[id]
	o.mu.Unlock()
	if js == nil {
		return job.Job{}, false
	}
	select {
	case <-js.done:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return js.row, js.err == nil
}
