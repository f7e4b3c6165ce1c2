// SPDX-License-Identifier: Apache-2.0

// Package drain stops an HTTP server without cutting a request.
//
// http.Server.Shutdown closes idle connections at once, and drops what the server
// reads from then on, on new connections too. A request that its caller has just
// written is then not answered, and its caller hears nothing certain. A server that
// stops therefore stops accepting, asks each caller to close with its next answer,
// and waits for the connections to go. Those that are left idle after a while are
// ended by the reading side alone, so that a request that has arrived is still read
// and answered. Shutdown is never called.
package drain

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"dewpass.org/internal/sock"
)

// ErrCut says that connections were still open at the end, and were cut.
var ErrCut = errors.New("connections were cut")

const (
	// acceptLimit bounds the wait until connections that the kernel has set up are
	// taken, on a machine too busy to take them at once.
	acceptLimit = 100 * time.Millisecond
	acceptLook  = time.Millisecond
)

// Server is an HTTP server on one listener. Its handler asks callers to close
// their connections while it stops.
type Server struct {
	http     *http.Server
	listener net.Listener
	conns    Conns
	// served is closed when Serve has taken its last connection.
	served chan struct{}
}

// New returns a server that takes its connections from l. It takes over s.ConnState.
func New(s *http.Server, l net.Listener) *Server {
	d := &Server{http: s, listener: l, served: make(chan struct{})}
	s.ConnState = d.conns.Note
	return d
}

// Addr returns the address that it listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves until Stop; it returns when no connection is taken any more, and is
// called once.
func (s *Server) Serve() error {
	defer close(s.served)
	return s.http.Serve(s.listener)
}

// Stop takes no more connections and waits until callers have closed theirs. When
// patience ends it closes those that are idle, and when limit ends, which is later,
// all. It returns ErrCut if any was left then. Serve must have been called.
func (s *Server) Stop(patience, limit context.Context) error {
	s.closeListener()
	// A connection that was accepted is counted only once Serve has noted it.
	<-s.served
	s.conns.Wait(patience)
	s.conns.CloseIdle()
	s.conns.Wait(limit)
	left := s.conns.Open()
	if err := s.http.Close(); err != nil {
		return err
	}
	if left > 0 {
		return ErrCut
	}
	return nil
}

// closeListener closes the listener once nothing waits at it: closing resets
// connections that are not accepted yet, on which callers may have written.
func (s *Server) closeListener() {
	for end := time.Now().Add(acceptLimit); sock.Waiting(s.listener) > 0 && time.Now().Before(end); {
		time.Sleep(acceptLook)
	}
	// Serve returns its error.
	_ = s.listener.Close()
}

// Conns follows the connections of a server. Its zero value has none. Note is
// for http.Server.ConnState.
type Conns struct {
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
	// closing says that idle connections are closed.
	closing bool
	// none is closed when the last one goes; nil while nobody waits.
	none chan struct{}
}

// Note takes in a change of a connection's state.
func (c *Conns) Note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		if len(c.open) == 0 && c.none != nil {
			close(c.none)
			c.none = nil
		}
	default:
		if c.open == nil {
			c.open = make(map[net.Conn]http.ConnState)
		}
		c.open[conn] = state
		if c.closing && isIdle(state) {
			closeRead(conn)
		}
	}
}

// Open returns how many connections are open.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseIdle lets connections without a request end, those too that become idle from
// now on. A request that has arrived is read and answered before; its context ends
// early, as that of a caller that hangs up.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn, state := range c.open {
		if isIdle(state) {
			closeRead(conn)
		}
	}
}

// isIdle reports whether no request has been read on a connection in this state.
func isIdle(state http.ConnState) bool {
	return state == http.StateNew || state == http.StateIdle
}

// closeRead ends a connection's reading side: the server finds the end behind what
// has arrived, and closes the connection.
func closeRead(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if c, ok := conn.(interface{ CloseRead() error }); ok {
		// It fails if the connection has ended already.
		_ = c.CloseRead()
		return
	}
	_ = conn.Close()
}

// Wait waits until no connection is open or ctx ends.
func (c *Conns) Wait(ctx context.Context) {
	c.mu.Lock()
	if len(c.open) == 0 {
		c.mu.Unlock()
		return
	}
	if c.none == nil {
		c.none = make(chan struct{})
	}
	none := c.none
	c.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}
