// SPDX-License-Identifier: Apache-2.0

// Package headroom calculates how much capacity of a pool to keep free for urgent work, and whether
// a less urgent task may take room on a worker.
//
// Less urgent tasks that run for seconds refill all capacity as it comes free. When the rate of
// urgent work rises, its tasks would wait for theirs to end, which takes longer than urgent work may
// wait. So a part of the pool follows the rate of the urgent work and stays free.
//
// The capacity is measured in units. A unit is the mean demand of the urgent tasks of the last
// windows, and only whole units on single workers count: two halves on two workers run no urgent
// task. The need is the peak number of urgent tasks that ran or waited at once plus twice its square
// root, which covers the fluctuation of independent arrivals. What urgent tasks use now is part of
// the need, so only the rest is kept free, and at most a quarter of the pool. A less urgent task may
// take room while more units than that are free, and also where its placement costs no whole unit.
//
// While units are missing, some incomplete ones have to be completed: if every small part that comes
// free were refilled at once, no unit would form on a worker whose tasks end one by one. Of the
// workers with the most of a unit free, as many as there are units missing are then left alone.
//
// A wrong need costs at most a quarter of the pool until the peak is forgotten, which is after one
// to two windows. Without history nothing is kept.
//
// The package is pure: it reads no clock and does no I/O. Its arithmetic is on integers, so that
// decisions are deterministic.
package headroom
