// SPDX-License-Identifier: Apache-2.0

package commit

import (
	"context"
	"time"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// writeTxn sends one transaction. If the reply is lost, it sends the same
// transaction again until the outcome is known; no other transaction may be
// sent before that.
func (j *Journal) writeTxn(ctx context.Context, batch []*request, nonce string) (ports.Commit, error) {
	txn := j.buildTxn(batch, nonce)
	res, err := j.table.Commit(ctx, txn)
	for kind.Is(err, kind.Lost) {
		j.setLastTxnFailed(true)
		row, readErr := j.readBack(ctx)
		if readErr != nil {
			return ports.Commit{}, readErr
		}
		if string(row.Value) == nonce {
			return j.recordVersion(ports.Commit{Version: row.Version}), nil
		}
		res, err = j.resend(ctx, txn)
	}
	j.setLastTxnFailed(err != nil)
	if row := j.ownRow(res.Failed); row != nil && string(row.Value) == nonce {
		return j.recordVersion(ports.Commit{Version: row.Version}), nil
	}
	return j.recordVersion(res), err
}

// resend sends again a transaction whose outcome is unknown. An error of
// another kind than Lost says nothing about the earlier copy, so resend repeats
// until the table answers or the reply is lost again.
func (j *Journal) resend(ctx context.Context, txn ports.Txn) (ports.Commit, error) {
	for {
		res, err := j.table.Commit(ctx, txn)
		if err == nil || kind.Is(err, kind.Lost) {
			return res, err
		}
		if !waitRetryInterval(ctx) {
			return ports.Commit{}, kind.Wrap(kind.Lost, ctx.Err(), "the table's answer was lost")
		}
	}
}

// ownRow returns the journal's own row among the rows whose checks failed, or
// nil.
func (j *Journal) ownRow(failed []ports.Row) *ports.Row {
	for i := range failed {
		if failed[i].Key == j.key {
			return &failed[i]
		}
	}
	return nil
}

// waitRetryInterval waits for retryInterval. It returns false if ctx ends first.
func waitRetryInterval(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// recordVersion stores the version of the journal's own row if res is a
// committed transaction, and returns res.
func (j *Journal) recordVersion(res ports.Commit) ports.Commit {
	if res.Version > 0 && len(res.Failed) == 0 {
		j.version = res.Version
	}
	return res
}

// readBack reads the journal's own row, repeating until the table answers.
// Nothing is written before that.
func (j *Journal) readBack(ctx context.Context) (ports.Row, error) {
	for {
		rows, err := j.table.Get(ctx, j.key)
		if err == nil {
			return rows[0], nil
		}
		if !waitRetryInterval(ctx) {
			return ports.Row{}, kind.Wrap(kind.Lost, ctx.Err(), "the table's answer was lost")
		}
	}
}

func (j *Journal) buildTxn(batch []*request, nonce string) ports.Txn {
	txn := ports.Txn{
		Checks: []ports.Check{{Key: j.key, Version: j.version}},
		Puts:   []ports.Put{{Key: j.key, Value: []byte(nonce)}},
	}
	seen := make(map[ports.Check]bool)
	for _, it := range batch {
		for _, c := range it.change.Checks {
			if !seen[c] {
				seen[c] = true
				txn.Checks = append(txn.Checks, c)
			}
		}
		txn.Puts = append(txn.Puts, it.change.Puts...)
	}
	return txn
}

// rejectFailed fails the changes whose checks failed with a Conflict, and
// returns the others.
func (j *Journal) rejectFailed(batch []*request, failed []ports.Row) []*request {
	now := make(map[string]ports.Row, len(failed))
	for _, r := range failed {
		now[r.Key] = r
		if r.Key == j.key {
			j.version = r.Version
		}
	}
	kept := batch[:0:0]
	for _, it := range batch {
		if rows := it.failedChecks(now); len(rows) > 0 {
			it.result <- result{err: kind.Wrap(kind.Conflict, &Conflict{Rows: rows}, "")}
			continue
		}
		kept = append(kept, it)
	}
	return kept
}
