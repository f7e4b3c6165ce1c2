// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/test/mute"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

func options(idle int) Options {
	return Options{Idle: idle, Dial: new(net.Dialer).DialContext, Unused: time.Minute}
}

// call sends a request and reads the whole answer.
func call(ctx context.Context, p *Pool, method, addr, path string) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := p.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

var _ = Describe("a pool of connections", func() {
	const (
		idle  = 4
		path  = "/"
		limit = 2 * silentAfter
	)
	slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	front := func() *mute.Proxy {
		server := httptest.NewServer(slow)
		DeferCleanup(server.CloseClientConnections)
		m, err := mute.Listen(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(m.Close)
		return m
	}
	// fill leaves as many idle connections to an address as are kept.
	fill := func(ctx context.Context, p *Pool, addr string) {
		var all sync.WaitGroup
		for range idle {
			all.Go(func() {
				defer GinkgoRecover()
				err := call(ctx, p, http.MethodGet, addr, path)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		all.Wait()
	}

	// A worker's idle connections went silent together, and each cost a call its time:
	// with eight of them nothing reached the worker before its lease was over.
	It("gives up all idle connections to an address once one of them is silent", func(ctx context.Context) {
		p, silent, other := New(options(idle)), front(), front()
		fill(ctx, p, silent.Addr())
		fill(ctx, p, other.Addr())
		Expect(silent.Silence()).To(Equal(idle))
		short, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		err := call(short, p, http.MethodGet, silent.Addr(), path)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		next, cancelNext := context.WithTimeout(ctx, limit)
		defer cancelNext()
		err = call(next, p, http.MethodGet, silent.Addr(), path)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Silence()).To(Equal(idle), "those to other addresses stay")
	})

	It("keeps idle connections when a call is given up early", func(ctx context.Context) {
		p, m := New(options(idle)), front()
		fill(ctx, p, m.Addr())
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		err := call(short, p, http.MethodGet, m.Addr(), path)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(m.Open).Should(Equal(idle - 1))
		Consistently(m.Open).Should(Equal(idle - 1))
	})

	It("forgets addresses that are not used any more", func() {
		p, now := New(options(idle)), time.Now()
		p.transport(net.JoinHostPort("127.0.0.1", "1"), now)
		p.transport(net.JoinHostPort("127.0.0.1", "2"), now.Add(2*time.Minute))
		Expect(p.addrs).To(HaveLen(1))
	})
})

// A caller that cancels on purpose (a hold that waits, the slower way of a call to the
// store) says nothing of other connections.
func TestPoolKeepsIdleConnectionsWhenACallerCancels(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			select {
			case <-time.After(5 * time.Second):
			case <-r.Context().Done():
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}))
	defer server.CloseClientConnections()
	m, err := mute.Listen(server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer m.Close()
	p := New(options(4))
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { _ = call(context.Background(), p, http.MethodGet, m.Addr(), "/") })
	}
	all.Wait()
	g.Expect(m.Open()).To(Equal(4))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(2*silentAfter, cancel)
	err = call(ctx, p, http.MethodGet, m.Addr(), "/hold")
	g.Expect(err).To(HaveOccurred())
	g.Consistently(m.Open, 500*time.Millisecond).Should(BeNumerically(">=", 3))
}
