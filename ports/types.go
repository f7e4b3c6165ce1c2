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

// Check is a condition of a transaction: the row has this version.
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

// Txn is a transaction.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts"`
}

// Commit is what became of a transaction: committed at Version, or the rows
// whose checks failed, as they stand.
type Commit struct {
	Version uint64 `json:"version"`
	Failed  []Row  `json:"failed,omitempty"`
}

// Table is the platform's transactional table.
//
// Errors are of kind Unavailable when the call surely had no effect, and Lost
// when it may have had one.
type Table interface {
	// Get returns the rows with the given keys, absent ones with version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and comes
	// after the given key, in order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction.
	Commit(ctx context.Context, t Txn) (Commit, error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object under key.
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject returns the object under key, or an error of kind NotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// DeleteObject removes an object; one that is not there is no error.
	DeleteObject(ctx context.Context, key string) error
}

// Role is what an instance is there for.
type Role string

// The roles of the instance list.
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
	// Unchanged says that the list is the one at the version asked with; there
	// are no instances in the answer then.
	Unchanged bool       `json:"unchanged,omitempty"`
	Instances []Instance `json:"instances,omitempty"`
}

// Instances is the platform's list of instances. It lags.
type Instances interface {
	// List returns the instances of a hall, or of all halls for "", unless
	// the list is still at version since.
	List(ctx context.Context, hall, since string) (Listing, error)
}

// Repeat says whether a task may be run again.
type Repeat string

const (
	// RepeatSafe marks work that may run again after a failure.
	RepeatSafe Repeat = "safe"
	// RepeatNever marks work that must start at most once.
	RepeatNever Repeat = "never"
)

// Task is the work that a worker is asked to run.
type Task struct {
	ID       string          `json:"id"`
	Attempt  uint32          `json:"attempt"`
	Workload string          `json:"workload"`
	Shop     string          `json:"shop"`
	Repeat   Repeat          `json:"repeat,omitempty"`
	Call     bool            `json:"call,omitempty"`
	Demand   sched.Vec       `json:"demand"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is the key of the object to resume from, "" for none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskState is the state of a task at its worker.
type TaskState string

// The states of a task at its worker.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
)

// Over reports whether a task in state s no longer runs.
func (s TaskState) Over() bool {
	return s != TaskRunning && s != TaskThrottled
}

// Answer is the result of a task, with what tells a whole one from a cut one.
type Answer struct {
	ID      string          `json:"id"`
	Attempt uint32          `json:"attempt"`
	Length  int             `json:"length"`
	Digest  string          `json:"digest"`
	Body    json.RawMessage `json:"body"`
}

// TaskReport is what a worker says of a task.
type TaskReport struct {
	Task   Task      `json:"task"`
	State  TaskState `json:"state"`
	Answer *Answer   `json:"answer,omitempty"`
	// Checkpoint is the key of the newest checkpoint, "" for none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// RanMS is how long the task has run, in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// Command is what every command to a worker carries.
type Command struct {
	Owner       string      `json:"owner"`
	Epoch       lease.Epoch `json:"epoch"`
	Incarnation string      `json:"incarnation,omitempty"`
}

// AttachReply is a worker's ground truth at the moment of attaching.
type AttachReply struct {
	Worker      string       `json:"worker"`
	Incarnation string       `json:"incarnation"`
	Capacity    sched.Vec    `json:"capacity"`
	Leaving     bool         `json:"leaving"`
	Seq         uint64       `json:"seq"`
	Tasks       []TaskReport `json:"tasks"`
}

// WatchRequest renews the control lease and the leases of all tasks, and asks
// for the changes after Seq. The worker holds it for up to HoldMS while there
// are none.
type WatchRequest struct {
	Command
	Seq     uint64 `json:"seq"`
	LeaseMS int64  `json:"lease_ms"`
	HoldMS  int64  `json:"hold_ms"`
}

// WatchReply carries the changes since the sequence number asked for. A call
// is among them only if its answer cannot go out on the connection that started
// it: that connection is gone, or the worker was attached anew meanwhile.
type WatchReply struct {
	Seq     uint64       `json:"seq"`
	Leaving bool         `json:"leaving"`
	Tasks   []TaskReport `json:"tasks,omitempty"`
}

// Action is what a worker is asked to do with a running task.
type Action string

// The actions, in the order of the ladder.
const (
	ActThrottle   Action = "throttle"
	ActResume     Action = "resume"
	ActCheckpoint Action = "checkpoint"
	ActStop       Action = "stop"
)

// Worker is one worker of the platform.
//
// Errors are of kind Fenced (a higher epoch or another incarnation is there),
// Leaving, Unavailable (surely not received) or Lost (perhaps received).
type Worker interface {
	// Attach raises the worker's epoch and returns all that it runs.
	Attach(ctx context.Context, c Command) (AttachReply, error)
	// Start runs a task. For a call it returns when the task is over, for all
	// others once the worker has accepted it.
	Start(ctx context.Context, c Command, t Task, length time.Duration) (TaskReport, error)
	// Join waits for the end of a task that was started before. It never
	// starts one: its error is of kind NotFound when the worker has none.
	Join(ctx context.Context, c Command, id string, attempt uint32) (TaskReport, error)
	// Watch renews the leases and returns changes.
	Watch(ctx context.Context, w WatchRequest) (WatchReply, error)
	// Act throttles, resumes, checkpoints or stops a task. Its reply may overtake a
	// reply to a watch that the worker gave before; a watch tells of an end too.
	Act(ctx context.Context, c Command, id string, attempt uint32, a Action) (TaskReport, error)
	// Ack lets the worker forget an answer.
	Ack(ctx context.Context, id string, attempt uint32) error
}
