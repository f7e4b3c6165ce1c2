// SPDX-License-Identifier: Apache-2.0

// Package keys makes TLS configurations from files that may be replaced while
// the process runs.
//
// A Pair is loaded once with Load and shared by the code that dials and listens.
// When a configuration is requested for a connection, the Pair checks, at most
// once a second, whether its files have changed, and reloads them if so.
// Existing connections are not affected. If the new files cannot be loaded, the
// last valid ones stay in use, so that a partially written file does not prevent
// connections.
package keys
