// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// The simulation below plays an owner and the instances that may take its cell through short orders of
// events. Guards against an owner that gives
// orders although another has taken its cell: one whose hall was cut off
// went on 30 s later, as it asked nobody any more, and again at the end of a cut, when everybody
// answered, the next owner included.

const (
	simStep       = 50 * time.Millisecond
	simGreet      = 250 * time.Millisecond
	simWrite      = 200 * time.Millisecond
	simRestart    = 2 * simStep
	simCalm       = 4 * time.Second
	simCell       = "c"
	simValidity   = MinValidity
	simNoInstance = -1
)

// simInstance is an instance of two halls with two instances each.
type simInstance struct {
	name, hall string
	boot       int
	frozen     bool
	upAt       time.Time

	peers    Peers
	contests Contests
	// ownerHeard is when an owner with the highest known epoch was last heard, and heardVer the version
	// of the lease that it had written last.
	ownerHeard           time.Time
	heardEpoch, heardVer uint64
	greeted              time.Time

	owner bool
	epoch uint64
	last  Write
	// ordersFrom is when orders to workers out of reach cannot conflict with the former owner's.
	ordersFrom time.Time
	wrote      time.Time
	// takeAt is when the write of a takeover of the lease at takeVer reaches the store.
	takeAt  time.Time
	takeVer uint64
	grace   time.Duration
}

type simWorld struct {
	random    *rand.Rand
	now       time.Time
	instances []*simInstance
	// cut means that the halls are apart; storeSide is the hall that then reaches the store.
	cut       bool
	storeSide string
	storeAway bool
	// lease is the stored lease.
	owner     int
	epoch     uint64
	ver       uint64
	writtenAt time.Time
	// formerUntil is until when the owner before may still give orders.
	formerUntil time.Time
	// storeAwayFromN means that only the instances of the hall n do not reach the store.
	storeAwayFromN bool
}

func newSimWorld() *simWorld {
	w := &simWorld{random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), owner: simNoInstance}
	for _, name := range []string{"n1", "s1", "n2", "s2"} {
		hall := name[:1]
		w.instances = append(w.instances, &simInstance{name: name, hall: hall, peers: Peers{Hall: hall}, upAt: w.now})
	}
	return w
}

func (w *simWorld) up(i *simInstance) bool { return !i.frozen && !w.now.Before(i.upAt) }
func (w *simWorld) linked(a, b *simInstance) bool {
	return w.up(a) && w.up(b) && (!w.cut || a.hall == b.hall)
}
func (w *simWorld) reachesStore(i *simInstance) bool {
	return !w.storeAway && (!w.cut || i.hall == w.storeSide) && (!w.storeAwayFromN || i.hall != "n")
}

// mayOrder reports whether an instance gives orders that may conflict with another owner's.
func (w *simWorld) mayOrder(i *simInstance) bool {
	if !i.owner || !w.up(i) || w.now.Before(i.ordersFrom) {
		return false
	}
	if w.now.Sub(i.last.Begun) < i.last.Valid {
		return true
	}
	return i.peers.Objection(simCell, i.last, w.now) == Objection{} && !i.contests.Contested(simCell, i.epoch, i.last.Ver)
}

func (w *simWorld) step() {
	w.now = w.now.Add(simStep)
	for at, i := range w.instances {
		if !i.takeAt.IsZero() && !w.now.Before(i.takeAt) {
			w.land(at, i)
		}
		if !w.up(i) {
			continue
		}
		if w.reachesStore(i) {
			w.list(i)
		}
		if i.owner && w.now.Sub(i.wrote) >= simWrite {
			w.write(at, i)
		}
		if w.now.Sub(i.greeted) >= simGreet {
			w.greet(i)
		}
		if !i.owner && i.takeAt.IsZero() {
			w.elect(i)
		}
	}
}

// list has an instance read the list of all from the store.
func (w *simWorld) list(i *simInstance) {
	for _, o := range w.instances {
		if o != i {
			i.peers.Listed(o.name, o.hall, w.now)
		}
	}
}

func (w *simWorld) write(at int, i *simInstance) {
	i.wrote = w.now
	if !w.reachesStore(i) {
		return
	}
	if w.owner != at || w.ver != i.last.Ver {
		i.owner = false
		return
	}
	w.ver++
	w.writtenAt = w.now
	i.last = Write{Begun: w.now, Ver: w.ver, Valid: simValidity}
}

func (w *simWorld) greet(i *simInstance) {
	i.greeted = w.now
	for _, o := range w.instances {
		if o == i {
			continue
		}
		if !w.linked(i, o) {
			if !w.up(o) && !o.frozen && (!w.cut || o.hall == i.hall) {
				i.peers.Refused(o.name, w.now)
			}
			continue
		}
		o.peers.Heard(i.name, i.hall, fmt.Sprint(i.boot), w.now)
		w.hearOwner(i, o)
		w.hearOwner(o, i)
		a := Answer{Instance: o.name, Hall: o.hall, Boot: fmt.Sprint(o.boot), Sent: w.now, StatesContests: true}
		if o.owner || (i.owner && o.contests.Contested(simCell, i.epoch, i.last.Ver)) {
			a.Contested = []string{simCell}
		}
		i.peers.Answered(a, w.now)
	}
}

// hearOwner has an instance hear from another, if that is an owner.
func (w *simWorld) hearOwner(from, to *simInstance) {
	if !from.owner {
		return
	}
	to.contests.Learned(simCell, from.epoch)
	if from.epoch >= to.heardEpoch {
		to.heardEpoch, to.heardVer, to.ownerHeard = from.epoch, from.last.Ver, w.now
	}
}

// hears reports whether an instance hears an owner whose cell it does not contest.
func (w *simWorld) hears(i *simInstance) bool {
	return w.now.Sub(i.ownerHeard) < OwnerActiveTime && !i.contests.Contested(simCell, i.heardEpoch, i.heardVer)
}

// elect begins a takeover if the lease has expired and nobody hears the owner.
func (w *simWorld) elect(i *simInstance) {
	expiry := simValidity + TakeoverMargin
	if !w.reachesStore(i) || w.hears(i) || (w.owner != simNoInstance && w.now.Sub(w.writtenAt) <= expiry) {
		return
	}
	i.contests.Learned(simCell, w.epoch)
	i.contests.Attempt(simCell, w.ver)
	i.grace = 0
	if w.now.Sub(i.upAt) < expiry {
		i.grace = OwnerActiveTime
	}
	for _, o := range w.instances {
		if o == i || o.hall != i.hall {
			continue
		}
		switch {
		case !w.linked(i, o):
			if o.frozen {
				i.grace = expiry
			}
		case w.hears(o) || w.mayOrder(o):
			i.contests.Settled(simCell)
			return
		default:
			o.contests.Possible(simCell, w.ver)
		}
	}
	// Some writes are carried out late.
	i.takeAt, i.takeVer = w.now.Add(time.Duration(1+w.random.IntN(16))*simStep), w.ver
}

// land applies the write of a takeover, whatever has become of the instance.
func (w *simWorld) land(at int, i *simInstance) {
	i.takeAt = time.Time{}
	i.contests.Settled(simCell)
	if w.ver != i.takeVer {
		return
	}
	w.ver++
	w.epoch++
	w.owner, w.writtenAt = at, w.now
	i.owner, i.epoch, i.wrote = true, w.epoch, w.now
	i.contests.Learned(simCell, i.epoch)
	i.last = Write{Begun: w.now, Ver: w.ver, Valid: simValidity}
	w.formerUntil = w.now.Add(i.grace)
	i.ordersFrom = w.formerUntil
}

func (w *simWorld) restart(i *simInstance) {
	*i = simInstance{name: i.name, hall: i.hall, boot: i.boot + 1, peers: Peers{Hall: i.hall}, upAt: w.now.Add(simRestart)}
}

// simEvents are the events by name. The first two instances are of different halls.
var simEvents = map[string]func(*simWorld){
	"cut from n":        func(w *simWorld) { w.cut, w.storeSide = true, "s" },
	"cut from s":        func(w *simWorld) { w.cut, w.storeSide = true, "n" },
	"whole":             func(w *simWorld) { w.cut = false },
	"store away":        func(w *simWorld) { w.storeAway = true },
	"store back":        func(w *simWorld) { w.storeAway, w.storeAwayFromN = false, false },
	"store away from n": func(w *simWorld) { w.storeAwayFromN = true },
	"freeze n1":         func(w *simWorld) { w.instances[0].frozen = true },
	"thaw n1":           func(w *simWorld) { w.instances[0].frozen = false },
	"freeze s1":         func(w *simWorld) { w.instances[1].frozen = true },
	"thaw s1":           func(w *simWorld) { w.instances[1].frozen = false },
	"restart n2":        func(w *simWorld) { w.restart(w.instances[2]) },
	"restart s":         func(w *simWorld) { w.restart(w.instances[1]); w.restart(w.instances[3]) },
	"nothing new":       func(*simWorld) {},
}

// play plays events, one after each pause, and returns what went wrong.
func (w *simWorld) play(events []string, pause func() time.Duration) string {
	run := func(d time.Duration) string {
		for end := w.now.Add(d); w.now.Before(end); {
			w.step()
			var orders []string
			for _, i := range w.instances {
				if !w.mayOrder(i) {
					continue
				}
				if orders = append(orders, i.name); i.epoch < w.epoch && !w.now.Before(w.formerUntil) {
					return i.name + " gives orders, and another has taken the cell"
				}
			}
			if len(orders) > 1 {
				return "several give orders: " + strings.Join(orders, " ")
			}
		}
		return ""
	}
	if wrong := run(2 * time.Second); wrong != "" {
		return wrong
	}
	for _, e := range events {
		simEvents[e](w)
		if wrong := run(pause()); wrong != "" {
			return fmt.Sprintf("after %q: %s", e, wrong)
		}
	}
	w.cut, w.storeAway, w.storeAwayFromN = false, false, false
	for _, i := range w.instances {
		i.frozen = false
	}
	if wrong := run(simCalm); wrong != "" {
		return "at the end: " + wrong
	}
	for _, i := range w.instances {
		if w.mayOrder(i) {
			return ""
		}
	}
	return "nobody gives orders in the end"
}

// simPauses are the pauses between events: shorter and longer than it takes to take a cell.
var simPauses = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond}

// simOrders calls play with each order of so many events.
func simOrders(prefix []string, length int, play func([]string)) {
	if length == 0 {
		play(prefix)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(simEvents)) {
		simOrders(append(slices.Clone(prefix), name), length-1, play)
	}
}

var _ = Describe("the owners of a cell", func() {
	play := func(events []string, pause func() time.Duration) {
		GinkgoHelper()
		if wrong := newSimWorld().play(events, pause); wrong != "" {
			Fail(fmt.Sprintf("%q: %s", events, wrong))
		}
	}

	It("never give orders at the same time, in whatever order halls are cut and instances frozen or started again", func() {
		simOrders(nil, 3, func(events []string) {
			for _, pause := range simPauses {
				play(events, func() time.Duration { return pause })
			}
		})
	})

	It("never give orders at the same time in long drawn orders of events", func() {
		random, names := rand.New(rand.NewPCG(1, 1)), slices.Sorted(maps.Keys(simEvents))
		for range 3000 {
			var events []string
			for range 10 {
				events = append(events, names[random.IntN(len(names))])
			}
			play(events, func() time.Duration { return time.Duration(1+random.IntN(30)) * simStep })
		}
	})
})
