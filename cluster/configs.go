// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

const (
	// configEvery spaces the readings of the configuration that stand beside
	// the feed; they also show whether the store answers.
	configEvery = 900 * time.Millisecond
	configSoon  = 100 * time.Millisecond
	configWait  = 8 * time.Second
	fetchTime   = 800 * time.Millisecond
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

// readConfig reads the configuration again and again.
func (n *Node) readConfig(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		c, _, err := n.configs.Get(ctx)
		n.transferred(c, "read", begun, err)
		pause := configEvery
		if n.config.Now() == nil {
			pause = configSoon
		}
		sleep(ctx, pause)
	}
}

// followConfig takes in the changes as the store tells them.
func (n *Node) followConfig(ctx context.Context) {
	var ver uint64
	for ctx.Err() == nil {
		var c *config.Config
		var err error
		begun := time.Now()
		if ver == 0 {
			c, ver, err = n.configs.Get(ctx)
		} else {
			c, ver, err = n.configs.Changes(ctx, ver, configWait)
		}
		n.transferred(c, "feed", begun, err)
		if err != nil {
			ver = 0
			sleep(ctx, 2*configSoon)
		}
	}
}

// fetchConfig takes the configuration from a peer that has a newer one.
func (n *Node) fetchConfig(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
	defer cancel()
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
	return n.ParseConfig(reply.GetConfig().Doc)
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
