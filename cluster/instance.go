// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/drain"
	"dewpass.org/internal/sock"
	"dewpass.org/internal/uid"
	"dewpass.org/kind"
	"dewpass.org/link"
	"dewpass.org/rows"
	"dewpass.org/settings"
	"dewpass.org/telemetry"
	"dewpass.org/upkeep"
)

// ConfigSource reads the operators' configuration.
type ConfigSource interface {
	// Get returns the current configuration, nil if there is none, and the version of the store.
	Get(ctx context.Context) (*config.Config, uint64, error)
	// Changes waits up to wait for a change made after version ver of the store.
	Changes(ctx context.Context, ver uint64, wait time.Duration) (*config.Config, uint64, error)
}

// Services are the external systems that an instance uses.
type Services struct {
	// Store is this instance's direct connection to the store of rows.
	Store   rows.Store
	Workers driver.Workers
	// RelayWorkers sends orders that this instance relays for other owners. It keeps few
	// connections open, since every instance may have to do so.
	RelayWorkers driver.Workers
	Directory    func(rows.Store) driver.Directory
	Configs      func(rows.Store) ConfigSource
	// Cordons is nil if the platform's operators cannot cordon halls.
	Cordons func(rows.Store) driver.Cordons
	// Upkeep is nil if the platform has no list of machines.
	Upkeep func(rows.Store) upkeep.Platform
	// ParseConfig parses a configuration received from a peer.
	ParseConfig func([]byte) (*config.Config, error)
	// Advisor is nil if no policy service is configured.
	Advisor driver.Advisor
	// Front creates the HTTP handler for clients.
	Front func(*Instance) http.Handler
	// Readiness creates the handler that reports whether clients may be routed to this instance.
	Readiness func(ready func() bool) http.Handler
}

// Instance is one entry instance: it answers clients and peers, and schedules the jobs of the
// cells that it owns.
type Instance struct {
	Services
	settings *settings.Settings
	kit      *telemetry.Kit
	boot     string

	storeClient *rows.Client
	configs     ConfigSource
	config      config.Latest
	// fetchingConfig is true while the configuration is being requested from a peer.
	fetchingConfig atomic.Bool
	// configDataAt is when data of the store's answer with the configuration last arrived.
	configDataAt atomic.Pointer[time.Time]
	// configConfirmedAt is when the store last returned the configuration or confirmed that it
	// has not changed, to this instance or to another one that told it, and configPeerConfirmedAt only
	// the latter.
	configConfirmedAt, configPeerConfirmedAt atomic.Pointer[time.Time]
	// configErrorLoggedAt is when a failed read of the configuration was last logged.
	configErrorLoggedAt atomic.Pointer[time.Time]
	badRows             *badRows
	storeTraffic        *storeTraffic
	members             *members
	jobCells            jobCells
	sentWork            sentWork
	// endsShown and endsTold are the jobs whose end was logged as shown to a caller, and as told to
	// another instance.
	endsShown, endsTold recentJobs
	// texts are the texts of jobs whose orders this instance relays; textHolders records which
	// instances have the texts of the jobs that this instance owns.
	texts       jobTexts
	textHolders textHolders
	dialer      *link.Dialer
	server      *link.Server
	leaving     atomic.Bool
	// waitingCallers counts the callers that are waiting for the store to be reachable.
	waitingCallers atomic.Int32
	clientServer   *drain.Server
	startedAt      time.Time
	// listed is true if the store has listed this instance (or an earlier process of it) for long
	// enough that owners have read the list and know it.
	listed atomic.Bool

	// taking is true while this instance writes a cell lease to take it. It takes one at a time,
	// because the second one is left to others for a while.
	taking   atomic.Bool
	division division
	listings *listings
	reports  workerReports

	mu    sync.Mutex
	cells map[string]*ownCell
	// lastWrites holds the last known write of each cell lease.
	lastWrites map[string]leaseWrite
	// contests is what this instance knows and does against the owners of cells.
	contests   claim.Contests
	reloadable reloadable
	// pausedUntil is the time before which this instance claims no cell.
	pausedUntil time.Time
	// adviceBacklog is the total expected time to answer the policy questions that this instance
	// is asking itself at the moment.
	adviceBacklog time.Duration
}

// Run runs an instance until ctx ends, and then shuts it down gracefully. Of the settings
// received from changes, it applies those that need no restart.
func Run(ctx context.Context, s *settings.Settings, kit *telemetry.Kit, services Services, changes <-chan *settings.Settings) error {
	limitMemory(s)
	n := newInstance(s, kit, services)
	work, end := context.WithCancel(context.Background())
	defer end()
	others, err := n.listen(work)
	if err != nil {
		return err
	}
	level.Info(kit.Log).Log("event", "started", "boot", n.boot, "http", s.Listen.HTTP, "peer", s.Listen.Peer)
	go n.register(work)
	go n.greetLoop(work)
	go n.followConfig(work)
	go n.probeStore(work)
	go n.yieldLoop(work)
	go n.runCells(work)
	go n.upkeepLoop(work)
	go n.storeTraffic.logLoop(work)
	n.applyChanges(ctx, changes)
	n.stop(others)
	level.Info(kit.Log).Log("event", "stopped")
	return nil
}

// memoryLimitPercent is the part of the configured memory that is set as the Go runtime's soft
// limit. The rest is for memory that the runtime does not count.
const memoryLimitPercent = 65

// limitMemory sets the runtime's soft memory limit, so that the garbage collector works harder
// when memory gets scarce.
func limitMemory(s *settings.Settings) {
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(s.MemoryLimitMiB << 20 * memoryLimitPercent / 100)
	}
}

// GC target percentages (GOGC). The jobs and runs of a cell are a live heap that each collection scans
// anew, while the processor time of its owner limits how many tasks it starts.
const (
	defaultGCPercent = 100
	ownerGCPercent   = 300
)

// setGCTarget sets the target of the garbage collector by whether this instance owns a cell. The lock
// is held.
func (n *Instance) setGCTarget() {
	if len(n.cells) > 0 {
		debug.SetGCPercent(ownerGCPercent)
		return
	}
	debug.SetGCPercent(defaultGCPercent)
}

// applyChanges applies changed settings until ctx ends.
func (n *Instance) applyChanges(ctx context.Context, changes <-chan *settings.Settings) {
	for {
		select {
		case s := <-changes:
			n.reload(s)
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the settings that may change at run time: the duration of leases, how long ended jobs
// are kept, the shutdown grace, and whether jobs are refused for a long wait. A new lease duration
// holds for cells that are taken from then on.
func (n *Instance) reload(s *settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Cluster == nil {
		return
	}
	old := n.reloadable
	n.reloadable = reloadableOf(s.Cluster)
	restart := s.Listen != n.settings.Listen || s.Cluster.Store != n.settings.Cluster.Store || s.Cluster.Headroom != n.settings.Cluster.Headroom
	level.Info(n.kit.Log).Log("event", "reloaded", "changed", n.reloadable != old, "needs_restart", restart)
}

// reloadable are the settings that may change at run time.
type reloadable struct {
	lease, keep, grace time.Duration
	admission          bool
}

func reloadableOf(c *settings.Cluster) reloadable {
	return reloadable{lease: time.Duration(c.Lease), keep: time.Duration(c.Keep), grace: time.Duration(c.Grace), admission: c.Admission}
}

func (n *Instance) currentReloadable() reloadable {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reloadable
}

func newInstance(s *settings.Settings, kit *telemetry.Kit, services Services) *Instance {
	bad, traffic := newBadRows(kit), newStoreTraffic(kit.Log, kit.Scope)
	n := &Instance{
		Services: counted(services, kit, traffic, bad), badRows: bad, storeTraffic: traffic, settings: s, kit: kit, boot: uid.New(), startedAt: clock.Now(),
		members:    newMembers(s.Instance, s.Hall, s.Peers, s.Listen.Peer, clock.Now()),
		dialer:     &link.Dialer{},
		cells:      make(map[string]*ownCell),
		lastWrites: make(map[string]leaseWrite),
		reloadable: reloadableOf(s.Cluster),
		listings:   newListings(),
	}
	n.server = &link.Server{Handler: n}
	n.storeClient = &rows.Client{Direct: n.Store, Now: clock.Now, Relay: n.relayStoreCall, OnChange: n.logStoreState}
	n.configs = services.Configs(n.storeClient.DirectOnly(n.noteConfigData))
	return n
}

// Config returns the newest configuration, nil if there is none yet.
func (n *Instance) Config() *config.Config { return n.config.Load() }

// listen starts the servers for peers and clients, and returns the other servers (readiness and
// metrics).
func (n *Instance) listen(ctx context.Context) ([]*drain.Server, error) {
	peers, err := sock.Listen(ctx, n.settings.Listen.Peer)
	if err != nil {
		return nil, kind.At(kind.BadSettings, "/listen/peer", err.Error())
	}
	go n.server.Serve(peers)
	c := n.settings.Cluster
	n.clientServer, err = serve(ctx, "/listen/http", n.settings.Listen.HTTP, n.Front(n))
	if err != nil {
		return nil, err
	}
	ready, err := serve(ctx, "/cluster/ready", c.Ready, n.Readiness(n.Ready))
	if err != nil {
		return nil, err
	}
	others := []*drain.Server{ready}
	if c.Metrics != "" && n.kit.Metrics != nil {
		metrics, err := serve(ctx, "/cluster/metrics", c.Metrics, n.kit.Metrics)
		if err != nil {
			return nil, err
		}
		others = append(others, metrics)
	}
	return others, nil
}

const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

func serve(ctx context.Context, path, addr string, h http.Handler) (*drain.Server, error) {
	l, err := sock.Listen(ctx, addr)
	if err != nil {
		return nil, kind.At(kind.BadSettings, path, err.Error())
	}
	s := drain.New(&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}, l)
	// Serve returns when the server is stopped; its error is of no interest.
	go func() { _ = s.Serve() }()
	return s, nil
}

// Ready reports whether clients may be routed to this instance.
func (n *Instance) Ready() bool {
	known := n.config.Load() != nil && len(n.division.cells()) > 0
	return known && !n.leaving.Load() && n.storeClient.Reachable()
}

const (
	// After noticeTime a stopping instance waits up to lingerTime more for clients that keep their
	// connections open, but no longer than lingerTenths of the grace, in tenths: at the smallest
	// grace, 4 s, that is 0.7 s after the notice. Each additional second keeps more instances away
	// at once during a rolling restart.
	lingerTime   = 1100 * time.Millisecond
	lingerTenths = 8
	// Requests still in progress after cutTenths of the grace, in tenths, are cut. The rest, 0.4 s
	// at the smallest grace, is for the end of the process.
	cutTenths       = 9
	handoverTimeout = 1500 * time.Millisecond
)

// noticeTime is how long the platform may still route new clients to this instance after it has
// reported that it is not ready.
const noticeTime = 2500 * time.Millisecond

// stop releases the cells, lets requests in progress finish, and closes the servers.
func (n *Instance) stop(others []*drain.Server) {
	grace, begun := n.currentReloadable().grace, clock.Now()
	level.Info(n.kit.Log).Log("event", "stopping")
	n.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	n.handOver(ctx, n.ownCells())
	cancel()
	lingerCtx, cancel := context.WithDeadline(context.Background(), begun.Add(min(noticeTime+lingerTime, grace*lingerTenths/10)))
	defer cancel()
	cutCtx, cancel := context.WithDeadline(context.Background(), begun.Add(grace*cutTenths/10))
	defer cancel()
	// The notice runs from the start of the stop: a slow handover does not extend it.
	sleep(lingerCtx, clock.Until(begun.Add(noticeTime)))
	if err := n.clientServer.Stop(lingerCtx, cutCtx); err != nil {
		level.Warn(n.kit.Log).Log("event", "not_drained", "err", err)
	}
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range others {
		// Idle connections of probes are closed at once; an answer in progress is finished.
		_ = s.Stop(expired, cutCtx)
	}
	n.server.Close()
	n.dialer.Close()
}
