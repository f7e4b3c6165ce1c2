// SPDX-License-Identifier: Apache-2.0

// Package commit writes rows to the platform's table by group commit.
//
// Many parts of an instance have rows to write at the same moment, and the
// table is limited in transactions, not in rows. The Journal gathers what is
// asked for while a transaction is on its way, and writes it all with the
// next one. A change whose checks fail is taken out and told so; the others go
// on.
//
// The answer of a transaction can be lost after it took effect. Every
// transaction therefore also writes one row of the Journal's own, checked
// against its last version, with a nonce. After a lost answer the Journal
// reads that row before it does anything else: if it holds the nonce, the
// transaction took effect. If not, the same transaction is sent again, and the
// check on that row lets at most one of the two be committed, even if the
// first arrives late.
package commit
