// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/upkeep"
)

const (
	// upkeepEvery spaces the steps of waves of upkeep, and upkeepTime bounds one.
	upkeepEvery = 2 * time.Second
	upkeepTime  = 4 * time.Second
)

// upkeepLoop carries out waves of upkeep for the cells that this instance owns.
func (n *Instance) upkeepLoop(ctx context.Context) {
	if n.Upkeep == nil {
		return
	}
	platform := n.Upkeep(n.storeClient)
	for ctx.Err() == nil {
		sleep(ctx, upkeepEvery)
		for name, c := range n.owned() {
			if c.driver.Ready() {
				n.upkeepStep(ctx, platform, name, c)
			}
		}
	}
}

func (n *Instance) upkeepStep(ctx context.Context, platform upkeep.Platform, name string, c *ownCell) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTime)
	defer cancel()
	r := upkeep.Runner{
		Platform: platform, Store: n.storeClient, Cell: c.driver,
		Holder: n.settings.Instance, Fence: c.claim.Epoch(),
		Mine: func(rack string) bool { return n.division.draw(rack) == name },
		Log:  n.kit.Log,
	}
	if err := r.Step(ctx); err != nil {
		level.Info(n.kit.Log).Log("event", "upkeep_waits", "cell", name, "err", err)
	}
}
