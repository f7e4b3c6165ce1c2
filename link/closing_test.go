// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/wire"
)

// heldConn is a connection whose Close blocks until release is closed, as that of a TLS connection
// does while its close notification can't be sent.
type heldConn struct {
	net.Conn
	closing, release chan struct{}
	once             sync.Once
}

func hold(c net.Conn) *heldConn {
	held := &heldConn{Conn: c, closing: make(chan struct{}), release: make(chan struct{})}
	DeferCleanup(held.letGo)
	return held
}

func (c *heldConn) letGo() { c.once.Do(func() { close(c.release) }) }

// Close implements net.Conn.
func (c *heldConn) Close() error {
	close(c.closing)
	<-c.release
	return c.Conn.Close()
}

// heldListener holds the connections that it accepts and passes them on.
type heldListener struct {
	net.Listener
	accepted chan *heldConn
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := hold(c)
	l.accepted <- held
	return held, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against streams that poll without blocking while their session closes. Closing a yamux
// session first wakes the readers of its streams and then closes the connection. A reader that was
// woken found neither data nor an end of its stream and tried again at once, until the connection
// was closed. With one processor the readers delayed the closing itself.
var _ = Describe("a session whose connection takes long to close", func() {
	const (
		// window is how long the processor time is measured.
		window = 500 * time.Millisecond
		// idle is what a process may use in window that only sleeps; a stream that polls uses
		// all of a processor.
		idle = window / 5
	)

	measure := func() time.Duration {
		before := processorTime()
		time.Sleep(window)
		used := processorTime() - before
		AddReportEntry("processor time", used)
		return used
	}

	DescribeTable("uses no processor time for a request, which fails at once", func(ctx context.Context, req *wire.Request) {
		near, far := net.Pipe()
		peer, err := yamux.Server(far, serverConfig())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(peer.Close)
		held := hold(near)
		s, err := newSession(held, &activityConn{Conn: held})
		Expect(err).NotTo(HaveOccurred())
		const addr = "peer"
		d := &Dialer{}
		d.peer(addr).session = s
		failed := make(chan error, 1)
		go func() {
			_, err := d.Do(ctx, addr, req)
			failed <- err
		}()
		st, err := peer.AcceptStream()
		Expect(err).NotTo(HaveOccurred())
		// The first byte is passed on with all that fits the window of the stream.
		_, err = st.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		go s.Close()
		Eventually(held.closing).Should(BeClosed())
		Expect(measure()).To(BeNumerically("<", idle))
		Expect(failed).To(Receive(&err))
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("session shutdown")))
	},
		Entry("that waits for its reply", hello("a")),
		Entry("that waits for the peer to take the rest of it", &wire.Request{Body: &wire.Request_Store{
			Store: &wire.StoreCall{Call: make([]byte, 2*streamWindow)},
		}}),
	)

	It("uses no processor time for a request that is being received", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted := make(chan *heldConn, 1)
		server := &Server{Handler: echo{}}
		go server.Serve(heldListener{l, accepted})
		DeferCleanup(func() { _ = l.Close(); server.Close() })
		raw, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		client, err := yamux.Client(raw, sessionConfig())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		// A part of the length of a request.
		st, err := client.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		_, err = st.Write(make([]byte, headerSize-1))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Ping()
		Expect(err).NotTo(HaveOccurred())
		held := <-accepted
		defer held.letGo()
		go server.Close()
		Eventually(held.closing).Should(BeClosed())
		Expect(measure()).To(BeNumerically("<", idle))
		Expect(raw.Close()).To(Succeed())
	})
})
