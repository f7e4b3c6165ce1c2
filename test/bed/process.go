// SPDX-License-Identifier: Apache-2.0

package bed

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"dewpass.org/internal/client"
	"dewpass.org/keys"
)

// Process is one process of a bed.
type Process struct {
	Addr EntryAddr
	path string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	client *client.Client
	tls    *keys.Files
}

// Client speaks to this entry alone.
func (p *Process) Client() *client.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.client = &client.Client{Base: "http://" + p.Addr.HTTP, HTTP: newHTTP()}
		if pair := p.pair(); pair != nil {
			p.client.Base = "https://" + p.Addr.HTTP
			p.client.HTTP.Transport.(*http.Transport).TLSClientConfig = pair.ClientConfig("127.0.0.1")
		}
	}
	return p.client
}

// pair loads the keys of an entry that speaks TLS; nil for one that does not.
func (p *Process) pair() *keys.Pair {
	if p.tls == nil {
		return nil
	}
	pair, err := keys.Load(*p.tls)
	if err != nil {
		return nil
	}
	return pair
}

// Faults sets the rules at the fault points of an entry that was built with
// the tag faults.
func (p *Process) Faults(ctx context.Context, rules any) error {
	return p.Client().Do(ctx, http.MethodPut, "/debug/faults", rules, nil)
}

func newHTTP() *http.Client {
	return &http.Client{
		Timeout:   httpTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: conns, MaxIdleConns: 4 * conns},
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze holds the process up until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets the process carry on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Stop begins a planned stop and waits for its end.
func (p *Process) Stop(within time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(within):
		return fmt.Errorf("%s did not stop within %s", p.Addr.ID, within)
	}
}

// Usage returns the processor time that the process has used, and its
// resident and anonymous memory in KiB.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return Usage{}
	}
	return usage(p.cmd.Process.Pid)
}

// Usage is what a process uses.
type Usage struct {
	CPU           time.Duration
	ResidentKiB   int64
	AnonymousKiB  int64
	PeakResideKiB int64
	// Bytes is what the process has read and written.
	Bytes int64
}
