// SPDX-License-Identifier: Apache-2.0

// Package thinlink gives a process that a test starts a link of little bandwidth
// to an address.
//
// A Link listens on an address of its own and carries every connection on to a
// target. All connections of a Link share its rate, a chunk each in turn, as the
// connections of one machine share its network interface; the two directions
// don't slow each other. What a connection has not yet been carried is lost when
// either side closes it.
package thinlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// chunk is how many bytes a connection carries in its turn: few enough that a short
// call is not held up behind long transfers, 3 ms each at 1.25 MB/s.
const chunk = 4 << 10

// Link carries connections to a target at a shared rate.
type Link struct {
	// Addr is where the Link listens.
	Addr string

	target   string
	listener net.Listener
	up, down *rate.Limiter
	carried  atomic.Int64
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Start starts a Link on a loopback address that carries so many bytes a second in
// each direction.
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

// Carried returns how many bytes the Link has carried, both directions together.
func (l *Link) Carried() int64 { return l.carried.Load() }

// Close cuts all connections and ends the Link.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.wg.Wait()
}

// accept takes connections until the listener is closed.
func (l *Link) accept() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.join(caller) })
	}
}

// join carries one connection until either side closes it or the Link ends.
func (l *Link) join(caller net.Conn) {
	defer caller.Close()
	var dialer net.Dialer
	callee, err := dialer.DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		// The caller sees the same as without the Link: nobody is there.
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
		l.carry(ctx, callee, caller, l.up)
	})
	both.Go(func() {
		defer cancel()
		l.carry(ctx, caller, callee, l.down)
	})
	both.Wait()
}

// carry carries one direction of a connection until it is closed.
func (l *Link) carry(ctx context.Context, to, from net.Conn, limit *rate.Limiter) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if limit.WaitN(ctx, n) != nil {
				return
			}
			l.carried.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
