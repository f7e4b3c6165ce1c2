// SPDX-License-Identifier: Apache-2.0

// Package pool keeps HTTP connections open, a set for each address, and gives up those to
// an address together.
//
// Connections may go silent for good without a reset, all those to an address at once. An
// http.Transport throws away the one on which a call timed out, and uses the next idle one,
// which is as silent, for the next call.
package pool
