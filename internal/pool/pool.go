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
	// silentAfter is how long a call must have been without an answer before its end
	// tells something of its connection: twice what the store may take before a call
	// goes by a peer as well. Workers and the store answer in milliseconds.
	silentAfter = 250 * time.Millisecond
)

// Pool is an http.RoundTripper with a transport for each address, so that the idle
// connections to one can be closed without those to others. Its methods may be called
// from several goroutines.
type Pool struct {
	options Options

	mu    sync.Mutex
	addrs map[string]*address
	swept time.Time
}

// Options are the bounds of a Pool.
type Options struct {
	// Idle is how many idle connections to an address stay open, and Most how many it
	// may have, 0 for no bound.
	Idle, Most int
	// Dial sets a connection up.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Unused is for how long a connection that is not used stays open, and what is kept
	// of an address.
	Unused time.Duration
	// Buffer is how many bytes a connection has for reading, and for writing.
	Buffer int
}

// address is what a Pool keeps of an address.
type address struct {
	transport *http.Transport
	used      time.Time
}

// New returns a pool.
func New(o Options) *Pool { return &Pool{options: o, addrs: make(map[string]*address)} }

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	begun := time.Now()
	t := p.transport(req.URL.Host, begun)
	resp, err := t.RoundTrip(req)
	timedOut := err != nil && errors.Is(context.Cause(req.Context()), context.DeadlineExceeded)
	if timedOut && time.Since(begun) > silentAfter {
		// Connections go silent together. Were the idle ones left, each would cost a
		// call its time: with eight to a worker, more than a lease. A caller that
		// cancels on purpose says nothing of them.
		t.CloseIdleConnections()
	}
	return resp, err
}

// transport returns the transport for an address.
func (p *Pool) transport(addr string, now time.Time) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addrs[addr]
	if a == nil {
		p.sweep(now)
		a = &address{transport: newTransport(p.options)}
		p.addrs[addr] = a
	}
	a.used = now
	return a.transport
}

// sweep forgets addresses that are not used any more: workers come and go. The lock is
// held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < p.options.Unused {
		return
	}
	p.swept = now
	for addr, a := range p.addrs {
		if now.Sub(a.used) > p.options.Unused {
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
		MaxIdleConnsPerHost: o.Idle,
		MaxConnsPerHost:     o.Most,
		IdleConnTimeout:     o.Unused,
		ReadBufferSize:      o.Buffer,
		WriteBufferSize:     o.Buffer,
	}
}
