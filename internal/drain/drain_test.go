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

var _ = Describe("a server that stops", func() {
	It("answers a request that is written to an idle connection, and closes then", func(ctx context.Context) {
		var conns Conns
		leaving := false
		s := &http.Server{ConnState: conns.Note, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if leaving {
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
		ask := func() (*http.Response, error) {
			fmt.Fprint(c, request)
			return http.ReadResponse(reader, nil)
		}
		_, err = ask()
		Expect(err).NotTo(HaveOccurred())
		leaving = true
		Expect(l.Close()).To(Succeed())
		gone := make(chan struct{})
		go func() { conns.Wait(ctx); close(gone) }()
		Consistently(gone, 200*time.Millisecond).ShouldNot(BeClosed())
		resp, err := ask()
		Expect(err).NotTo(HaveOccurred(), "the request was cut")
		Expect(resp.Close).To(BeTrue())
		Eventually(gone).Should(BeClosed())
	})
})

// stopping is a server in the test, whose handler asks callers to close once it leaves.
type stopping struct {
	*Server
	leaving atomic.Bool
	// taking and reading delay the server in taking a connection and in its first
	// read from it, as a machine does that has no time for it.
	taking, reading time.Duration
	// work is how long a request takes.
	work time.Duration
}

// pausing is a listener with the server's delays.
type pausing struct {
	net.Listener
	s *stopping
}

func (p pausing) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(p.s.taking)
	return &pausingConn{TCPConn: c.(*net.TCPConn), pause: p.s.reading}, nil
}

type pausingConn struct {
	*net.TCPConn
	first sync.Once
	pause time.Duration
}

func (c *pausingConn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.pause) })
	return c.TCPConn.Read(b)
}

func (s *stopping) start() {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.Server = New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		time.Sleep(s.work)
	})}, pausing{l, s})
	go func() { _ = s.Serve() }()
}

// stop stops the server with an end of patience and a limit, and returns what it says.
func (s *stopping) stop(patience, limit time.Duration) chan error {
	s.leaving.Store(true)
	done := make(chan error, 1)
	go func() {
		p, end := context.WithTimeout(context.Background(), patience)
		defer end()
		l, end := context.WithTimeout(context.Background(), limit)
		defer end()
		done <- s.Stop(p, l)
	}()
	return done
}

func (s *stopping) dial() (net.Conn, *bufio.Reader) {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

var _ = Describe("the stop of a server", func() {
	It("answers what was written on a connection that it has not taken yet, without any patience", func() {
		s := &stopping{taking: 300 * time.Millisecond}
		s.start()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		done := s.stop(0, 2*time.Second)
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred(), "the request was cut")
		Expect(resp.Close).To(BeTrue())
		Eventually(done).Should(Receive(BeNil()))
	})

	It("answers a request that has arrived and is not read yet when patience ends", func() {
		s := &stopping{reading: 300 * time.Millisecond}
		s.start()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		done := s.stop(50*time.Millisecond, 2*time.Second)
		_, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred(), "the request was cut")
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes idle connections when patience ends, and finishes a request under way", func() {
		s := &stopping{work: 500 * time.Millisecond}
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
		Expect(err).NotTo(HaveOccurred(), "the request was cut")
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes a connection that becomes idle after patience has ended", func() {
		s := &stopping{work: 300 * time.Millisecond}
		s.start()
		c, reader := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		// It was asked for before the stop began, so its answer does not say close.
		done := s.stop(100*time.Millisecond, 5*time.Second)
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeFalse())
		Eventually(done).Should(Receive(BeNil()))
	})

	It("cuts what is under way at the limit, and says so", func() {
		s := &stopping{work: 2 * time.Second}
		s.start()
		c, _ := s.dial()
		fmt.Fprint(c, request)
		time.Sleep(50 * time.Millisecond)
		Eventually(s.stop(100*time.Millisecond, 200*time.Millisecond)).Should(Receive(MatchError(ErrCut)))
	})
})

var _ = Describe("connections that a listener has not taken", func() {
	It("are counted, and taken before it is closed", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(sock.Waiting(l)).To(BeZero())
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprint(c, request)
		Eventually(func() int { return sock.Waiting(l) }).Should(Equal(1))
		s := New(&http.Server{}, l)
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		done := make(chan error, 1)
		go func() { done <- s.Stop(ctx, ctx) }()
		time.Sleep(acceptLimit / 4)
		go func() { _ = s.Serve() }()
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred(), "the connection was reset")
	})
})
