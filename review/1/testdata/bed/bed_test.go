// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	service = "huvo11a"
	host    = "nony24.example"
	prefix  = "/lohu930/"
	// The ports of each machine; every machine has a loopback address of its own.
	portFrontend, portReady, portControl, portMetrics = 8161, 8167, 8166, 7721
	portPlatform, portWorker                          = 8169, 8080
)

var zones = []string{"kutaisi-a", "kutaisi-b", "zestafoni"}

// instanceZones are the zones of the instances, as in the site file.
var instanceZones = []int{0, 0, 1, 1, 1, 2}

// bed is a deployment: the project's own processes, and stand-ins for all else.
type bed struct {
	book  *book
	store *store
	dir   string
	root  string
	// net is the second number of the loopback addresses.
	net int

	mu        sync.Mutex
	workers   []*worker
	lives     int
	instances []*instance
	servers   []*http.Server
	client    *http.Client
}

// instance is one entry process.
type instance struct {
	name, zone, ip string
	settings, log  string
	cmd            *exec.Cmd
	ended          chan struct{}
}

func (b *bed) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", b.net, group, n) }

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the stand-ins and the instances. The workers are spread over the zones.
func start(out io.Writer, root string, workers int) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{book: newBook(out), dir: dir, root: root, client: &http.Client{Timeout: 3 * time.Second}}
	b.store = newStore(b.book)
	for range 50 {
		b.net = 20 + rand.IntN(200)
		if b.free(workers) {
			break
		}
	}
	b.configure(7, true)
	if err := b.serve(at(b.ip(200, 1), portPlatform), http.HandlerFunc(b.machines)); err != nil {
		return b, err
	}
	for i := range workers {
		zone := i % len(zones)
		_, err := b.startWorker(at(b.ip(128, 1+i), portWorker), zones[zone], fmt.Sprintf("r%d-%d", zone+1, i/len(zones)/8), "a", fmt.Sprintf("m-%05x", 0x0a3f0+i))
		if err != nil {
			return b, err
		}
	}
	count := make(map[int]int)
	for i, zone := range instanceZones {
		count[zone]++
		e := &instance{name: fmt.Sprintf("frontend-%s-%d", zones[zone], count[zone]), zone: zones[zone], ip: b.ip(1+zone, 10+i)}
		if err := b.serve(at(b.ip(200, 10+i), portPlatform), b.store.forCaller(e.name)); err != nil {
			return b, err
		}
		b.instances = append(b.instances, e)
	}
	for i, e := range b.instances {
		e.settings, e.log = filepath.Join(dir, e.name+".yaml"), filepath.Join(dir, e.name+".log")
		if err := b.writeSettings(e, at(b.ip(200, 10+i), portPlatform)); err != nil {
			return b, err
		}
		if err := b.run(e); err != nil {
			return b, err
		}
	}
	return b, b.waitReady()
}

// free reports whether all addresses of the deployment are free.
func (b *bed) free(workers int) bool {
	var all []string
	for i, zone := range instanceZones {
		ip := b.ip(1+zone, 10+i)
		all = append(all, at(ip, portFrontend), at(ip, portReady), at(ip, portControl), at(ip, portMetrics), at(b.ip(200, 10+i), portPlatform))
	}
	for i := range workers {
		all = append(all, at(b.ip(128, 1+i), portWorker))
	}
	for _, addr := range append(all, at(b.ip(200, 1), portPlatform)) {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (b *bed) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// machines answers the list of machines.
func (b *bed) machines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/dewpass/machines" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	last := make(map[string]*worker)
	b.mu.Lock()
	for _, k := range b.workers {
		last[k.machine] = k
	}
	b.mu.Unlock()
	list := []any{}
	for _, k := range last {
		list = append(list, map[string]any{
			"machine": k.machine, "pool": service, "state": "up", "zone": k.zone, "labels": []string{k.kind, k.rack},
			"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "id": k.id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
}

// configure writes the operators' configuration. The second route is always there; queue says whether
// the first one is.
func (b *bed) configure(version int, queue bool) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
			"priority": 0, "backend": service, "max_attempts": 2, "stretch": 1.5,
		}
	}
	routes := []any{route("r-73d3zji", "/pufi791/")}
	if queue {
		routes = append(routes, route("r-3hwrr6x", prefix))
	}
	b.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "headroom": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b.book.note("configuration %d is acknowledged; the queue is in it: %v", version, queue)
}

var (
	gap     = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
	section = regexp.MustCompile(`\{\{#advice\}\}.*?\{\{/advice\}\}`)
)

// writeSettings fills the template of an instance's settings as the platform does; no queue here
// carries advice, so there is no service for it.
func (b *bed) writeSettings(e *instance, store string) error {
	raw, err := os.ReadFile(filepath.Join(b.root, "deploy", "settings.json"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, o := range b.instances[:min(3, len(b.instances))] {
		seeds = append(seeds, at(o.ip, portControl))
	}
	values := map[string]any{
		"node_name": e.name, "zone": e.zone, "ip": e.ip, "seeds": seeds,
		"listen.frontend": at(e.ip, portFrontend), "listen.readiness": at(e.ip, portReady), "listen.control": at(e.ip, portControl),
		"limits.memory_mb": 284, "limits.cpu_share": 0.4, "limits.link_mbps": 1000.0,
		"platform.address": store, "cloud.address": at(b.ip(200, 1), portPlatform),
		"bounds.hold_max_ms": holdMax.Milliseconds(), "bounds.status_s": 120, "bounds.grace_s": 6,
	}
	missing := ""
	text := gap.ReplaceAllStringFunc(section.ReplaceAllString(string(raw), ""), func(m string) string {
		parts := gap.FindStringSubmatch(m)
		v, ok := values[parts[1]]
		if !ok {
			missing = parts[1]
		}
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		out, _ := json.Marshal(v)
		return string(out)
	})
	if missing != "" {
		return errors.New("the template asks for " + missing)
	}
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// run starts the process of an instance, with the command of the deploy file.
func (b *bed) run(e *instance) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/dewpass", "entry")
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = b.root, log, log
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "DEWPASS_BOOT=" + e.settings}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(e.cmd, e.ended)
	return nil
}

// signal sends a signal to the process of an instance.
func (e *instance) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process of an instance at once.
func (e *instance) kill() {
	if e.cmd != nil && e.cmd.Process != nil {
		e.signal(syscall.SIGKILL)
		<-e.ended
	}
}

func (b *bed) waitReady() error {
	end := time.Now().Add(25 * time.Second)
	for _, e := range b.instances {
		for {
			resp, err := b.client.Get("http://" + at(e.ip, portReady) + "/dewpass/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(e.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.book.note("all instances are ready")
	return nil
}

// leader returns the instance that writes to the store under a condition, nil if none does.
func (b *bed) leader() *instance {
	name := b.store.leader()
	for _, e := range b.instances {
		if e.name == name {
			return e
		}
	}
	return nil
}

// close ends all processes and servers, and keeps the logs if told where.
func (b *bed) close(logs string) {
	for _, e := range b.instances {
		e.kill()
		if raw, err := os.ReadFile(e.log); err == nil && logs != "" {
			_ = os.WriteFile(filepath.Join(logs, e.name+".log"), raw, 0o600)
		}
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(b.dir)
}

// call makes one call of a client, and returns the status and the body; the status is 0 if there was
// no answer.
func (b *bed) call(e *instance, method, path string, body any) (int, []byte) {
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at(e.ip, portFrontend)+path, in)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Dewpass-Request-Deadline", "3000")
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// step is a step of a job as a client sends it.
type step map[string]any

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with the same id again after no answer, and reports whether it was accepted.
func (b *bed) submit(id, spec string, steps ...step) bool {
	for try := range 5 {
		e := b.instances[try%len(b.instances)]
		status, _ := b.call(e, http.MethodPost, prefix+id, map[string]any{"spec": spec, "steps": steps})
		b.book.note("POST %s (%s) at %s: %d", id, spec, e.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at the instances in turn, until one answers. It is "410" if there is no
// such job, and "" if no instance answers.
func (b *bed) state(id string) string {
	for _, e := range b.instances {
		status, raw := b.call(e, http.MethodGet, prefix+id, nil)
		var body struct{ State string }
		switch {
		case status == http.StatusOK && json.Unmarshal(raw, &body) == nil:
			return body.State
		case status == http.StatusGone:
			return "410"
		}
	}
	return ""
}

// awaitState asks for a job's state until it is one of those wanted, and returns the last answer.
func (b *bed) awaitState(id string, within time.Duration, wanted ...string) string {
	end, last := time.Now().Add(within), "-"
	for {
		now := b.state(id)
		if now != last {
			b.book.note("GET %s: %s", id, now)
			last = now
		}
		if strings.Contains(" "+strings.Join(wanted, " ")+" ", " "+now+" ") || time.Now().After(end) {
			return now
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// busiest returns the worker with the most runs of a job.
func (b *bed) busiest(job string) (*worker, int) {
	b.mu.Lock()
	all := append([]*worker(nil), b.workers...)
	b.mu.Unlock()
	var best *worker
	most := 0
	for _, w := range all {
		if n := w.count(job); n > most {
			best, most = w, n
		}
	}
	return best, most
}

// running returns how many runs of a job the workers have.
func (b *bed) running(job string) int {
	b.mu.Lock()
	all := append([]*worker(nil), b.workers...)
	b.mu.Unlock()
	n := 0
	for _, w := range all {
		n += w.count(job)
	}
	return n
}

// waitFor waits until something holds, and reports whether it does in time.
func waitFor(within time.Duration, holds func() bool) bool {
	end := time.Now().Add(within)
	for !holds() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// unobserved returns how many ends the workers have that wait to be taken note of.
func (b *bed) unobserved() int {
	b.mu.Lock()
	all := append([]*worker(nil), b.workers...)
	b.mu.Unlock()
	n := 0
	for _, w := range all {
		if w.alive() {
			n += w.unobserved()
		}
	}
	return n
}

// ackTimeout is ack_timeout_ms.
const ackTimeout = 4 * time.Second

// cancel cancels a job at one instance after another, and reports whether that was acknowledged in
// time.
func (b *bed) cancel(id string, first int) bool {
	begun := time.Now()
	for try := 0; time.Since(begun) < ackTimeout; try++ {
		e := b.instances[(first+try)%len(b.instances)]
		status, _ := b.call(e, http.MethodDelete, prefix+id, nil)
		b.book.note("DELETE %s at %s: %d, %.1f s after the first one", id, e.name, status, time.Since(begun).Seconds())
		if status/100 == 2 || status == http.StatusGone {
			return time.Since(begun) < ackTimeout
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
