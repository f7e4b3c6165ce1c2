// SPDX-License-Identifier: Apache-2.0

// Package mute is a TCP proxy for tests whose connections can become silent: they pass on no
// more data, for good and without a reset, while new connections work.
package mute

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards connections to an address.
type Proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	pairs    map[*pair]struct{}
}

// pair is an accepted connection and the connection to the target that it is forwarded to.
type pair struct {
	// ends are the connection from the dialer and that to the target.
	ends   [2]net.Conn
	silent atomic.Bool

	mu sync.Mutex
	// silenceOnWrite says that data from the target is kept in held until the dialer sends
	// something, and that the pair is silent from then on.
	silenceOnWrite bool
	held           []byte
}

// Listen starts a proxy for the address target, on the same host.
func Listen(target string) (*Proxy, error) {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Silence makes all open connections silent in both directions, and returns how many it
// silenced. Neither end is notified, and data sent on them is discarded.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		if !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// SilenceOnWrite makes each open connection silent as soon as its dialer sends something. Data
// that arrives for the dialer until then is delivered right after that, like data that was
// in transit.
func (p *Proxy) SilenceOnWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mu.Lock()
		c.silenceOnWrite = true
		c.mu.Unlock()
	}
}

// HeldBytes returns the number of bytes that are held back until their dialers send something.
func (p *Proxy) HeldBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		c.mu.Lock()
		n += len(c.held)
		c.mu.Unlock()
	}
	return n
}

// OpenConns returns the number of open connections that are not silent.
func (p *Proxy) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		if !c.silent.Load() {
			n++
		}
	}
	return n
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.close()
	}
}

func (c *pair) close() {
	for _, end := range c.ends {
		_ = end.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(c net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	conns := &pair{ends: [2]net.Conn{c, far}}
	p.mu.Lock()
	p.pairs[conns] = struct{}{}
	p.mu.Unlock()
	go p.relay(conns, 0)
	go p.relay(conns, 1)
}

// relay copies data from one end to the other, and then closes both, unless the pair is silent.
// Once it is, data is discarded and the other end is not closed.
func (p *Proxy) relay(c *pair, from int) {
	// The pair ends with the copying, whatever the reason.
	_, _ = io.Copy(&pairWriter{Conn: c.ends[1-from], pair: c, fromDialer: from == 0}, c.ends[from])
	if c.silent.Load() {
		return
	}
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// pairWriter writes to one end of a pair. It discards the data once the pair is silent.
type pairWriter struct {
	net.Conn
	pair       *pair
	fromDialer bool
}

// Write implements io.Writer.
func (m *pairWriter) Write(b []byte) (int, error) {
	if m.pair.silent.Load() || m.pair.intercept(b, m.fromDialer) {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// intercept handles data of a pair that is to become silent on the dialer's next write. It
// reports whether it has taken the data; otherwise the caller has to write it.
func (c *pair) intercept(b []byte, fromDialer bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silenceOnWrite {
		return false
	}
	if !fromDialer {
		c.held = append(c.held, b...)
		return true
	}
	if !c.silent.Swap(true) {
		_, _ = c.ends[0].Write(c.held)
	}
	return true
}
