// SPDX-License-Identifier: Apache-2.0

package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/sock"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

var _ = Describe("a server that is draining", func() {
	It("answers a request that is written to an idle connection, then closes the connection", func(ctx context.Context) {
		var conns ConnTracker
		draining := false
		s := &http.Server{ConnState: conns.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if draining {
				w.Header().Set("Connection", "close")
			}
		})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		reader := bufio.NewReader(c)
		roundTrip := func() (*http.Response, error) {
			fmt.Fprint(c, request)
			return http.ReadResponse(reader, nil)
		}
		_, err = roundTrip()
		Expect(err).NotTo(HaveOccurred())
		draining = true
		Expect(l.Close()).To(Succeed())
		closed := make(chan struct{})
		go func() { conns.Wait(ctx); close(closed) }()
		Consistently(closed, 200*time.Millisecond).ShouldNot(BeClosed())
		resp, err := roundTrip()
		Expect(err).NotTo(HaveOccurred(), "the request was not answered")
		Expect(resp.Close).To(BeTrue())
		Eventually(closed).Should(BeClosed())
	})
})

// testServer is a Server whose handler asks callers to close their connections while it is draining.
type testServer struct {
	*Server
	draining atomic.Bool
	// acceptDelay and readDelay delay accepting a connection and the first read from it, as
	// happens on an overloaded machine.
	acceptDelay, readDelay time.Duration
	// handleTime is how long a request takes.
	handleTime time.Duration
}

// delayedListener accepts connections with the delays of its server.
type delayedListener struct {
	net.Listener
	s *testServer
}

func (p delayedListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(p.s.acceptDelay)
	return &delayedConn{TCPConn: c.(*net.TCPConn), delay: p.s.readDelay}, nil
}

type delayedConn struct {
	*net.TCPConn
	first sync.Once
	delay time.Duration
}

func (c *delayedConn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.delay) })
	return c.TCPConn.Read(b)
}

func (s *testServer) start() {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.Server = New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		time.Sleep(s.handleTime)
	})}, delayedListener{l, s})
	go func() { _ = s.Serve() }()
}

// stop starts to stop the server, with grace and limit counted from now, and returns a channel
// that receives the result of Stop.
func (s *testServer) stop(grace, limit time.Duration) chan error {
	s.draining.Store(true)
	done := make(chan error, 1)
	go func() {
		graceCtx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		limitCtx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- s.Stop(graceCtx, limitCtx)
	}()
	return done
}

func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

var _ = Describe("stopping a server", func() {
	It("answers a request on a connection that is not accepted yet, even without a grace period", func() {
		s := &testServer{acceptDelay: 300 * time.Millisecond}
		s.start()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		done := s.stop(0, 2*time.Second)
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred(), "the request was not answered")
		Expect(resp.Close).To(BeTrue())
		Eventually(done).Should(Receive(BeNil()))
	})

	It("answers a request that has arrived but is not read yet when the grace period ends", func() {
		s := &testServer{readDelay: 300 * time.Millisecond}
		s.start()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		done := s.stop(50*time.Millisecond, 2*time.Second)
		_, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred(), "the request was not answered")
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes idle connections when the grace period ends, and finishes a request in progress", func() {
		s := &testServer{handleTime: 500 * time.Millisecond}
		s.start()
		idle, _ := s.dial()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		done := s.stop(100*time.Millisecond, 3*time.Second)
		Expect(idle.SetReadDeadline(time.Now().Add(400 * time.Millisecond))).To(Succeed())
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		_, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred(), "the request was not answered")
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes a connection that becomes idle after the grace period", func() {
		s := &testServer{handleTime: 300 * time.Millisecond}
		s.start()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		// The request was sent before the stop began, so the response has no Connection: close.
		done := s.stop(100*time.Millisecond, 5*time.Second)
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeFalse())
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes connections in use at the limit, and reports that", func() {
		s := &testServer{handleTime: 2 * time.Second}
		s.start()
		c, _ := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		Eventually(s.stop(100*time.Millisecond, 200*time.Millisecond)).Should(Receive(MatchError(ErrCut)))
	})
})

var _ = Describe("connections that a listener has not accepted", func() {
	It("are counted, and are accepted before the listener is closed", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(sock.AcceptQueueLen(l)).To(BeZero())
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprint(c, request)
		Eventually(func() int { return sock.AcceptQueueLen(l) }).Should(Equal(1))
		s := New(&http.Server{}, l)
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		done := make(chan error, 1)
		go func() { done <- s.Stop(ctx, ctx) }()
		time.Sleep(acceptTimeout / 4)
		go func() { _ = s.Serve() }()
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred(), "the connection was reset")
	})
})
