// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/commit"
	"dewpass.org/front"
	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/drain"
	"dewpass.org/internal/uid"
	"dewpass.org/keys"
	"dewpass.org/kind"
	"dewpass.org/link"
	"dewpass.org/owner"
	"dewpass.org/ports"
	"dewpass.org/settings"
	"dewpass.org/telemetry"
	"dewpass.org/tree"
)

// Entry is an entry instance.
type Entry struct {
	settings *settings.Settings
	kit      *telemetry.Kit
	boot     string

	platform *ports.Client
	workers  *ports.Workers
	journal  *commit.Journal
	register *tree.Register
	store    *tree.Store
	peers    *hall.Peers
	keeper   *hall.Coordinator
	owner    *owner.Owner
	front    *front.Front
	dialer   *link.Dialer
	server   *link.Server
	http     *drain.Server

	leaving atomic.Bool
	// pulling says that a tree is being fetched from a peer that greeted with it.
	pulling atomic.Bool
	spread  spread
	reader  reader
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
	// leaveNotice is how long a leaving instance still takes connections, so
	// that callers that keep theirs open are told to close it.
	leaveNotice = time.Second
	// lingerTime bounds the wait for callers to close their idle connections.
	lingerTime = 4 * time.Second
	flushTime  = 3 * time.Second
)

// Run runs an instance until ctx ends, and then stops it as planned.
func Run(ctx context.Context, s *settings.Settings, kit *telemetry.Kit) error {
	limitMemory(s)
	work, end := context.WithCancel(context.Background())
	defer end()
	e := &Entry{settings: s, kit: kit, boot: uid.New()}
	if err := e.build(work); err != nil {
		return err
	}
	lh, lp, err := e.listen()
	if err != nil {
		return err
	}
	e.http = drain.New(e.callerServer(), lh)
	e.start(work, lp)
	level.Info(kit.Log).Log("msg", "started", "http", s.Listen.HTTP, "peer", s.Listen.Peer, "boot", e.boot)
	<-ctx.Done()
	e.stop()
	level.Info(kit.Log).Log("msg", "stopped")
	return nil
}

func (e *Entry) build(work context.Context) error {
	s := e.settings
	e.platform = ports.NewClient(s.Platform.URL)
	e.workers = ports.NewWorkers()
	e.register = &tree.Register{}
	e.store = &tree.Store{Table: e.platform, Now: time.Now}
	e.journal = commit.New(e.platform, s.Hall, s.Instance+"/"+e.boot)
	e.peers = hall.NewPeers(s.Instance, s.Hall, s.Peers)
	e.dialer = &link.Dialer{}
	e.server = &link.Server{Handler: e}
	if err := e.secure(); err != nil {
		return err
	}
	e.buildKeeper()
	e.journal.Away = e.cutOff
	e.buildOwner(work)
	e.buildFront()
	return nil
}

func (e *Entry) buildKeeper() {
	s := e.settings
	e.keeper = &hall.Coordinator{
		Instance: s.Instance, Boot: e.boot, Hall: s.Hall,
		Table: e.platform, List: e.platform, Peers: e.peers, Send: e.dialer, Log: e.kit.Log,
	}
	e.keeper.Init()
}

func (e *Entry) buildOwner(work context.Context) {
	s := e.settings
	e.owner = owner.New(work, owner.Config{
		Name: e.keeper.Name(), Hall: s.Hall, Connect: e.workers.At,
		Table: e.platform, Objects: e.platform, Journal: e.journal, Tree: e.register,
		LastHeartbeat: e.keeper.LastRenewal,
		FindRack:      e.elsewhere, NotifyMoved: e.tell, OnOwnershipDoubt: e.keeper.RequestAudit,
		Log: e.kit.Log, Scope: e.kit.Scope, Tracer: e.kit.Tracer,
		TaskLease: time.Duration(s.TaskLease),
	})
	e.keeper.Racks = e.owner
}

func (e *Entry) buildFront() {
	s := e.settings
	e.front = &front.Front{
		Instance: s.Instance, Hall: s.Hall, Owner: e.owner, Peers: e.peers, Send: e.dialer,
		Table: e.platform, Objects: e.platform, Journal: e.journal,
		Tree: e.register, Store: e.store, Confirm: e.confirm,
		CutOff: e.cutOff,
		Ready:  e.ready,
		Log:    e.kit.Log, Scope: e.kit.Scope, Tracer: e.kit.Tracer,
		Metrics: e.kit.Metrics, Pprof: s.Pprof,
	}
}

// callerServer returns the server of callers, which does not listen yet.
func (e *Entry) callerServer() *http.Server {
	return &http.Server{
		Handler:           e.closing(e.front.Handler()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// cutOff reports whether the table has not answered for some time.
func (e *Entry) cutOff() bool { return e.keeper.CutOff(clock.Now()) }

// closing tells callers to close their connections while the instance leaves.
func (e *Entry) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Entry) secure() error {
	s := e.settings
	if s.TLS.Peer != nil {
		pair, err := keys.Load(*s.TLS.Peer)
		if err != nil {
			return err
		}
		e.dialer.TLS = pair.Client
		e.server.TLS = pair.Server()
	}
	return nil
}

func (e *Entry) listen() (callers, peers net.Listener, err error) {
	s := e.settings
	callers, err = net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, nil, kind.At(kind.BadSettings, "/listen/http", err.Error())
	}
	if s.TLS.HTTP != nil {
		pair, err := keys.Load(*s.TLS.HTTP)
		if err != nil {
			_ = callers.Close()
			return nil, nil, err
		}
		callers = tls.NewListener(callers, pair.Server())
	}
	peers, err = net.Listen("tcp", s.Listen.Peer)
	if err != nil {
		_ = callers.Close()
		return nil, nil, kind.At(kind.BadSettings, "/listen/peer", err.Error())
	}
	return callers, peers, nil
}

func (e *Entry) start(work context.Context, peers net.Listener) {
	e.spread.boot = e.boot
	e.reader.limit()
	go e.server.Serve(peers)
	go e.journal.Run(work)
	go e.owner.Run(work)
	go e.greet(work)
	go e.read(work)
	go e.front.Flush(work)
	go e.serve(work)
	go e.rescue(work)
	go e.sweep(work)
	go tuneCollector(work)
	var keeping context.Context
	keeping, e.reader.stopKeeper = context.WithCancel(work)
	e.reader.keeperDone = make(chan struct{})
	go func() {
		defer close(e.reader.keeperDone)
		e.keeper.Run(keeping)
	}()
	go func() {
		if err := e.http.Serve(); err != nil && err != http.ErrServerClosed && !e.leaving.Load() {
			level.Error(e.kit.Log).Log("msg", "callers cannot be served", "err", err)
		}
	}()
}

// ready reports whether callers may be sent here.
func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.register.Now().Version > 0 && e.owner.Ready()
}

// stop hands the racks on, lets what is in progress end, and closes.
func (e *Entry) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.StopWithin))
	defer cancel()
	level.Info(e.kit.Log).Log("msg", "stopping")
	e.leaving.Store(true)
	e.greetOnce(ctx)
	e.owner.Drain()
	e.reader.stopKeeper()
	<-e.reader.keeperDone
	e.keeper.Leave(ctx)
	wait(ctx, leaveNotice)
	patience, end := context.WithTimeout(ctx, lingerTime)
	defer end()
	if err := e.http.Stop(patience, ctx); err != nil {
		level.Warn(e.kit.Log).Log("msg", "calls were cut", "err", err)
	}
	e.front.Drain(ctx)
	e.server.Drain(ctx)
	flush, done := context.WithTimeout(ctx, flushTime)
	defer done()
	e.owner.Flush(flush)
	e.server.Close()
	e.dialer.Close()
	e.workers.Close()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
