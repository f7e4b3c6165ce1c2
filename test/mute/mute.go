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
	ends   [2]net.Conn
	silent atomic.Bool
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
	_, _ = io.Copy(&muted{Conn: c.ends[1-from], silent: &c.silent}, c.ends[from])
	if c.silent.Load() {
		return
	}
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// muted loses what is written once it is silent.
type muted struct {
	net.Conn
	silent *atomic.Bool
}

// Write implements io.Writer.
func (m *muted) Write(b []byte) (int, error) {
	if m.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}
