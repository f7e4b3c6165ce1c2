// SPDX-License-Identifier: Apache-2.0

// Package hall keeps track of the instances of a data hall and of who owns
// which of its racks.
//
// Peers is what an instance knows of the others. It learns first addresses
// from its settings and the platform's list, and everything else from hello
// messages, which peers send each other several times a second. A peer that
// has not said hello for a while is not counted as live. Nothing is ever
// decided by that alone: it only says whom to ask and when to look at the
// table.
//
// Assign says who should own which rack: rendezvous hashing over the live
// peers, with bounded loads and a preference for the present owner, so that an
// instance that comes or goes moves as few racks as possible. Every instance
// computes it alone; where two disagree for a moment, the table decides.
//
// A Keeper acts on it. A rack is one row of the table: owner, epoch. An
// instance shows that it lives by a row of its own that it writes again and
// again. A rack is taken over when its owner is silent and that row has not
// changed for the length of its lease, by the clock of the one who watches.
// The owner itself hands a rack on; nobody takes a rack from a live one. While
// the table cannot be reached, the present owner goes on, and if it dies, a
// peer asks the workers themselves, who accept it once the control of the last
// owner has lapsed. When the table is back, its answer goes first.
package hall
