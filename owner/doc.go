// SPDX-License-Identifier: Apache-2.0

// Package owner runs the tasks of the racks that an instance owns.
//
// An Owner holds one sched.Cell with the workers of all its racks. For each worker it runs a
// loop of two steps: attach, which raises the worker's epoch and returns all tasks that it has,
// and watch, which renews the worker's leases and returns changes. Nothing is placed on a
// worker that is not attached.
//
// Whenever the reply to a command is lost, the worker is attached again under the next epoch.
// The worker then refuses any command of an earlier epoch, and what it reports is the final
// word on all that was sent to it. The tasks of a worker that cannot be reached are kept until
// their leases have certainly expired.
//
// Calls are placed at once, or wait in the cell's queue while their caller waits on the
// connection. A job has a row in the table, which names its rack. The Owner loads the rows of a
// rack when it adopts the rack, and writes them through the journal, each time on condition
// that it still owns the rack. A call that must not be repeated has a row as well, which is
// written before the call is sent.
//
// If the last worker of a job cannot be reached, the job is started again only when that worker
// is attached and does not have it, or when its leases have certainly expired. Work that must
// not be repeated is never started again.
package owner
