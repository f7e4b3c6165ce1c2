// SPDX-License-Identifier: Apache-2.0

// Package stall cancels a call that makes no progress.
//
// With a limit on its total time alone, a large answer over a slow link is cancelled and
// started again from the beginning, and never completes. Here the limits are on the wait for
// the first byte and on each gap between bytes, so that a slow transfer completes, and one
// that has stopped is still cancelled quickly.
package stall
