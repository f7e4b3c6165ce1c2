// SPDX-License-Identifier: Apache-2.0

// Package clock provides the time that leases, pauses and deadlines are compared with.
//
// Leases are compared between machines whose clocks run at slightly different rates, and
// package lease leaves a margin for that. To test that margin, a binary built with the tag
// "faults" can run its clock at another rate or simulate a suspension of the machine; see
// SetRate and Sleep. In the released binary Now and Since behave like those of package time,
// except that they include time for which the machine was suspended, which the monotonic
// clock leaves out. Timers are not affected: they run at the machine's own rate. Now is not
// the time of day; use Wall for that.
package clock
