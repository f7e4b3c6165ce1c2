// SPDX-License-Identifier: Apache-2.0

// Package commit writes rows to the platform's table by group commit.
//
// Many parts of an instance have rows to write at the same time, and the table
// limits the rate of transactions, not of rows. A Journal collects the changes
// that are requested while a transaction is in flight, and writes all of them in
// the next one. A change whose checks fail is removed from the batch and gets
// a Conflict; the others are committed without it.
//
// The reply to a transaction can be lost after the transaction took effect.
// Every transaction therefore also writes one row that belongs to the Journal,
// with a nonce as its value and a check on the row's last version. After a lost
// reply the Journal reads that row before it does anything else: if it holds the
// nonce, the transaction took effect. If not, the Journal sends the same
// transaction again. Because of the check on that row, at most one of the two
// copies can be committed, even if the first one arrives late.
package commit
