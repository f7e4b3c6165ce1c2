// SPDX-License-Identifier: Apache-2.0

// Package clock is the time as one process sees it.
//
// Leases are compared between machines whose clocks do not run at quite the
// same speed, and package lease leaves a margin for that. To prove that the
// margin is enough, a binary built with the tag "faults" can be told to run its
// clock fast or slow, or to seem suspended; see SetRate and Sleep. In the shipped
// binary Now and Since are those of package time and count besides what the machine
// was suspended for, in which its steady clock stands still. What a lease, a pause or a
// deadline is held against is read here; timers run at the machine's own speed. Now is
// not the time of day; that is Wall.
package clock
