// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"dewpass.org/wire"
)

// Handler answers requests of peers.
type Handler interface {
	// Handle answers one request. ctx ends when the server is closed.
	Handle(ctx context.Context, req *wire.Request) *wire.Reply
}

// Server accepts sessions from peers and serves their requests.
type Server struct {
	Handler Handler
	// TLS is nil for plain TCP.
	TLS *tls.Config

	ctx      context.Context
	cancel   context.CancelFunc
	inflight sync.WaitGroup
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// Serve accepts sessions on l and returns once l is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.sessions = make(map[*yamux.Session]struct{})
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveSession(c)
	}
}

// Drain waits until the requests in progress are answered or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.inflight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close closes all sessions and ends the context of the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	for session := range s.sessions {
		_ = session.Close()
	}
}

func (s *Server) serveSession(c net.Conn) {
	if s.TLS != nil {
		c = tls.Server(c, s.TLS)
	}
	streams := newStreamConn(c)
	session, err := yamux.Server(streams, serverConfig())
	if err != nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	s.sessions[session] = struct{}{}
	s.mu.Unlock()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		s.inflight.Add(1)
		go s.serveStream(stream, streams)
	}
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
	_ = session.Close()
}

func (s *Server) serveStream(st *yamux.Stream, streams *streamConn) {
	defer s.inflight.Done()
	defer st.Close()
	var req wire.Request
	_ = st.SetReadDeadline(time.Now().Add(requestTimeout))
	streams.add(st)
	defer streams.remove(st)
	if err := readFrame(st, &req); err != nil {
		return
	}
	reply := s.Handler.Handle(s.ctx, &req)
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeFrame(st, reply)
}
