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
	// asked means that it was asked whether this instance may go on without a valid lease, and stopped
	// that it last was not allowed to.
	asked, stopped bool
}

// ownCells returns the cells that this instance owns, by name.
func (n *Instance) ownCells() map[string]*ownCell {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.cells)
}

// ownDriver returns the driver of a cell, nil if this instance does not own it.
func (n *Instance) ownDriver(name string) *driver.Driver {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cells[name]; c != nil {
		return c.driver
	}
	return nil
}

// startDriver starts the driver of a cell. former is for how long the former owner may still give
// orders.
func (n *Instance) startDriver(name string, c *claim.Claim, former time.Duration) {
	t := n.currentReloadable()
	directory := n.Directory(n.storeClient)
	lister := &cellLister{n: n, cell: name, directory: directory}
	var d *driver.Driver
	d = driver.New(driver.Config{
		Name: name, OwnsRack: func(rack string) bool { return n.division.hashCell(rack) == name },
		WorkerLease: t.lease, MaxWorkerLease: time.Duration(n.settings.Cluster.LeaseMost), Retention: t.keep, FormerGrace: former,
		LinkRate: n.settings.Cluster.LinkRate(), FairSharing: n.settings.Cluster.FairSharing, Headroom: n.settings.Cluster.Headroom,
		WorkerSpeed: n.settings.Cluster.WorkerSpeed,
		Claim:       c, Store: n.storeClient, StoreReachable: n.storeClient.Reachable,
		Workers: n.Workers, Relays: relays{n}, Directory: directory, List: lister.list, Cordons: n.cordons(),
		Advise: n.advise, AskLimit: n.adviceConcurrency, HeardByAll: func() bool { return n.answeredByAll(name, c) },
		Cells: len(n.division.cells()), Elsewhere: n.elsewhere(),
		OnLeaseLost:   func() { n.dropDriver(name, d) },
		OnLoadTimeout: func() { n.giveUpCell(name, d, c) },
		Log:           n.kit.Log, Scope: n.kit.Scope,
	})
	n.configure(d)
	n.mu.Lock()
	n.cells[name] = &ownCell{driver: d, claim: c}
	n.contests.Learned(name, c.Epoch())
	n.setGCTarget()
	n.mu.Unlock()
	// A configuration that was installed between the two calls has not reached this driver.
	n.configure(d)
	d.Start()
	go n.greetNewly()
}

// cordons returns the source of the cordoned halls, nil if there is none.
func (n *Instance) cordons() driver.Cordons {
	if n.Cordons == nil {
		return nil
	}
	return n.Cordons(n.storeClient)
}

// greetNewly greets everybody after this instance has become an owner. Instances that answer can ask
// the policy for this owner at once.
func (n *Instance) greetNewly() {
	n.greet(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if _, ok := n.readAllMembers(ctx); ok {
		n.greet(context.Background())
	}
}

// configure applies the newest configuration to a cell.
func (n *Instance) configure(d *driver.Driver) {
	if conf := n.config.Load(); conf != nil {
		d.Configure(conf.CellQueues(), conf.CellAccounts(len(n.division.cells()))...)
	}
}

// dropDriver stops the driver of a cell that this instance no longer owns.
func (n *Instance) dropDriver(name string, d *driver.Driver) {
	if d.Loaded() {
		load := d.Load()
		n.members.keepPending(name, pendingOf(load), clock.Now())
	}
	n.mu.Lock()
	if c := n.cells[name]; c != nil && c.driver == d {
		delete(n.cells, name)
		n.setGCTarget()
	}
	n.mu.Unlock()
	d.Close()
}
