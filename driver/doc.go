// SPDX-License-Identifier: Apache-2.0

// Package driver runs a cell: it passes events to a cell.Cell and carries out the
// cell's decisions.
//
// A Driver exists while its instance holds the cell's lease (package claim). It
// first reads the cell's jobs from the store and then runs one link per worker. A
// link attaches the worker: it sends a hold order under a fencing token (fence)
// above all earlier ones, and the worker answers with everything that runs there.
// Further holds are long polls that renew the lease of the worker's runs and
// return the runs that have ended, a limited number at once: the worker lists the
// next ones when it is told to forget these. If the answer to any order is lost, the link
// attaches the worker again under the next fence.
//
// A worker may restart under the same id. Each run of the worker's process is
// called an incarnation; it is identified by its start time (born).
//
// The end of a run is applied to the cell at once, so that the next steps start
// without waiting for the store. Ends are persisted in group commits, and only
// then is the worker told that it may forget them. The end of a job is also
// written to the part of the store that has the job's own rows, and the job's
// specification is removed there: the next owner then reads only unfinished jobs,
// and clients can see the end while the cell's own part of the store is down.
package driver
