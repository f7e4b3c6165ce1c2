// SPDX-License-Identifier: Apache-2.0

// Package mute is a TCP proxy for tests whose connections can go silent: without a
// reset, for good, while new ones work.
package mute

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy passes connections on to an address.
type Proxy struct {
	target string
	l      net.Listener
	mu     sync.Mutex
	pairs  map[*pair]struct{}
}

// pair is a connection and the one that it is passed on by.
type pair struct {
	// ends are the dialer's and the target's.
	ends   [2]net.Conn
	silent atomic.Bool

	mu sync.Mutex
	// late says that what comes from the target is held until the dialer sends something,
	// and held is that.
	late bool
	held []byte
}

// Listen starts a proxy in front of an address, on the same host.
func Listen(target string) (*Proxy, error) {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, l: l, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Silence lets all open connections go silent, in both directions, and returns how
// many these are. Neither end is told, and what is sent on them is lost.
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

// SilenceLate lets all open connections go silent once their dialers send something more.
// What comes for a dialer until then reaches it just after that, as bytes do that were on
// their way.
func (p *Proxy) SilenceLate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mu.Lock()
		c.late = true
		c.mu.Unlock()
	}
}

// Held returns how many bytes wait for their dialers to send something.
func (p *Proxy) Held() int {
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

// Open returns how many open connections are not silent.
func (p *Proxy) Open() int {
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
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
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.open(c)
	}
}

func (p *Proxy) open(c net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	both := &pair{ends: [2]net.Conn{c, far}}
	p.mu.Lock()
	p.pairs[both] = struct{}{}
	p.mu.Unlock()
	go p.pass(both, 0)
	go p.pass(both, 1)
}

// pass passes on what comes from one end, and its close, until the pair is silent. From
// then on what comes is thrown away, and the other end hears of no close.
func (p *Proxy) pass(c *pair, from int) {
	// Whatever ends the copying ends the pair.
	_, _ = io.Copy(&muted{Conn: c.ends[1-from], pair: c, fromDialer: from == 0}, c.ends[from])
	if c.silent.Load() {
		return
	}
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// muted loses what is written once its pair is silent.
type muted struct {
	net.Conn
	pair       *pair
	fromDialer bool
}

// Write implements io.Writer.
func (m *muted) Write(b []byte) (int, error) {
	if m.pair.silent.Load() || m.pair.keep(b, m.fromDialer) {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// keep takes what goes to one end of a pair that goes silent late. It reports whether it
// did.
func (c *pair) keep(b []byte, fromDialer bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.late {
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
