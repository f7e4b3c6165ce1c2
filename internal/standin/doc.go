// SPDX-License-Identifier: Apache-2.0

// Package standin holds small stand-ins of what dewpass runs on: the
// platform's table, object store and instance list, its workers, and the
// balancer in front of the entry instances. None of it is part of the shipped
// binary.
//
// Each stand-in speaks the protocol of docs/PLATFORM.md and has switches for
// its faults, which tests turn over HTTP. The workers trust what they are
// told: a worker that is given more than it has runs it all the same, and
// writes the fact down. The Record is that book. Proofs are judged from it and
// from the table's rows, never from what dewpass says of itself.
package standin
