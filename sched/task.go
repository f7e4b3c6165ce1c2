// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// Class orders tasks before anything else does. A higher class goes first.
type Class uint8

// The classes.
const (
	Bulk Class = iota
	Standard
	Urgent
	numClasses
)

// String returns the name of c as settings carry it.
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

// Ladder says by which steps a task may be made to yield.
type Ladder uint8

// The steps of the ladder, to be combined.
const (
	MayThrottle Ladder = 1 << iota
	MayCheckpoint
	MayStop
)

// TeamID names a team within one Cell; the caller hands out the numbers.
type TeamID int32

// Handle names a task within one Cell. The zero Handle names none.
type Handle struct {
	index int32
	gen   uint32
}

// Task is what the cell needs to know of a task.
type Task struct {
	// Ref is the caller's own number for the task; decisions carry it back.
	Ref    uint64
	Team   TeamID
	Class  Class
	Demand Vec
	// Rack limits the task to one rack, or is AnyRack.
	Rack RackID
	// Call marks work that somebody waits for on a connection.
	Call bool
	// Group spreads the tasks with the same number over workers; 0 is none.
	Group int32
	// NotBefore is the time before which the task must not start.
	NotBefore time.Duration
	// Deadline is the time by which the task should be over; 0 is none.
	Deadline time.Duration
	// StartBy is the time after which starting is pointless; 0 is none.
	StartBy time.Duration
	// Estimate is how long the task is expected to run; 0 is not known.
	Estimate time.Duration
	Ladder   Ladder
}

// slack is the latest time at which t may start and still make its deadline.
func (t *Task) slack() time.Duration {
	if t.Deadline == 0 {
		return noDeadline
	}
	return t.Deadline - t.Estimate
}

const noDeadline = time.Duration(1<<63 - 1)

type taskState uint8

const (
	taskFree taskState = iota
	taskLater
	taskWaiting
	taskRunning
)

// slot is the cell's record of one task.
type slot struct {
	Task
	gen       uint32
	state     taskState
	yielding  bool
	throttled bool
	yields    uint8
	worker    WorkerID
	// hold is the worker that is held for the task while it waits, since
	// holdSince.
	hold      WorkerID
	holdSince time.Duration
	// place is the position of the task in the list of its worker.
	place   int32
	seq     uint64
	since   time.Duration
	started time.Duration
	saved   time.Duration
	given   Vec
}
