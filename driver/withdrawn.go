// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"bytes"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/flow"
	"dewpass.org/rows"
)

// A job is withdrawn if it is cancelled before the store has it: an acceptance may be on its way, and
// would take effect after the cancellation was answered. The cancellation therefore writes the job's
// home row, whose absence is the condition of every acceptance. The row names the client accounts that
// have withdrawn the id. To any other account the id is still free: its acceptance replaces the row.
//
// Instances of earlier builds take the row for that of a job that was accepted and cancelled, whose end
// stands beside it. The accounts stand in white space after the cell, which they skip.

// withdrawnMark precedes the accounts. No other home row has white space before accessMark.
const withdrawnMark = ' '

// Withdrawal is the content of the rows of a withdrawn job. The zero value withdraws nothing.
type Withdrawal struct {
	accounts []Access
}

// By returns w, withdrawn by an account as well, which may be "".
func (w Withdrawal) By(account string) Withdrawal {
	if w.Includes(account) {
		return w
	}
	return Withdrawal{accounts: append(slices.Clone(w.accounts), fingerprint(account))}
}

// Includes reports whether an account has withdrawn the job.
func (w Withdrawal) Includes(account string) bool {
	return slices.Contains(w.accounts, fingerprint(account))
}

// Any reports whether any account has withdrawn the job.
func (w Withdrawal) Any() bool { return len(w.accounts) > 0 }

// HomeValue returns the content of the home row. To earlier builds it is a job of the account that has
// withdrawn it last.
func (w Withdrawal) HomeValue(cell, account string) []byte {
	out := append([]byte(cell), withdrawnMark)
	for _, a := range w.accounts {
		out = append(out, a.encode()[1:]...)
	}
	return append(out, ExclusiveAccess(account).encode()...)
}

// WithdrawnEnd returns the row of the end of a withdrawn job.
func WithdrawnEnd(id, cell string, wall time.Time) rows.Row {
	return rows.Row{Key: EndedKey(id), Value: flow.Encode(flow.FinalRecord{
		State: flow.Canceled, Cell: cell, AtMS: wall.UnixMilli(), Withdrawn: true,
	})}
}

// HomeWithdrawal returns which accounts have withdrawn a job according to the value of its home row,
// none if the job was accepted.
func HomeWithdrawal(value []byte) Withdrawal {
	cells, _, _ := bytes.Cut(value, []byte{accessMark})
	name := bytes.TrimRight(cells, string(withdrawnMark)+accountDigits)
	var w Withdrawal
	if len(cells) == len(name) {
		return w
	}
	for digits := range slices.Chunk(cells[len(name)+1:], fingerprintSize*digitsPerByte) {
		w.accounts = append(w.accounts, decodeAccess(digits))
	}
	return w
}

// fingerprint returns the access of one account, also of the one without a name.
func fingerprint(account string) Access {
	if account == "" {
		return Access{known: true, exclusive: true}
	}
	return ExclusiveAccess(account)
}

// forgetWithdrawn removes the rows of withdrawn jobs, unless an acceptance has replaced them since.
func (d *Driver) forgetWithdrawn(ends []rows.Row) {
	for _, end := range ends {
		if d.ctx.Err() != nil {
			return
		}
		// After a failure the next sweep finds the row again.
		_, err := d.Store.Tx(d.ctx, rows.Tx{
			Expect: []rows.Check{{Key: end.Key, Ver: end.Ver}},
			Remove: []rows.Key{end.Key, HomeKey(end.Name)},
		})
		level.Debug(d.Log).Log("event", "withdrawn_forgotten", "job", end.Name, "cell", d.Name, "err", err)
	}
}
