// SPDX-License-Identifier: Apache-2.0

// Package flow is the model of a job of several steps, and of its durable
// record.
//
// A Spec is a job as its submitter gave it. It holds steps; a step holds a
// number of equal tasks and names the earlier steps that must be done before
// it. A job may be repeated: then every step has one set of tasks for each
// time, and time K falls due at a fixed moment.
//
// A task is started as a run, and a run ends in one of the ways of End. Only
// an end that is Failed counts as an attempt. Runs of a task are numbered from
// 1 upwards, so that a worker can tell a late order from a new one.
//
// A Record is what must last beside the Spec: which tasks are done, how often
// each has failed, and what became of the job. It is enough to go on from after
// the loss of every instance, together with what the workers say they run.
package flow
