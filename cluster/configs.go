// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/kind"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

// The configuration comes on one way at a time: the store's feed brings each change once.
// Only when a peer has had a newer one for a while is it asked as well, and one peer at a
// time. What an instance reads does not grow with the number of its peers, and a change
// takes the link of an instance for one transfer.
const (
	// configSoon spaces tries while there is no configuration, or the feed fails.
	configSoon = 200 * time.Millisecond
	// configWait is how long the feed is waited on at once. A connection that has gone
	// silent is noticed that much later than with a plain call.
	configWait = 900 * time.Millisecond
	// auditRate is how many bytes a second are spent, on average, on reading the whole
	// document again in case the feed has left out a change, and auditLeast the least
	// time between two readings: 11 KB for 45 queues are read every 6 s, 800 KB for
	// 4,000 queues every 7 minutes.
	auditRate  = 2 << 10
	auditLeast = 5 * time.Second
	// fetchAfter is how long the store's feed has to bring a configuration that a peer
	// has: the feed of an instance with a link of 200 Mbit/s takes 70 ms for 4,000 queues.
	fetchAfter = 250 * time.Millisecond
	// fetchTime bounds the asking of a peer: 10 Mbit/s carry 3.7 MB, packed, in it.
	fetchTime = 3 * time.Second
)

func (n *Node) install(c *config.Config, from string) {
	if c == nil || !n.config.Install(c) {
		return
	}
	level.Info(n.kit.Log).Log("event", "config", "version", c.Version, "queues", len(c.Queues), "bytes", len(c.Raw), "from", from)
	for _, own := range n.owned() {
		own.driver.Configure(c.CellQueues())
	}
}

// followConfig takes in the changes as the store tells them.
func (n *Node) followConfig(ctx context.Context) {
	var place uint64
	var read time.Time
	for ctx.Err() == nil {
		if place > 0 && time.Since(read) > auditAfter(n.config.Now()) {
			place = 0
		}
		begun := time.Now()
		c, from, at, err := n.nextConfig(ctx, place)
		n.transferred(c, from, begun, err)
		switch {
		case kind.Is(err, kind.Conflict):
			place = 0
		case at == 0 || err != nil && at <= place:
			// The place is kept: what was missed comes with the next answer.
			sleep(ctx, configSoon)
		default:
			if place == 0 {
				read = begun
			}
			place = at
		}
	}
}

// auditAfter returns after how long the whole document is read again.
func auditAfter(c *config.Config) time.Duration {
	if c == nil {
		return auditLeast
	}
	return max(auditLeast, time.Duration(len(c.Raw))*time.Second/auditRate)
}

// nextConfig reads the configuration, or waits for a change after a place in the feed.
// It returns the place to go on from.
func (n *Node) nextConfig(ctx context.Context, place uint64) (c *config.Config, from string, at uint64, err error) {
	if place == 0 {
		c, at, err = n.configs.Get(ctx)
		return c, "read", at, err
	}
	c, at, err = n.configs.Changes(ctx, place, configWait)
	return c, "feed", at, err
}

// fetchConfig takes a configuration that a peer has, unless the store's feed brings it
// meanwhile.
func (n *Node) fetchConfig(addr string, version uint64) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	defer n.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
	defer cancel()
	sleep(ctx, fetchAfter)
	if n.config.Version() >= version {
		return
	}
	begun := time.Now()
	c, err := n.askConfig(ctx, addr)
	n.transferred(c, "peer", begun, err)
}

// askConfig asks a peer for a newer configuration. It returns nil if there is none.
func (n *Node) askConfig(ctx context.Context, addr string) (*config.Config, error) {
	reply, err := n.dialer.Do(ctx, addr, &wire.Request{Body: &wire.Request_Config{
		Config: &wire.ConfigQuery{Above: n.config.Version()},
	}})
	if err != nil || len(reply.GetConfig().GetDoc()) == 0 {
		return nil, err
	}
	raw, err := config.Unpack(reply.GetConfig().Doc)
	if err != nil {
		return nil, err
	}
	return n.ParseConfig(raw)
}

// transferred takes in what came of asking for the configuration, and logs what a
// transfer cost or why there was none.
func (n *Node) transferred(c *config.Config, from string, begun time.Time, err error) {
	took := time.Since(begun)
	scope := n.kit.Scope.Tagged(map[string]string{"from": from})
	if err != nil {
		scope.Counter("config_transfers_failed_total").Inc(1)
		level.Info(n.kit.Log).Log("event", "config_not_read", "from", from, "has", n.config.Version(), "took_ms", took.Milliseconds(), "err", err)
		return
	}
	if c == nil {
		return
	}
	scope.Counter("config_transfers_total").Inc(1)
	scope.Counter("config_bytes_total").Inc(int64(len(c.Raw)))
	scope.Histogram("config_transfer_seconds", telemetry.Latency()).RecordDuration(took)
	n.install(c, from)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
