// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"dewpass.org/cell"
	"dewpass.org/flow"
)

// Target says which life of which worker an order is for, under which fence.
type Target struct {
	// Worker is the id of the life; another one at the address refuses.
	Worker string
	Addr   string
	// Fence must not be below any that the worker has seen.
	Fence uint64
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Target
	Task   flow.TaskID
	Run    int
	Text   string
	Saved  string
	Ticket string
	// UntilMS ends the lease, on the worker's clock, in milliseconds.
	UntilMS int64
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

// PaceOrder tells a worker how fast a run may work, in hundredths.
type PaceOrder struct {
	Target
	Task    flow.TaskID
	Run     int
	Percent int
}

// HoldOrder renews the lease of all that runs on a worker and asks for its
// lists.
type HoldOrder struct {
	Target
	// Observed is the number of the last end that the worker may forget.
	Observed int
	// UntilMS ends the lease, on the worker's clock; 0 leaves it as it is.
	UntilMS int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
	// Brief says that only the ends are wanted, if there are some. Only carriers go by it:
	// a worker lists everything.
	Brief bool
}

// HoldAnswer is the answer to a HoldOrder.
type HoldAnswer struct {
	ClockMS int64
	Lists   cell.Lists
	// Brief says that what runs is left out of the lists.
	Brief bool
}

// Workers gives orders to workers. Errors are of kind Fenced (the worker has
// seen a higher fence), NotFound (another life is at the address), Unavailable
// (surely not received) or Lost (perhaps received).
type Workers interface {
	Start(ctx context.Context, o StartOrder) (StartAnswer, error)
	Stop(ctx context.Context, o StopOrder) error
	Pace(ctx context.Context, o PaceOrder) error
	Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error)
}

// Entry is a worker as the directory has it.
type Entry struct {
	cell.Worker
	// Ver is the version of the entry; a lower one is older.
	Ver uint64
	// Bad says why the entry names no worker to use, "" if it does. Only its id and version
	// count then.
	Bad string
}

// Directory lists the workers.
type Directory interface {
	// All returns every worker there is.
	All(ctx context.Context) ([]Entry, error)
}

// Tickets is the answer to a question to the policy.
type Tickets struct {
	Rows  []cell.Ticket
	Valid time.Duration
}

// Advisor asks the policy which workers may run a step.
type Advisor interface {
	// Advise asks. Its error is of kind RateLimited if too many wait already.
	Advise(ctx context.Context, step flow.StepID, workers []string) (Tickets, error)
}
