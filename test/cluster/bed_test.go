// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/internal/standin/world"
	"dewpass.org/test/port"
	"dewpass.org/test/thinlink"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(40 * time.Second)
	SetDefaultEventuallyPollingInterval(50 * time.Millisecond)
	RunSpecs(t, "cluster")
}

var binary string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "dewpass-cluster")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binary = filepath.Join(dir, "dewpass")
	out, err := exec.Command("go", "build", "-o", binary, "dewpass.org/cmd/dewpass").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

const (
	host   = "jobs.example"
	prefix = "/queue/"
	local  = "127.0.0.1"
)

// entry is an instance of the bed.
type entry struct {
	name, front, peer, ready, metrics string
	// store is where the instance reaches the store.
	store string

	settings string
	log      *syncBuffer
	cmd      *exec.Cmd
}

// syncBuffer keeps what a process writes.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// bed is a deployment on the stand-ins.
type bed struct {
	world *world.World
	// cells is what the settings say of cells.
	cells int
	// key is that of the client account that calls, "" for none.
	key string
	// level is the level of logs.
	level   string
	entries []*entry
	http    *http.Client
	next    int
	mu      sync.Mutex
}

var halls = []string{"north", "south"}

// start starts a bed of two instances a hall. It ends with the spec, after
// which no promise may be broken.
func start(more ...func(*world.Options)) *bed {
	GinkgoHelper()
	return startCells(1, more...)
}

// startCells is start with a number of cells, 0 for what the instances decide.
func startCells(cells int, more ...func(*world.Options)) *bed {
	GinkgoHelper()
	b := newBed(cells, more...)
	b.run()
	return b
}

// startThin is start with a thin link between each instance and the store, which
// it returns in the order of the instances.
func startThin(bytesPerSecond int) (*bed, []*thinlink.Link) {
	GinkgoHelper()
	b := newBed(1)
	var links []*thinlink.Link
	for _, e := range b.entries {
		l, err := thinlink.Start(b.world.StoreAddr, bytesPerSecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		e.store = l.Addr
		links = append(links, l)
	}
	b.run()
	return b, links
}

// newBed makes a bed whose instances do not run yet.
func newBed(cells int, more ...func(*world.Options)) *bed {
	GinkgoHelper()
	lane, err := port.Take()
	Expect(err).NotTo(HaveOccurred())
	o := world.Options{Halls: halls, PerHall: 4, CPU: 8000, Mem: 16000, Seed: 7, Host: local, WorkerAddr: oneOf(lane)}
	for _, f := range more {
		f(&o)
	}
	w, err := world.Start(o)
	Expect(err).NotTo(HaveOccurred())
	w.Configure(1, host, prefix)
	b := &bed{world: w, cells: cells, level: "info", http: &http.Client{Timeout: 5 * time.Second}}
	dir, err := os.MkdirTemp("", "dewpass-bed")
	Expect(err).NotTo(HaveOccurred())
	for i := range 2 * len(halls) {
		e := newEntry(i, dir, lane)
		e.store = w.StoreAddr
		b.entries = append(b.entries, e)
	}
	DeferCleanup(func() {
		w.Close()
		_ = lane.Close()
		_ = os.RemoveAll(dir)
	})
	return b
}

// run starts the instances and waits until they are ready. They end with the spec.
func (b *bed) run() {
	GinkgoHelper()
	for _, e := range b.entries {
		b.write(e, "6s")
		e.run()
	}
	DeferCleanup(func() {
		for _, e := range b.entries {
			e.kill()
		}
		if CurrentSpecReport().Failed() {
			for _, e := range b.entries {
				fmt.Fprintln(GinkgoWriter, e.log.String())
			}
		}
	})
	b.waitReady()
}

// oneOf returns a function that takes one more address of a lane each time, which nobody else is
// given while the lane is held.
func oneOf(lane *port.Lane) func() (string, error) {
	var mu sync.Mutex
	return func() (string, error) {
		mu.Lock()
		defer mu.Unlock()
		addrs, err := lane.Free(1)
		if err != nil {
			return "", err
		}
		return addrs[0], nil
	}
}

func newEntry(i int, dir string, lane *port.Lane) *entry {
	GinkgoHelper()
	// The World has its workers by now, and takes no more while entries are made.
	addrs, err := lane.Free(4)
	Expect(err).NotTo(HaveOccurred())
	name := fmt.Sprintf("%s-%d", halls[i%len(halls)], i/len(halls)+1)
	return &entry{
		name: name, front: addrs[0], peer: addrs[1], ready: addrs[2], metrics: addrs[3],
		settings: filepath.Join(dir, name+".json"), log: &syncBuffer{},
	}
}

// write writes the settings of an instance.
func (b *bed) write(e *entry, lease string) {
	GinkgoHelper()
	Expect(os.WriteFile(e.settings, b.settingsOf(e, lease), 0o600)).To(Succeed())
}

// settingsOf returns the settings of an instance.
func (b *bed) settingsOf(e *entry, lease string) []byte {
	GinkgoHelper()
	hall, _, _ := strings.Cut(e.name, "-")
	raw, err := json.Marshal(map[string]any{
		"instance": e.name, "hall": hall, "log": map[string]any{"level": b.level},
		"listen": map[string]any{"http": e.front, "peer": e.peer},
		"peers":  []string{b.entries[0].peer},
		"cluster": map[string]any{
			"store": e.store, "policy": b.world.PolicyAddr, "machines": b.world.MachinesAddr,
			"ready": e.ready, "metrics": e.metrics, "cells": b.cells,
			"lease": lease, "lease-most": "10s", "keep": "120s", "grace": "4s",
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return raw
}

func (e *entry) run() {
	GinkgoHelper()
	e.prepare()
	Expect(e.cmd.Start()).To(Succeed())
}

// prepare makes the command that runs the instance.
func (e *entry) prepare() {
	e.cmd = exec.Command(binary, "entry", "--settings", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
}

func (e *entry) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	_ = e.cmd.Wait()
}

// lastLine returns the last line of the instance's log.
func (e *entry) lastLine() string {
	lines := strings.Split(strings.TrimSpace(e.log.String()), "\n")
	return e.name + ": " + lines[len(lines)-1]
}

func (b *bed) waitReady() {
	GinkgoHelper()
	for _, e := range b.entries {
		Eventually(func() int { return b.get("http://"+e.ready+"/dewpass/ready", nil) }).Should(Equal(http.StatusOK), e.lastLine)
	}
	Eventually(b.owner).ShouldNot(BeNil())
}

func (b *bed) get(url string, into any) int {
	resp, err := b.http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	if into != nil {
		_ = json.Unmarshal(raw, into)
	}
	return resp.StatusCode
}

// metrics returns the metrics of all instances.
func (b *bed) metrics() string {
	var out strings.Builder
	for _, e := range b.entries {
		resp, err := b.http.Get("http://" + e.metrics + "/metrics")
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.Write(raw)
	}
	return out.String()
}

// owner returns the instance that holds the lease of the first cell, nil if none does.
func (b *bed) owner() *entry { return b.ownerOf("cell-0") }

// ownerOf returns the instance that holds the lease of a cell, nil if none does.
func (b *bed) ownerOf(cell string) *entry {
	var lease claim.Lease
	_ = json.Unmarshal(b.world.Store.Value(claim.Table, cell, claim.Range(cell).From), &lease)
	for _, e := range b.entries {
		if e.name == lease.Owner {
			return e
		}
	}
	return nil
}

// call sends a request to an instance and returns the status and the body; the
// status is 0 if there was no answer.
func (b *bed) call(e *entry, method, path, body string) (int, http.Header, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.front+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	req.Host = host
	if b.key != "" {
		req.Header.Set("Authorization", "Bearer "+b.key)
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(raw)
}

// entryAt returns the instances in turn.
func (b *bed) entryAt() *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.entries[b.next%len(b.entries)]
}

// id returns a new id of a job.
func (b *bed) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return fmt.Sprintf("%016x", 0x9e3779b97f4a7c15*uint64(b.next))
}

// submit hands a job in until some instance has taken it.
func (b *bed) submit(job string) string {
	GinkgoHelper()
	id := b.id()
	Eventually(func() int {
		status, _, _ := b.call(b.entryAt(), http.MethodPost, prefix+id, job)
		return status
	}).Should(Equal(http.StatusOK), id)
	return id
}

func (b *bed) state(id string) string {
	status, _, raw := b.call(b.entryAt(), http.MethodGet, prefix+id, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var s struct{ State string }
	_ = json.Unmarshal([]byte(raw), &s)
	return s.State
}

func (b *bed) wantState(id, state string) {
	GinkgoHelper()
	Eventually(func() string { return b.state(id) }).Should(Equal(state), id)
}

// wantWhole waits until all jobs have succeeded and checks the book.
func (b *bed) wantWhole(ids []string) {
	GinkgoHelper()
	for _, id := range ids {
		b.wantState(id, "succeeded")
	}
	b.wantKept()
}

func (b *bed) wantKept() {
	GinkgoHelper()
	Expect(b.world.Book.Broken()).To(BeEmpty())
}

// chain is a job of two steps of some tasks each.
func chain(count, ms int) string {
	return fmt.Sprintf(`{"spec":"ms=%d cpu=500 mem=100 saves","steps":[`+
		`{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":%d,"checkpointing":true},`+
		`{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":%d,"checkpointing":true,"depends_on":[0]}]}`, ms, count, ms, count, ms)
}

// submitSome hands in some chains, spread over a time.
func (b *bed) submitSome(n, count, ms int, over time.Duration) []string {
	GinkgoHelper()
	var ids []string
	for range n {
		ids = append(ids, b.submit(chain(count, ms)))
		time.Sleep(over / time.Duration(n))
	}
	return ids
}

// callsIn returns the lines of metrics that count calls, which a failure shows whole.
func callsIn(metrics string) string {
	var out []string
	for _, line := range strings.Split(metrics, "\n") {
		if strings.Contains(line, "_calls_total{") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
