// SPDX-License-Identifier: Apache-2.0

// Package pool keeps HTTP connections open, in a separate set for each address, and closes the
// idle connections to an address together.
//
// All connections to an address may stop responding at the same time without being reset. An
// http.Transport discards only the connection on which a call timed out, and uses another idle
// connection, which doesn't respond either, for the next call.
package pool
