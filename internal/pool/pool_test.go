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
	return Options{MaxIdlePerAddr: idle, Dial: new(net.Dialer).DialContext, IdleTimeout: time.Minute}
}

// call sends a request and reads the whole response.
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
		limit = 2 * silenceThreshold
	)
	slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	startProxy := func() *mute.Proxy {
		server := httptest.NewServer(slow)
		DeferCleanup(server.CloseClientConnections)
		m, err := mute.Listen(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(m.Close)
		return m
	}
	// fill opens as many idle connections to addr as the pool keeps.
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

	// When a worker's idle connections stopped responding together, each let one call time out:
	// with eight of them, the lease expired before any call reached the worker.
	It("closes all idle connections to an address once a call on one of them has timed out", func(ctx context.Context) {
		p, silent, other := New(options(idle)), startProxy(), startProxy()
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
		Expect(other.Silence()).To(Equal(idle), "connections to other addresses are kept")
	})

	It("keeps idle connections when a call times out early", func(ctx context.Context) {
		p, m := New(options(idle)), startProxy()
		fill(ctx, p, m.Addr())
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		err := call(short, p, http.MethodGet, m.Addr(), path)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(m.OpenConns).Should(Equal(idle - 1))
		Consistently(m.OpenConns).Should(Equal(idle - 1))
	})

	It("evicts addresses that are not used any more", func() {
		p, now := New(options(idle)), time.Now()
		p.transport(net.JoinHostPort("127.0.0.1", "1"), now)
		p.transport(net.JoinHostPort("127.0.0.1", "2"), now.Add(2*time.Minute))
		Expect(p.addrs).To(HaveLen(1))
	})
})

// A cancellation by the caller (of a hold that waits, or of the slower of two ways to call
// the store) says nothing about the other connections.
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
	g.Expect(m.OpenConns()).To(Equal(4))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(2*silenceThreshold, cancel)
	err = call(ctx, p, http.MethodGet, m.Addr(), "/hold")
	g.Expect(err).To(HaveOccurred())
	g.Consistently(m.OpenConns, 500*time.Millisecond).Should(BeNumerically(">=", 3))
}
