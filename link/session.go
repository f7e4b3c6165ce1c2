// SPDX-License-Identifier: Apache-2.0

package link

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a session to a peer that tells whether the peer is still heard on it.
//
// yamux closes a session when the opening of a stream is not acknowledged, but a caller
// that gives up and closes its stream before calls that off.
type session struct {
	*yamux.Session
	conn   *heardConn
	opened time.Time
}

// silent reports whether nothing has come since a request that was begun a while ago. A
// session on which nothing came at all is that of a peer that is paused, for which a
// new one is no better, and is given longer.
func (s *session) silent(begun, now time.Time) bool {
	last := s.conn.heard.Load()
	if last == nil {
		return now.Sub(s.opened) > openTimeout
	}
	return last.Before(begun) && now.Sub(begun) > silentAfter
}

// heardConn is a connection that notes when bytes last came.
type heardConn struct {
	net.Conn
	heard atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.heard.Store(&now)
	}
	return n, err
}
