// SPDX-License-Identifier: Apache-2.0

// Package owner runs the racks that an instance owns.
//
// An Owner holds one sched.Cell over the workers of all its racks. For each
// worker it runs one loop: attach, which raises the worker's epoch and brings
// back all that runs there, then watch, which renews the worker's leases and
// brings its changes. Nothing is placed on a worker that is not attached.
//
// Whenever the answer of a command is lost, the same remedy applies: the
// worker is attached again under the next epoch. A command of the epoch before
// can then no longer be accepted, and what the worker reports is the truth
// about all that was sent to it. A worker that cannot be reached keeps its
// tasks on the books until their leases are surely over.
//
// Calls are placed at once or wait in the cell's queue while their caller
// waits on the connection. Jobs have a row in the table, which names their
// rack; the Owner loads the rows of a rack when it adopts it and writes them
// through the journal, each time with a check that the rack is still its own.
// A call that must not be repeated is both: its row is written before it is
// sent.
//
// A job whose last worker cannot be asked is started again only when that
// worker is attached and does not have it, or when its leases are surely over.
// Work that must not be repeated is not started again at all.
package owner
