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

	platform    *ports.Client
	workers     *ports.Workers
	journal     *commit.Journal
	register    *tree.Register
	store       *tree.Store
	peers       *hall.Peers
	coordinator *hall.Coordinator
	owner       *owner.Owner
	front       *front.Front
	dialer      *link.Dialer
	server      *link.Server
	http        *drain.Server

	leaving atomic.Bool
	// fetchingTree is set while a newer tree is being fetched from a peer.
	fetchingTree atomic.Bool
	summaries    rackSummaries
	reader       treeReader
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
	// leaveNotice is how long a leaving instance still accepts connections, so
	// that callers with open connections are told to close them.
	leaveNotice = time.Second
	// idleCloseTimeout bounds the wait for callers to close their idle connections.
	idleCloseTimeout = 4 * time.Second
	flushTimeout     = 3 * time.Second
)

// Run runs an instance until ctx ends, then performs a planned stop.
func Run(ctx context.Context, s *settings.Settings, kit *telemetry.Kit) error {
	configureMemory(s)
	work, end := context.WithCancel(context.Background())
	defer end()
	e := &Entry{settings: s, kit: kit, boot: uid.New()}
	if err := e.build(work); err != nil {
		return err
	}
	callers, peers, err := e.listen()
	if err != nil {
		return err
	}
	e.http = drain.New(e.callerServer(), callers)
	e.start(work, peers)
	level.Info(kit.Log).Log("msg", "started", "http", s.Listen.HTTP, "peer", s.Listen.Peer, "boot", e.boot)
	<-ctx.Done()
	e.stop()
	level.Info(kit.Log).Log("msg", "stopped")
	return nil
}

// build creates the parts of the instance; work ends when the instance has stopped.
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
	if err := e.configureTLS(); err != nil {
		return err
	}
	e.buildCoordinator()
	e.journal.TableUnavailable = e.cutOff
	e.buildOwner(work)
	e.buildFront()
	return nil
}

func (e *Entry) buildCoordinator() {
	s := e.settings
	e.coordinator = &hall.Coordinator{
		Instance: s.Instance, Boot: e.boot, Hall: s.Hall,
		Table: e.platform, List: e.platform, Peers: e.peers, Send: e.dialer, Log: e.kit.Log,
	}
	e.coordinator.Init()
}

func (e *Entry) buildOwner(work context.Context) {
	s := e.settings
	e.owner = owner.New(work, owner.Config{
		Name: e.coordinator.Name(), Hall: s.Hall, Connect: e.workers.At,
		Table: e.platform, Objects: e.platform, Journal: e.journal, Tree: e.register,
		LastHeartbeat: e.coordinator.LastRenewal,
		FindRack:      e.findRackElsewhere, NotifyMoved: e.notifyMoved, OnOwnershipDoubt: e.coordinator.RequestAudit,
		Log: e.kit.Log, Scope: e.kit.Scope, Tracer: e.kit.Tracer,
		TaskLease: time.Duration(s.TaskLease),
	})
	e.coordinator.Racks = e.owner
}

func (e *Entry) buildFront() {
	s := e.settings
	e.front = &front.Front{
		Instance: s.Instance, Hall: s.Hall, Owner: e.owner, Peers: e.peers, Send: e.dialer,
		Table: e.platform, Objects: e.platform, Journal: e.journal,
		Tree: e.register, Store: e.store, Confirm: e.confirmTree,
		CutOff: e.cutOff,
		Ready:  e.ready,
		Log:    e.kit.Log, Scope: e.kit.Scope, Tracer: e.kit.Tracer,
		Metrics: e.kit.Metrics, Pprof: s.Pprof,
	}
}

// callerServer returns the HTTP server for callers, not yet listening.
func (e *Entry) callerServer() *http.Server {
	return &http.Server{
		Handler:           e.closeWhileLeaving(e.front.Handler()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// cutOff reports whether the table has been unreachable for some time.
func (e *Entry) cutOff() bool { return e.coordinator.CutOff(clock.Now()) }

// closeWhileLeaving asks callers to close their connections once the instance is leaving.
func (e *Entry) closeWhileLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Entry) configureTLS() error {
	s := e.settings
	if s.TLS.Peer != nil {
		pair, err := keys.Load(*s.TLS.Peer)
		if err != nil {
			return err
		}
		e.dialer.TLS = pair.ClientConfig
		e.server.TLS = pair.ServerConfig()
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
		callers = tls.NewListener(callers, pair.ServerConfig())
	}
	peers, err = net.Listen("tcp", s.Listen.Peer)
	if err != nil {
		_ = callers.Close()
		return nil, nil, kind.At(kind.BadSettings, "/listen/peer", err.Error())
	}
	return callers, peers, nil
}

func (e *Entry) start(work context.Context, peers net.Listener) {
	e.summaries.boot = e.boot
	e.reader.setPauseLimit()
	go e.server.Serve(peers)
	go e.journal.Run(work)
	go e.owner.Run(work)
	go e.sendHellos(work)
	go e.followTree(work)
	go e.front.FlushRefusals(work)
	go e.runServices(work)
	go e.rescue(work)
	go e.sweep(work)
	go tuneGC(work)
	var coordinating context.Context
	coordinating, e.reader.stopCoordinator = context.WithCancel(work)
	e.reader.coordinatorDone = make(chan struct{})
	go func() {
		defer close(e.reader.coordinatorDone)
		e.coordinator.Run(coordinating)
	}()
	go func() {
		if err := e.http.Serve(); err != nil && err != http.ErrServerClosed && !e.leaving.Load() {
			level.Error(e.kit.Log).Log("msg", "HTTP server failed", "err", err)
		}
	}()
}

// ready reports whether this instance can serve callers.
func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.register.Current().Version > 0 && e.owner.Ready()
}

// stop hands the racks over, lets requests in progress finish, and closes all
// connections.
func (e *Entry) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.StopWithin))
	defer cancel()
	level.Info(e.kit.Log).Log("msg", "stopping")
	e.leaving.Store(true)
	e.sendHelloRound(ctx)
	e.owner.Drain()
	e.reader.stopCoordinator()
	<-e.reader.coordinatorDone
	e.coordinator.Leave(ctx)
	sleep(ctx, leaveNotice)
	idle, endIdle := context.WithTimeout(ctx, idleCloseTimeout)
	defer endIdle()
	if err := e.http.Stop(idle, ctx); err != nil {
		level.Warn(e.kit.Log).Log("msg", "connections closed with requests in progress", "err", err)
	}
	e.front.Drain(ctx)
	e.server.Drain(ctx)
	flush, done := context.WithTimeout(ctx, flushTimeout)
	defer done()
	e.owner.Flush(flush)
	e.server.Close()
	e.dialer.Close()
	e.workers.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
