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
	// Get returns it as it stands, nil if there is none, and the version of the
	// store.
	Get(ctx context.Context) (*config.Config, uint64, error)
	// Changes waits for a change after a version of the store.
	Changes(ctx context.Context, ver uint64, wait time.Duration) (*config.Config, uint64, error)
}

// Services are the outside systems that an instance works with.
type Services struct {
	// Store is the store of rows as this instance reaches it itself.
	Store   rows.Store
	Workers driver.Workers
	// Carrier sends orders of other owners, with few connections: any instance may.
	Carrier   driver.Workers
	Directory func(rows.Store) driver.Directory
	Configs   func(rows.Store) ConfigSource
	// Upkeep is nil where there is no list of machines.
	Upkeep func(rows.Store) upkeep.Platform
	// ParseConfig reads a configuration that a peer passed on.
	ParseConfig func([]byte) (*config.Config, error)
	// Advisor is nil where there is no policy service.
	Advisor driver.Advisor
	// Front makes the handler of clients' requests.
	Front func(*Instance) http.Handler
	// Readiness makes the handler that says whether clients may be sent here.
	Readiness func(ready func() bool) http.Handler
}

// Instance is one entry instance: it answers clients and its peers, and drives the
// cells that it owns.
type Instance struct {
	Services
	settings *settings.Settings
	kit      *telemetry.Kit
	boot     string

	storeClient *rows.Client
	configs     ConfigSource
	config      config.Register
	// fetching says that the configuration is being asked of a peer.
	fetching atomic.Bool
	// arriving is when the store's answer with the configuration last brought something.
	arriving atomic.Pointer[time.Time]
	// configHeard is when the store last said what the configuration is, or that it has not
	// changed.
	configHeard atomic.Pointer[time.Time]
	// configLogged is when a line was last logged on a configuration that was not read.
	configLogged atomic.Pointer[time.Time]
	badRows      *badRows
	members      *members
	homes        homes
	ends         ends
	// texts are those of jobs for which this instance sends orders, and given says who has
	// those of the jobs that it owns.
	texts   texts
	given   given
	dialer  *link.Dialer
	server  *link.Server
	leaving atomic.Bool
	// waiting counts the callers that wait for the store.
	waiting atomic.Int32
	front   *drain.Server
	began   time.Time
	// listed says that the store lists this instance, by a former life of it or for as long
	// as others need to read the list: owners know it.
	listed atomic.Bool

	division division

	mu    sync.Mutex
	cells map[string]*ownCell
	// lastWrites holds what is known of the last write of each cell lease.
	lastWrites map[string]watched
	times      times
	// resting is until when this instance takes no cell.
	resting time.Time
	// asking is how long the answers take to the questions to the policy that this
	// instance asks itself.
	asking time.Duration
}

// Run runs an instance until ctx ends, and then stops it as planned.
// Settings that come by changes are taken where they can be without a restart.
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
	n.takeChanges(ctx, changes)
	n.stop(others)
	level.Info(kit.Log).Log("event", "stopped")
	return nil
}

// memoryShare is the part of the memory that the runtime tries to stay within, in
// hundredths; the rest is for what it does not count.
const memoryShare = 65

// limitMemory lets the collector work harder when memory gets scarce.
func limitMemory(s *settings.Settings) {
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(s.MemoryLimitMiB << 20 * memoryShare / 100)
	}
}

// takeChanges takes changed settings until ctx ends.
func (n *Instance) takeChanges(ctx context.Context, changes <-chan *settings.Settings) {
	for {
		select {
		case s := <-changes:
			n.reload(s)
		case <-ctx.Done():
			return
		}
	}
}

// reload takes what may change while an instance runs: how long leases, jobs
// that are over, and the grace last. A lease counts for cells that are taken
// from then on.
func (n *Instance) reload(s *settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Cluster == nil {
		return
	}
	old := n.times
	n.times = timesOf(s.Cluster)
	restart := s.Listen != n.settings.Listen || s.Cluster.Store != n.settings.Cluster.Store
	level.Info(n.kit.Log).Log("event", "reloaded", "changed", n.times != old, "needs_restart", restart)
}

// times are the settings that may change while an instance runs.
type times struct {
	lease, keep, grace time.Duration
}

func timesOf(c *settings.Cluster) times {
	return times{lease: time.Duration(c.Lease), keep: time.Duration(c.Keep), grace: time.Duration(c.Grace)}
}

func (n *Instance) timesNow() times {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.times
}

func newInstance(s *settings.Settings, kit *telemetry.Kit, services Services) *Instance {
	bad := newBadRows(kit)
	n := &Instance{
		Services: counted(services, kit, bad), badRows: bad, settings: s, kit: kit, boot: uid.New(), began: clock.Now(),
		members:    newMembers(s.Instance, s.Hall, s.Peers, s.Listen.Peer, clock.Now()),
		dialer:     &link.Dialer{},
		cells:      make(map[string]*ownCell),
		lastWrites: make(map[string]watched),
		times:      timesOf(s.Cluster),
	}
	n.server = &link.Server{Handler: n}
	n.storeClient = &rows.Client{Direct: n.Store, Now: clock.Now, Carry: n.carry, Changed: n.storeChanged}
	n.configs = services.Configs(n.storeClient.DirectOnly(n.configArrives))
	return n
}

func (n *Instance) storeChanged(direct, reachable bool) {
	level.Info(n.kit.Log).Log("event", "store", "direct", direct, "reachable", reachable)
}

const (
	// probeEvery spaces the reads that show whether the store answers, and probeLook the
	// looks whether one is needed.
	probeEvery = 300 * time.Millisecond
	probeLook  = 100 * time.Millisecond
	// probeSpare is how lately another call must have been answered by the store to spare a
	// probe. With probeLook and the answer of a slow store it stays below the time after
	// which the store counts as not reached.
	probeSpare = 450 * time.Millisecond
	// carriedSpare is the same for answers that a peer has brought.
	carriedSpare = 200 * time.Millisecond
)

// probeStore reads the lease of one cell after another, so that readiness follows
// the store.
func (n *Instance) probeStore(ctx context.Context) {
	var last time.Time
	slept := &suspensions{total: clock.Suspended}
	for at := 0; ctx.Err() == nil; {
		now := clock.Now()
		n.tellSuspended(slept)
		name := ""
		if names := n.division.cells(); len(names) > 0 {
			name = names[at%len(names)]
		}
		if now.Sub(last) >= probeEvery && !n.known(name, now) {
			last = now
			at++
			go n.probeLease(ctx, name)
			if !n.storeClient.DirectOK() && !n.storeClient.Carried(carriedSpare) {
				go n.probeByPeer(ctx, name)
			}
		}
		sleep(ctx, probeLook)
	}
}

// probeByPeer shows whether a peer still reaches the store. Only calls show that otherwise, and
// while jobs are refused there are none.
func (n *Instance) probeByPeer(ctx context.Context, name string) {
	n.probe(ctx, name, n.storeClient.ProbePeer)
}

// known reports whether what a probe would tell is known: the store has just answered
// another call, and for how long the cell's lease has gone unwritten is known from its
// owner, or when it has to be by the store's clock.
func (n *Instance) known(name string, now time.Time) bool {
	return n.storeClient.Answered(probeSpare) &&
		(n.listed.Load() || n.own(name) != nil || n.ownerHeard(name, now, watchAfter))
}

// probeLease reads the lease of a cell; "" is the division in its place.
func (n *Instance) probeLease(ctx context.Context, name string) {
	n.probe(ctx, name, n.storeClient.Probe)
}

func (n *Instance) probe(ctx context.Context, name string, get func(context.Context, rows.Range) (rows.Page, error)) {
	r := rows.Only(divisionKey)
	if name != "" {
		r = claim.Range(name)
	}
	asked := clock.Now()
	page, err := get(ctx, r)
	if err == nil && name != "" {
		n.sawWrite(name, claim.SeenIn(page, asked).Ver, clock.Now())
	}
}

// Config returns the newest configuration, nil if there is none yet.
func (n *Instance) Config() *config.Config { return n.config.Now() }

// listen serves peers and clients, and returns the servers that are for neither.
func (n *Instance) listen(ctx context.Context) ([]*drain.Server, error) {
	peers, err := sock.Listen(ctx, n.settings.Listen.Peer)
	if err != nil {
		return nil, kind.At(kind.BadSettings, "/listen/peer", err.Error())
	}
	go n.server.Serve(peers)
	c := n.settings.Cluster
	n.front, err = serve(ctx, "/listen/http", n.settings.Listen.HTTP, n.Front(n))
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
	headerTime = 3 * time.Second
	idleTime   = 15 * time.Second
	maxHeader  = 16 << 10
)

func serve(ctx context.Context, path, addr string, h http.Handler) (*drain.Server, error) {
	l, err := sock.Listen(ctx, addr)
	if err != nil {
		return nil, kind.At(kind.BadSettings, path, err.Error())
	}
	s := drain.New(&http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader}, l)
	// Serve ends with the server; there is nobody to tell.
	go func() { _ = s.Serve() }()
	return s, nil
}

// Ready reports whether clients may be sent here.
func (n *Instance) Ready() bool {
	known := n.config.Now() != nil && len(n.division.cells()) > 0
	return known && !n.leaving.Load() && n.storeClient.Reachable()
}

const (
	// lingerTime is how long after the notice a stopping instance stays for clients
	// that keep their connections open, and lingerShare the part of the grace, in tenths,
	// that bounds it: at the least grace, 4 s, it is 0.7 s longer than the notice. Each
	// second more keeps more instances away at once while all are restarted in turn.
	lingerTime  = 1100 * time.Millisecond
	lingerShare = 8
	// cutShare is the part of the grace after which a request still under way is
	// cut. The rest, 0.4 s at the least grace, is for the end of the process.
	cutShare    = 9
	handoverMax = 1500 * time.Millisecond
)

// notice is how long the platform may still send new clients here after this
// instance said that it is not ready.
const notice = 2500 * time.Millisecond

// stop hands the cells on, lets what is in progress end, and closes.
func (n *Instance) stop(others []*drain.Server) {
	grace, begun := n.timesNow().grace, clock.Now()
	level.Info(n.kit.Log).Log("event", "stopping")
	n.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), handoverMax)
	n.handOver(ctx, n.owned())
	cancel()
	patience, cancel := context.WithDeadline(context.Background(), begun.Add(min(notice+lingerTime, grace*lingerShare/10)))
	defer cancel()
	limit, cancel := context.WithDeadline(context.Background(), begun.Add(grace*cutShare/10))
	defer cancel()
	// The notice runs from the start: a slow handover leaves clients no less time.
	sleep(patience, clock.Until(begun.Add(notice)))
	if err := n.front.Stop(patience, limit); err != nil {
		level.Warn(n.kit.Log).Log("event", "not_drained", "err", err)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range others {
		// Idle connections of probes go at once, an answer under way is finished.
		_ = s.Stop(over, limit)
	}
	n.server.Close()
	n.dialer.Close()
}
