// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer is the test double of the platform's load balancer: a TCP proxy that
// forwards each connection to the next entry instance that accepts it.
type Balancer struct {
	mu      sync.Mutex
	targets []string
	next    atomic.Uint64
}

const balancerDialTimeout = 500 * time.Millisecond

// Set replaces the addresses to which connections are forwarded.
func (b *Balancer) Set(targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = targets
}

// Serve forwards connections until l is closed.
func (b *Balancer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go b.forward(c)
	}
}

func (b *Balancer) forward(c net.Conn) {
	defer c.Close()
	up := b.dial()
	if up == nil {
		return
	}
	defer up.Close()
	go func() {
		_, _ = io.Copy(up, c)
		_ = up.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(c, up)
}

func (b *Balancer) dial() net.Conn {
	b.mu.Lock()
	targets := b.targets
	b.mu.Unlock()
	for range targets {
		addr := targets[int(b.next.Add(1))%len(targets)]
		if c, err := net.DialTimeout("tcp", addr, balancerDialTimeout); err == nil {
			return c
		}
	}
	return nil
}
