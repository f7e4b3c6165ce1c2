// SPDX-License-Identifier: Apache-2.0

package bed

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"dewpass.org/front"
	"dewpass.org/internal/client"
	"dewpass.org/keys"
	"dewpass.org/ports"
	"dewpass.org/test/port"
	"dewpass.org/tree"
)

// Options configures a Bed.
type Options struct {
	Deployment Deployment
	// EntriesPerHall is the number of entry instances in each hall; with 0 only the
	// stand-in process is started.
	EntriesPerHall int
	// Dewpass and StandIn are the paths of the binaries.
	Dewpass string
	StandIn string
	// Examples is the folder of the example trees.
	Examples string
	// Dir is the folder for settings and logs.
	Dir string
	// TaskLease is the setting task-lease; "" leaves the default.
	TaskLease string
	// Debug sets the log level to debug.
	Debug bool
	// TLS holds the keys for callers and between instances; nil means plain TCP.
	TLS *keys.Files
	// OTLP is the endpoint to which traces are sent; "" sends none.
	OTLP string
	// Pprof has the entries serve profiles.
	Pprof bool
}

// Bed is a running deployment.
type Bed struct {
	Options
	Config  StandInConfig
	Entries []*Process
	standIn *Process
	lane    *port.Range
	// Admin is a client of the stand-in process: the platform's protocol, faults and
	// record.
	Admin *client.Client
	// Balancer is a client of the load balancer, which forwards to any entry.
	Balancer *client.Client
}

const (
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	httpTimeout  = 40 * time.Second
	maxIdleConns = 256
)

// Start starts a deployment and waits until every entry is ready.
func Start(ctx context.Context, o Options) (*Bed, error) {
	lane, err := port.Reserve()
	if err != nil {
		return nil, err
	}
	config, err := assignPorts(o.Deployment, o.EntriesPerHall, lane)
	if err != nil {
		_ = lane.Close()
		return nil, errors.Wrap(err, "ports")
	}
	b := &Bed{Options: o, Config: config, lane: lane}
	hc := newHTTP()
	b.Admin = &client.Client{Base: "http://" + config.Platform, HTTP: hc}
	b.Balancer = &client.Client{Base: "http://" + config.Balancer, HTTP: hc}
	if err := b.start(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bed) start(ctx context.Context) error {
	file := filepath.Join(b.Dir, "standin.json")
	if err := writeJSON(file, b.Config); err != nil {
		return err
	}
	b.standIn = &Process{path: b.StandIn, args: []string{"--config", file}, log: filepath.Join(b.Dir, "standin.log")}
	if err := b.standIn.Start(); err != nil {
		return errors.Wrap(err, "stand-in")
	}
	if err := b.await(ctx, b.checkStandIn); err != nil {
		return errors.Wrap(err, "stand-in")
	}
	if err := b.writeTree(ctx); err != nil {
		return errors.Wrap(err, "tree")
	}
	for _, e := range b.Config.Entries {
		p, err := b.newEntry(e)
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, p)
		if err := p.Start(); err != nil {
			return errors.Wrap(err, e.ID)
		}
	}
	for _, p := range b.Entries {
		if !p.Running() {
			return errors.Errorf("entry %s has exited; see %s", p.Addr.ID, p.log)
		}
	}
	if len(b.Entries) == 0 {
		return nil
	}
	return b.AwaitReady(ctx)
}

// writeTree writes the tree of the deployment into the table, as an operator's first edit.
func (b *Bed) writeTree(ctx context.Context) error {
	raw, err := b.treeDoc()
	if err != nil {
		return err
	}
	store := tree.Store{Table: ports.NewClient(b.Admin.Base), Now: time.Now}
	_, err = store.Apply(ctx, tree.Edit{ID: ulid.Make().String(), Ops: []tree.Op{{Value: raw}}, Who: "bed"})
	return err
}

func (b *Bed) treeDoc() ([]byte, error) {
	if b.Deployment.TreeDoc != nil {
		return b.Deployment.TreeDoc, nil
	}
	return os.ReadFile(filepath.Join(b.Examples, b.Deployment.Tree))
}

func (b *Bed) newEntry(e EntryAddr) (*Process, error) {
	peers := []string{}
	for _, o := range b.Config.Entries {
		if o.ID != e.ID && o.Hall == e.Hall {
			peers = append(peers, o.Peer)
		}
	}
	s := map[string]any{
		"instance": e.ID, "hall": e.Hall,
		"listen":   map[string]string{"http": e.HTTP, "peer": e.Peer},
		"platform": map[string]string{"url": b.Admin.Base},
		"peers":    peers,
	}
	if b.TLS != nil {
		s["tls"] = map[string]any{"http": b.TLS, "peer": b.TLS}
	}
	if b.OTLP != "" {
		s["tracing"] = map[string]string{"otlp": b.OTLP}
	}
	if b.Pprof {
		s["pprof"] = true
	}
	if b.TaskLease != "" {
		s["task-lease"] = b.TaskLease
	}
	if b.Debug {
		s["log"] = map[string]string{"level": "debug"}
	}
	file := filepath.Join(b.Dir, e.ID+".json")
	if err := writeJSON(file, s); err != nil {
		return nil, err
	}
	return &Process{
		Addr: e, tls: b.TLS, path: b.Dewpass, args: []string{"entry", "--settings", file},
		log: filepath.Join(b.Dir, e.ID+".log"),
	}, nil
}

func writeJSON(file string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}

func (b *Bed) checkStandIn(ctx context.Context) error {
	return b.Admin.Do(ctx, http.MethodGet, "/record", nil, nil)
}

// await calls f until it returns no error, for at most readyTimeout.
func (b *Bed) await(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrap(err, "not ready in time")
		}
	}
}

// AwaitReady waits until every running entry is ready and sees all workers
// attached.
func (b *Bed) AwaitReady(ctx context.Context) error {
	return b.await(ctx, func(ctx context.Context) error {
		up := 0
		for _, p := range b.Entries {
			if !p.Running() {
				continue
			}
			up++
			if err := p.Client().Do(ctx, http.MethodGet, "/readyz", nil, nil); err != nil {
				return errors.Wrap(err, p.Addr.ID)
			}
		}
		if up == 0 {
			return errors.New("every entry has exited")
		}
		return b.checkAttached(ctx)
	})
}

func (b *Bed) checkAttached(ctx context.Context) error {
	for _, p := range b.Entries {
		if !p.Running() {
			continue
		}
		var s front.Status
		if err := p.Client().Do(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
			return err
		}
		attached := 0
		for _, r := range s.Racks {
			attached += int(r.Attached)
		}
		if attached < len(b.Config.Workers) {
			return errors.Errorf("%s sees %d of %d workers attached", p.Addr.ID, attached, len(b.Config.Workers))
		}
	}
	return nil
}

// Close kills every process of the bed.
func (b *Bed) Close() {
	for _, p := range b.Entries {
		p.Kill()
	}
	if b.standIn != nil {
		b.standIn.Kill()
	}
	_ = b.lane.Close()
}

// Start starts the process, or restarts it after it has exited. Its output is
// appended to its log.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = dieWithParent()
	err = cmd.Start()
	_ = out.Close()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}
