// SPDX-License-Identifier: Apache-2.0

// Package ports is the only way to what the platform gives: its table,
// its object store, its list of instances, and its workers.
//
// Each has one small interface here and one adapter that speaks the platform's
// HTTP protocol; docs/PLATFORM.md writes that protocol down. The adapters pass
// the caller's deadline on, slow down when the platform says that it is too
// fast (a rate that grows by addition and shrinks by halves), and stop asking
// for a moment when it does not answer at all (a breaker).
//
// What each interface promises is what the rest of dewpass rests on:
//
//   - Table.Commit is a transaction: all of its checks hold and all of its
//     rows are written, or nothing happened. An error of kind Lost means that
//     nobody can tell which.
//   - Worker commands carry an epoch and the worker's incarnation. A worker
//     refuses a lower epoch and another incarnation, and answers Attach with
//     all that it runs. This is the fence that makes a paused owner harmless.
//   - Instances is a hint that may lag or be wrong.
package ports
