// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
)

// Target identifies the incarnation of a worker that an order is for, and the fence of the order.
type Target struct {
	// Worker is the id of the worker. Another worker at the address refuses the order.
	Worker string
	Addr   string
	// Fence is the fencing token. A worker refuses one that is below the highest that it has seen.
	Fence uint64
}

// StartOrder tells a worker to start a run of a task.
type StartOrder struct {
	Target
	Task   flow.TaskID
	Run    int
	Text   string
	Saved  string
	Ticket string
	// LeaseUntilMS is when the run's lease ends, by the worker's clock in milliseconds.
	LeaseUntilMS int64
}

// StartAnswer is the answer to a StartOrder.
type StartAnswer struct {
	ClockMS int64
	Outcome cell.Outcome
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Target
	Task flow.TaskID
	Run  int
}

// PaceOrder limits the speed of a run to a percentage.
type PaceOrder struct {
	Target
	Task    flow.TaskID
	Run     int
	Percent int
}

// HoldOrder renews the leases of all runs on a worker and asks which runs are running and which
// have ended.
type HoldOrder struct {
	Target
	// Observed is the number of the last end that is persisted: the worker may forget ends up to
	// it.
	Observed int
	// LeaseUntilMS is when the leases end, by the worker's clock in milliseconds; 0 leaves them
	// unchanged.
	LeaseUntilMS int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
	// EndsOnly asks for the ended runs only, if there are any. Only relays act on it: a worker
	// always lists everything.
	EndsOnly bool
}

// HoldAnswer is the answer to a HoldOrder.
type HoldAnswer struct {
	ClockMS int64
	Lists   cell.Lists
}

// Workers sends orders to workers. Errors are of kind Fenced (the worker has seen a higher fence),
// NotFound (another worker or incarnation is at the address), Unavailable (certainly not received)
// or Lost (possibly received).
type Workers interface {
	Start(ctx context.Context, o StartOrder) (StartAnswer, error)
	Stop(ctx context.Context, o StopOrder) error
	Pace(ctx context.Context, o PaceOrder) error
	Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error)
}

// Entry is a worker's entry in the directory.
type Entry struct {
	cell.Worker
	// Ver is the version of the entry. Entries with a lower version are older.
	Ver uint64
	// Invalid says why the entry is invalid, "" if it is valid. Only the id and version of an
	// invalid entry are used.
	Invalid string
}

// Directory lists the workers.
type Directory interface {
	// All returns the entries of all workers.
	All(ctx context.Context) ([]Entry, error)
}

// Listing is the result of a complete read of the directory.
type Listing struct {
	Entries []Entry
	// Workers is how many workers the directory has. Entries may leave out workers of other cells.
	Workers int
	// Begun is when the read began, or an earlier time.
	Begun time.Time
}

// ReadListing reads the directory.
func ReadListing(ctx context.Context, d Directory) (Listing, error) {
	begun := clock.Now()
	all, err := d.All(ctx)
	return Listing{Entries: all, Workers: len(all), Begun: begun}, err
}

// Tickets is the policy's answer.
type Tickets struct {
	Rows  []cell.Ticket
	Valid time.Duration
}

// Advisor asks the policy which workers may run a step.
type Advisor interface {
	// Advise returns an error of kind RateLimited if too many requests are waiting already.
	Advise(ctx context.Context, step flow.StepID, workers []string) (Tickets, error)
}
