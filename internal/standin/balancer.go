// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer is the stand-in of the platform's balancer. It passes each
// connection on to the next entry instance that takes it.
type Balancer struct {
	mu      sync.Mutex
	targets []string
	next    atomic.Uint64
}

const balancerDial = 500 * time.Millisecond

// Set says which addresses connections are passed on to.
func (b *Balancer) Set(targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = targets
}

// Serve passes on connections until l is closed.
func (b *Balancer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go b.pass(c)
	}
}

func (b *Balancer) pass(c net.Conn) {
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
		if c, err := net.DialTimeout("tcp", addr, balancerDial); err == nil {
			return c
		}
	}
	return nil
}
