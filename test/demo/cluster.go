// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dewpass.org/internal/standin/world"
	"dewpass.org/test/port"
)

const (
	demoHost      = "jobs.example"
	demoPrefix    = "/queue/"
	jobsPerSecond = 10
	readyTimeout  = 10 * time.Second
	jobTimeout    = 30 * time.Second
)

var demoHalls = []string{"naas-hall", "athy-hall", "carlow-hall"}

// member is an entry instance of the demo.
type member struct {
	name, front, ready string
	cmd                *exec.Cmd
}

// runCluster runs the demo of the cluster mode: a simulated platform in this process, entry
// instances as processes of their own, and a load of jobs with two steps. Half way one instance
// is killed and started again.
func runCluster(ctx context.Context, length time.Duration, perHall int) error {
	w, err := world.Start(world.Options{Halls: demoHalls, WorkersPerHall: 8, CPU: 16000, Mem: 32768, Seed: 1, Host: "127.0.0.1", Advice: true})
	if err != nil {
		return err
	}
	defer w.Close()
	w.Configure(1, demoHost, demoPrefix)
	lane, err := port.Reserve()
	if err != nil {
		return err
	}
	defer lane.Close()
	dir, err := os.MkdirTemp("", "dewpass-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	members, err := startMembers(w, lane, dir, perHall)
	if err != nil {
		return err
	}
	defer stopMembers(members)
	if err := waitMembers(ctx, members); err != nil {
		return err
	}
	l := &clusterLoad{members: members, http: &http.Client{Timeout: 4 * time.Second}}
	fmt.Printf("%d instances, %d workers in %d halls, %d jobs a second for %s; one instance is killed half way\n",
		len(members), len(w.Workers), len(demoHalls), jobsPerSecond, length)
	l.run(ctx, length, func() { restartMember(members[0]) })
	l.report(w)
	if broken := w.Book.Violations(); len(broken) > 0 {
		return errors.Errorf("the workers recorded violated rules: %s", strings.Join(broken, "; "))
	}
	if l.unfinished > 0 {
		return errors.Errorf("%d jobs did not succeed in time", l.unfinished)
	}
	return nil
}

func startMembers(w *world.World, lane *port.Range, dir string, perHall int) ([]*member, error) {
	var members []*member
	var first string
	for _, hall := range demoHalls {
		for i := range perHall {
			m := &member{name: fmt.Sprintf("%s-%d", hall, i+1)}
			peer, err := m.writeSettings(w, lane, dir, hall, first)
			if err != nil {
				return members, err
			}
			if first == "" {
				first = peer
			}
			if err := m.start(); err != nil {
				return members, err
			}
			members = append(members, m)
		}
	}
	return members, nil
}

// writeSettings writes the settings of a member and returns its address for peers.
func (m *member) writeSettings(w *world.World, lane *port.Range, dir, hall, first string) (string, error) {
	addrs, err := lane.Allocate(3)
	if err != nil {
		return "", err
	}
	m.front, m.ready = addrs[0], addrs[2]
	peers := []string{}
	if first != "" {
		peers = append(peers, first)
	}
	raw, err := json.Marshal(map[string]any{
		"instance": m.name, "hall": hall, "peers": peers,
		"listen": map[string]any{"http": m.front, "peer": addrs[1]},
		"cluster": map[string]any{
			"store": w.StoreAddr, "policy": w.PolicyAddr, "machines": w.MachinesAddr,
			"ready": m.ready, "lease-most": "10s", "grace": "4s",
		},
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, m.name+".json")
	m.cmd = exec.Command("bin/dewpass", "entry", "--settings", path)
	return addrs[1], os.WriteFile(path, raw, 0o600)
}

func (m *member) start() error {
	m.cmd = exec.Command(m.cmd.Args[0], m.cmd.Args[1:]...)
	return m.cmd.Start()
}

func restartMember(m *member) {
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	_ = m.start()
}

func stopMembers(members []*member) {
	for _, m := range members {
		_ = m.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, m := range members {
		_ = m.cmd.Wait()
	}
}

func waitMembers(ctx context.Context, members []*member) error {
	end := time.Now().Add(readyTimeout)
	for _, m := range members {
		for {
			resp, err := http.Get("http://" + m.ready + "/dewpass/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// clusterLoad submits jobs and follows them to their end.
type clusterLoad struct {
	members []*member
	http    *http.Client

	mu         sync.Mutex
	latencies  []time.Duration
	refused    int
	unfinished int
}

func (l *clusterLoad) run(ctx context.Context, length time.Duration, halfway func()) {
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / jobsPerSecond)
	defer tick.Stop()
	half := time.AfterFunc(length/2, halfway)
	defer half.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			all.Go(func() { l.runJob(ctx, n) })
			continue
		case <-end:
		case <-ctx.Done():
		}
		break
	}
	all.Wait()
}

const demoJob = `{"spec":"ms=200 cpu=1000 mem=500","steps":[{"count":6,"cpu":1000,"mem_mb":500,"estimate_ms":200},` +
	`{"count":6,"cpu":1000,"mem_mb":500,"estimate_ms":200,"depends_on":[0]}]}`

// runJob submits a job, retries where it was refused, and waits until it has succeeded.
func (l *clusterLoad) runJob(ctx context.Context, n int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	begun := time.Now()
	for time.Since(begun) < jobTimeout && ctx.Err() == nil {
		status, _ := l.call(ctx, n, http.MethodPost, id, demoJob)
		n++
		if status == http.StatusOK {
			break
		}
		l.mu.Lock()
		l.refused++
		l.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	for time.Since(begun) < jobTimeout && ctx.Err() == nil {
		status, body := l.call(ctx, n, http.MethodGet, id, "")
		n++
		if status == http.StatusOK && strings.Contains(body, "succeeded") {
			l.mu.Lock()
			l.latencies = append(l.latencies, time.Since(begun))
			l.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.mu.Lock()
	l.unfinished++
	l.mu.Unlock()
}

func (l *clusterLoad) call(ctx context.Context, n int, method, id, body string) (int, string) {
	m := l.members[n%len(l.members)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+demoPrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = demoHost
	resp, err := l.http.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func (l *clusterLoad) report(w *world.World) {
	slices.Sort(l.latencies)
	at := func(q float64) time.Duration {
		if len(l.latencies) == 0 {
			return 0
		}
		return l.latencies[int(q*float64(len(l.latencies)-1))].Round(time.Millisecond)
	}
	starts := w.Book.Starts()
	ends := make(map[string]int)
	for _, s := range starts {
		ends[s.Outcome]++
	}
	fmt.Println()
	fmt.Printf("%-34s %d\n", "jobs done", len(l.latencies))
	fmt.Printf("%-34s %d\n", "jobs not done in time", l.unfinished)
	fmt.Printf("%-34s %d\n", "tries refused or without an answer", l.refused)
	fmt.Printf("%-34s %s, %s, %s\n", "from handing in to shown: p50 p99 max", at(0.5), at(0.99), at(1))
	fmt.Printf("%-34s %d, of them done %d\n", "runs started", len(starts), ends["done"])
	fmt.Printf("%-34s %d\n", "questions to the policy", w.Policy.Requests())
	fmt.Printf("%-34s %d\n", "promises broken", len(w.Book.Violations()))
}
