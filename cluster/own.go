// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"maps"
	"time"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/internal/clock"
)

// ownCell is a cell that this instance owns.
type ownCell struct {
	driver *driver.Driver
	claim  *claim.Claim
}

// owned returns the cells that this instance owns.
func (n *Instance) owned() map[string]*ownCell {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.cells)
}

// own returns the driver of a cell, nil if this instance does not own it.
func (n *Instance) own(name string) *driver.Driver {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cells[name]; c != nil {
		return c.driver
	}
	return nil
}

// drive starts to drive a cell whose former owner may give orders for a while yet.
func (n *Instance) drive(name string, c *claim.Claim, former time.Duration) {
	t := n.timesNow()
	var d *driver.Driver
	d = driver.New(driver.Config{
		Name: name, Mine: func(rack string) bool { return n.division.draw(rack) == name },
		Lease: t.lease, LeaseMost: time.Duration(n.settings.Cluster.LeaseMost), Keep: t.keep, Former: former,
		LinkRate: n.settings.Cluster.LinkRate(),
		Claim:    c, Store: n.storeClient, Reachable: n.storeClient.Reachable,
		Workers: n.Workers, Carriers: carriers{n}, Directory: n.Directory(n.storeClient),
		Advise: n.advise, Callers: n.callers, HeardByAll: func() bool { return n.heardByAll(c.Written()) }, Succeeded: n.ends.all,
		Lost:         func() { n.dropDriver(name, d) },
		LoadTimedOut: func() { n.giveUp(name, d, c) },
		Log:          n.kit.Log, Scope: n.kit.Scope,
	})
	n.configure(d)
	n.mu.Lock()
	n.cells[name] = &ownCell{driver: d, claim: c}
	n.mu.Unlock()
	// A version that came in between is set again.
	n.configure(d)
	d.Start()
	// Those that answer can ask the policy for this owner at once.
	go n.greet(context.Background())
}

// configure gives a cell the newest configuration. Each cell has an equal part of the limits of
// client accounts: no owner has to ask another one before a start, nor for how long one that
// is cut off goes on.
func (n *Instance) configure(d *driver.Driver) {
	if conf := n.config.Now(); conf != nil {
		d.Configure(conf.CellQueues(), conf.CellAccounts(len(n.division.cells()))...)
	}
}

// heardByAll reports whether every other instance that was heard lately has answered the
// last greetings, or may not take a cell so soon after its last write, and so will not take
// it from this one.
func (n *Instance) heardByAll(last claim.Write) bool {
	now := clock.Now()
	return n.members.allAnswer(now, last.Excused(now))
}

func (n *Instance) dropDriver(name string, d *driver.Driver) {
	if d.Loaded() {
		load := d.Load()
		n.members.note(name, pendingOf(load), clock.Now())
	}
	n.mu.Lock()
	if c := n.cells[name]; c != nil && c.driver == d {
		delete(n.cells, name)
	}
	n.mu.Unlock()
	d.Close()
}
