// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/test/mute"
	"dewpass.org/wire"
)

// Peers' sessions went silent without a reset, and greetings to and from these peers had
// no answer any more, while new connections worked. A session was closed only once an
// opened stream had gone 2 s without an acknowledgement, and a caller that gave up and
// closed its stream, after 600 ms for a greeting, called that timer off: each greeting
// failed with "i/o deadline reached" and the next one took the same session.
var _ = Describe("a session that goes silent", func() {
	const (
		// limit and every are those of greetings.
		limit = 600 * time.Millisecond
		every = 250 * time.Millisecond
		// within is half of how long after a reset the rules of users hold again.
		within = 1500 * time.Millisecond
	)

	It("is replaced within a second and a half, although callers give up sooner than that", func(ctx context.Context) {
		addr, s, _ := listen(echo{})
		p, err := mute.Listen(addr)
		Expect(err).NotTo(HaveOccurred())
		defer p.Close()
		d := &Dialer{}
		defer d.Close()
		ask := func() error {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			_, err := d.Do(ctx, p.Addr(), hello("a"))
			return err
		}
		Expect(ask()).To(Succeed())
		Expect(p.Silence()).To(Equal(1))
		silent := time.Now()
		Eventually(ask, 10*time.Second, every).Should(Succeed())
		AddReportEntry("answers again after", time.Since(silent))
		Expect(time.Since(silent)).To(BeNumerically("<", within))
		sessions := func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.open)
		}
		Eventually(sessions).Should(Equal(1), "the server forgets the silent one")
	})

	It("stays for two seconds if nothing ever came, as that of a paused peer does", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		d := &Dialer{}
		defer d.Close()
		ask := func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			_, err := d.Do(ctx, l.Addr().String(), hello("a"))
			Expect(kind.Is(err, kind.Lost)).To(BeTrue())
		}
		ask()
		first := d.peer(l.Addr().String()).session
		for time.Since(first.opened) < openTimeout-limit {
			ask()
			Expect(d.peer(l.Addr().String()).session).To(BeIdenticalTo(first))
			Expect(first.IsClosed()).To(BeFalse())
		}
		ask()
		ask()
		Eventually(first.IsClosed).Should(BeTrue())
	})
})

var _ = Describe("a session that goes silent under a large request", func() {
	It("is replaced, though the request ends while it is written", func(ctx context.Context) {
		addr, _, _ := listen(echo{})
		p, err := mute.Listen(addr)
		Expect(err).NotTo(HaveOccurred())
		defer p.Close()
		d := &Dialer{}
		defer d.Close()
		ask := func(req *wire.Request) error {
			ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			defer cancel()
			_, err := d.Do(ctx, p.Addr(), req)
			return err
		}
		Expect(ask(hello("a"))).To(Succeed())
		Expect(p.Silence()).To(Equal(1))
		// A transaction of 1 MB that is carried by a peer: more than a stream's window.
		large := &wire.Request{Body: &wire.Request_Store{Store: &wire.StoreCall{Call: make([]byte, 1<<20)}}}
		for range 3 {
			_ = ask(large)
		}
		Expect(ask(hello("a"))).To(Succeed())
	})
})
