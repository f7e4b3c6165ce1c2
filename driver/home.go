// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"dewpass.org/flow"
)

// The home row of a job names its cells, separated by spaces, the home cell first, and then says
// which client account may use the job. The row remains until the job is forgotten, so that the
// account is known after the specification has been removed.
//
// Instances of earlier builds take each field of the row for a cell, and a cancellation waits for
// the owners of all of them. The account is therefore written in white space, which they skip:
// accessMark, followed by accountDigits if only one account may use the job. A row without the mark
// is that of an earlier build.

const (
	// accessMark separates the cells from the account.
	accessMark = '\r'
	// accountDigits are the digits, of bitsPerDigit bits each, of an account's fingerprint.
	accountDigits = "\t\n\v\f"
	bitsPerDigit  = 2
	// fingerprintSize is the size of an account's fingerprint in bytes. Among a hundred accounts,
	// two have the same with a probability below 1e-15, and a row is 33 bytes longer however long
	// the name is: owners read all home rows.
	fingerprintSize = 8
	digitsPerByte   = 8 / bitsPerDigit
)

// Access says which client accounts may query and cancel a job. The zero value says that this is not
// known.
type Access struct {
	known, exclusive bool
	// account is the fingerprint of the only account that may use the job, if exclusive is set.
	account [fingerprintSize]byte
}

// PublicAccess returns the access to a job that all accounts may use.
func PublicAccess() Access { return Access{known: true} }

// ExclusiveAccess returns the access to a job that only one account may use, all if the name is
// empty.
func ExclusiveAccess(account string) Access {
	if account == "" {
		return PublicAccess()
	}
	sum := sha256.Sum256([]byte(account))
	return Access{known: true, exclusive: true, account: [fingerprintSize]byte(sum[:])}
}

// Known reports whether it is known who may use the job.
func (a Access) Known() bool { return a.known }

// Exclusive reports whether only one account is known to be permitted to use the job.
func (a Access) Exclusive() bool { return a.exclusive }

// Permits reports whether an account is known to be permitted to use the job.
func (a Access) Permits(account string) bool {
	return a.known && (!a.exclusive || a == ExclusiveAccess(account))
}

// encode returns the part of a home row that follows the cells.
func (a Access) encode() []byte {
	if !a.known {
		return nil
	}
	out := []byte{accessMark}
	if !a.exclusive {
		return out
	}
	for _, b := range a.account {
		for range digitsPerByte {
			out = append(out, accountDigits[b>>(8-bitsPerDigit)])
			b <<= bitsPerDigit
		}
	}
	return out
}

// decodeAccess decodes what follows accessMark in a home row. The result is not known if that is
// malformed.
func decodeAccess(digits []byte) Access {
	switch len(digits) {
	case 0:
		return PublicAccess()
	case fingerprintSize * digitsPerByte:
	default:
		return Access{}
	}
	a := Access{known: true, exclusive: true}
	for i, c := range digits {
		digit := strings.IndexByte(accountDigits, c)
		if digit < 0 {
			return Access{}
		}
		a.account[i/digitsPerByte] = a.account[i/digitsPerByte]<<bitsPerDigit | byte(digit)
	}
	return a
}

// HomeValue returns the content of the row at HomeKey for a job that only its account may use.
func HomeValue(spec *flow.Spec) []byte { return homeValue(spec, ExclusiveAccess(spec.Account)) }

// PublicHomeValue returns the content of the row at HomeKey for a job that all accounts may use.
func PublicHomeValue(spec *flow.Spec) []byte { return homeValue(spec, PublicAccess()) }

func homeValue(spec *flow.Spec, a Access) []byte {
	return append([]byte(strings.Join(spec.Cells(), " ")), a.encode()...)
}

// HomeCells returns the cells in the value of a home row.
func HomeCells(value []byte) []string { return strings.Fields(string(value)) }

// HomeAccess returns who may use a job according to the value of its home row. This is not known if
// the row was written by an earlier build.
func HomeAccess(value []byte) Access {
	_, digits, found := bytes.Cut(value, []byte{accessMark})
	if !found {
		return Access{}
	}
	return decodeAccess(digits)
}
