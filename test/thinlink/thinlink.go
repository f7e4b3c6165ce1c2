// SPDX-License-Identifier: Apache-2.0

// Package thinlink simulates a low-bandwidth link between a process started by a test and
// an address.
//
// A Link listens on an address of its own and forwards every connection to a target. All
// connections of a Link share its rate, taking turns chunk by chunk, as the connections
// of a machine share its network interface; the two directions are limited separately.
// Data of a connection that is not forwarded yet is discarded when either side closes it.
package thinlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// chunk is how many bytes a connection forwards in its turn: few enough that a short call
// is not delayed by long transfers, which take 3 ms per turn at 1.25 MB/s.
const chunk = 4 << 10

// Link forwards connections to a target at a shared rate.
type Link struct {
	// Addr is the address on which the Link listens.
	Addr string

	target    string
	listener  net.Listener
	up, down  *rate.Limiter
	forwarded atomic.Int64
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Start starts a Link on a loopback address that forwards bytesPerSecond in each direction.
func Start(target string, bytesPerSecond int) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		Addr: listener.Addr().String(), target: target, listener: listener,
		up:   rate.NewLimiter(rate.Limit(bytesPerSecond), chunk),
		down: rate.NewLimiter(rate.Limit(bytesPerSecond), chunk),
		ctx:  ctx, cancel: cancel,
	}
	l.wg.Go(l.accept)
	return l, nil
}

// ForwardedBytes returns the number of bytes forwarded, in both directions together.
func (l *Link) ForwardedBytes() int64 { return l.forwarded.Load() }

// Close closes all connections and the Link.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.wg.Wait()
}

// accept accepts connections until the listener is closed.
func (l *Link) accept() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.forward(caller) })
	}
}

// forward forwards one connection until either side closes it or the Link is closed.
func (l *Link) forward(caller net.Conn) {
	defer caller.Close()
	var dialer net.Dialer
	callee, err := dialer.DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		// The caller sees its connection closed, as nobody listens on the target.
		return
	}
	defer callee.Close()
	ctx, cancel := context.WithCancel(l.ctx)
	context.AfterFunc(ctx, func() {
		_ = caller.Close()
		_ = callee.Close()
	})
	var both sync.WaitGroup
	both.Go(func() {
		defer cancel()
		l.copyLimited(ctx, callee, caller, l.up)
	})
	both.Go(func() {
		defer cancel()
		l.copyLimited(ctx, caller, callee, l.down)
	})
	both.Wait()
}

// copyLimited forwards one direction of a connection until it is closed.
func (l *Link) copyLimited(ctx context.Context, to, from net.Conn, limit *rate.Limiter) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if limit.WaitN(ctx, n) != nil {
				return
			}
			l.forwarded.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
