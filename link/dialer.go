// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"crypto/tls"
	"errors"
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
	// redialDelay limits how often an unreachable peer is dialled.
	redialDelay = 200 * time.Millisecond
	// silenceTimeout is how long a session may receive no data while a request is pending.
	// A live peer acknowledges a stream at once. It is below the shortest timeout of a
	// request (400 ms) and above the pauses of a peer that has used up its CPU quota (100 ms).
	silenceTimeout = 300 * time.Millisecond
)

// Dialer sends requests over one session per peer.
type Dialer struct {
	// TLS returns the configuration for a host; nil means plain TCP.
	TLS func(host string) *tls.Config

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the session to one address.
type peer struct {
	// sem is a semaphore of one that guards the other fields. Unlike with a mutex,
	// a caller whose context ends stops waiting for the dial of another caller.
	sem      chan struct{}
	session  *session
	failedAt time.Time
	dialErr  error
}

// Do sends a request to the peer at an address and returns its reply. An error
// in the reply is returned as an error.
func (d *Dialer) Do(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error) {
	if err := fault.Link("peer/" + addr); err != nil {
		return nil, err
	}
	begun := time.Now()
	session, stream, err := d.open(ctx, addr)
	if err != nil {
		return nil, kind.Wrap(kind.Unavailable, err, "peer "+addr)
	}
	session.streams.add(stream)
	defer session.streams.remove(stream)
	stop := context.AfterFunc(ctx, func() { expire(stream) })
	defer stop()
	defer stream.Close()
	var reply wire.Reply
	if err := exchange(stream, req, &reply); err != nil {
		if errors.Is(err, yamux.ErrTimeout) && ctx.Err() == nil {
			// Only the end of the session made the deadline of the stream pass.
			err = yamux.ErrSessionShutdown
		}
		switch now := time.Now(); {
		case session.noDataSince(begun, now):
			// The next request would get no answer either. Close may block on a pending write.
			go session.Close()
		case session.noRecentData(now):
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

// open opens a stream to the peer at an address. It retries once with a new session if the
// session turns out to be closed, as nothing was sent on that one.
func (d *Dialer) open(ctx context.Context, addr string) (*session, *yamux.Stream, error) {
	for retry := true; ; retry = false {
		session, err := d.peer(addr).getSession(ctx, addr, d.TLS)
		if err != nil {
			return nil, nil, err
		}
		stream, err := session.OpenStream()
		if err == nil || !retry || !session.IsClosed() {
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

// Close closes all sessions.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		p.closeSession()
	}
}

// Forget closes the session to an address that no longer belongs to a peer.
func (d *Dialer) Forget(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[addr]; p != nil {
		p.closeSession()
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
		p = &peer{sem: make(chan struct{}, 1)}
		d.peers[addr] = p
	}
	return p
}

// getSession returns the open session, dialling if there is none.
func (p *peer) getSession(ctx context.Context, addr string, conf func(string) *tls.Config) (*session, error) {
	select {
	case p.sem <- struct{}{}:
		defer func() { <-p.sem }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	if p.dialErr != nil && time.Since(p.failedAt) < redialDelay {
		return nil, p.dialErr
	}
	p.session, p.dialErr = dial(ctx, addr, conf)
	if p.dialErr != nil {
		p.failedAt = time.Now()
	}
	return p.session, p.dialErr
}

func dial(ctx context.Context, addr string, conf func(string) *tls.Config) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := sock.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tracked := &activityConn{Conn: raw}
	var c net.Conn = tracked
	if conf != nil {
		host, _, _ := net.SplitHostPort(addr)
		t := tls.Client(c, conf(host))
		if err := t.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		c = t
	}
	return newSession(c, tracked)
}

func (p *peer) closeSession() {
	p.sem <- struct{}{}
	defer func() { <-p.sem }()
	if p.session != nil {
		_ = p.session.Close()
		p.session = nil
	}
}
