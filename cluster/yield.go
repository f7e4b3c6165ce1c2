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
	// slowLoadPause is how long an instance claims no cell after it failed to load the jobs of one
	// in time.
	slowLoadPause = 10 * time.Second
	// A cell is yielded to an instance with strongerPercent of this one's processor share that has
	// been heard for strongerHeardTime; this is checked every yieldInterval.
	strongerPercent   = 140
	strongerHeardTime = 800 * time.Millisecond
	yieldInterval     = 300 * time.Millisecond
)

// strongerIdle returns the name of an instance that owns no cell and has a much larger processor
// share, "" if there is none. When all instances start at once the first one takes a cell, however
// small its machine.
func (n *Instance) strongerIdle(now time.Time) string {
	better := n.members.list(now, func(k *member) bool {
		return k.free() && k.processor > n.strongerThreshold() && now.Sub(k.bootSince) > strongerHeardTime
	})
	if len(better) == 0 {
		return ""
	}
	return better[0].name
}

// yieldLoop yields cells to stronger or idle instances until ctx ends.
func (n *Instance) yieldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, yieldInterval)
		own := n.ownCells()
		if len(own) == 0 || n.leaving.Load() {
			continue
		}
		if cells, to := n.surplus(own, clock.Now()); to != "" {
			n.yield(ctx, cells, to)
		}
	}
}

// surplus returns which of its own cells this instance should yield, and to whom: all to a much
// stronger instance, one of several to an idle one of about the same strength. The name is "" for
// none.
func (n *Instance) surplus(cells map[string]*ownCell, now time.Time) (map[string]*ownCell, string) {
	if to := n.strongerIdle(now); to != "" {
		return cells, to
	}
	if len(cells) < 2 {
		return nil, ""
	}
	return lastByName(cells), n.idlePeer(now)
}

// idlePeer returns the name of an instance that owns no cell and has about this one's processor
// share or more, "" if there is none.
func (n *Instance) idlePeer(now time.Time) string {
	idle := n.members.list(now, func(k *member) bool {
		return k.free() && k.processor*strongerPercent/100 >= n.processor() && now.Sub(k.bootSince) > strongerHeardTime
	})
	if len(idle) == 0 {
		return ""
	}
	return idle[0].name
}

// lastByName returns the cell with the last name.
func lastByName(cells map[string]*ownCell) map[string]*ownCell {
	name := slices.Max(slices.Collect(maps.Keys(cells)))
	return map[string]*ownCell{name: cells[name]}
}

// yield hands cells over and claims none for a while, so that the other instance can.
func (n *Instance) yield(ctx context.Context, cells map[string]*ownCell, to string) {
	level.Info(n.kit.Log).Log("event", "cells_yielded", "to", to, "cells", len(cells), "processor", n.processor())
	n.pauseElection(strongerHeardTime)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	n.handOver(ctx, cells)
}

// giveUpCell releases a cell whose jobs this instance could not load in time, and claims none for a
// while.
func (n *Instance) giveUpCell(name string, d *driver.Driver, c *claim.Claim) {
	level.Warn(n.kit.Log).Log("event", "cell_lease_given_up", "cell", name, "epoch", c.Epoch(), "why", "its jobs were not loaded in time")
	n.pauseElection(slowLoadPause)
	d.Freeze()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := c.Release(ctx, d.Handover()); err != nil {
		level.Warn(n.kit.Log).Log("event", "cell_lease_not_released", "cell", name, "err", err)
	}
	n.dropDriver(name, d)
}

// pauseElection keeps this instance from claiming a cell for a while.
func (n *Instance) pauseElection(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = clock.Now().Add(d)
}

// electionPausedUntil returns the time before which this instance claims no cell.
func (n *Instance) electionPausedUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pausedUntil
}

// handOver releases the leases of cells in a planned way, and greets everybody to announce it.
func (n *Instance) handOver(ctx context.Context, cells map[string]*ownCell) {
	for name, c := range cells {
		c.driver.Freeze()
		if err := c.claim.Release(ctx, c.driver.Handover()); err != nil {
			level.Warn(n.kit.Log).Log("event", "cell_lease_not_released", "cell", name, "err", err)
		}
		n.dropDriver(name, c.driver)
	}
	n.greetAll(ctx)
}

// strongerThreshold returns the processor share above which another instance is much stronger.
func (n *Instance) strongerThreshold() uint32 { return n.processor() * strongerPercent / 100 }
