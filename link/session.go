// SPDX-License-Identifier: Apache-2.0

package link

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a yamux session that tracks when the peer last sent data.
//
// yamux closes a session if the opening of a stream is not acknowledged in time. A caller
// that times out earlier and closes its stream cancels that timer, so this is not enough to
// detect a dead connection.
type session struct {
	*yamux.Session
	conn     *activityConn
	streams  *streamConn
	openedAt time.Time
	// probing is set while a probe is in progress.
	probing atomic.Bool
}

// newSession returns a session on c, which is tracked or a TLS connection on it.
func newSession(c net.Conn, tracked *activityConn) (*session, error) {
	streams := newStreamConn(c)
	y, err := yamux.Client(streams, sessionConfig())
	return &session{Session: y, conn: tracked, streams: streams, openedAt: time.Now()}, err
}

// noDataSince reports whether a request began more than silenceTimeout ago and nothing was
// received since. A session that never received anything is given openTimeout instead: its
// peer is probably paused, and a new session would fare no better.
func (s *session) noDataSince(begun, now time.Time) bool {
	last := s.conn.lastRead.Load()
	if last == nil {
		return now.Sub(s.openedAt) > openTimeout
	}
	return last.Before(begun) && now.Sub(begun) > silenceTimeout
}

// noRecentData reports whether nothing was received for silenceTimeout.
func (s *session) noRecentData(now time.Time) bool {
	last := s.conn.lastRead.Load()
	return last != nil && now.Sub(*last) > silenceTimeout
}

// probe pings the peer and closes the session if nothing is received within silenceTimeout.
// Data received since a request began may have been in transit before it, so it does not prove
// that the connection still works.
func (s *session) probe() {
	if s.probing.Swap(true) {
		return
	}
	asked := time.Now()
	go func() { _, _ = s.Ping() }()
	time.AfterFunc(silenceTimeout, func() {
		defer s.probing.Store(false)
		if last := s.conn.lastRead.Load(); last.Before(asked) {
			_ = s.Close()
		}
	})
}

// activityConn is a connection that records when data was last read.
type activityConn struct {
	net.Conn
	lastRead atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(&now)
	}
	return n, err
}
