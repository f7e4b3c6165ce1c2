// SPDX-License-Identifier: Apache-2.0

// Package cluster assembles one entry instance: it answers clients and peers, and schedules jobs
// on workers through a platform (worker calls) and a transactional store of rows.
//
// The workers are divided into cells by rack. A cell has workers of every hall, so that a job
// finds workers that its policy allows and a wide step finds enough room. All instances are
// equal: each accepts and answers for every job. At most one instance at a time holds the lease
// of a cell and schedules its jobs; one instance may own several cells.
//
// The number of cells is derived once from the number of workers, before the first cell has an
// owner, and never changes.
//
// Instances exchange greetings, a gossip protocol: owners greet every instance, others greet a
// few. A greeting carries the sender's identity, whether it reaches the store, and the load of
// the cells that it owns. Greetings are hints about whom to ask. One decision rests on them: whether
// an owner that does not reach the store may go on (claim.Peers). Otherwise the store decides who
// holds a cell lease, and the workers decide what runs.
package cluster
