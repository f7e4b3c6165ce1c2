// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

// Only the client account that submitted a job may query and cancel it, unless its queue is open.
// The owner of the job's cell decides that. An instance that answers without the owner decides by
// the job's rows: the home row, or the specification if the home row is that of an earlier build.
// For a job of an earlier build that has ended nothing in the store names the account; only calls
// that need no key are answered then. Others get an error of kind Unavailable, because the owner, who
// knows the account for as long as it remembers the job, may be heard later.

// authorize returns an error if the caller of ctx may not use a job, of kind Unauthorized if the job
// belongs to another client account. It reads the job's rows unless they are remembered.
func (n *Instance) authorize(ctx context.Context, id string) error {
	decided, err := n.authorizeByRows(ctx, id)
	account, _ := config.Caller(ctx)
	if err != nil || decided || !n.keyNeeded(account) {
		return err
	}
	return kind.New(kind.Unavailable, "the job's client account is not known without its cell's owner").WithRetryAfter(n.retryAfter(id))
}

// authorizeByRows is authorize for a call that the job's owner decides if the rows do not, for which
// decided is false.
func (n *Instance) authorizeByRows(ctx context.Context, id string) (decided bool, err error) {
	account, checked := config.Caller(ctx)
	if !checked {
		return true, nil
	}
	access, err := n.storedAccess(ctx, id)
	switch {
	case err != nil:
		return false, err
	case !access.Known():
		return false, nil
	case !access.Permits(account):
		return true, errOtherAccount()
	}
	return true, nil
}

// authorizeAnswer returns an error if the caller of ctx may not have the answer of a job's owner. An
// owner of this build has compared the accounts and names that of the job, which is remembered. One
// of an earlier build may have compared nothing: the rows are read, and the answer counts if they do
// not name the account.
func (n *Instance) authorizeAnswer(ctx context.Context, id string, s *wire.JobState) error {
	if s != nil && s.Account != nil {
		if n.keysRequired() {
			n.jobCells.setAccess(id, driver.ExclusiveAccess(*s.Account))
		}
		return nil
	}
	_, err := n.authorizeByRows(ctx, id)
	return err
}

// authorizeInCell returns the only account that may use a job of an own cell, "" if all may, and an
// error if that is not the given one. The job must be known before its account is compared: a job
// adopted in between would be used unchecked.
func authorizeInCell(d *driver.Driver, id, account string, checked bool) (exclusive string, err error) {
	exclusive, known := d.ExclusiveAccount(id)
	switch {
	case !known:
		return "", kind.New(kind.NotFound, "the cell has no such job")
	case checked && exclusive != "" && exclusive != account:
		return "", errOtherAccount()
	}
	return exclusive, nil
}

// keyNeeded reports whether a call under an account may be one to a queue that needs a key. A call
// without an account has passed without a key, so its queue needs none.
func (n *Instance) keyNeeded(account string) bool { return account != "" && n.keysRequired() }

// keysRequired reports whether queues that are not open need a key, also if that is not known yet.
func (n *Instance) keysRequired() bool {
	c := n.config.Load()
	return c == nil || c.KeysRequired
}

// storedAccess returns who may use a job according to its rows; it is not known if they do not say.
// Rows are read only if some queue needs a key.
func (n *Instance) storedAccess(ctx context.Context, id string) (driver.Access, error) {
	access, rowRead := n.jobCells.access(id)
	if access.Known() || !n.keysRequired() {
		return access, nil
	}
	if !rowRead {
		if _, err := n.readCellsOf(ctx, id); err != nil {
			return driver.Access{}, err
		}
		if access, _ = n.jobCells.access(id); access.Known() {
			return access, nil
		}
	}
	row, err := n.readJobRow(ctx, driver.SpecKey(id))
	if err != nil || row.Ver == 0 {
		return driver.Access{}, err
	}
	spec, err := flow.DecodeSpec(row.Value)
	if err != nil {
		return driver.Access{}, kind.Wrap(kind.Damaged, err, "the job's row")
	}
	if access = driver.ExclusiveAccess(spec.Account); n.queueOpen(spec.Queue) {
		access = driver.PublicAccess()
	}
	n.jobCells.setAccess(id, access)
	return access, nil
}

// queueOpen reports whether a queue needs no key while others do, so that all accounts may use its
// jobs.
func (n *Instance) queueOpen(name string) bool {
	c := n.config.Load()
	if c == nil {
		return false
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return c.Queues[i].Open
		}
	}
	return false
}

// homeValue returns the content of a new job's home row. It names the account according to whether
// the job's queue is open when the job is accepted.
func (n *Instance) homeValue(spec *flow.Spec) []byte {
	if n.queueOpen(spec.Queue) {
		return driver.PublicHomeValue(spec)
	}
	return driver.HomeValue(spec)
}

// hideOtherAccount returns the error for a caller: a job of another account is answered like one
// that does not exist.
func hideOtherAccount(err error) error {
	if kind.Is(err, kind.Unauthorized) {
		return kind.New(kind.NotFound, "no job has this id")
	}
	return err
}
