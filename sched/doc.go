// SPDX-License-Identifier: Apache-2.0

// Package sched decides which task runs on which worker, when, and what has to
// yield for it.
//
// The package is pure. A Cell holds the state of one owner: its workers, the
// tasks that wait and the tasks that run. Events go in as method calls with
// the time passed in; decisions come out of Step as values. Nothing here reads
// a clock, starts a goroutine, allocates in the steady state or talks to
// anybody, so the same events always give the same decisions.
//
// # Model
//
// Capacity is a Vec of five dimensions. What counts is what was promised to
// tasks, never a usage report. A Pool keeps the free Vec of every worker in
// flat slices, with the largest free amount of each block of workers beside
// them, so that a search passes over full blocks at a glance and ends after a
// bounded number of candidates.
//
// Waiting tasks are ordered by class first, then by the dominant share of
// their team against its quota, then by least slack to their deadline. A task
// that does not fit does not hold up smaller ones behind it.
//
// Calls have a reserve: the room that their arrival rate and length ask for,
// by Little's law with three standard deviations on top. Other work is placed
// only on what is left over, so that a call almost never waits for it.
//
// When a task of a higher class, or of a team below its quota, still finds no
// room, tasks below it yield by a ladder: throttle, checkpoint, stop. The
// worker where the least work is lost is chosen and held for the task that
// waits, so that one shortage never makes two workers yield.
//
// Admission compares the predicted wait with the deadline, and refuses early,
// with the time after which it is worth coming back.
package sched
