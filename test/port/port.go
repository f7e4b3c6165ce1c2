// SPDX-License-Identifier: Apache-2.0

// Package port reserves loopback addresses for the processes that a test starts.
//
// A process binds its port some time after the test chose it, and again after a
// restart. A port that is merely free at the moment is therefore not enough: the
// kernel may assign it to an outgoing connection, or to the next test that asks for a
// free one. The ports here are below the kernel's ephemeral range, and each Range of
// them belongs to one test process on the machine until it is closed.
package port

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"
)

const (
	host = "127.0.0.1"
	// firstPort is the first port of the first range. The last range ends before 32768, the
	// start of Linux's ephemeral ports.
	firstPort = 10000
	// rangeSize is the number of ports in a range, with the one that serves as its lock.
	rangeSize  = 1400
	rangeCount = 16
)

// Range is a range of ports reserved for one test process. It is reserved while lock, a
// listener on its first port, is open.
type Range struct {
	lock net.Listener
	next int
	end  int
}

// Reserve reserves a range that is not reserved yet. It fails if all are.
func Reserve() (*Range, error) {
	for i := range rangeCount {
		begin := firstPort + i*rangeSize
		lock, err := net.Listen("tcp", address(begin))
		if err != nil {
			continue
		}
		return &Range{lock: lock, next: begin + 1, end: begin + rangeSize}, nil
	}
	return nil, errors.Errorf("all %d port ranges are reserved", rangeCount)
}

// Allocate returns n addresses on which nobody listens. It never returns the same address
// twice, and fails once the range is used up.
func (l *Range) Allocate(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		if l.next == l.end {
			return nil, errors.Errorf("%d ports wanted, %d left", n, len(out))
		}
		addr := address(l.next)
		l.next++
		if isFree(addr) {
			out = append(out, addr)
		}
	}
	return out, nil
}

// Close ends the reservation.
func (l *Range) Close() error { return l.lock.Close() }

// isFree reports whether nobody listens on addr.
func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func address(port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }
