// SPDX-License-Identifier: Apache-2.0

// Package cluster puts together an entry instance that runs on a platform with
// a store of rows and workers that take orders.
//
// The workers are divided into cells by their racks; a cell has workers of
// every hall, so that a job finds the workers that its policy allows and that a
// wide step finds room. Every instance is equal: it answers for every job, and
// at most one instance holds the lease of a cell and drives it. One instance may
// hold several.
//
// How many cells there are is decided once, by the number of workers, before the first
// one has an owner.
//
// Instances greet each other, owners everybody and others a few. A greeting says who
// its sender is, whether it reaches the store, and how full the cells are that it owns.
// Nothing is decided by greetings alone: they say whom to ask. Who holds a cell lease
// is decided by the store, and what runs by the workers.
package cluster
