// SPDX-License-Identifier: Apache-2.0

// Package cell decides what the workers of a cell run, for jobs of several steps.
//
// The package is pure. A Cell is fed with events: a worker was heard of, a
// worker listed what it runs and what has ended, a job was accepted, a store
// kept what it was given. Each event comes with the time. What is to be done
// comes out of Place as values: runs to start and to stop, advice to ask for.
// Nothing here reads a clock, starts a goroutine or talks to anybody.
//
// # What is certain
//
// A run takes room from the moment that it is decided until its end is listed,
// or it is certain that it never began. A worker of which an order's answer was
// lost is not attached: nothing is placed there until it has listed what it
// runs under a newer fence, which no earlier order can pass. A worker that
// cannot be reached keeps its runs until their lease is surely over, or another
// life of it was seen.
//
// # Order
//
// Stages that wait are ordered by the priority of their queue, then by whether
// they can still be in time, then by the time that is left to them beyond the
// work still to do.
package cell
