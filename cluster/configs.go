// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
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
	level.Info(n.kit.Log).Log("event", "config", "version", c.Version, "queues", len(c.Queues), "from", from)
	for _, own := range n.owned() {
		own.driver.Configure(c.CellQueues())
	}
}

// readConfig reads the configuration again and again.
func (n *Node) readConfig(ctx context.Context) {
	for ctx.Err() == nil {
		c, _, err := n.configs.Get(ctx)
		if err == nil {
			n.install(c, "read")
		}
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
		if ver == 0 {
			c, ver, err = n.configs.Get(ctx)
		} else {
			c, ver, err = n.configs.Changes(ctx, ver, configWait)
		}
		if err != nil {
			ver = 0
			sleep(ctx, 2*configSoon)
			continue
		}
		n.install(c, "feed")
	}
}

// fetchConfig takes the configuration from a peer that has a newer one.
func (n *Node) fetchConfig(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
	defer cancel()
	reply, err := n.dialer.Do(ctx, addr, &wire.Request{Body: &wire.Request_Config{
		Config: &wire.ConfigQuery{Above: n.config.Version()},
	}})
	if err != nil || len(reply.GetConfig().GetDoc()) == 0 {
		return
	}
	c, err := n.ParseConfig(reply.GetConfig().Doc)
	if err == nil {
		n.install(c, "peer")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
