// SPDX-License-Identifier: Apache-2.0

// Package link carries requests between entry instances.
//
// A Server accepts yamux sessions on a TCP address, optionally with TLS, and
// passes the request of each stream to a Handler. A Dialer keeps one session to
// each peer, opens it when first needed, and replaces it when it breaks or stops
// receiving data: a connection may go dead without a reset. Each exchange uses a
// stream of its own for one request and one reply, both length-prefixed protobuf
// messages.
//
// The kind of an error says how far the exchange got: with Unavailable the request
// was never sent, with Lost the peer may have acted on it.
package link
