// SPDX-License-Identifier: Apache-2.0

package link

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streamConn is the connection of a yamux session. Closing it also ends the pending reads and
// writes of the session's streams.
//
// yamux closes the streams of a session only after the connection is closed and its reader has
// stopped. Until then a stream that waits for data or for its send window polls without blocking,
// unless its deadline has passed.
type streamConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	streams map[*yamux.Stream]struct{}
}

func newStreamConn(c net.Conn) *streamConn {
	return &streamConn{Conn: c, streams: make(map[*yamux.Stream]struct{})}
}

// add registers a stream that is in use.
func (c *streamConn) add(st *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		expire(st)
		return
	}
	c.streams[st] = struct{}{}
}

// remove forgets a stream that is no longer in use.
func (c *streamConn) remove(st *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, st)
}

// Close implements net.Conn.
func (c *streamConn) Close() error {
	c.expireStreams()
	return c.Conn.Close()
}

func (c *streamConn) expireStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for st := range c.streams {
		expire(st)
	}
	clear(c.streams)
}

// expire ends the pending reads and writes of a stream.
func expire(st *yamux.Stream) { _ = st.SetDeadline(time.Now()) }
