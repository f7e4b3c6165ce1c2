// SPDX-License-Identifier: Apache-2.0

// Package config is the operators' configuration as an instance has it: the
// queues of jobs, where their clients send them, and the limits of requests.
//
// Versions rise by uneven steps. An instance only ever installs a higher one.
package config

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dewpass.org/cell"
)

// Queue is a queue with where its clients reach it.
type Queue struct {
	cell.Queue
	Host   string
	Prefix string
}

// Limits bound what a client may send.
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
	// Accounts are the client accounts, and Keyed says that queues which are not open need one.
	Accounts []cell.Account
	Keyed    bool
	// Raw is the document that it was read from.
	Raw []byte

	// keys holds the name of the account of each key.
	keys   map[KeyHash]string
	hosts  map[string][]*Queue
	once   sync.Once
	packed []byte
}

// Packed returns the document compressed, for passing it on. Documents of thousands of
// queues that differ in few words get several times smaller.
func (c *Config) Packed() []byte {
	c.once.Do(func() { c.packed = pack(c.Raw) })
	return c.packed
}

// Index prepares c for Match. It is called once, before c is shared.
func (c *Config) Index() {
	c.hosts = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.hosts[q.Host] = append(c.hosts[q.Host], q)
	}
}

// Match returns the queue of a request and what its path says beyond the
// queue's prefix, or nil.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range c.hosts[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// CellQueues returns the queues as a cell takes them.
func (c *Config) CellQueues() []cell.Queue {
	out := make([]cell.Queue, len(c.Queues))
	for i := range c.Queues {
		out[i] = c.Queues[i].Queue
	}
	return out
}

// Register holds the newest Config. Its zero value is empty.
type Register struct {
	now atomic.Pointer[Config]
}

// Now returns the newest Config, nil if there is none yet.
func (r *Register) Now() *Config { return r.now.Load() }

// Version returns the version of the newest Config, 0 if there is none yet.
func (r *Register) Version() uint64 {
	if c := r.now.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Install takes c if it is newer, and reports whether it was.
func (r *Register) Install(c *Config) bool {
	for {
		old := r.now.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if r.now.CompareAndSwap(old, c) {
			return true
		}
	}
}
