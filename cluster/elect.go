// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/internal/sock"
)

const (
	electEvery = 60 * time.Millisecond
	// firstLook is how long a new instance listens before it takes a free seat.
	firstLook = 120 * time.Millisecond
	// rankPause keeps the candidates for a cell apart, and strongerPause lets those
	// with much more of a processor go first.
	rankPause = 30 * time.Millisecond
	rankMost  = 8
	// ownedPause is added for each cell that an instance owns already.
	ownedPause    = 300 * time.Millisecond
	strongerPause = 300 * time.Millisecond
	// watchAfter is how long an owner may not have been heard before its seat may
	// be taken, if it is free or the owner's process is gone.
	watchAfter = 450 * time.Millisecond
	electTime  = 3 * time.Second
	// startPause is for how long after its start an instance leaves cells to stronger
	// ones that the store lists: as long as those take to start and to take a seat.
	startPause = 700 * time.Millisecond
	probeTime  = 250 * time.Millisecond
	// slowPause is how long an instance takes no seat after it was too slow for
	// one.
	slowPause = 10 * time.Second
	// A seat goes to an instance with strongerShare hundredths of this one's
	// processor that was heard for strongerFor; yieldEvery spaces the looks.
	strongerShare = 140
	strongerFor   = 800 * time.Millisecond
	yieldEvery    = 300 * time.Millisecond
)

// watched is what an instance knows of the last write of a cell's seat.
type watched struct {
	ver uint64
	// since is when the write had surely been begun.
	since time.Time
}

// sawWrite notes that version ver of a seat had been written at since.
func (n *Node) sawWrite(name string, ver uint64, since time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.seats[name]; ver > w.ver || (ver == w.ver && since.Before(w.since)) {
		n.seats[name] = watched{ver: ver, since: since}
	}
}

// unwritten returns for how long a seat that stands at version ver has surely gone
// unwritten.
func (n *Node) unwritten(name string, ver uint64, now time.Time) time.Duration {
	n.sawWrite(name, ver, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.seats[name]; w.ver == ver {
		return now.Sub(w.since)
	}
	return 0
}

// vacancy is what an instance knows of a cell whose owner is not heard.
type vacancy struct {
	since time.Time
	// trying says that this instance tries to take the seat.
	trying atomic.Bool
}

// electLoop takes the seat of a cell whenever nobody else has it.
func (n *Node) electLoop(ctx context.Context) {
	sleep(ctx, firstLook)
	vacant := make(map[string]*vacancy)
	for ctx.Err() == nil {
		now := time.Now()
		if n.leaving.Load() || now.Before(n.restsUntil()) {
			clear(vacant)
		} else {
			n.elect(ctx, vacant, now)
		}
		sleep(ctx, electEvery)
	}
}

// elect looks at every cell once.
func (n *Node) elect(ctx context.Context, vacant map[string]*vacancy, now time.Time) {
	newest := n.members.newest(now)
	for _, name := range n.division.cells() {
		if o, ok := newest[name]; n.own(name) != nil || (ok && o.drives(now, watchAfter)) {
			delete(vacant, name)
			continue
		}
		v := vacant[name]
		if v == nil {
			v = &vacancy{since: now}
			vacant[name] = v
		}
		if n.waitsForStronger(now) || now.Sub(v.since) < n.turn(name, now) || !v.trying.CompareAndSwap(false, true) {
			continue
		}
		go func() {
			defer v.trying.Store(false)
			n.tryTake(ctx, name)
		}()
	}
}

// stronger returns the name of an instance that owns no cell and would be a much
// better owner than this one, "" if there is none. When all start at once the first
// one takes a seat, however small its machine.
func (n *Node) stronger(now time.Time) string {
	better := n.members.list(now, func(k *member) bool {
		return k.free() && k.processor > n.enough() && now.Sub(k.since) > strongerFor
	})
	if len(better) == 0 {
		return ""
	}
	return better[0].name
}

// yieldLoop hands seats to stronger instances.
func (n *Node) yieldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, yieldEvery)
		own := n.owned()
		if len(own) == 0 || n.leaving.Load() {
			continue
		}
		if name := n.stronger(time.Now()); name != "" {
			n.yield(ctx, own, name)
		} else if name := n.idler(time.Now()); len(own) > 1 && name != "" {
			n.yield(ctx, oneOf(own), name)
		}
	}
}

// idler returns the name of an instance that owns no cell and would be about as good
// an owner as this one, "" if there is none.
func (n *Node) idler(now time.Time) string {
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
func (n *Node) yield(ctx context.Context, own map[string]*ownCell, to string) {
	level.Info(n.kit.Log).Log("event", "seats_yielded", "to", to, "cells", len(own), "processor", n.processor())
	n.rest(strongerFor)
	ctx, cancel := context.WithTimeout(ctx, handoverMax)
	defer cancel()
	n.handOver(ctx, own)
}

// rest lets this instance take no seat for a while.
func (n *Node) rest(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resting = time.Now().Add(d)
}

// ownerHeard reports whether the owner of a cell was heard within a time.
func (n *Node) ownerHeard(name string, now time.Time, within time.Duration) bool {
	o := n.members.owner(name, now)
	return o != nil && o.drives(now, within)
}

// turn returns how long this instance leaves a vacant cell to others that own none:
// to those with much more of a processor, and to those that come before it by lot.
func (n *Node) turn(name string, now time.Time) time.Duration {
	own, first, stronger := draw(name+"/"+n.settings.Instance), 0, false
	for _, k := range n.members.list(now, (*member).free) {
		stronger = stronger || k.processor > n.enough()
		if k.processor >= n.processor() && draw(name+"/"+k.name) < own {
			first++
		}
	}
	pause := time.Duration(min(first, rankMost)) * rankPause
	if stronger {
		pause += strongerPause
	}
	return pause + time.Duration(len(n.owned()))*ownedPause
}

// waitsForStronger reports whether this instance has just started and leaves cells to
// much stronger ones that may be starting too, and that it has not heard yet. After a
// loss of power to all, a weak owner would have to read the jobs only to yield.
func (n *Node) waitsForStronger(now time.Time) bool {
	return now.Sub(n.began) < startPause && n.members.listedAbove(n.enough())
}

// enough returns the processor beyond which another instance is much stronger.
func (n *Node) enough() uint32 { return n.processor() * strongerShare / 100 }

// tryTake takes the seat if its owner is gone.
func (n *Node) tryTake(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, electTime)
	defer cancel()
	c := &claim.Claim{
		Store: n.door, Cell: name, Owner: n.settings.Instance,
		Boot: n.boot, Addr: n.settings.Listen.Peer,
	}
	seat, ver, err := c.Read(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	unwritten := n.unwritten(name, ver, now)
	why := n.vacant(ctx, seat, unwritten-n.turn(name, now))
	if why == "" || n.ownerHeard(name, time.Now(), cellSilence) {
		return
	}
	if err := c.Take(ctx, seat, ver); err != nil {
		level.Info(n.kit.Log).Log("event", "seat_not_taken", "cell", name, "err", err)
		return
	}
	n.kit.Scope.Tagged(map[string]string{"why": why}).Counter("seats_taken_total").Inc(1)
	level.Info(n.kit.Log).Log("event", "seat_taken", "cell", name, "epoch", c.Epoch(), "before", seat.Owner, "why", why)
	former := time.Duration(0)
	if why == whyGone {
		// It may be behind a cut that refuses connections, and go on for a while.
		former = seat.Silence()
	}
	n.drive(name, c, former)
}

// whyGone is why a seat may be taken whose owner's address refuses connections.
const whyGone = "owner's process is gone"

// vacant returns why a seat may be taken, "" if it may not.
func (n *Node) vacant(ctx context.Context, seat claim.Seat, unwritten time.Duration) string {
	switch {
	case seat.Owner == "":
		return "free"
	case seat.Owner == n.settings.Instance:
		return "was this instance's before"
	case unwritten > seat.Silence():
		return "owner silent"
	}
	heard := n.members.list(time.Now(), func(k *member) bool { return k.name == seat.Owner })
	if len(heard) > 0 && heard[0].boot != seat.Boot {
		return "owner has started anew"
	}
	if n.refused(ctx, seat.Addr) {
		return whyGone
	}
	return ""
}

// refused reports whether nobody listens at an address.
func (n *Node) refused(ctx context.Context, addr string) bool {
	c, err := sock.Dialer(probeTime).DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return isRefused(err)
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// drive starts to drive a cell whose former owner may give orders for a while yet.
func (n *Node) drive(name string, c *claim.Claim, former time.Duration) {
	t := n.timesNow()
	var d *driver.Driver
	d = driver.New(driver.Config{
		Name: name, Mine: func(rack string) bool { return n.division.draw(rack) == name },
		Lease: t.lease, Keep: t.keep, Former: former,
		Seat: c, Store: n.door, Reachable: n.door.Reachable,
		Workers: n.Workers, Directory: n.Directory(n.door),
		Advise: n.advise, Callers: n.callers, Obeyed: n.obeyed,
		Lost:    func() { n.dropDriver(name, d) },
		TooSlow: func() { n.giveUp(name, d, c) },
		Log:     n.kit.Log, Scope: n.kit.Scope,
	})
	if conf := n.config.Now(); conf != nil {
		d.Configure(conf.CellQueues())
	}
	n.mu.Lock()
	n.cells[name] = &ownCell{driver: d, claim: c}
	n.mu.Unlock()
	// A version that came in between is set again.
	if conf := n.config.Now(); conf != nil {
		d.Configure(conf.CellQueues())
	}
	d.Start()
	// Those that answer can ask the policy for this owner at once.
	go n.greet(context.Background())
}

// obeyed reports whether every other instance that was heard lately has answered
// the last greetings, and so will not take a seat of this one.
func (n *Node) obeyed() bool { return n.members.allAnswer(time.Now()) }

func (n *Node) dropDriver(name string, d *driver.Driver) {
	if d.Loaded() {
		load, _ := d.Load()
		n.members.note(name, pendingOf(load), time.Now())
	}
	n.mu.Lock()
	if c := n.cells[name]; c != nil && c.driver == d {
		delete(n.cells, name)
	}
	n.mu.Unlock()
	d.Close()
}

// giveUp gives a seat up whose jobs this instance cannot read in time, and takes
// none for a while.
func (n *Node) giveUp(name string, d *driver.Driver, c *claim.Claim) {
	level.Warn(n.kit.Log).Log("event", "seat_given_up", "cell", name, "epoch", c.Epoch(), "why", "its jobs take too long to read")
	n.rest(slowPause)
	d.Freeze()
	ctx, cancel := context.WithTimeout(context.Background(), handoverMax)
	defer cancel()
	if err := c.Release(ctx); err != nil {
		level.Warn(n.kit.Log).Log("event", "seat_not_released", "cell", name, "err", err)
	}
	n.dropDriver(name, d)
}

// restsUntil returns until when this instance takes no seat.
func (n *Node) restsUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resting
}

// handOver gives the seats of some cells up as planned.
func (n *Node) handOver(ctx context.Context, cells map[string]*ownCell) {
	for name, c := range cells {
		c.driver.Freeze()
		if err := c.claim.Release(ctx); err != nil {
			level.Warn(n.kit.Log).Log("event", "seat_not_released", "cell", name, "err", err)
		}
		n.dropDriver(name, c.driver)
	}
	n.greetNow(ctx)
}
