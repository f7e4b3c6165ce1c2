// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

const (
	// probeInterval is the time between reads that check whether the store answers;
	// probeCheckInterval is how often it is checked whether such a read is due.
	probeInterval      = 300 * time.Millisecond
	probeCheckInterval = 100 * time.Millisecond
	// A probe is skipped if the store has answered another call within answerFreshness. Together
	// with probeCheckInterval and the latency of a slow store it stays below the time after which
	// the store counts as not reached.
	answerFreshness = 450 * time.Millisecond
	// relayedFreshness is the same for answers relayed by a peer.
	relayedFreshness = 200 * time.Millisecond
)

func (n *Instance) logStoreState(direct, reachable bool) {
	level.Info(n.kit.Log).Log("event", "store", "direct", direct, "reachable", reachable)
}

// probeStore reads the lease of one cell after another, so that readiness follows the
// availability of the store, once the cells are known.
func (n *Instance) probeStore(ctx context.Context) {
	var lastProbe time.Time
	suspensions := &suspensionTracker{total: clock.Suspended}
	for next := 0; ctx.Err() == nil; {
		now := clock.Now()
		n.reportSuspension(suspensions)
		names := n.division.cells()
		if len(names) == 0 {
			// The division is read until it is known, and no client is routed here before.
			sleep(ctx, probeCheckInterval)
			continue
		}
		name := names[next%len(names)]
		if now.Sub(lastProbe) >= n.probeInterval(now) && !n.probeRedundant(name, now) {
			lastProbe = now
			next++
			go n.probeLease(ctx, name)
			if !n.storeClient.DirectlyReachable() && !n.storeClient.RelayedWithin(relayedFreshness) {
				go n.probeByPeer(ctx, name)
			}
		}
		sleep(ctx, probeCheckInterval)
	}
}

// probeByPeer checks whether the store can still be reached through a peer. Otherwise only
// relayed calls show that, and there are none while jobs are refused.
func (n *Instance) probeByPeer(ctx context.Context, name string) {
	n.probe(ctx, name, n.storeClient.ProbeViaPeer)
}

// probeRedundant reports whether a probe of a cell's lease would bring nothing new: the store has
// just answered another call, and the age of the lease is known from its owner or can be computed
// from the store's clock.
func (n *Instance) probeRedundant(name string, now time.Time) bool {
	return n.storeClient.AnsweredDirectly(answerFreshness) &&
		(n.listed.Load() || n.ownDriver(name) != nil || n.ownerHeard(name, now, ownerTimeout))
}

// probeLease reads the lease of a cell, or the division row if name is "".
func (n *Instance) probeLease(ctx context.Context, name string) {
	n.probe(ctx, name, n.storeClient.Probe)
}

func (n *Instance) probe(ctx context.Context, name string, get func(context.Context, rows.Range) (rows.Page, error)) {
	r := rows.KeyRange(divisionKey)
	if name != "" {
		r = claim.Range(name)
	}
	asked := clock.Now()
	page, err := get(ctx, r)
	if err == nil && name != "" {
		n.noteLeaseWrite(name, claim.SnapshotOf(page, asked).Ver, clock.Now())
	}
}

// probeInterval returns the time between probes.
func (n *Instance) probeInterval(now time.Time) time.Duration {
	if n.passive(now) {
		return passiveProbeInterval
	}
	return probeInterval
}
