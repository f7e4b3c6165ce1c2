// SPDX-License-Identifier: Apache-2.0

package ports

import (
	"context"
	"encoding/json"
	"time"

	"dewpass.org/lease"
	"dewpass.org/sched"
)

// Row is a row of the table. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Check is a condition of a transaction: the row must have this version.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row, or deletes it.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: Puts are written only if all Checks hold.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts"`
}

// Commit is the result of a transaction: the version at which it was committed,
// or the current state of the rows whose checks failed.
type Commit struct {
	Version uint64 `json:"version"`
	Failed  []Row  `json:"failed,omitempty"`
}

// Table is the platform's transactional table.
//
// Errors are of kind Unavailable if the call certainly had no effect, and Lost
// if it may have had one.
type Table interface {
	// Get returns the rows with the given keys. Absent rows have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns, in key order, up to limit rows whose key starts with prefix
	// and sorts after the given key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes a transaction.
	Commit(ctx context.Context, t Txn) (Commit, error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object under key.
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject returns the object under key, or an error of kind NotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// DeleteObject removes an object. It is no error if there is none.
	DeleteObject(ctx context.Context, key string) error
}

// Role is the role of an instance.
type Role string

// The roles of instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Instance is one row of the platform's list of instances.
type Instance struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Hall    string `json:"hall"`
	Rack    string `json:"rack,omitempty"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Listing is the list of instances at one version.
type Listing struct {
	Version string `json:"version"`
	// Unchanged is true if the list still has the version that the request
	// named. Instances is empty then.
	Unchanged bool       `json:"unchanged,omitempty"`
	Instances []Instance `json:"instances,omitempty"`
}

// Instances is the platform's list of instances. It may be out of date.
type Instances interface {
	// List returns the instances of a hall, or of all halls if hall is "". If
	// the list still has the version since, it returns only that.
	List(ctx context.Context, hall, since string) (Listing, error)
}

// Repeat says whether a task may run more than once.
type Repeat string

const (
	// RepeatSafe marks work that may run again after a failure.
	RepeatSafe Repeat = "safe"
	// RepeatNever marks work that must start at most once.
	RepeatNever Repeat = "never"
)

// Task is a unit of work that a worker runs.
type Task struct {
	ID       string          `json:"id"`
	Attempt  uint32          `json:"attempt"`
	Workload string          `json:"workload"`
	Account  string          `json:"shop"`
	Repeat   Repeat          `json:"repeat,omitempty"`
	Call     bool            `json:"call,omitempty"`
	Demand   sched.Vec       `json:"demand"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is the key of the object to resume from, "" for none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskState is the state of a task at its worker.
type TaskState string

// The task states.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
)

// Ended reports whether a task in state s no longer runs.
func (s TaskState) Ended() bool {
	return s != TaskRunning && s != TaskThrottled
}

// Answer is the result of a task. ID, Attempt, Length and Digest allow the
// receiver to detect a truncated or misdirected answer.
type Answer struct {
	ID      string          `json:"id"`
	Attempt uint32          `json:"attempt"`
	Length  int             `json:"length"`
	Digest  string          `json:"digest"`
	Body    json.RawMessage `json:"body"`
}

// TaskReport is a worker's report on one task.
type TaskReport struct {
	Task   Task      `json:"task"`
	State  TaskState `json:"state"`
	Answer *Answer   `json:"answer,omitempty"`
	// Checkpoint is the key of the newest checkpoint, "" for none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// RanMS is how long the task has run, in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// Command holds the fields that every command to a worker carries.
type Command struct {
	Owner       string      `json:"owner"`
	Epoch       lease.Epoch `json:"epoch"`
	Incarnation string      `json:"incarnation,omitempty"`
}

// AttachReply is the state of a worker at the time of attaching.
type AttachReply struct {
	Worker      string       `json:"worker"`
	Incarnation string       `json:"incarnation"`
	Capacity    sched.Vec    `json:"capacity"`
	Leaving     bool         `json:"leaving"`
	Seq         uint64       `json:"seq"`
	Tasks       []TaskReport `json:"tasks"`
}

// WatchRequest renews the control lease and the leases of all tasks, and asks
// for the changes after Seq. If there are none, the worker delays its reply by
// up to HoldMS.
type WatchRequest struct {
	Command
	Seq     uint64 `json:"seq"`
	LeaseMS int64  `json:"lease_ms"`
	HoldMS  int64  `json:"hold_ms"`
}

// WatchReply holds the changes since the requested sequence number. A call is
// included only if its answer cannot be sent on the connection that started it,
// because that connection is closed or the worker was attached again since.
type WatchReply struct {
	Seq     uint64       `json:"seq"`
	Leaving bool         `json:"leaving"`
	Tasks   []TaskReport `json:"tasks,omitempty"`
}

// Action is what a worker should do with a running task.
type Action string

// The actions, from the mildest to the most severe apart from ActResume, which
// undoes ActThrottle.
const (
	ActThrottle   Action = "throttle"
	ActResume     Action = "resume"
	ActCheckpoint Action = "checkpoint"
	ActStop       Action = "stop"
)

// Worker is a client of one worker of the platform.
//
// Errors are of kind Fenced (the worker has a higher epoch or another
// incarnation), Leaving, Unavailable (certainly not received) or Lost (possibly
// received).
type Worker interface {
	// Attach raises the worker's epoch and returns all tasks that it runs.
	Attach(ctx context.Context, c Command) (AttachReply, error)
	// Start runs a task. For a call it returns when the task has ended, for other
	// tasks as soon as the worker has accepted it.
	Start(ctx context.Context, c Command, t Task, leaseDuration time.Duration) (TaskReport, error)
	// Join waits for the end of a task that was started earlier. It never starts
	// one: its error is of kind NotFound if the worker does not have the task.
	Join(ctx context.Context, c Command, id string, attempt uint32) (TaskReport, error)
	// Watch renews the leases and returns changes.
	Watch(ctx context.Context, w WatchRequest) (WatchReply, error)
	// Act throttles, resumes, checkpoints or stops a task. Its reply may arrive
	// before a reply to Watch that the worker sent earlier; the end of a task is
	// reported by Watch as well.
	Act(ctx context.Context, c Command, id string, attempt uint32, a Action) (TaskReport, error)
	// Ack allows the worker to discard an answer.
	Ack(ctx context.Context, id string, attempt uint32) error
}
