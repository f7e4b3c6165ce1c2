// SPDX-License-Identifier: Apache-2.0

// Package port gives tests loopback addresses on which the processes that they
// start will listen.
//
// A process binds its port some time after the test chose it, and again after a
// restart, so a port that is merely free now will not do: the kernel may give it
// to an outgoing connection, or to the next test that asks for a free one. The
// ports here lie below those that the kernel gives out, and each Lane of them
// belongs to one holder on the machine until it is closed.
package port

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"
)

const (
	host = "127.0.0.1"
	// first is the first port of the first lane. The last lane ends before
	// 32768, where Linux begins to give ports out.
	first = 10000
	// lanePorts is how many ports a lane has, with the one that marks it as held.
	lanePorts = 1400
	lanes     = 16
)

// Lane is a range of ports that one holder has to itself.
type Lane struct {
	mark net.Listener
	next int
	end  int
}

// Take returns a lane that nobody holds. It fails if all are held.
func Take() (*Lane, error) {
	for i := range lanes {
		begin := first + i*lanePorts
		mark, err := net.Listen("tcp", address(begin))
		if err != nil {
			continue
		}
		return &Lane{mark: mark, next: begin + 1, end: begin + lanePorts}, nil
	}
	return nil, errors.Errorf("all %d lanes of ports are held", lanes)
}

// Free returns n addresses that nobody listens on. No call returns an address
// that an earlier one has returned. It fails when the lane is used up.
func (l *Lane) Free(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		if l.next == l.end {
			return nil, errors.Errorf("%d ports wanted, %d left", n, len(out))
		}
		addr := address(l.next)
		l.next++
		if free(addr) {
			out = append(out, addr)
		}
	}
	return out, nil
}

// Close gives the lane back.
func (l *Lane) Close() error { return l.mark.Close() }

func free(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func address(port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }
