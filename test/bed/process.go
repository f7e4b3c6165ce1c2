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

// Process is one process of a bed. Addr is set for an entry only.
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

// Client returns a client of this entry.
func (p *Process) Client() *client.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.client = &client.Client{Base: "http://" + p.Addr.HTTP, HTTP: newHTTP()}
		if pair := p.tlsKeys(); pair != nil {
			p.client.Base = "https://" + p.Addr.HTTP
			p.client.HTTP.Transport.(*http.Transport).TLSClientConfig = pair.ClientConfig("127.0.0.1")
		}
	}
	return p.client
}

// tlsKeys loads the keys of an entry that uses TLS. It returns nil for plain TCP and
// if the keys cannot be read.
func (p *Process) tlsKeys() *keys.Pair {
	if p.tls == nil {
		return nil
	}
	pair, err := keys.Load(*p.tls)
	if err != nil {
		return nil
	}
	return pair
}

// SetFaultRules replaces the rules at the fault points of an entry that was built with
// the tag faults.
func (p *Process) SetFaultRules(ctx context.Context, rules any) error {
	return p.Client().Do(ctx, http.MethodPut, "/debug/faults", rules, nil)
}

func newHTTP() *http.Client {
	return &http.Client{
		Timeout:   httpTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: 4 * maxIdleConns},
	}
}

// Running reports whether the process was started and has not exited.
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

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes the process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits until the process has exited; it fails if that takes
// longer than within.
func (p *Process) Stop(within time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(within):
		return fmt.Errorf("%s did not stop within %s", p.Addr.ID, within)
	}
}

// Usage returns the resource usage of the process so far.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return Usage{}
	}
	return usage(p.cmd.Process.Pid)
}

// Usage is the resource usage of a process: processor time, and memory in KiB.
type Usage struct {
	CPU             time.Duration
	ResidentKiB     int64
	AnonymousKiB    int64
	PeakResidentKiB int64
	// Bytes is the number of bytes that the process has read and written.
	Bytes int64
}
