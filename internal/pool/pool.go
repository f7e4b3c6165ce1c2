// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// silenceThreshold is how long a call must have been without a response before its timeout
	// counts against its connection: twice as long as the store may take before a call is also
	// sent by way of a peer. Workers and the store normally respond within milliseconds.
	silenceThreshold = 250 * time.Millisecond
)

// Pool is an http.RoundTripper with a transport for each address, so that the idle
// connections to one address can be closed without those to others. It is safe for
// concurrent use.
type Pool struct {
	options Options

	mu        sync.Mutex
	addrs     map[string]*addrEntry
	lastSweep time.Time
}

// Options configures a Pool.
type Options struct {
	// MaxIdlePerAddr is the maximum number of idle connections to an address, and MaxPerAddr
	// that of all connections to it, 0 for no limit.
	MaxIdlePerAddr, MaxPerAddr int
	// Dial opens a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// IdleTimeout is how long an unused connection, and the pool's entry for an unused address,
	// are kept.
	IdleTimeout time.Duration
	// BufferSize is the size in bytes of a connection's read buffer and of its write buffer.
	BufferSize int
}

// addrEntry is the Pool's state for one address.
type addrEntry struct {
	transport *http.Transport
	lastUsed  time.Time
}

// New returns a Pool without connections.
func New(o Options) *Pool { return &Pool{options: o, addrs: make(map[string]*addrEntry)} }

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	begun := time.Now()
	t := p.transport(req.URL.Host, begun)
	resp, err := t.RoundTrip(req)
	timedOut := err != nil && errors.Is(context.Cause(req.Context()), context.DeadlineExceeded)
	if timedOut && time.Since(begun) > silenceThreshold {
		// Connections stop responding together. If the idle ones were kept, each would let a
		// further call time out: with eight to a worker, for longer than a lease. A caller
		// that cancels on purpose says nothing about the connections.
		t.CloseIdleConnections()
	}
	return resp, err
}

// transport returns the transport for addr.
func (p *Pool) transport(addr string, now time.Time) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addrs[addr]
	if a == nil {
		p.evictUnused(now)
		a = &addrEntry{transport: newTransport(p.options)}
		p.addrs[addr] = a
	}
	a.lastUsed = now
	return a.transport
}

// evictUnused removes addresses that have not been used for Options.IdleTimeout, as workers come
// and go. The caller holds p.mu.
func (p *Pool) evictUnused(now time.Time) {
	if now.Sub(p.lastSweep) < p.options.IdleTimeout {
		return
	}
	p.lastSweep = now
	for addr, a := range p.addrs {
		if now.Sub(a.lastUsed) > p.options.IdleTimeout {
			a.transport.CloseIdleConnections()
			delete(p.addrs, addr)
		}
	}
}

// CloseIdleConnections closes the idle connections to all addresses.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addrs {
		a.transport.CloseIdleConnections()
	}
}

func newTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:         o.Dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: o.MaxIdlePerAddr,
		MaxConnsPerHost:     o.MaxPerAddr,
		IdleConnTimeout:     o.IdleTimeout,
		ReadBufferSize:      o.BufferSize,
		WriteBufferSize:     o.BufferSize,
	}
}
