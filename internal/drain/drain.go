// SPDX-License-Identifier: Apache-2.0

// Package drain tells when an HTTP server has no open connections left, so that
// a planned stop cuts no request.
//
// http.Server.Shutdown closes idle connections at once. A request that its
// caller has just written to one is then never read, and its caller hears
// nothing certain. A server that stops therefore stops accepting, asks each
// caller to close with its next answer, and waits for the connections to go.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Conns follows the connections of a server. Its zero value has none. Note is
// for http.Server.ConnState.
type Conns struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
	// none is closed when the last one goes; nil while nobody waits.
	none chan struct{}
}

// Note takes in a change of a connection's state.
func (c *Conns) Note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.open == nil {
			c.open = make(map[net.Conn]struct{})
		}
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		if len(c.open) == 0 && c.none != nil {
			close(c.none)
			c.none = nil
		}
	}
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
