// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/upkeep"
)

const (
	// upkeepInterval is the time between steps of upkeep waves, and upkeepTimeout limits one step.
	upkeepInterval = 2 * time.Second
	upkeepTimeout  = 4 * time.Second
)

// upkeepLoop runs upkeep waves for the cells that this instance owns, until ctx ends.
func (n *Instance) upkeepLoop(ctx context.Context) {
	if n.Upkeep == nil {
		return
	}
	platform := n.Upkeep(n.storeClient)
	for ctx.Err() == nil {
		sleep(ctx, upkeepInterval)
		for name, c := range n.ownCells() {
			if c.driver.Ready() {
				n.runUpkeepStep(ctx, platform, name, c)
			}
		}
	}
}

func (n *Instance) runUpkeepStep(ctx context.Context, platform upkeep.Platform, name string, c *ownCell) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	r := upkeep.Runner{
		Platform: platform, Store: n.storeClient, Cell: c.driver,
		Holder: n.settings.Instance, Fence: c.claim.Epoch(),
		OwnsRack: func(rack string) bool { return n.division.hashCell(rack) == name },
		Log:      n.kit.Log,
	}
	if err := r.Step(ctx); err != nil {
		level.Info(n.kit.Log).Log("event", "upkeep_waits", "cell", name, "err", err)
	}
}
