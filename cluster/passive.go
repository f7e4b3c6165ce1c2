// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"sync/atomic"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/wire"
)

// Instances that own no cell do not have to ask the store by themselves for what owners tell them.
// Owners follow the configuration and call the store all the time, and greet everybody. A greeting
// states which version of the configuration the store had, and that it answers, with the age of both.
// As long as an instance hears that, it is passive: it reads no configuration and seldom checks
// whether the store answers. So transfers of the configuration grow with owners times changes, not
// with instances times changes.
const (
	// passiveWindow is the age of the last confirmation of the configuration from which an instance
	// asks the store itself: the owners' wait for a change, a few greetings, and some allowance.
	passiveWindow = 1800 * time.Millisecond
	// passiveProbeInterval is how often a passive instance checks whether the store answers it.
	passiveProbeInterval = 3 * time.Second
	// passiveCheckInterval is how often a passive instance checks that it may remain passive.
	passiveCheckInterval = 200 * time.Millisecond
)

// passive reports whether this instance relies on what others have heard from the store. In a small
// fleet all instances ask the store, so that a change reaches each of them directly.
func (n *Instance) passive(now time.Time) bool {
	confirmed := n.configPeerConfirmedAt.Load()
	return confirmed != nil && now.Sub(*confirmed) < passiveWindow && len(n.ownCells()) == 0 && n.members.addrCount() > smallFleet
}

// reachesStore reports whether the store answers this instance directly, as far as it is known. A
// passive instance makes few calls.
func (n *Instance) reachesStore(now time.Time) bool {
	if n.passive(now) {
		return !n.storeClient.DirectFailed() && n.storeClient.AnsweredDirectly(2*passiveProbeInterval)
	}
	return n.storeClient.DirectlyReachable()
}

// addStoreState adds to a greeting what this instance knows of the configuration and the store. The
// time of the confirmation is read before the version: a version that comes in between is newer than
// the one confirmed, for which the earlier time is correct too.
func (n *Instance) addStoreState(g *wire.Greeting, now time.Time) {
	at := n.configConfirmedAt.Load()
	g.ConfigVersion, g.StoreOk = n.config.Version(), n.reachesStore(now)
	if at != nil && g.ConfigVersion > 0 && now.Sub(*at) < passiveWindow {
		g.ConfigAgeUs = 1 + uint64(now.Sub(*at).Microseconds())
	}
	if n.storeClient.DirectlyReachable() {
		g.StoreAgeUs = 1 + uint64(now.Sub(n.storeClient.LastDirectAnswer()).Microseconds())
	}
}

// applyStoreState applies what the sender of a greeting knows of the configuration and the store.
func (n *Instance) applyStoreState(g *wire.Greeting, now time.Time) {
	if g.GetConfigAgeUs() > 0 && g.GetConfigVersion() == n.config.Version() {
		at := now.Add(-time.Duration(g.GetConfigAgeUs()) * time.Microsecond)
		raise(&n.configPeerConfirmedAt, at)
		raise(&n.configConfirmedAt, at)
	}
	if g.GetStoreAgeUs() > 0 {
		n.storeClient.NotePeerAnswer(now.Add(-time.Duration(g.GetStoreAgeUs()) * time.Microsecond))
	}
}

// confirmConfig records that the store has just confirmed the configuration.
func (n *Instance) confirmConfig() { raise(&n.configConfirmedAt, clock.Now()) }

// raise sets t to at unless it is later already.
func raise(t *atomic.Pointer[time.Time], at time.Time) {
	for {
		old := t.Load()
		if (old != nil && !old.Before(at)) || t.CompareAndSwap(old, &at) {
			return
		}
	}
}
