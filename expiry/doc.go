// SPDX-License-Identifier: Apache-2.0

// Package expiry removes from the platform's table what nobody needs any more.
//
// Every job, answer and request key leaves a row, and every start of an
// instance leaves two; at the size to design for that is 30,000 rows a day.
// When a job ends, the transaction that says so also writes an expiry row whose
// key begins with the time at which the job may go; see job.Expiry. A Sweeper
// reads these rows from the front, so that what it looks at is what it removes.
//
// A removal is one transaction with a check on each row that it removes: two
// sweepers at once, a job that went on, and a key that was used again are all
// met by those checks, and a lost answer by the next pass. Objects go before
// the rows that name them, so that none is left behind without a name.
//
// The rows of instances carry the time of their last use and go a day after it.
// A row that its instance wants after all is written again.
package expiry
