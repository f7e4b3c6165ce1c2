// SPDX-License-Identifier: Apache-2.0

// Package lease calculates with epochs, leases and pauses of a process.
//
// An Epoch orders the owners of a rack. Its first number is issued by the
// platform's table; the second counts takeovers that a hall made by itself
// while the table was unreachable. Workers refuse commands of a lower epoch.
//
// A Lease expires unless it is renewed. The holder measures it from before the
// request was sent, and stops using it a margin early. Others, who wait for it
// to expire, measure it from the last request that may have renewed it, and
// wait a margin longer. Both use only the monotonic clock of their own process.
//
// A PauseDetector detects that its process was paused, by a gap between two of its own
// ticks. After a pause, earlier knowledge must be confirmed before it is used.
//
// All functions are pure: the time is an argument.
package lease
