// SPDX-License-Identifier: Apache-2.0

// Package job defines the durable records of jobs and request keys.
//
// A job is one row of the platform's table. The row names the hall and the rack
// to which the job belongs. The owner of the rack owns the job, and writes its
// row only together with a check on the rack's row, so that a former owner
// cannot write it. An index row under the rack allows a new owner to find its
// jobs.
//
// A call that must not be repeated is stored as a job as well. Its row is
// written before the call is sent to a worker: it records first the intent to
// run the call and later its result.
//
// A request key is stored in a row that is written together with the job. If a
// client account sends the same request again, the row leads to the job of the
// first attempt. The row can also record that the request was refused, which is
// final.
//
// The package also defines the allowed state transitions. A job that must start
// at most once returns from Dispatched to Queued only if the worker certainly
// refused it.
package job
