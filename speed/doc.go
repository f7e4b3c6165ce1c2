// SPDX-License-Identifier: Apache-2.0

// Package speed estimates how fast each worker is from the durations of the runs completed there.
//
// # Model
//
// All quantities are natural logarithms. The duration of a run is the work of a task of its step,
// less the speed of its worker, plus noise. Neither work nor speed is known, and each tells about
// the other:
//
//   - The estimate of a step's tasks, corrected by what the runs of its queue took against their
//     estimates (Queue), gives the work with the spread of the estimates of that queue.
//   - The runs of a step that have ended on other workers give the work with the spread of the runs
//     of one step, which is much smaller, and with the uncertainty of the speeds of those workers.
//     They are used once there are three of them.
//   - The work less the duration of a worker's own runs is then a comparison, which tells about the
//     speed of that worker with the variance of both (Step).
//
// The comparisons of a worker are averaged, weighted by the inverse of their variance and with a
// half-life (Worker). What a step has told about a worker is replaced when more of its runs end, as
// all runs of a step on one worker share the uncertainty of the work, and it is left out where that
// worker's speed is used to estimate the work of the same step.
//
// # Certainty
//
// A speed is used only if enough runs support it, if it differs enough from the median of the pool,
// and if the difference is several times its standard deviation. That deviation follows from the
// spreads above or from how much the worker's own comparisons differ, whichever is larger: a few
// tasks take many times as long as the others, and a worker that happened to have two of them is
// not slow. A duration counts at most three times what was expected.
//
// The package is pure: it reads no clock, starts no goroutine and does no I/O. Its types are not
// safe for concurrent use.
package speed
