// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

const (
	// cancelTimeout limits the time for cancelling a job, with retries after cancelRetryPause.
	cancelTimeout    = 2500 * time.Millisecond
	cancelRetryPause = 200 * time.Millisecond
)

// Cancel cancels a job. Its error is of kind NotFound if there is no such job, or only one of another
// client account: no submission of it that the caller sent before takes effect any more then.
func (n *Instance) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		err := hideOtherAccount(n.cancelOnce(ctx, id))
		if err == nil || kind.Is(err, kind.NotFound) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, cancelRetryPause)
		if ctx.Err() != nil {
			return kind.Of(err).WithRetryAfter(n.retryAfter(id))
		}
	}
}

// cancelOnce cancels a job in its home cell, which stores that, and then in the cells that it is
// shared with. If this instance fails in between, those cells find out by themselves.
func (n *Instance) cancelOnce(ctx context.Context, id string) error {
	cells, err := n.cellsOf(ctx, id)
	if kind.Is(err, kind.NotFound) {
		return n.withdraw(ctx, id)
	}
	if err != nil {
		return err
	}
	// An owner of an earlier build may cancel a job for any account, so the rows are compared first.
	if _, err := n.authorizeByRows(ctx, id); err != nil {
		return err
	}
	var row rows.Row
	if len(cells) > 1 {
		// The row is deleted at the job's end, so it is read before the cancellation.
		if row, err = n.readJobRow(ctx, driver.SpecKey(id)); err != nil {
			return err
		}
	}
	for i, cell := range cells {
		err := n.cancelInCell(ctx, cell, id)
		if kind.Is(err, kind.NotFound) {
			err = n.notifyAndCancel(ctx, cell, id, row)
		}
		if err != nil && len(cells) == 1 {
			n.forgetCells(id)
		}
		if i > 0 && kind.Is(err, kind.NotFound) {
			// It had ended there before.
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// cancelInCell has the owner of a cell cancel a job.
func (n *Instance) cancelInCell(ctx context.Context, cell, id string) error {
	d := n.ownDriver(cell)
	if d == nil {
		_, err := n.askOwner(ctx, cell, id, true)
		return err
	}
	if !d.Ready() {
		return kind.New(kind.Unavailable, "the cell's jobs are still being loaded").WithRetryAfter(n.retryAfter(id))
	}
	account, checked := config.Caller(ctx)
	if _, err := authorizeInCell(d, id, account, checked); err != nil {
		return err
	}
	return d.Cancel(ctx, id)
}

// notifyAndCancel cancels a job that its owner does not know though it has not ended: one that was
// accepted a moment ago. It sends the owner the job first. row is the job's row if it was already
// read. The error is of kind NotFound if the job has ended.
func (n *Instance) notifyAndCancel(ctx context.Context, cell, id string, row rows.Row) error {
	var err error
	if row.Ver == 0 {
		if row, err = n.readJobRow(ctx, driver.SpecKey(id)); err != nil {
			return err
		}
	}
	if row.Ver == 0 {
		return kind.New(kind.NotFound, "the job has ended")
	}
	spec, err := flow.DecodeSpec(row.Value)
	if err != nil {
		return kind.Wrap(kind.Damaged, err, "the job's row")
	}
	level.Info(n.kit.Log).Log("event", "cancel_waits", "job", id, "cell", cell, "version", row.Ver, "why", "the cell's owner has not been notified of it")
	if err := n.notifyOwnerOnce(ctx, cell, row.Ver, spec, row.Value); err != nil {
		return err
	}
	if err = n.cancelInCell(ctx, cell, id); kind.Is(err, kind.NotFound) {
		return kind.New(kind.Unavailable, "the cell's owner has not accepted the job yet").WithRetryAfter(n.retryAfter(id))
	}
	return err
}

// errOtherAccount is the error between instances for a job of another client account. The caller
// gets the same answer as if there were no such job.
func errOtherAccount() error {
	return kind.New(kind.Unauthorized, "the job belongs to another client account")
}
