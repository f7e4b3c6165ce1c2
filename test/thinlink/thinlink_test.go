// SPDX-License-Identifier: Apache-2.0

package thinlink

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestThinLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "thinlink")
}

const testRate = 1 << 20

// listen starts a listener that handles each connection with serve, and returns its address.
func listen(serve func(net.Conn)) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func startLink(target string) *Link {
	GinkgoHelper()
	l, err := Start(target, testRate)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}

func dial(l *Link) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", l.Addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return conn
}

var _ = Describe("a low-bandwidth link", func() {
	It("forwards all connections completely at a shared rate, and counts the bytes", func() {
		const answer, callers = 128 << 10, 4
		l := startLink(listen(func(conn net.Conn) {
			_, _ = conn.Write(bytes.Repeat([]byte("x"), answer))
			_ = conn.Close()
		}))
		begun := time.Now()
		var all sync.WaitGroup
		for range callers {
			conn := dial(l)
			all.Go(func() {
				defer GinkgoRecover()
				got, err := io.ReadAll(conn)
				Expect(err).NotTo(HaveOccurred())
				Expect(got).To(HaveLen(answer))
			})
		}
		all.Wait()
		// The data takes 500 ms at the rate, less the initial burst that the limiter allows.
		Expect(time.Since(begun)).To(BeNumerically(">", 450*time.Millisecond))
		Expect(l.ForwardedBytes()).To(Equal(int64(answer * callers)))
	})

	It("closes the connection to the target when the caller closes its own", func() {
		closed := make(chan struct{})
		l := startLink(listen(func(conn net.Conn) {
			_, _ = io.Copy(io.Discard, conn)
			close(closed)
		}))
		Expect(dial(l).Close()).To(Succeed())
		Eventually(closed, 5*time.Second).Should(BeClosed())
	})

	It("forwards nothing more of a transfer that the caller has aborted", func() {
		l := startLink(listen(func(conn net.Conn) {
			_, _ = conn.Write(make([]byte, 8*testRate))
		}))
		conn := dial(l)
		_, err := io.ReadFull(conn, make([]byte, chunk))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		time.Sleep(200 * time.Millisecond)
		before := l.ForwardedBytes()
		Consistently(l.ForwardedBytes, 300*time.Millisecond).Should(Equal(before))
	})
})
