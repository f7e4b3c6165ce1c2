// SPDX-License-Identifier: Apache-2.0

// Package entry assembles and runs an entry instance: the HTTP front for callers,
// the owner of racks, the coordinator that decides which racks those are, the
// link to peers, and the loops that distribute the tree and keep services at
// their replica counts.
//
// All instances are equal and keep no state of their own: one can be killed at
// any time. A planned stop first hands its racks over and aborts no work in
// progress.
package entry
