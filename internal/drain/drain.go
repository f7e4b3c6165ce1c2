// SPDX-License-Identifier: Apache-2.0

// Package drain stops an HTTP server without cutting off requests.
//
// http.Server.Shutdown closes idle connections at once, and discards what the server reads
// afterwards, on new connections too. A request that was written just before is then not
// answered, and its caller can't tell whether it was processed. Server.Stop therefore stops
// accepting connections, lets the handler ask each caller to close its connection with the
// next response, and waits for the connections to close. On connections that are still idle
// after the grace period it shuts down the reading side only, so that a request that has
// already arrived is still read and answered. It never calls Shutdown.
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

// ErrCut reports that connections were still open at the end of a stop and were closed.
var ErrCut = errors.New("server stopped with connections still open; they were closed")

const (
	// acceptTimeout bounds the wait for connections in the accept queue to be accepted, which
	// takes time on a busy machine.
	acceptTimeout      = 100 * time.Millisecond
	acceptPollInterval = time.Millisecond
)

// Server is an HTTP server on one listener. Its handler has to ask callers to close their
// connections while the server stops.
type Server struct {
	http     *http.Server
	listener net.Listener
	conns    ConnTracker
	// served is closed when Serve has accepted its last connection.
	served chan struct{}
}

// New returns a server that accepts connections from l. It sets s.ConnState.
func New(s *http.Server, l net.Listener) *Server {
	d := &Server{http: s, listener: l, served: make(chan struct{})}
	s.ConnState = d.conns.ConnState
	return d
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves requests until Stop is called, and returns once no more connections are
// accepted. It must be called only once.
func (s *Server) Serve() error {
	defer close(s.served)
	return s.http.Serve(s.listener)
}

// Stop stops accepting connections and waits until callers have closed theirs. When grace
// ends it closes idle connections, and when limit ends, which has to be later, all
// connections. It returns ErrCut if any were left by then. Serve must have been called.
func (s *Server) Stop(grace, limit context.Context) error {
	s.closeListener()
	// An accepted connection is tracked only once Serve has set its state.
	<-s.served
	s.conns.Wait(grace)
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

// closeListener closes the listener once its accept queue is empty or acceptTimeout has
// passed. Closing it resets connections that are not accepted yet, on which callers may
// already have sent requests.
func (s *Server) closeListener() {
	for end := time.Now().Add(acceptTimeout); sock.AcceptQueueLen(s.listener) > 0 && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
	// Serve returns the listener's error.
	_ = s.listener.Close()
}

// ConnTracker tracks the open connections of a server. Its zero value is ready for use; set
// its method ConnState as http.Server.ConnState.
type ConnTracker struct {
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
	// closingIdle says that connections are closed as soon as they are idle.
	closingIdle bool
	// empty is closed when the last connection closes; it is nil if nobody waits for that.
	empty chan struct{}
}

// ConnState records the new state of a connection.
func (c *ConnTracker) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		if len(c.open) == 0 && c.empty != nil {
			close(c.empty)
			c.empty = nil
		}
	default:
		if c.open == nil {
			c.open = make(map[net.Conn]http.ConnState)
		}
		c.open[conn] = state
		if c.closingIdle && isIdle(state) {
			closeRead(conn)
		}
	}
}

// Open returns the number of open connections.
func (c *ConnTracker) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseIdle closes connections without a request, now and as they become idle later. A
// request that has already arrived is still read and answered, but its context is cancelled
// early, as if the caller had disconnected.
func (c *ConnTracker) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingIdle = true
	for conn, state := range c.open {
		if isIdle(state) {
			closeRead(conn)
		}
	}
}

// isIdle reports whether no request is being processed on a connection in this state.
func isIdle(state http.ConnState) bool {
	return state == http.StateNew || state == http.StateIdle
}

// closeRead shuts down the reading side of a connection: the server reads what has already
// arrived, then the end of the stream, and closes the connection.
func closeRead(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if c, ok := conn.(interface{ CloseRead() error }); ok {
		// It fails only if the connection is closed already.
		_ = c.CloseRead()
		return
	}
	_ = conn.Close()
}

// Wait waits until no connection is open or ctx ends.
func (c *ConnTracker) Wait(ctx context.Context) {
	c.mu.Lock()
	if len(c.open) == 0 {
		c.mu.Unlock()
		return
	}
	if c.empty == nil {
		c.empty = make(chan struct{})
	}
	none := c.empty
	c.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}
