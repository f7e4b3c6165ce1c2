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

// Handler answers the requests of peers.
type Handler interface {
	// Handle answers one request. ctx ends when the server is closed.
	Handle(ctx context.Context, req *wire.Request) *wire.Reply
}

// Server accepts sessions of peers.
type Server struct {
	Handler Handler
	// TLS is nil for plain TCP.
	TLS *tls.Config

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	open   map[*yamux.Session]struct{}
}

// Serve accepts sessions on l until Close. It returns once l is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.open = make(map[*yamux.Session]struct{})
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.session(c)
	}
}

// Drain waits until the requests in progress are answered or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close ends all sessions.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	for session := range s.open {
		_ = session.Close()
	}
}

func (s *Server) session(c net.Conn) {
	if s.TLS != nil {
		c = tls.Server(c, s.TLS)
	}
	session, err := yamux.Server(c, serverConfig())
	if err != nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	s.open[session] = struct{}{}
	s.mu.Unlock()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		s.wg.Add(1)
		go s.stream(stream)
	}
	s.mu.Lock()
	delete(s.open, session)
	s.mu.Unlock()
	_ = session.Close()
}

func (s *Server) stream(st *yamux.Stream) {
	defer s.wg.Done()
	defer st.Close()
	var req wire.Request
	_ = st.SetReadDeadline(time.Now().Add(handshakeTime))
	if err := readFrame(st, &req); err != nil {
		return
	}
	reply := s.Handler.Handle(s.ctx, &req)
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeFrame(st, reply)
}
