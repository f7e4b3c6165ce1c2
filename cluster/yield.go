// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/internal/clock"
)

const (
	// slowPause is how long an instance takes no cell after it was too slow for
	// one.
	slowPause = 10 * time.Second
	// A cell goes to an instance with strongerShare hundredths of this one's
	// processor that was heard for strongerFor; yieldEvery spaces the looks.
	strongerShare = 140
	strongerFor   = 800 * time.Millisecond
	yieldEvery    = 300 * time.Millisecond
)

// stronger returns the name of an instance that owns no cell and would be a much
// better owner than this one, "" if there is none. When all start at once the first
// one takes a cell, however small its machine.
func (n *Instance) stronger(now time.Time) string {
	better := n.members.list(now, func(k *member) bool {
		return k.free() && k.processor > n.enough() && now.Sub(k.since) > strongerFor
	})
	if len(better) == 0 {
		return ""
	}
	return better[0].name
}

// yieldLoop hands cells to stronger instances.
func (n *Instance) yieldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, yieldEvery)
		own := n.owned()
		if len(own) == 0 || n.leaving.Load() {
			continue
		}
		if cells, to := n.surplus(own, clock.Now()); to != "" {
			n.yield(ctx, cells, to)
		}
	}
}

// surplus returns which of its own cells this instance should hand over, and to whom:
// all to a much stronger one, one of several to one alike. The name is "" for none.
func (n *Instance) surplus(own map[string]*ownCell, now time.Time) (map[string]*ownCell, string) {
	if to := n.stronger(now); to != "" {
		return own, to
	}
	if len(own) < 2 {
		return nil, ""
	}
	return oneOf(own), n.idler(now)
}

// idler returns the name of an instance that owns no cell and would be about as good
// an owner as this one, "" if there is none.
func (n *Instance) idler(now time.Time) string {
	idle := n.members.list(now, func(k *member) bool {
		return k.free() && k.processor*strongerShare/100 >= n.processor() && now.Sub(k.since) > strongerFor
	})
	if len(idle) == 0 {
		return ""
	}
	return idle[0].name
}

// oneOf returns the last by name of some cells.
func oneOf(own map[string]*ownCell) map[string]*ownCell {
	name := slices.Max(slices.Collect(maps.Keys(own)))
	return map[string]*ownCell{name: own[name]}
}

// yield hands cells over and takes none for a while, so that the other instance may.
func (n *Instance) yield(ctx context.Context, own map[string]*ownCell, to string) {
	level.Info(n.kit.Log).Log("event", "cells_yielded", "to", to, "cells", len(own), "processor", n.processor())
	n.rest(strongerFor)
	ctx, cancel := context.WithTimeout(ctx, handoverMax)
	defer cancel()
	n.handOver(ctx, own)
}

// giveUp gives a cell up whose jobs this instance cannot read in time, and takes
// none for a while.
func (n *Instance) giveUp(name string, d *driver.Driver, c *claim.Claim) {
	level.Warn(n.kit.Log).Log("event", "cell_lease_given_up", "cell", name, "epoch", c.Epoch(), "why", "its jobs take too long to read")
	n.rest(slowPause)
	d.Freeze()
	ctx, cancel := context.WithTimeout(context.Background(), handoverMax)
	defer cancel()
	if err := c.Release(ctx); err != nil {
		level.Warn(n.kit.Log).Log("event", "cell_lease_not_released", "cell", name, "err", err)
	}
	n.dropDriver(name, d)
}

// rest lets this instance take no cell for a while.
func (n *Instance) rest(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resting = clock.Now().Add(d)
}

// restsUntil returns until when this instance takes no cell.
func (n *Instance) restsUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resting
}

// handOver releases the leases of some cells as planned.
func (n *Instance) handOver(ctx context.Context, cells map[string]*ownCell) {
	for name, c := range cells {
		c.driver.Freeze()
		if err := c.claim.Release(ctx); err != nil {
			level.Warn(n.kit.Log).Log("event", "cell_lease_not_released", "cell", name, "err", err)
		}
		n.dropDriver(name, c.driver)
	}
	n.greetNow(ctx)
}

// enough returns the processor beyond which another instance is much stronger.
func (n *Instance) enough() uint32 { return n.processor() * strongerShare / 100 }
