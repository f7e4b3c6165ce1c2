// SPDX-License-Identifier: Apache-2.0

package world

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Options configures a World.
type Options struct {
	Halls          []string
	WorkersPerHall int
	CPU, Mem       int64
	Seed           uint64
	// Host is the loopback address on which everything listens.
	Host string
	// WorkerAddr returns the address on which a worker listens, also after a restart. If it is nil,
	// the system chooses a port, which it may give to another process while the worker is down.
	WorkerAddr func() (string, error)
	// Label returns the label of a worker beside its rack; if it is nil, all have "a".
	Label func(hall string, number int) string
	// Advice has the policy service decide which workers may run a step: two of three. An answer
	// takes PolicyTime and PolicyTimePerWorker for each worker asked about, by default 10 ms and 1 ms.
	Advice                          bool
	PolicyTime, PolicyTimePerWorker time.Duration
	// NextRestart says how a worker restarts after a task has crashed it, and after an upkeep of its
	// machine; if it is nil, a new worker takes its place.
	NextRestart func() Restart
	// ProxyAddr, if set, returns the address at which others reach a listener, such as that of a
	// proxy.
	ProxyAddr func(addr string) (string, error)
}

// World is a test double of the users' platform.
type World struct {
	Store   *Store
	Policy  *Policy
	Book    *Book
	Workers []*Worker
	// Machines has a machine for each worker.
	Machines *Machines

	StoreAddr string
	// PolicyAddr is that of the policy service for all callers together; see NewPolicyAddr.
	PolicyAddr   string
	MachinesAddr string

	options Options
	servers []*http.Server
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	// accounts are the client accounts of the configuration, nil for none.
	accounts []any
}

const (
	tickInterval      = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	pool              = "pool"
	rackSize          = 2
)

// Start starts a World.
func Start(o Options) (*World, error) {
	w := &World{Store: newStore(o.Seed), Book: newBook(), options: o, stop: make(chan struct{})}
	w.Policy = newPolicy(w, o)
	var err error
	if w.StoreAddr, err = w.serve(w.Store); err != nil {
		return nil, err
	}
	if w.PolicyAddr, err = w.serve(&policyCaller{policy: w.Policy}); err != nil {
		return nil, err
	}
	w.Machines = newMachines(w)
	if w.MachinesAddr, err = w.serve(w.Machines); err != nil {
		return nil, err
	}
	for _, hall := range o.Halls {
		for i := range o.WorkersPerHall {
			if _, err := w.AddWorker(hall, i); err != nil {
				return nil, err
			}
		}
	}
	w.wg.Go(w.tickLoop)
	return w, nil
}

func (w *World) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.options.Host, "0"))
	if err != nil {
		return "", err
	}
	w.serveOn(l, h)
	if w.options.ProxyAddr != nil {
		return w.options.ProxyAddr(l.Addr().String())
	}
	return l.Addr().String(), nil
}

// AddWorker starts a worker in a hall, on a new machine.
func (w *World) AddWorker(hall string, number int) (*Worker, error) {
	n, err := w.startWorker(hall, number, func(*Worker) {})
	if err == nil {
		w.Machines.add(n, number)
	}
	return n, err
}

// startWorker starts a worker in a hall. prepare may change the worker, such as its id, before it
// serves.
func (w *World) startWorker(hall string, number int, prepare func(*Worker)) (*Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.makeWorker(hall, number)
	prepare(n)
	if err := w.listenAtNewAddr(n); err != nil {
		return nil, err
	}
	w.Workers = append(w.Workers, n)
	w.heartbeat(n)
	return n, nil
}

// listenAtNewAddr has a worker serve at a new address. The lock must be held.
func (w *World) listenAtNewAddr(n *Worker) error {
	addr, err := net.JoinHostPort(w.options.Host, "0"), error(nil)
	if w.options.WorkerAddr != nil {
		addr, err = w.options.WorkerAddr()
	}
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.listen = l.Addr().String()
	n.Addr = n.listen
	n.server = w.serveOn(l, n)
	if w.options.ProxyAddr != nil {
		n.Addr, err = w.options.ProxyAddr(n.listen)
	}
	return err
}

// makeWorker returns a worker that does not serve yet. The lock must be held.
func (w *World) makeWorker(hall string, number int) *Worker {
	return &Worker{
		ID: fmt.Sprintf("i-%s-%d-%d", hall, number, len(w.Workers)), Hall: hall,
		Rack: fmt.Sprintf("%s-r%d", hall, number/rackSize), world: w,
		machineNumber: number, cpu: w.options.CPU, mem: w.options.Mem, started: time.Now(), born: time.Now().UnixMilli(),
		runs: make(map[string]*run), highestRun: make(map[string]int), reportedEnd: make(map[uint64]int),
		random: rand.New(rand.NewPCG(w.options.Seed, uint64(len(w.Workers)))), changed: make(chan struct{}),
	}
}

// Kill ends a worker for good: its runs are lost, it never responds again, and its
// entry is removed.
func (w *World) Kill(n *Worker) {
	n.mu.Lock()
	n.dead = true
	n.faults = WorkerFaults{Silent: true}
	n.runs = make(map[string]*run)
	n.ends = nil
	n.mu.Unlock()
	w.Book.recordLoss(n.ID)
	w.Store.Remove("servers", n.ID)
}

// Drain has a worker announce in its entry that it is draining.
func (w *World) Drain(n *Worker) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	w.heartbeat(n)
}

// tickLoop advances the workers and writes their heartbeats until Close.
func (w *World) tickLoop() {
	beat := time.Now()
	for {
		select {
		case <-w.stop:
			return
		case now := <-time.After(tickInterval):
			for _, n := range w.allWorkers() {
				n.tick(now)
			}
			if now.Sub(beat) > heartbeatInterval {
				beat = now
				for _, n := range w.allWorkers() {
					w.heartbeat(n)
				}
			}
		}
	}
}

func (w *World) allWorkers() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.Workers)
}

// ActiveWorkers returns the workers that are neither dead nor draining.
func (w *World) ActiveWorkers() []*Worker {
	return slices.DeleteFunc(w.allWorkers(), func(n *Worker) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.dead || n.draining
	})
}

// heartbeat writes a worker's entry into the store, unless it is dead.
func (w *World) heartbeat(n *Worker) {
	n.mu.Lock()
	dead, state, remaining := n.dead, "ready", 0
	if n.draining {
		state, remaining = "draining", 2000
	}
	clock, cpu, mem := n.clock(), n.cpu, n.mem
	n.mu.Unlock()
	if dead {
		return
	}
	label := "a"
	if w.options.Label != nil {
		label = w.options.Label(n.Hall, n.machineNumber)
	}
	w.Store.Put("servers", n.ID, map[string]any{
		"backend": pool, "address": n.Addr, "zone": n.Hall, "version": "v1", "slots": 8, "state": state,
		"warmup_left_ms": 0, "capacity": map[string]any{"cpu": cpu, "mem_mb": mem, "gpu": 0},
		"labels": []string{label, n.Rack}, "clock_ms": clock, "remaining_ms": remaining, "seq": clock, "born": n.born,
	})
}

// Route is a queue of the operators' configuration and the path prefix at which clients reach it.
type Route struct {
	Name, Prefix string
}

// Account is a client account of the operators' configuration.
type Account struct {
	Name string
	Keys []string
	// CPU is the limit of what it may have running, in millicores.
	CPU int64
	// Weight is its share, in jobs per second.
	Weight float64
}

// SetAccounts sets the client accounts of the configurations that are written from now on. Without
// accounts no client needs a key.
func (w *World) SetAccounts(accounts ...Account) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accounts = []any{}
	for _, a := range accounts {
		w.accounts = append(w.accounts, map[string]any{
			"name": a.Name, "api_keys": a.Keys, "weight": a.Weight,
			"max_items": map[string]any{"cpu": a.CPU, "mem_mb": 0, "gpu": 0},
		})
	}
}

// Configure writes the operators' configuration with one queue, at host and prefix.
func (w *World) Configure(version int, host, prefix string) {
	w.ConfigureRoutes(version, host, []Route{{Name: "queue", Prefix: prefix}})
}

// ConfigureRoutes writes the operators' configuration with a queue for each route, all
// at one host.
func (w *World) ConfigureRoutes(version int, host string, routes []Route) {
	list := make([]any, len(routes))
	for i, r := range routes {
		list[i] = w.route(host, r)
	}
	doc := map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": pool, "health_path": "/healthz", "max_conns": 64}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	w.mu.Lock()
	if w.accounts != nil {
		doc["tenants"] = w.accounts
	}
	w.mu.Unlock()
	w.Store.Put("op", "config", doc)
}

// route returns a route in the form of the operators' configuration.
func (w *World) route(host string, r Route) map[string]any {
	route := map[string]any{
		"name": r.Name, "host": host, "path_prefix": r.Prefix, "type": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 250, "priority": 0, "backend": pool, "max_attempts": 2, "stretch": 1.5,
	}
	if w.options.Advice {
		route["advice"] = map[string]any{
			"decide_ms": w.Policy.decide.Milliseconds(), "each_ms": w.Policy.each.Milliseconds(), "valid_ms": ticketLife.Milliseconds(),
		}
	}
	return route
}

// Close stops the World and all its servers.
func (w *World) Close() {
	close(w.stop)
	w.wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		_ = s.Close()
	}
}
