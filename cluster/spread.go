// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"maps"
	"slices"
	"time"
)

// The owners of a fleet with several cells are spread over the halls: each cell has a hall whose
// instances may take it first. Otherwise the hall in which instances learn first that cells are vacant,
// such as the one nearest to the store, takes most of them, and a cut of that hall stops as many: their
// jobs change owners, and those with tasks in the hall wait for its workers' leases to end. A hall that
// is cut off should hold up no more than its share.
//
// This only delays the attempts of others. Who may take a cell does not depend on it, so instances that
// know different halls do no harm.

// otherHallDelay is how long instances of other halls leave a vacant cell to those of its hall: the time
// in which one of those tries to take it.
const otherHallDelay = 4 * rankDelay

// hallDelay returns for how long this instance leaves a vacant cell to the instances of a hall. Those
// that waited for the division to be decided learn of it within countWaitInterval of each other.
func (n *Instance) hallDelay(hall string, now time.Time) time.Duration {
	if !n.leftToHall(hall, now) {
		return 0
	}
	if at := n.division.awaitedUntil.Load(); at != nil && now.Sub(*at) < 2*countWaitInterval {
		return otherHallDelay + countWaitInterval
	}
	return otherHallDelay
}

// cellHall returns the hall whose instances may take a cell first, "" if there is only one cell or hall,
// or the cell is not known.
func (n *Instance) cellHall(name string) string {
	cells := n.division.cells()
	at := slices.Index(cells, name)
	if at < 0 || len(cells) < 2 {
		return ""
	}
	halls := n.members.halls()
	if len(halls) < 2 {
		return ""
	}
	return halls[at%len(halls)]
}

// leftToHall reports whether a vacant cell is left to the instances of a hall for a while.
func (n *Instance) leftToHall(hall string, now time.Time) bool {
	return hall != "" && hall != n.settings.Hall && n.members.hallMayTake(hall, n.processor(), now)
}

// halls returns the names of the known halls, this instance's included, sorted.
func (m *members) halls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]bool{m.hall: true}
	for hall := range m.listedHalls {
		found[hall] = true
	}
	for _, k := range m.known {
		found[k.hall] = true
	}
	delete(found, "")
	return slices.Sorted(maps.Keys(found))
}

// ownerMemory is for how long an instance remembers that a hall had owners.
const ownerMemory = 30 * time.Second

// hallMayTake reports whether a hall has an instance of about the given processor share or more, reaches
// the store and is not cut off, as far as it is known. The store lists its instances; instances without a
// cell hear few of other halls, and only now and then, so that silence says something of owners alone: a
// hall of which owners were heard and none is any more is probably cut off, and nothing is left to it.
func (m *members) hallMayTake(hall string, processor uint32, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	strongest, heard, storeOK, ownerHeard, ownerLost := m.listedHalls[hall], false, false, false, false
	for _, k := range m.known {
		if k.hall != hall {
			continue
		}
		if m.live(k, now) && !k.leaving {
			heard, storeOK, strongest = true, storeOK || k.storeOK, max(strongest, k.processor)
		}
		if len(k.cells) > 0 {
			ownerHeard = ownerHeard || k.activeWithin(now, ownerTimeout)
			ownerLost = ownerLost || (!k.leaving && now.Sub(k.heardAt) < ownerMemory)
		}
	}
	return strongest*strongerPercent/100 >= processor && (storeOK || !heard) && (ownerHeard || !ownerLost)
}
