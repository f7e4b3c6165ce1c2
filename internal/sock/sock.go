// SPDX-License-Identifier: Apache-2.0

// Package sock sets the socket options that every connection of an instance needs.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent data may remain unacknowledged before the kernel closes
// the connection. Without it a connection to an unreachable peer stays open for as long
// as the kernel retransmits.
const userTimeout = 2 * time.Second

// Control sets TCP_USER_TIMEOUT on a socket, for net.Dialer and net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The connection works without the option too, so an error is ignored.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dialer returns a dialer whose attempts time out after limit.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAlive: -1, Control: Control}
}

// Listen listens on a TCP address. The connections that it accepts have the same
// options as those of a Dialer.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: Control}
	return lc.Listen(ctx, "tcp", addr)
}

// AcceptQueueLen returns the number of connections in a listener's accept queue, 0 if it
// is unknown.
func AcceptQueueLen(l net.Listener) int {
	c, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	// Control fails if the listener is closed; its queue is empty then.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listening socket the kernel reports the length of the accept queue here.
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
