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

// Config holds the settings and dependencies of an Owner.
type Config struct {
	// Name is the name under which this process owns racks. Each start of the instance has
	// another one.
	Name    string
	Hall    string
	Connect func(addr string) ports.Worker
	Table   ports.Table
	Objects ports.Objects
	Journal *commit.Journal
	Tree    *tree.Register
	// LastHeartbeat returns the time of the instance's last heartbeat in the table.
	LastHeartbeat func() time.Time
	// FindRack returns another rack with room for a demand. NotifyMoved notifies the
	// owner of that rack of a job that was moved there.
	FindRack    func(demand sched.Vec, not string) (hall, rack string, ok bool)
	NotifyMoved func(row job.Job, version uint64)
	// OnOwnershipDoubt is called when a worker or the table indicates that another owner may
	// have a rack.
	OnOwnershipDoubt func()
	Log              log.Logger
	Scope            tally.Scope
	Tracer           trace.Tracer
	// TaskLease is how long tasks keep running on a worker that no owner contacts; 0 means
	// DefaultTaskLease.
	TaskLease time.Duration
}

const (
	// DefaultTaskLease is longer than a takeover of a rack, so that a takeover ends no task.
	DefaultTaskLease = 20 * time.Second
	tickInterval     = 50 * time.Millisecond
	pauseLimit       = 750 * time.Millisecond
)

// Owner runs the racks that an instance owns. Use New to create one.
type Owner struct {
	Config
	start time.Time
	// instanceCtx ends with the instance.
	instanceCtx context.Context

	mu         sync.Mutex
	cell       sched.Cell
	pauseGuard lease.PauseDetector
	racks      map[string]*rack
	workers    map[sched.WorkerID]*worker
	tasksByRef map[uint64]*task
	tasksByID  map[string]*task
	jobs       map[string]*jobState
	// creating holds the IDs of jobs whose rows are being written, with their racks. A scan of
	// the rack's index may find such a row before its writer has added the job.
	creating map[string]*rack
	// departed holds the jobs that ended or were moved to another rack a short time ago.
	departed      map[string]departure
	ids           idTable
	durations     map[string]*durationEstimate
	nextRef       uint64
	treeVersion   uint64
	workerShare   float64
	listedWorkers int
	decisions     []sched.Decision
	draining      bool
	// cutOff is set while the instance's last heartbeat is so old that others may have moved
	// its jobs.
	cutOff bool
}

// rack is an owned rack.
type rack struct {
	name  string
	id    sched.RackID
	epoch lease.Epoch
	// rowVersion is the version of the rack's row in the table; 0 if the rack was taken over
	// without the table.
	rowVersion uint64
	ownedSince time.Time
	workers    map[string]*worker
	loaded     bool
	// checkedAt is when the jobs of the rack were last checked, scannedAt when its index was
	// last read.
	checkedAt time.Time
	scannedAt time.Time
	// majoritySince is the time since which more than half of the workers have been attached;
	// zero while they are not.
	majoritySince time.Time
	// closing is set while the rack is being handed over.
	closing bool
	ctx     context.Context
	cancel  context.CancelFunc
}

// task is a waiting or running task.
type task struct {
	ref      uint64
	handle   sched.Handle
	spec     ports.Task
	workload *tree.Workload
	rack     *rack
	// worker is where it was placed; nil while it waits.
	worker *worker
	// epoch and incarnation are those of the worker when the task was last started.
	epoch       lease.Epoch
	incarnation string
	sent        bool
	// absent is set when the worker has shown that it does not have the task.
	absent bool
	// pending is set for a call that was queued.
	pending *pendingCall
	// callerWaits is set while the caller's goroutine uses the task.
	callerWaits bool
	// job is set for work with a row.
	job      *jobState
	placedAt time.Duration
	queuedAt time.Duration
	// stopped is set once the task has been asked to stop or has ended.
	stopped bool
}

// New returns an Owner without racks. ctx ends with the instance.
func New(ctx context.Context, c Config) *Owner {
	if c.TaskLease == 0 {
		c.TaskLease = DefaultTaskLease
	}
	return &Owner{
		Config:      c,
		instanceCtx: ctx,
		start:       clock.Now(),
		pauseGuard:  lease.PauseDetector{Limit: pauseLimit},
		racks:       make(map[string]*rack),
		workers:     make(map[sched.WorkerID]*worker),
		tasksByRef:  make(map[uint64]*task),
		tasksByID:   make(map[string]*task),
		jobs:        make(map[string]*jobState),

		creating:    make(map[string]*rack),
		departed:    make(map[string]departure),
		durations:   make(map[string]*durationEstimate),
		ids:         newIDTable(),
		workerShare: 1,
	}
}

// now returns the time of the cell's clock.
func (o *Owner) now() time.Duration { return clock.Since(o.start) }

// Run performs the periodic work until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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
	o.applyTree()
	o.sweep()
	o.forgetDepartures()
	o.checkCutOff()
	o.schedule()
}

// checkPause makes every worker attach again if this process was paused, because its state may
// be out of date. It is called before every decision. The lock is held.
func (o *Owner) checkPause() {
	if !o.pauseGuard.Tick(clock.Now()) {
		return
	}
	level.Warn(o.Log).Log("msg", "this process was paused", "action", "attaching all workers again")
	for _, r := range o.racks {
		for _, w := range r.workers {
			o.reattach(w)
		}
	}
	o.OnOwnershipDoubt()
}

// removeTask removes a task from the cell and from the task maps.
func (o *Owner) removeTask(t *task) {
	if !o.cell.Cancel(t.handle) {
		o.cell.Finish(t.handle, o.now())
	}
	delete(o.tasksByRef, t.ref)
	if o.tasksByID[t.spec.ID] == t {
		delete(o.tasksByID, t.spec.ID)
	}
}

// applyTree applies a new version of the tree.
func (o *Owner) applyTree() {
	c := o.Tree.Current()
	if c.Version == o.treeVersion {
		return
	}
	o.treeVersion = c.Version
	o.updateQuotas()
	for _, js := range o.jobs {
		o.resolveDoubt(js)
	}
}

var _ hall.Racks = (*Owner)(nil)

// idTable assigns a number to each name.
type idTable struct {
	assigned map[string]int32
}

func newIDTable() idTable { return idTable{assigned: make(map[string]int32)} }

func (n idTable) idFor(name string) int32 {
	id, ok := n.assigned[name]
	if !ok {
		id = int32(len(n.assigned) + 1)
		n.assigned[name] = id
	}
	return id
}

// newTask creates a task and adds it to the task maps. The lock is held.
func (o *Owner) newTask(w *tree.Workload, spec ports.Task) *task {
	o.nextRef++
	spec.Demand = w.Demand
	spec.Workload = w.Path
	t := &task{ref: o.nextRef, workload: w, spec: spec}
	o.tasksByRef[t.ref] = t
	o.tasksByID[spec.ID] = t
	return t
}

// schedTask returns the description of t for the scheduler.
func (o *Owner) schedTask(t *task) sched.Task {
	s := sched.Task{
		Ref:        t.ref,
		Team:       sched.TeamID(o.ids.idFor("team/" + t.workload.Team)),
		Class:      t.workload.Class,
		Demand:     t.spec.Demand,
		Rack:       sched.AnyRack,
		Call:       t.spec.Call,
		Estimate:   o.expectedDuration(t.workload),
		Preemption: t.workload.Ladder,
	}
	if t.job != nil && t.job.rack != nil && !t.spec.Call {
		s.Rack = t.job.rack.id
		o.setJobTimes(t.job, &s)
	}
	if t.spec.Call || t.spec.Repeat == ports.RepeatNever {
		s.Preemption = 0
	}
	if t.workload.Kind == tree.Service {
		s.Group = o.ids.idFor("group/" + t.workload.Path)
	}
	return s
}

func (o *Owner) setJobTimes(js *jobState, s *sched.Task) {
	if js.row.NotBefore != nil {
		s.NotBefore = js.row.NotBefore.Sub(o.cellStart())
	}
	if js.row.Deadline != nil {
		s.Deadline = js.row.Deadline.Sub(o.cellStart())
	}
}

// cellStart returns the wall time at which the cell's clock was zero.
func (o *Owner) cellStart() time.Time { return clock.Wall().Add(-o.now()) }

// Job returns a job of an owned rack. It waits until the table has the end of the job or ctx ends.
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
	return js.visible(), js.err == nil
}
