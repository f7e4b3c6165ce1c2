// SPDX-License-Identifier: Apache-2.0

// Package keys makes TLS configurations from files that may be replaced while
// the instance runs. A Pair reads its certificate, key and authorities again
// when one of the files has changed; a replacement that cannot be read leaves
// the last good one in use, so that a half-written file cuts nobody off.
//
// The model: a Pair is made once, with Load, and handed to whoever dials or
// listens. Client and Server return configurations that ask the Pair for its
// files' contents at each handshake, at most once a second, so that a key is
// replaced by replacing its file, and no connection in use is cut.
package keys
