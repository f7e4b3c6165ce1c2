// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// Class is the priority class of a task. It takes precedence over every other criterion: tasks
// of a higher class go first.
type Class uint8

// The classes, lowest first.
const (
	Bulk Class = iota
	Standard
	Urgent
	numClasses
)

// String returns the name of c as used in settings.
func (c Class) String() string {
	switch c {
	case Bulk:
		return "bulk"
	case Standard:
		return "standard"
	default:
		return "urgent"
	}
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, bool) {
	for c := Bulk; c < numClasses; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return Bulk, false
}

// PreemptionModes is the set of ways in which a task may be preempted.
type PreemptionModes uint8

// The ways to preempt a task, as bits of a set.
const (
	MayThrottle PreemptionModes = 1 << iota
	MayCheckpoint
	MayStop
)

// TeamID identifies a team within one Cell. The caller assigns the IDs.
type TeamID int32

// Handle identifies a task within one Cell. The zero Handle identifies none.
type Handle struct {
	index int32
	gen   uint32
}

// Task describes a task to the scheduler.
type Task struct {
	// Ref is the caller's own number for the task; decisions carry it back.
	Ref    uint64
	Team   TeamID
	Class  Class
	Demand Vec
	// Rack restricts the task to one rack, or is AnyRack.
	Rack RackID
	// Call marks a task whose caller waits for the answer on a connection.
	Call bool
	// Group is the number of a spread group, whose tasks are placed on different workers if
	// possible; 0 means no group.
	Group int32
	// NotBefore is the earliest time at which the task may start.
	NotBefore time.Duration
	// Deadline is the time by which the task should have finished; 0 means none.
	Deadline time.Duration
	// StartBy is the time after which the task need not be started any more; 0 means none.
	StartBy time.Duration
	// Estimate is how long the task is expected to run; 0 if unknown.
	Estimate   time.Duration
	Preemption PreemptionModes
}

// latestStart returns the latest time at which t may start and still meet its deadline.
func (t *Task) latestStart() time.Duration {
	if t.Deadline == 0 {
		return noDeadline
	}
	return t.Deadline - t.Estimate
}

const noDeadline = time.Duration(1<<63 - 1)

type taskState uint8

const (
	taskUnused taskState = iota
	taskDeferred
	taskWaiting
	taskRunning
)

// taskRecord is the scheduler's record of one task.
type taskRecord struct {
	Task
	gen         uint32
	state       taskState
	preempting  bool
	throttled   bool
	preemptions uint8
	worker      WorkerID
	// heldWorker is the worker that is held for the task while it waits, since heldSince. No
	// other task is placed there.
	heldWorker WorkerID
	heldSince  time.Duration
	// runningIndex is the index of the task in the running list of its worker.
	runningIndex   int32
	seq            uint64
	queuedAt       time.Duration
	startedAt      time.Duration
	checkpointedAt time.Duration
	allocated      Vec
}
