// SPDX-License-Identifier: Apache-2.0

// Package sched decides which task runs on which worker, when, and which running tasks are
// preempted for it.
//
// The package is deterministic. A Cell holds the state of one owner: its workers, its waiting
// tasks and its running tasks. Events are reported as method calls with the time as an
// argument; decisions are returned by Step as values. Nothing here reads a clock, starts a
// goroutine, does I/O or, in the steady state, allocates memory, so the same events always give
// the same decisions.
//
// # Model
//
// Capacity is a Vec of five resources. Placement counts what was promised to tasks, never what
// tasks report as used. A Pool keeps the free Vec of every worker in flat slices, and for each
// block of workers the largest free amounts, so that a search skips full blocks without looking
// at their workers and ends after a limited number of candidates.
//
// Waiting tasks are ordered by class, then by the dominant share of their team against its
// quota, then by the latest start that still meets their deadline. A task that does not fit
// does not block smaller tasks behind it (backfill).
//
// Capacity is reserved for calls: by Little's law from their arrival rate and duration, plus
// three standard deviations. Other work is placed only outside this reserve, so that a call
// almost never waits for it.
//
// If a task of a higher class, or of a team below its quota, still finds no room, lower tasks
// are preempted: throttled, checkpointed or stopped, in this order of preference. The worker
// where the least work is lost is chosen and held for the waiting task, so that one shortage
// never preempts tasks on two workers.
//
// Admission control compares the predicted wait with the deadline and refuses early, with a
// delay after which a retry makes sense.
package sched
