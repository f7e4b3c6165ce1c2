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
	// probing says that probe is under way.
	probing atomic.Bool
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

// quiet reports whether nothing has come for a while.
func (s *session) quiet(now time.Time) bool {
	last := s.conn.heard.Load()
	return last != nil && now.Sub(*last) > silentAfter
}

// probe closes the session unless something comes on it soon. What was heard since a request
// began may have been on its way before, and then says nothing of the session.
func (s *session) probe() {
	if s.probing.Swap(true) {
		return
	}
	asked := time.Now()
	go func() { _, _ = s.Ping() }()
	time.AfterFunc(silentAfter, func() {
		defer s.probing.Store(false)
		if last := s.conn.heard.Load(); last.Before(asked) {
			_ = s.Close()
		}
	})
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
