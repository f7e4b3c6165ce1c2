// SPDX-License-Identifier: Apache-2.0

// Package ports defines the interfaces to the services of the platform (its
// table, its object store, its list of instances and its workers) and the
// clients that implement them. No other package calls these services directly.
//
// Each service has one small interface and one client that speaks the
// platform's HTTP protocol; docs/PLATFORM.md specifies that protocol. The
// clients honour the caller's deadline. The platform's clients also adapt their
// rate when a service answers that it is too high (additive increase,
// multiplicative decrease), and pause calls to a service that does not answer
// (circuit breaker).
//
// The rest of dewpass relies on these guarantees:
//
//   - Table.Commit is a transaction: either all of its checks hold and all of
//     its rows are written, or it has no effect. An error of kind Lost means
//     that the outcome is unknown.
//   - Worker commands carry an epoch and the worker's incarnation. A worker
//     refuses a lower epoch and a different incarnation, and answers Attach with
//     all tasks that it runs. This fencing keeps an owner that was paused from
//     doing harm when it resumes.
//   - Instances is a hint that may be out of date or wrong.
package ports
