// SPDX-License-Identifier: Apache-2.0

// Package expiry removes rows that are no longer needed from the platform's table.
//
// Every job, answer and request key leaves a row, and every start of an
// instance leaves two; at the intended scale that is 30,000 rows a day. The
// transaction that records the end of a job also writes an expiry row whose key
// begins with the time at which the job may be removed; see job.Expiry. A
// Sweeper reads these rows in order of their keys, so that it reads only rows
// that it removes.
//
// A removal is one transaction with a check on each removed row. The checks
// protect against concurrent sweepers, a job that was continued and a key that
// was used again; a removal whose response was lost is repeated by the next
// pass. Objects are deleted before the rows that name them, so that no object
// is left without a reference.
//
// The rows of instances contain the time of their last use and are removed a
// day after it. An instance that still needs its row writes it again.
package expiry
