// SPDX-License-Identifier: Apache-2.0

// Package config holds the operators' configuration: the job queues, the hosts
// and paths at which clients reach them, client accounts, and request limits.
//
// Versions increase but not by one. An instance only installs a higher version.
package config

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dewpass.org/cell"
	"dewpass.org/internal/pack"
)

// Queue is a job queue with the host and the path prefix at which clients reach it.
type Queue struct {
	cell.Queue
	Host   string
	Prefix string
}

// Limits bounds client requests.
type Limits struct {
	MaxBody    int64
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	Queues  []Queue
	Limits  Limits
	// Accounts are the client accounts. KeysRequired says that all queues which are not open
	// require a key of one of them.
	Accounts     []cell.Account
	KeysRequired bool
	// Raw is the document from which the configuration was decoded.
	Raw []byte

	// accountByKey maps the hash of each key to the name of its account.
	accountByKey map[KeyHash]string
	queuesByHost map[string][]*Queue
	compressOnce sync.Once
	compressed   []byte
}

// Compressed returns the compressed document, for sending it to other instances. Documents with
// thousands of similar queues become several times smaller.
func (c *Config) Compressed() []byte {
	c.compressOnce.Do(func() { c.compressed = pack.Compress(c.Raw) })
	return c.compressed
}

// Index prepares c for Match. It must be called once, before c is used concurrently.
func (c *Config) Index() {
	c.queuesByHost = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
	}
}

// Match returns the queue with the longest matching prefix and the rest of the path after it,
// or nil if no queue matches.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range c.queuesByHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// CellQueues returns the queues in the form that cells use.
func (c *Config) CellQueues() []cell.Queue {
	out := make([]cell.Queue, len(c.Queues))
	for i := range c.Queues {
		out[i] = c.Queues[i].Queue
	}
	return out
}

// Latest holds the newest Config. The zero value is empty and ready to use.
type Latest struct {
	current atomic.Pointer[Config]
}

// Load returns the newest Config, or nil if there is none yet.
func (r *Latest) Load() *Config { return r.current.Load() }

// Version returns the version of the newest Config, 0 if there is none yet.
func (r *Latest) Version() uint64 {
	if c := r.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Install stores c if it is newer than the current Config, and reports whether it did.
func (r *Latest) Install(c *Config) bool {
	for {
		old := r.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if r.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
