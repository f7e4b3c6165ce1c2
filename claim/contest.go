// SPDX-License-Identifier: Apache-2.0

package claim

// Contests records what one instance knows and does against the owners of cells: the epochs that it
// has heard of, the takeovers that it attempts, and those of others to which it has agreed. It is the
// counterpart of Peers: an owner whose lease has expired goes on only while no instance contests its
// cell. The zero value is ready for use; it must not be used concurrently.
type Contests struct {
	cells map[string]contest
}

type contest struct {
	// epoch is the highest epoch of the cell lease that is known.
	epoch uint64
	// attempted and possible are one more than the version of the lease on which a takeover is based:
	// the one under way here, and any other that may still take effect; 0 for none. Such a takeover
	// fails once the owner has written a later version.
	attempted, possible uint64
}

// Learned records that the lease of a cell had an epoch.
func (c *Contests) Learned(cell string, epoch uint64) {
	c.update(cell, func(k *contest) { k.epoch = max(k.epoch, epoch) })
}

// Attempt records that this instance begins to take the cell lease, which it has read at a version.
func (c *Contests) Attempt(cell string, ver uint64) {
	c.update(cell, func(k *contest) { k.attempted = ver + 1 })
}

// Settled records that the attempt under way has ended for certain: its write has taken effect, or has
// not been sent, or never will take effect.
func (c *Contests) Settled(cell string) {
	c.update(cell, func(k *contest) { k.attempted = 0 })
}

// Possible records that a takeover may take effect at any time, based on a version of the lease:
// another instance's, to which this one has agreed, or an own one of which the outcome is unknown.
func (c *Contests) Possible(cell string, ver uint64) {
	c.update(cell, func(k *contest) { k.possible = max(k.possible, ver+1) })
}

// Contested reports whether the cell may have, or soon get, another owner than the one that has the
// given epoch and has last written the given version of the lease.
func (c *Contests) Contested(cell string, epoch, ver uint64) bool {
	k := c.cells[cell]
	return k.epoch > epoch || max(k.attempted, k.possible) > ver
}

func (c *Contests) update(cell string, change func(*contest)) {
	if c.cells == nil {
		c.cells = make(map[string]contest)
	}
	k := c.cells[cell]
	change(&k)
	c.cells[cell] = k
}
