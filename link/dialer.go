// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"dewpass.org/internal/fault"
	"dewpass.org/internal/sock"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

const (
	dialTimeout = time.Second
	// redialPause keeps an unreachable peer from being dialled for every
	// request.
	redialPause = 200 * time.Millisecond
	// silentAfter is for how long a session may bring nothing while a request waits: a
	// live peer acknowledges a stream at once. The least time that a request is given
	// is 400 ms, and a peer whose processor is used up pauses for 100 ms.
	silentAfter = 300 * time.Millisecond
)

// Dialer keeps one session to each peer.
type Dialer struct {
	// TLS returns the configuration for a host; it is nil for plain TCP.
	TLS func(host string) *tls.Config

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	// turn holds one token; who has it may use the other fields. A caller whose
	// time is over does not wait for another one's dial.
	turn    chan struct{}
	session *session
	failed  time.Time
	err     error
}

// Do sends a request to the peer at an address and returns its reply. An error
// that the reply carries is returned as an error.
func (d *Dialer) Do(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error) {
	if err := fault.Link("peer/" + addr); err != nil {
		return nil, err
	}
	begun := time.Now()
	session, stream, err := d.open(ctx, addr)
	if err != nil {
		return nil, kind.Wrap(kind.Unavailable, err, "peer "+addr)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	defer stream.Close()
	var reply wire.Reply
	if err := exchange(stream, req, &reply); err != nil {
		switch now := time.Now(); {
		case session.silent(begun, now):
			// The next request would have no answer either. Close may wait for a write.
			go session.Close()
		case session.quiet(now):
			session.probe()
		}
		return nil, kind.Wrap(kind.Lost, err, "peer "+addr)
	}
	if err := fault.Reply("peer/" + addr); err != nil {
		return nil, err
	}
	if err := wire.ErrorOf(reply.Error); err != nil {
		return nil, err
	}
	return &reply, nil
}

// open opens a stream to the peer at an address. A session that is being closed, as it was
// silent for an earlier request, is replaced once: nothing was sent on it.
func (d *Dialer) open(ctx context.Context, addr string) (*session, *yamux.Stream, error) {
	for again := true; ; again = false {
		session, err := d.peer(addr).get(ctx, addr, d.TLS)
		if err != nil {
			return nil, nil, err
		}
		stream, err := session.OpenStream()
		if err == nil || !again || !session.IsClosed() {
			return session, stream, err
		}
	}
}

// exchange sends a request on a stream and reads its reply.
func exchange(stream io.ReadWriter, req *wire.Request, reply *wire.Reply) error {
	if err := writeFrame(stream, req); err != nil {
		return err
	}
	return readFrame(stream, reply)
}

// Close ends all sessions.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		p.drop()
	}
}

// Forget ends the session to an address that is no longer a peer's.
func (d *Dialer) Forget(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[addr]; p != nil {
		p.drop()
		delete(d.peers, addr)
	}
}

func (d *Dialer) peer(addr string) *peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = make(map[string]*peer)
	}
	p := d.peers[addr]
	if p == nil {
		p = &peer{turn: make(chan struct{}, 1)}
		d.peers[addr] = p
	}
	return p
}

// get returns the session, dialling if there is none.
func (p *peer) get(ctx context.Context, addr string, conf func(string) *tls.Config) (*session, error) {
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	if p.err != nil && time.Since(p.failed) < redialPause {
		return nil, p.err
	}
	p.session, p.err = dial(ctx, addr, conf)
	if p.err != nil {
		p.failed = time.Now()
	}
	return p.session, p.err
}

func dial(ctx context.Context, addr string, conf func(string) *tls.Config) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := sock.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	heard := &heardConn{Conn: raw}
	var c net.Conn = heard
	if conf != nil {
		host, _, _ := net.SplitHostPort(addr)
		t := tls.Client(c, conf(host))
		if err := t.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		c = t
	}
	y, err := yamux.Client(c, sessionConfig())
	return &session{Session: y, conn: heard, opened: time.Now()}, err
}

func (p *peer) drop() {
	p.turn <- struct{}{}
	defer func() { <-p.turn }()
	if p.session != nil {
		_ = p.session.Close()
		p.session = nil
	}
}
