// SPDX-License-Identifier: Apache-2.0

// Package flow is the model of a job with several steps, and of its durable
// record.
//
// A Spec is a job as it was submitted. It consists of steps; a step is a number
// of equal tasks and lists the earlier steps that must be done before it
// starts. A job may be repeated: then every step has one set of tasks for each
// repetition, and each repetition becomes due at a fixed time.
//
// A task is executed as a run, and a run ends in one of the ways of End. Only
// EndFailed counts as an attempt. The runs of a task are numbered from 1, so
// that a worker can tell an outdated order from a new one.
//
// A Record is the state that must be durable beside the Spec: which tasks are
// done, how often each has failed, and the state of the job. Together with what
// the workers report as running, it is sufficient to resume the job after the
// loss of every instance.
package flow
