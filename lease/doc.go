// SPDX-License-Identifier: Apache-2.0

// Package lease holds the arithmetic of epochs, leases and pauses.
//
// An Epoch orders the owners of a rack. The platform's table hands out its
// first number; the second counts takeovers that a hall made by itself while
// the table could not be reached. Workers refuse commands of a lower epoch.
//
// A Lease is a promise that ends by itself. The holder counts it from before
// the request was sent, and gives up a margin early; whoever waits for it to
// end counts from the last request that may have renewed it, and waits a
// margin longer. Both use the monotonic clock of their own process only.
//
// A Guard notices that its process did not run for a while, by a gap between
// two of its own ticks. After a gap, nothing that the process believed may be
// acted on before it was confirmed.
//
// Everything here is pure: time is passed in.
package lease
