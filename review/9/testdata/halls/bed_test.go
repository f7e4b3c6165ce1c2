// SPDX-License-Identifier: Apache-2.0

// Package halls holds the stand-ins of review/9: two halls with links between them that can be cut. It
// is built with `go test -c` by review/build-3.sh and started by review/9/run.sh.
package halls

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"dewpass.org/internal/standin/world"
)

const (
	host   = "jobs.example"
	prefix = "/queue/"
	// cell is the only cell of a small deployment, and leaseRow the row that names its owner.
	cell, leaseTable, leaseRow = "cell-0", "cells", "seat"
	// The halls. Each has an address of its own, and one at which the other hall reaches it.
	north, south         = "north", "south"
	northReal, northSeen = "127.0.0.2", "127.0.0.3"
	southReal, southSeen = "127.0.0.4", "127.0.0.5"
)

// cases are the cases by the names that run.sh gives; each returns what broke the rule.
var cases = map[string]func(*bed) []string{}

// TestCase plays the case named by CASE. It exits with 1 if the rule was broken, with 0 if it held, and
// with 2 if the case could not be played.
func TestCase(t *testing.T) {
	play, ok := cases[os.Getenv("CASE")]
	if !ok {
		t.Skip("CASE names no case")
	}
	b := newBed(os.Getenv("DEWPASS"), os.Getenv("RECORD"))
	stop := time.AfterFunc(115*time.Second, func() { b.cannot("the case took too long") })
	broken := play(b)
	stop.Stop()
	b.note("end of the case; rule broken: %d", len(broken))
	for i, what := range broken {
		if i < 20 {
			b.note("BROKEN %s", what)
		}
	}
	b.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// trouble reports whether the disruption is to be made.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// bed is a small deployment: the stand-ins of the platform, the instances as processes, and links that
// can be cut.
type bed struct {
	binary, dir string
	record      *os.File
	begun       time.Time
	world       *world.World
	instances   []*instance
	links       []*link
	http        *http.Client

	mu sync.Mutex
	// hidden holds the halls that are cut off.
	hidden map[string]bool
	// cutSince holds since when.
	cutSince map[string]time.Time
	jobs     int
}

// instance is an entry process.
type instance struct {
	name, hall, ip           string
	front, peer, ready, file string
	log                      *os.File
	cmd                      *exec.Cmd
	done                     chan struct{}
}

func newBed(binary, record string) *bed {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	b := &bed{binary: binary, record: f, begun: time.Now(), http: &http.Client{Timeout: 4 * time.Second}, hidden: make(map[string]bool), cutSince: make(map[string]time.Time)}
	if b.dir, err = os.MkdirTemp("", "review3b"); err != nil {
		b.cannot("%v", err)
	}
	return b
}

func (b *bed) note(format string, args ...any) {
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

// cannot ends the case as one that could not be played.
func (b *bed) cannot(format string, args ...any) {
	b.note("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	b.close()
	os.Exit(2)
}

func (b *bed) must(err error) {
	if err != nil {
		b.cannot("%v", err)
	}
}

func (b *bed) close() {
	for _, e := range b.instances {
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// start starts the platform and the instances of both halls.
func (b *bed) start(workersPerHall, instancesPerHall int) {
	workers := 0
	o := world.Options{
		Halls: []string{north, south}, WorkersPerHall: workersPerHall, CPU: 8000, Mem: 16000, Seed: 7, Host: "127.0.0.1",
		WorkerAddr: func() (string, error) {
			// The workers of the first hall are started before those of the second.
			workers++
			if (workers-1)/workersPerHall == 0 {
				return freeAddr(northReal, northSeen)
			}
			return freeAddr(southReal, southSeen)
		},
	}
	w, err := world.Start(o)
	b.must(err)
	b.world = w
	w.Configure(1, host, prefix)
	for _, n := range w.ActiveWorkers() {
		b.link(n.Addr)
	}
	var seeds []string
	for i := range 2 * instancesPerHall {
		hall, real, seen := north, northReal, northSeen
		if i%2 == 1 {
			hall, real, seen = south, southReal, southSeen
		}
		e := &instance{name: fmt.Sprintf("%s-%d", hall, i/2+1), hall: hall, ip: real, done: make(chan struct{})}
		for _, a := range []*string{&e.front, &e.peer, &e.ready} {
			addr, err := freeAddr(real, seen)
			b.must(err)
			*a = addr
		}
		b.link(e.peer)
		e.file = filepath.Join(b.dir, e.name+".json")
		b.instances = append(b.instances, e)
		seeds = append(seeds, e.peer)
	}
	stores := map[string]string{north: b.storeFor(north), south: b.storeFor(south)}
	machines := map[string]string{north: b.machinesFor(north), south: b.machinesFor(south)}
	for _, e := range b.instances {
		b.writeSettings(e, stores[e.hall], machines[e.hall], seeds[:1])
		b.startInstance(e)
	}
	for _, e := range b.instances {
		b.await("instance "+e.name+" is ready", 20*time.Second, func() bool {
			r, err := b.http.Get("http://" + e.ready + "/dewpass/ready")
			if err != nil {
				return false
			}
			r.Body.Close()
			return r.StatusCode == http.StatusOK
		})
	}
	b.await("the cell has an owner", 20*time.Second, func() bool { return b.owner() != nil })
	b.note("all are ready; owner of the cell: %s", b.owner().name)
}

// writeSettings fills the fields of deploy/settings.json.
func (b *bed) writeSettings(e *instance, store, machines string, seeds []string) {
	raw, err := json.MarshalIndent(map[string]any{
		"instance": e.name, "hall": e.hall, "listen": map[string]any{"http": e.front, "peer": e.peer},
		"peers": b.seenFrom(e.hall, seeds), "memory-limit-mib": 284, "log": map[string]any{"level": "info"},
		"cluster": map[string]any{
			"store": store, "machines": machines, "ready": e.ready, "processor": 0.4, "link-mbps": 1000.0,
			"fair-sharing": true, "headroom": false, "lease-most": "10000ms", "keep": "120s", "grace": "6s",
			"admission": false, "worker-speed": true,
		},
	}, "", "  ")
	b.must(err)
	b.must(os.WriteFile(e.file+".new", raw, 0o600))
	b.must(os.Rename(e.file+".new", e.file))
}

func (b *bed) startInstance(e *instance) {
	log, err := os.OpenFile(filepath.Join(b.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	b.must(err)
	e.log = log
	e.cmd = exec.Command(b.binary, "entry")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "DEWPASS_BOOT=" + e.file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	b.must(e.cmd.Start())
	cmd, done := e.cmd, e.done
	go func() { _ = cmd.Wait(); close(done) }()
}

func (e *instance) kill() {
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Kill()
		<-e.done
	}
}

// owner returns the instance that holds the cell, by the row in the store.
func (b *bed) owner() *instance {
	var lease struct{ Owner string }
	_ = json.Unmarshal(b.world.Store.Value(leaseTable, cell, leaseRow), &lease)
	for _, e := range b.instances {
		if e.name == lease.Owner {
			return e
		}
	}
	return nil
}

func (b *bed) await(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			b.cannot("not within %v: %s", limit, what)
		}
	}
	b.note("%s", what)
}

// sleepUntil waits until a time of the case.
func (b *bed) sleepUntil(at time.Duration) { time.Sleep(time.Until(b.begun.Add(at))) }

// submit hands a job in and returns its id.
func (b *bed) submit(e *instance, job map[string]any) string {
	b.jobs++
	id := fmt.Sprintf("%08x%08x", b.jobs*2654435761&0xffffffff, b.jobs)
	for range 20 {
		status, _ := b.call(e, http.MethodPost, id, mustJSON(job))
		if status == http.StatusOK {
			return id
		}
		time.Sleep(300 * time.Millisecond)
	}
	b.cannot("job %s was not accepted", id)
	return ""
}

func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// call sends a client's call and returns the status, 0 for no answer, and the state in the answer.
func (b *bed) call(e *instance, method, id string, body []byte) (int, string) {
	req, _ := http.NewRequest(method, "http://"+e.front+prefix+id, bytes.NewReader(body))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Dewpass-Request-Deadline", "3000")
	r, err := b.http.Do(req)
	if err != nil {
		b.note("%s %s at %s: no answer: %v", method, id, e.name, err)
		return 0, ""
	}
	defer r.Body.Close()
	raw, _ := io.ReadAll(r.Body)
	var s struct{ State string }
	_ = json.Unmarshal(raw, &s)
	b.note("%s %s at %s: %d %s", method, id, e.name, r.StatusCode, strings.TrimSpace(string(raw)))
	return r.StatusCode, s.State
}

// noteRuns writes what the workers ran into the record.
func (b *bed) noteRuns() {
	all := b.world.Book.Starts()
	sort.SliceStable(all, func(i, j int) bool { return all[i].Task < all[j].Task })
	for _, s := range all {
		end := "still running"
		if !s.Ended.IsZero() {
			end = fmt.Sprintf("%s at %.3f", s.Outcome, s.Ended.Sub(b.begun).Seconds())
		}
		b.note("ran %s run %d on %s from %.3f: %s", s.Task, s.Run, s.Worker, s.Begun.Sub(b.begun).Seconds(), end)
	}
}

// twice returns the pairs of runs of one task that went on at the same time on different workers.
func (b *bed) twice() []string {
	var out []string
	all := b.world.Book.Starts()
	now := time.Now()
	for i := range all {
		for k := range all[:i] {
			x, y := &all[k], &all[i]
			if x.Task != y.Task || x.Worker == y.Worker {
				continue
			}
			from, to := maxTime(x.Begun, y.Begun), minTime(endOf(x, now), endOf(y, now))
			if to.After(from) {
				out = append(out, fmt.Sprintf("TWICE: %s ran on %s (run %d) and on %s (run %d) from %.3f to %.3f", x.Task, x.Worker, x.Run, y.Worker, y.Run,
					from.Sub(b.begun).Seconds(), to.Sub(b.begun).Seconds()))
			}
		}
	}
	return out
}

func endOf(e *world.Entry, now time.Time) time.Time {
	if e.Ended.IsZero() {
		return now
	}
	return e.Ended
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// freeAddr returns an address of a hall whose port is free at the address seen from outside as well.
func freeAddr(ip, seen string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		_, port, _ := net.SplitHostPort(addr)
		o, err := net.Listen("tcp", seen+":"+port)
		l.Close()
		if err != nil {
			continue
		}
		o.Close()
		return addr, nil
	}
	return "", fmt.Errorf("no free port at %s and %s", ip, seen)
}
