// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/sched"
	"dewpass.org/telemetry"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

// place is an owner with what it says of its racks.
type place struct {
	instance string
	addr     string
	hall     string
	racks    []*wire.Rack
	// self marks the owner within this process.
	self bool
}

// room returns the slots that are free on racks where a demand fits.
func (p *place) room(d sched.Vec) int64 {
	var free int64
	for _, r := range p.racks {
		if r.Ready && fits(r, d) {
			free += r.Free[sched.Slots]
		}
	}
	return free
}

func (p *place) ready() bool {
	for _, r := range p.racks {
		if r.Ready {
			return true
		}
	}
	return false
}

func fits(r *wire.Rack, d sched.Vec) bool {
	if len(r.Hole) != int(sched.NumDims) {
		return false
	}
	for i := range d {
		if r.Hole[i] < d[i] {
			return false
		}
	}
	return true
}

// view is what a front knew of the owners at a time.
type view struct {
	mu   sync.Mutex
	at   time.Time
	near []place
	far  []place
}

// viewTime is how long a view is used. Peers tell of changes less often; an
// owner that has filled up meanwhile says so.
const viewTime = 20 * time.Millisecond

// seen returns the owners of this hall and those of others, for the caller to
// order as it likes.
func (f *Front) seen(now time.Time) (near, far []place) {
	f.view.mu.Lock()
	defer f.view.mu.Unlock()
	if now.Sub(f.view.at) > viewTime {
		f.view.at = now
		f.view.near = f.places(f.Hall, now)
		f.view.far = f.places("", now)
	}
	return append([]place(nil), f.view.near...), append([]place(nil), f.view.far...)
}

// places returns the owners of a hall, or of all other halls for "", that can
// take work.
func (f *Front) places(hallName string, now time.Time) []place {
	var out []place
	if hallName == f.Hall {
		self := place{instance: f.Instance, hall: f.Hall, racks: f.Owner.Summary(), self: true}
		out = appendReady(out, self)
	}
	for _, p := range f.Peers.Live(hallName, now) {
		if p.Leaving || (hallName == "" && p.Hall == f.Hall) {
			continue
		}
		out = appendReady(out, place{instance: p.Instance, addr: p.Addr, hall: p.Hall, racks: p.Racks})
	}
	return out
}

func appendReady(list []place, p place) []place {
	if !p.ready() {
		return list
	}
	return append(list, p)
}

// order sorts places by a draw of two: the better of two drawn at random comes
// first, then the better of two of the rest, and so on. Owners are not all
// chosen by the same summary at the same moment in this way.
func order(list []place, d sched.Vec) []place {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for i := 0; i+1 < len(list); i++ {
		if list[i+1].room(d) > list[i].room(d) {
			list[i], list[i+1] = list[i+1], list[i]
		}
	}
	return ownFirst(list, d)
}

// ownFirst puts the owner within this process first if it has at least half of
// the room of the first one: that saves the call a hop.
func ownFirst(list []place, d sched.Vec) []place {
	for i := range list {
		if !list[i].self {
			continue
		}
		if room := list[i].room(d); room > 0 && 2*room >= list[0].room(d) {
			list[0], list[i] = list[i], list[0]
		}
		break
	}
	return list
}

// try is one place to pass a call to.
type try struct {
	place place
	queue bool
}

const (
	// localTries and farTries bound the owners that are asked whether they have
	// room at once.
	localTries = 2
	farTries   = 1
)

// tries returns where to pass a call to, one after another.
func (f *Front) tries(d sched.Vec) []try {
	near, others := f.seen(clock.Now())
	local := order(near, d)
	var out []try
	for i := 0; i < len(local) && i < localTries; i++ {
		out = append(out, try{place: local[i]})
	}
	far := order(others, d)
	for i := 0; i < len(far) && i < farTries; i++ {
		if far[i].room(d) > 0 {
			out = append(out, try{place: far[i]})
		}
	}
	wait := append(append([]place(nil), local...), far...)
	sort.SliceStable(wait, func(i, j int) bool { return queued(wait[i]) < queued(wait[j]) })
	for i := 0; i < len(wait) && i < localTries; i++ {
		out = append(out, try{place: wait[i], queue: true})
	}
	return out
}

func queued(p place) uint32 {
	var n uint32
	for _, r := range p.racks {
		n = max(n, r.Queued)
	}
	return n
}

// pass sends a call to a place.
func (f *Front) pass(ctx context.Context, p place, c *wire.Call) (*wire.CallReply, error) {
	if p.self {
		return f.Owner.Call(ctx, c)
	}
	ctx, span := f.Tracer.Start(ctx, "front.forward")
	req := &wire.Request{Traceparent: telemetry.Inject(ctx), Body: &wire.Request_Call{Call: c}}
	reply, err := f.Send.Do(ctx, p.addr, req)
	telemetry.Fail(span, err)
	if err != nil {
		return nil, err
	}
	return reply.GetCall(), nil
}

// limits are the rates of the workloads at this instance.
type limits struct {
	mu  sync.Mutex
	set map[string]*rate.Limiter
}

// burstSeconds is how much of its rate a workload may use at once.
const burstSeconds = 2

// allow takes one request of a workload from its rate, of which each live
// instance has an equal part.
func (l *limits) allow(w *tree.Workload, instances int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.set == nil {
		l.set = make(map[string]*rate.Limiter)
	}
	part := rate.Limit(w.Rate / float64(max(1, instances)))
	burst := max(1, int(float64(part)*burstSeconds))
	lim := l.set[w.Path]
	if lim == nil {
		lim = rate.NewLimiter(part, burst)
		l.set[w.Path] = lim
	}
	if lim.Limit() != part {
		lim.SetLimit(part)
		lim.SetBurst(burst)
	}
	if lim.Allow() {
		return nil
	}
	wait := time.Duration(float64(time.Second) / float64(part))
	return kind.New(kind.RateLimited, w.Path).After(max(wait, 100*time.Millisecond))
}

// budget bounds the tries after the first: they take from what first tries
// bring in.
type budget struct {
	mu     sync.Mutex
	tokens float64
	begun  bool
}

const (
	budgetPart = 0.5
	budgetMost = 200
)

func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun {
		b.tokens, b.begun = budgetMost, true
	}
	b.tokens = min(b.tokens+budgetPart, budgetMost)
}

func (b *budget) again() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// instances returns the number of live instances, this one included.
func (f *Front) instances() int { return f.Peers.Instances(clock.Now()) }
