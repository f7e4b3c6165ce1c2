// SPDX-License-Identifier: Apache-2.0

// Package job holds the durable record of a job and of a request key.
//
// A Job is one row of the platform's table. It names the hall and the rack
// that it belongs to: whoever owns the rack owns the job, and writes its row
// only together with a check on the rack's row, so that a former owner cannot.
// An index row under the rack lets a new owner find its jobs.
//
// A call that must not be repeated is a Job as well, written before it is sent
// to a worker: its row is the intent to run it, and later what became of it.
//
// A Key is the row of a shop's request key. It is written together with the
// job, and makes the same request find its first try again. A Key can also say
// that the request was refused, which is final.
//
// Next says which change of state is allowed. A job that must start at most
// once never leaves Dispatched for Queued, unless the worker refused it for
// certain.
package job
