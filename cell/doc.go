// SPDX-License-Identifier: Apache-2.0

// Package cell schedules the tasks of multi-step jobs on the workers of a cell.
//
// The package is pure: it reads no clock, starts no goroutine and does no I/O. The caller reports
// events to a Cell, each with its time: a worker's entry was read, a worker listed its runs and
// ends, a job was accepted, the store wrote a record. Place returns the resulting decisions as
// values: runs to start and to stop, and questions to ask a policy.
//
// # Guarantees
//
// A run occupies room on its worker from the decision to start it until its end is listed or it is
// certain that it never began. A worker whose answer to an order was lost is detached: nothing is
// placed there until it has listed its runs under a newer fencing token, which no earlier order can
// pass. Such a list may be one page of the worker's ends: until the last page was read, a run that is
// not listed may have ended, and is not started again. An unreachable worker keeps its runs until their
// leases have certainly expired or a new incarnation of the worker has been seen.
//
// # Order
//
// Waiting stages are ordered by the priority of their queue, then by whether they can still meet
// their objective, then by slack: the time left to them beyond the work still to do. With fair
// sharing, how much of a full pool their accounts use is compared before slack.
package cell
