// SPDX-License-Identifier: Apache-2.0

package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "link")
}

// echo returns the hello of the request after a delay.
type echo struct{ after time.Duration }

func (e echo) Handle(_ context.Context, req *wire.Request) *wire.Reply {
	time.Sleep(e.after)
	return &wire.Reply{Body: &wire.Reply_Hello{Hello: req.GetHello()}}
}

func listen(h Handler) (addr string, s *Server, l net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s = &Server{Handler: h}
	go s.Serve(l)
	DeferCleanup(func() { _ = l.Close(); s.Close() })
	return l.Addr().String(), s, l
}

func hello(name string) *wire.Request {
	return &wire.Request{Body: &wire.Request_Hello{Hello: &wire.Hello{Instance: name}}}
}

var _ = Describe("an exchange", func() {
	It("gets the reply to its own request", func(ctx context.Context) {
		addr, _, _ := listen(echo{})
		d := &Dialer{}
		defer d.Close()
		for _, name := range []string{"a", "b", "c"} {
			reply, err := d.Do(ctx, addr, hello(name))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetHello().Instance).To(Equal(name))
		}
	})

	It("fails as lost if the request may have arrived, and as unavailable if it was never sent", func(ctx context.Context) {
		addr, s, l := listen(echo{after: time.Minute})
		d := &Dialer{}
		defer d.Close()
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := d.Do(short, addr, hello("a"))
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		Expect(l.Close()).To(Succeed())
		s.Close()
		Eventually(func() error {
			_, err := d.Do(ctx, addr, hello("b"))
			return err
		}).Should(MatchError(ContainSubstring("unavailable")))
	})
})

var _ = Describe("a dial that hangs", func() {
	It("blocks no other caller beyond the end of its context", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		// The kernel accepts the connection; nobody answers the TLS handshake.
		d := &Dialer{TLS: func(string) *tls.Config { return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: "x"} }}
		first := make(chan struct{})
		go func() {
			defer close(first)
			_, _ = d.Do(ctx, l.Addr().String(), hello("a"))
		}()
		Eventually(func() int { return len(d.peer(l.Addr().String()).sem) }).Should(Equal(1))
		short, cancel := context.WithTimeout(ctx, dialTimeout/20)
		defer cancel()
		_, err = d.Do(short, l.Addr().String(), hello("b"))
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(first).NotTo(BeClosed(), "the dial still hangs")
		Eventually(first).Should(BeClosed())
	})
})

func FuzzFrame(f *testing.F) {
	var b bytes.Buffer
	_ = writeFrame(&b, hello("a"))
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var req wire.Request
		if err := readFrame(bytes.NewReader(raw), &req); err != nil {
			return
		}
		if err := writeFrame(&bytes.Buffer{}, &req); err != nil {
			t.Fatal(err)
		}
	})
}
