// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
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
	// rankPause keeps the candidates for a cell apart.
	rankPause = 120 * time.Millisecond
	rankMost  = 8
	// watchAfter is how long an owner may not have been heard before its seat is
	// watched.
	watchAfter = 600 * time.Millisecond
	electTime  = 3 * time.Second
	probeTime  = 250 * time.Millisecond
	// slowPause is how long an instance takes no seat after it was too slow for
	// one.
	slowPause = 10 * time.Second
	// A seat goes to an instance with strongerShare hundredths of this one's
	// processor that was heard for strongerFor; yieldEvery spaces the looks.
	strongerShare = 140
	strongerFor   = 800 * time.Millisecond
	yieldEvery    = 300 * time.Millisecond
	// slowRead is how long a read takes at a store that is too slow to wait for.
	slowRead = 80 * time.Millisecond
)

// watched is what an instance has seen of the seat of a cell.
type watched struct {
	mark string
	// since is when the mark was first seen, and so not before it was written.
	since time.Time
}

// sawSeat notes what a reading of a seat brought, and returns for how long the
// seat has surely gone unwritten.
func (n *Node) sawSeat(name string, seat claim.Seat, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w, ok := n.seats[name]; ok && w.mark == seat.Mark {
		return now.Sub(w.since)
	}
	n.seats[name] = watched{mark: seat.Mark, since: now}
	return 0
}

// electLoop takes the seat of a cell whenever nobody else has it.
func (n *Node) electLoop(ctx context.Context, name string) {
	sleep(ctx, firstLook)
	// unheard is since when the owner is not heard.
	var unheard time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if n.leaving.Load() || now.Before(n.slowUntil()) || n.own(name) != nil || n.ownerHeard(name, now, watchAfter) {
			unheard = time.Time{}
		} else {
			if unheard.IsZero() {
				unheard = now
			}
			if now.Sub(unheard) >= time.Duration(n.rank(name, now))*rankPause {
				n.tryTake(ctx, name)
			}
		}
		sleep(ctx, electEvery)
	}
}

// stronger returns the name of an instance that would be a much better owner than
// this one, "" if there is none. When all start at once the first one takes a
// seat, however small its machine.
func (n *Node) stronger(now time.Time) string {
	enough := n.processor() * strongerShare / 100
	better := n.members.list(now, func(k *member) bool {
		return !k.leaving && k.storeOK && k.processor > enough && now.Sub(k.since) > strongerFor
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
		if len(n.owned()) == 0 || n.leaving.Load() {
			continue
		}
		name := n.stronger(time.Now())
		if name == "" {
			continue
		}
		level.Info(n.kit.Log).Log("event", "seats_yielded", "to", name, "processor", n.processor())
		n.rest(strongerFor)
		ctx, cancel := context.WithTimeout(ctx, handoverMax)
		n.handOver(ctx)
		cancel()
	}
}

// rest lets this instance take no seat for a while.
func (n *Node) rest(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = time.Now().Add(d)
}

// ownerHeard reports whether the owner of a cell was heard within a time.
func (n *Node) ownerHeard(name string, now time.Time, within time.Duration) bool {
	o := n.members.owner(name, now)
	return o != nil && !o.leaving && now.Sub(o.heard) < within && o.refused.Before(o.heard)
}

// rank returns how many live instances go before this one as owners of a cell,
// up to a bound: those with more of a processor, and by lot among equals.
func (n *Node) rank(name string, now time.Time) int {
	own, share := draw(name+"/"+n.settings.Instance), n.processor()
	before := n.members.list(now, func(k *member) bool {
		if k.leaving || !k.storeOK || k.processor != share {
			return !k.leaving && k.storeOK && k.processor > share
		}
		return draw(name+"/"+k.name) < own
	})
	return min(len(before), rankMost)
}

// tryTake takes the seat if its owner is gone.
func (n *Node) tryTake(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, electTime)
	defer cancel()
	c := &claim.Claim{
		Store: n.door, Cell: name, Owner: n.settings.Instance,
		Boot: n.boot, Addr: n.settings.Listen.Peer,
	}
	begun := time.Now()
	seat, ver, err := c.Read(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	// With a slow store the first stages open without waiting for it.
	c.Loose = now.Sub(begun) > slowRead
	unwritten := n.sawSeat(name, seat, now)
	// Those with less of a processor leave an owner's silence to others first.
	later := time.Duration(n.rank(name, now)) * rankPause
	why := n.vacant(ctx, seat, unwritten-later)
	if why == "" || n.ownerHeard(name, time.Now(), cellSilence) {
		return
	}
	if err := c.Take(ctx, seat, ver); err != nil {
		level.Info(n.kit.Log).Log("event", "seat_not_taken", "cell", name, "err", err)
		return
	}
	level.Info(n.kit.Log).Log("event", "seat_taken", "cell", name, "epoch", c.Epoch(), "before", seat.Owner, "why", why)
	n.drive(name, c, seat.Loose)
}

// vacant returns why a seat may be taken, "" if it may not.
func (n *Node) vacant(ctx context.Context, seat claim.Seat, unwritten time.Duration) string {
	switch {
	case seat.Owner == "":
		return "free"
	case seat.Owner == n.settings.Instance:
		return "was this instance's before"
	case unwritten > claim.Silence:
		return "owner silent"
	}
	heard := n.members.list(time.Now(), func(k *member) bool { return k.name == seat.Owner })
	if len(heard) > 0 && heard[0].boot != seat.Boot {
		return "owner has started anew"
	}
	if n.refused(ctx, seat.Addr) {
		return "owner's process is gone"
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

// drive starts to drive a cell.
func (n *Node) drive(name string, c *claim.Claim, doubt bool) {
	t := n.timesNow()
	var d *driver.Driver
	d = driver.New(driver.Config{
		Name: name, Mine: func(rack string) bool { return n.cellOf(rack) == name },
		Lease: t.lease, Keep: t.keep,
		Seat: c, Store: n.door, Reachable: n.door.Reachable,
		Workers: n.Workers, Directory: n.Directory(n.door),
		Advise: n.advise, Callers: n.callers, Obeyed: n.obeyed, Doubt: doubt,
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
}

// obeyed reports whether every other instance that was heard lately has answered
// the last greetings, and so will not take a seat of this one.
func (n *Node) obeyed() bool { return n.members.allAnswer(time.Now()) }

func (n *Node) dropDriver(name string, d *driver.Driver) {
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

// slowUntil returns until when this instance takes no seat.
func (n *Node) slowUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slow
}

// handOver gives the seats up as planned.
func (n *Node) handOver(ctx context.Context) {
	for name, c := range n.owned() {
		c.driver.Freeze()
		if err := c.claim.Release(ctx); err != nil {
			level.Warn(n.kit.Log).Log("event", "seat_not_released", "cell", name, "err", err)
		}
		n.dropDriver(name, c.driver)
	}
	n.greetNow(ctx)
}
