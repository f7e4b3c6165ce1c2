// SPDX-License-Identifier: Apache-2.0

// Package sock sets what every connection of an instance needs.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay without an acknowledgement before
// a connection is given up. Without it a connection outlives a cut by as long
// as the kernel's retries take.
const userTimeout = 2 * time.Second

// Control is for net.Dialer and net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A connection without the bound works as well.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dialer returns a dialer that gives up after limit.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAlive: -1, Control: Control}
}

// Listen listens on a TCP address; what it accepts is bounded like what a
// Dialer opens.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: Control}
	return lc.Listen(ctx, "tcp", addr)
}

// Waiting returns how many connections a listener has not accepted yet, 0 if it
// cannot tell.
func Waiting(l net.Listener) int {
	c, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	// A listener that is closed has none waiting.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listener the kernel gives its queue here.
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
