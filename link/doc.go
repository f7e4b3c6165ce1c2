// SPDX-License-Identifier: Apache-2.0

// Package link carries messages between entry instances.
//
// A Server accepts yamux sessions on a TCP address, with TLS if it is given a
// configuration, and hands each stream's request to a Handler. A Dialer keeps
// one session to each peer, opens it when first needed, and drops it when it
// breaks or goes silent: a connection may stop carrying anything without a reset.
// One exchange is one stream: a request, a reply, both protobuf with
// their length in front.
//
// An exchange that fails says how far it got. Unavailable means that the
// request never left; Lost means that the peer may have acted on it.
package link
