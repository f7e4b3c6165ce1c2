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

// candidate is an owner to which work may be sent, with the summaries of its racks.
type candidate struct {
	instance string
	addr     string
	hall     string
	racks    []*wire.Rack
	// self marks the owner within this process.
	self bool
}

// freeSlots returns the number of free slots on racks where a demand fits.
func (p *candidate) freeSlots(d sched.Vec) int64 {
	var free int64
	for _, r := range p.racks {
		if r.Ready && fits(r, d) {
			free += r.Free[sched.Slots]
		}
	}
	return free
}

func (p *candidate) ready() bool {
	for _, r := range p.racks {
		if r.Ready {
			return true
		}
	}
	return false
}

// fits reports whether a demand is within the largest free amounts of single workers of a rack.
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

// candidateCache holds the candidates as of loadedAt.
type candidateCache struct {
	mu       sync.Mutex
	loadedAt time.Time
	local    []candidate
	remote   []candidate
}

// candidateCacheTTL is how long cached candidates are used. Summaries arrive less
// often, and an owner that has no room left by then refuses the call.
const candidateCacheTTL = 20 * time.Millisecond

// cachedCandidates returns copies of the lists of candidates of this hall and of
// other halls. The caller may reorder them.
func (f *Front) cachedCandidates(now time.Time) (local, remote []candidate) {
	f.cache.mu.Lock()
	defer f.cache.mu.Unlock()
	if now.Sub(f.cache.loadedAt) > candidateCacheTTL {
		f.cache.loadedAt = now
		f.cache.local = f.candidates(f.Hall, now)
		f.cache.remote = f.candidates("", now)
	}
	return append([]candidate(nil), f.cache.local...), append([]candidate(nil), f.cache.remote...)
}

// candidates returns the owners of a hall, or of all other halls for "", that can
// take work.
func (f *Front) candidates(hallName string, now time.Time) []candidate {
	var out []candidate
	if hallName == f.Hall {
		self := candidate{instance: f.Instance, hall: f.Hall, racks: f.Owner.Summary(), self: true}
		out = appendReady(out, self)
	}
	for _, p := range f.Peers.Live(hallName, now) {
		if p.Leaving || (hallName == "" && p.Hall == f.Hall) {
			continue
		}
		out = appendReady(out, candidate{instance: p.Instance, addr: p.Addr, hall: p.Hall, racks: p.Racks})
	}
	return out
}

func appendReady(list []candidate, p candidate) []candidate {
	if !p.ready() {
		return list
	}
	return append(list, p)
}

// orderByTwoChoices orders candidates by the power of two random choices: it
// shuffles them, puts the better of the first two first, then the better of the
// other and the next one, and so on. Instances with the same summaries thereby do
// not all choose the same owner at once.
func orderByTwoChoices(list []candidate, d sched.Vec) []candidate {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for i := 0; i+1 < len(list); i++ {
		if list[i+1].freeSlots(d) > list[i].freeSlots(d) {
			list[i], list[i+1] = list[i+1], list[i]
		}
	}
	return preferSelf(list, d)
}

// preferSelf puts the owner within this process first if it has at least half as
// much room as the first candidate. This saves the call a network hop.
func preferSelf(list []candidate, d sched.Vec) []candidate {
	for i := range list {
		if !list[i].self {
			continue
		}
		if room := list[i].freeSlots(d); room > 0 && 2*room >= list[0].freeSlots(d) {
			list[0], list[i] = list[i], list[0]
		}
		break
	}
	return list
}

// attempt is one candidate to send a call to; queue lets the call wait there.
type attempt struct {
	candidate candidate
	queue     bool
}

const (
	// maxLocalAttempts and maxRemoteAttempts bound the owners that are tried without
	// queueing.
	maxLocalAttempts  = 2
	maxRemoteAttempts = 1
)

// attempts returns the candidates to send a call to, in order.
func (f *Front) attempts(d sched.Vec) []attempt {
	own, others := f.cachedCandidates(clock.Now())
	local := orderByTwoChoices(own, d)
	var out []attempt
	for i := 0; i < len(local) && i < maxLocalAttempts; i++ {
		out = append(out, attempt{candidate: local[i]})
	}
	remote := orderByTwoChoices(others, d)
	for i := 0; i < len(remote) && i < maxRemoteAttempts; i++ {
		if remote[i].freeSlots(d) > 0 {
			out = append(out, attempt{candidate: remote[i]})
		}
	}
	queueing := append(append([]candidate(nil), local...), remote...)
	sort.SliceStable(queueing, func(i, j int) bool { return maxQueued(queueing[i]) < maxQueued(queueing[j]) })
	for i := 0; i < len(queueing) && i < maxLocalAttempts; i++ {
		out = append(out, attempt{candidate: queueing[i], queue: true})
	}
	return out
}

// maxQueued returns the length of the longest queue on a rack of a candidate.
func maxQueued(p candidate) uint32 {
	var n uint32
	for _, r := range p.racks {
		n = max(n, r.Queued)
	}
	return n
}

// forwardTo sends a call to a candidate.
func (f *Front) forwardTo(ctx context.Context, p candidate, c *wire.Call) (*wire.CallReply, error) {
	if p.self {
		return f.Owner.Call(ctx, c)
	}
	ctx, span := f.Tracer.Start(ctx, "front.forward")
	req := &wire.Request{Traceparent: telemetry.Inject(ctx), Body: &wire.Request_Call{Call: c}}
	reply, err := f.Send.Do(ctx, p.addr, req)
	telemetry.EndSpan(span, err)
	if err != nil {
		return nil, err
	}
	return reply.GetCall(), nil
}

// rateLimits holds the rate limiters of the workloads at this instance.
type rateLimits struct {
	mu  sync.Mutex
	set map[string]*rate.Limiter
}

// burstSeconds is the size of a burst in seconds of the rate.
const burstSeconds = 2

// allow admits one request of a workload by its rate, which is divided equally
// among the live instances.
func (l *rateLimits) allow(w *tree.Workload, instances int) error {
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
	return kind.New(kind.RateLimited, w.Path).WithRetryAfter(max(wait, 100*time.Millisecond))
}

// retryBudget limits retries in proportion to first tries. It starts full.
type retryBudget struct {
	mu      sync.Mutex
	tokens  float64
	started bool
}

const (
	retriesPerFirstTry = 0.5
	maxRetryTokens     = 200
)

// addFirstTry credits the budget for a first try.
func (b *retryBudget) addFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.tokens, b.started = maxRetryTokens, true
	}
	b.tokens = min(b.tokens+retriesPerFirstTry, maxRetryTokens)
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (b *retryBudget) takeRetry() bool {
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
