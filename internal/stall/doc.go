// SPDX-License-Identifier: Apache-2.0

// Package stall bounds a call by the time that it goes without progress.
//
// A limit on the whole time of a call makes a large answer over a thin link
// impossible: it is broken off, begun again from nothing, and never ends. Here the
// limit is on the wait for the first byte and then on each gap between bytes, so that
// what is on its way arrives, and what has stopped is given up as soon as before.
package stall
