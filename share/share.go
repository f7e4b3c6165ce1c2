// SPDX-License-Identifier: Apache-2.0

// Package share divides a full pool of workers fairly between client accounts.
//
// The model is weighted dominant resource fairness. The use of an account is compared with the
// capacity of the pool in each kind of resource; the largest of these fractions is its dominant
// share. The fair share of an account is its weight divided by the weights of all accounts that
// have waiting work. The level of an account is its dominant share in increments of a tenth of its
// fair share: 0 for an account that uses nothing, PerFairShare for one that uses what it is
// entitled to. Work of the account with the smallest level goes first. The increments are coarse,
// so that accounts that use about equally much are ordered by other criteria.
//
// Accounts without waiting work count for nothing, so that what they leave unused is lent to the
// others. It returns to them as the tasks of the others end: nothing is stopped.
//
// Levels matter only while a pool is full: otherwise all work starts, and the order of starts
// should follow its objectives alone. A Gate tells when that is.
//
// The package is pure: it uses no clock, and its state is that of the Gate.
package share

import (
	"time"

	"dewpass.org/sched"
)

const (
	// PerFairShare is the number of levels in a fair share.
	PerFairShare = 10
	// DefaultWeight is the weight of an account that has none.
	DefaultWeight = 1.0
	// HoldTime is how long a Gate stays open after its pool was last full. A pool is full and not
	// full several times a second when tasks end and others start; the order of work should not
	// change each time.
	HoldTime = time.Second
	// fullDivisor defines a full pool: less than one part in fullDivisor is free.
	fullDivisor = 10
	// maxLevel limits levels, which would be unbounded for a very small weight.
	maxLevel = 1 << 30
)

// dominant are the resources that make up a dominant share. Slots and connections are left out:
// they limit how many tasks one worker takes, and a pool does not run out of them.
var dominant = [...]sched.Dim{sched.MilliCPU, sched.MemoryMiB, sched.Accelerators}

// Pool is a pool of workers that accounts compete for. Its zero value has no accounts.
type Pool struct {
	// Capacity is what all workers of the pool have together.
	Capacity sched.Vec
	// weights is the sum of the weights of the accounts that compete.
	weights float64
}

// Compete adds an account that has waiting work. Its weight is DefaultWeight if it has none.
func (p *Pool) Compete(weight float64) { p.weights += weightOr(weight) }

// Level returns the level of an account of a weight that uses a part of the pool.
func (p *Pool) Level(weight float64, used sched.Vec) int {
	level := 0.0
	for _, d := range dominant {
		if p.Capacity[d] > 0 {
			level = max(level, float64(used[d])*p.weights*PerFairShare/(float64(p.Capacity[d])*weightOr(weight)))
		}
	}
	return int(min(level, maxLevel))
}

func weightOr(weight float64) float64 {
	if weight <= 0 {
		return DefaultWeight
	}
	return weight
}

// Full reports whether a pool with a capacity, of which a part is free, is nearly out of
// processors or memory.
func Full(capacity, free sched.Vec) bool {
	return nearlyOut(capacity, free, sched.MilliCPU) || nearlyOut(capacity, free, sched.MemoryMiB)
}

func nearlyOut(capacity, free sched.Vec, d sched.Dim) bool {
	return free[d]*fullDivisor < capacity[d]
}

// Gate tells whether sharing applies to a pool: while it is full and for HoldTime afterwards. Its
// zero value is closed.
type Gate struct{ openUntil time.Time }

// Open records whether the pool is full now, and reports whether sharing applies.
func (g *Gate) Open(full bool, now time.Time) bool {
	if full {
		g.openUntil = now.Add(HoldTime)
	}
	return now.Before(g.openUntil)
}
