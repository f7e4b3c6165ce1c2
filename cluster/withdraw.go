// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// Clients may cancel a job whose submission had no answer. If the store does not have it, its write may
// still be on the way. That there is no such job is therefore only said once a row in the store refuses
// that write, however late it is; see driver.Withdrawal.

const (
	// withdrawCheckInterval is how long a withdrawal may go unanswered before the store is asked whether
	// it has it, and withdrawCheckTimeout limits the question.
	withdrawCheckInterval = acceptCheckInterval
	withdrawCheckTimeout  = acceptCheckTimeout
)

// withdraw makes sure that no submission of a job by the account of ctx that was sent before takes effect
// any more. Its error is of kind NotFound once that is certain, and otherwise of another kind: that of
// Unavailable if the job has been accepted meanwhile.
func (n *Instance) withdraw(ctx context.Context, id string) error {
	cell := n.division.hashCell(id)
	if cell == "" {
		return kind.New(kind.Unavailable, "the cells are not known yet").WithRetryAfter(n.retryAfter(id))
	}
	account, _ := config.Caller(ctx)
	row, err := n.readJobRow(ctx, driver.HomeKey(id))
	if err != nil {
		return err
	}
	for {
		done, err := withdrawnBy(row, account)
		if done || err != nil {
			return err
		}
		res, err := n.sendWithdrawal(ctx, id, cell, account, row)
		if err != nil {
			return err
		}
		if !res.Refused {
			level.Info(n.kit.Log).Log("event", "withdrawn", "job", id, "account", account, "version", res.Ver, "last", true)
			n.kit.Scope.Counter("jobs_withdrawn_total").Inc(1)
			return errNoJob()
		}
		row = rowIn(res, driver.HomeKey(id))
	}
}

// withdrawnBy reports whether a home row shows that a job was withdrawn by an account, with an error of
// kind NotFound then, or an error if the job has been accepted.
func withdrawnBy(row rows.Row, account string) (bool, error) {
	w := driver.HomeWithdrawal(row.Value)
	switch {
	case row.Ver > 0 && !w.Any():
		return false, kind.New(kind.Unavailable, "the job has just been accepted")
	case w.Includes(account):
		return true, errNoJob()
	}
	return false, nil
}

// errNoJob is the error for a job that does not exist.
func errNoJob() error { return kind.New(kind.NotFound, "no job has this id") }

// sendWithdrawal writes once that an account has withdrawn a job, if its home row is still as given.
func (n *Instance) sendWithdrawal(ctx context.Context, id, cell, account string, row rows.Row) (rows.Result, error) {
	w := driver.HomeWithdrawal(row.Value).By(account)
	home := driver.HomeKey(id)
	send := rows.WriteAttempt{
		Store: n.storeClient, Interval: withdrawCheckInterval, Timeout: n.storeClient.ResendDelay(),
		Tx: rows.Tx{
			Expect: []rows.Check{{Key: home, Ver: row.Ver}},
			Put:    []rows.Row{{Key: home, Value: w.HomeValue(cell, account)}, driver.WithdrawnEnd(id, cell, clock.Wall())},
		},
		Lookup: func(ctx context.Context) (rows.Result, bool, error) { return n.homeChanged(ctx, home, row.Ver) },
	}
	res, _, err := send.Send(ctx)
	return res, err
}

// homeChanged reads a home row, and reports whether it has another version than the given one.
func (n *Instance) homeChanged(ctx context.Context, home rows.Key, ver uint64) (rows.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawCheckTimeout)
	defer cancel()
	page, err := n.storeClient.Get(ctx, rows.KeyRange(home))
	if err != nil || page.First().Ver <= ver {
		return rows.Result{}, false, nil
	}
	return rows.Result{Refused: true, Rows: page.Rows}, true, nil
}
