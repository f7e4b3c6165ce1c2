// SPDX-License-Identifier: Apache-2.0

// Package driver runs a cell: it carries what happens to a cell.Cell and carries
// out what the cell decides.
//
// A Driver lives as long as its instance holds the cell's lease. It begins by
// reading the jobs of the cell from the store, and then runs one link to each
// worker. A link first holds the worker under a fence above all earlier ones,
// which brings back all that runs there, and then holds it again and again,
// which renews the lease of what runs and brings the ends. When the answer of
// any order is lost, the link starts over under the next fence.
//
// Ends go into the cell at once, so that the next steps start without waiting
// for the store. They are written in group commits, and only then is a worker
// told that it may forget them. That a job is over is also written where the job
// itself stands: it goes with it, so that the next owner reads only what is still
// to do, and clients see it while the cell's own part of the store is silent.
package driver
