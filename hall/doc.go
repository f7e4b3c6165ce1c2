// SPDX-License-Identifier: Apache-2.0

// Package hall tracks the live instances of a data hall and decides which of
// them owns which rack.
//
// Peers holds what an instance knows about the other instances. The first
// addresses come from its settings and from the platform's list of instances,
// everything else from hello messages, which peers exchange several times a
// second. A peer whose last hello is too old does not count as live. Liveness
// alone never changes the ownership of a rack while the table can be reached: it
// only selects whom to ask and when to read the table.
//
// Assign computes the desired owner of each rack: rendezvous hashing over the
// live peers, with bounded loads and a preference for the present owner, so that
// an instance that joins or leaves moves as few racks as possible. Each instance
// computes this on its own; where two disagree temporarily, the table decides.
//
// A Coordinator carries the assignment out. Each rack has a row in the table with
// its owner and epoch. Each instance has a member row that it rewrites
// periodically as a heartbeat. A rack is taken over when its owner sends no hellos
// and the owner's member row has not changed for the length of its lease, measured
// by the clock of the observer. A live owner hands its racks over itself; nobody
// takes a rack from it. While the table cannot be reached, the present owner goes
// on. If it dies, a peer takes its racks over without the table, and the workers
// accept the new owner once the lease of the previous one has expired. When the
// table is reachable again, its contents take precedence.
package hall
