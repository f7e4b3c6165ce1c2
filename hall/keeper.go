// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/wire"
)

// The times of ownership. See docs/design/ownership.md for how they relate.
const (
	tick = 250 * time.Millisecond
	// beatEvery is how often an instance shows in the table that it lives.
	beatEvery = time.Second
	// MemberLease is how long the row of an instance must stay unchanged
	// before its racks are taken over.
	MemberLease = 3 * time.Second
	// auditEvery is how often an owner reads the rows of its racks although
	// nothing points at a change.
	auditEvery = 30 * time.Second
	// cutOffAfter is how long the table may not have answered before a hall
	// decides by itself.
	cutOffAfter = 3 * time.Second
	// moveEvery spaces the handovers that only level the load.
	moveEvery  = time.Second
	pauseLimit = time.Second
	rowTimeout = 2 * time.Second
	// closeTime bounds the wait for what was placed on a rack that is to be
	// handed over. It is well below MemberLease, which goes on meanwhile.
	closeTime = time.Second
	// closePause is how long racks are left alone after one could not be
	// closed: with a slow table they would hardly be open otherwise.
	closePause = 10 * time.Second
)

// Racks is what a Keeper tells of the racks to own.
type Racks interface {
	// Adopt starts to own a rack under an epoch; row is the version of its
	// row. A rack that is owned already is attached again under the epoch.
	Adopt(rack string, epoch lease.Epoch, row uint64, workers []ports.Instance)
	// Close stops new work on a rack and waits until what was placed there has
	// been sent. It reports false if ctx ended before.
	Close(ctx context.Context, rack string) bool
	// Open lets new work in again, when a rack that was closed is kept.
	Open(rack string)
	// Drop ends to own a rack.
	Drop(rack string)
	// Owned returns the epochs of the racks that are owned.
	Owned() map[string]lease.Epoch
	// Workers tells of the workers of the hall as the platform lists them.
	Workers(list []ports.Instance)
}

// Sender sends a message to a peer.
type Sender interface {
	Do(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// Keeper decides which racks an instance owns. Fill in the exported fields,
// then call Run.
type Keeper struct {
	Instance string
	Boot     string
	Hall     string
	Table    ports.Table
	List     ports.Instances
	Peers    *Peers
	Racks    Racks
	Send     Sender
	Log      log.Logger

	mu        sync.Mutex
	directory []ports.Instance
	listed    string
	rows      map[string]uint64
	watched   map[string]watch
	last      map[string]Claim
	beat      uint64
	beatSent  time.Time
	contact   time.Time
	shown     time.Time
	audited   time.Time
	moved     time.Time
	stopping  bool
	guard     lease.PauseDetector
	nudge     chan struct{}
}

// Name returns the name under which this start of the instance owns racks.
func (k *Keeper) Name() string { return OwnerName(k.Instance, k.Boot) }

// OwnerName returns the name under which one start of an instance owns racks.
func OwnerName(instance, boot string) string { return instance + "@" + boot }

// Init makes k ready for use.
func (k *Keeper) Init() {
	k.rows = make(map[string]uint64)
	k.watched = make(map[string]watch)
	k.last = make(map[string]Claim)
	k.guard.Limit = pauseLimit
	k.nudge = make(chan struct{}, 1)
}

// Run keeps deciding until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		k.step(ctx)
		select {
		case <-t.C:
		case <-k.nudge:
		case <-ctx.Done():
			return
		}
	}
}

// Nudge makes the Keeper look at once: a peer has handed a rack over, or a
// worker has refused this instance's epoch.
func (k *Keeper) Nudge() {
	k.mu.Lock()
	k.audited = time.Time{}
	k.mu.Unlock()
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

// Shown returns when this instance last showed in the table that it lives, by
// a request sent then. Others count its absence from no earlier.
func (k *Keeper) Shown() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shown
}

// CutOff reports whether the table has not answered for some time.
func (k *Keeper) CutOff(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.contact) > cutOffAfter
}

// Directory returns the last list of instances that is known.
func (k *Keeper) Directory() []ports.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.directory
}

// Offer gives the Keeper a list of instances from a peer, for as long as it
// has none from the platform.
func (k *Keeper) Offer(list []ports.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.directory) == 0 {
		k.directory = list
	}
}

func (k *Keeper) step(ctx context.Context) {
	now := clock.Now()
	if k.guard.Tick(now) {
		level.Warn(k.Log).Log("msg", "this process was paused", "action", "reading the rows of its racks again")
		k.mu.Lock()
		k.audited = time.Time{}
		k.mu.Unlock()
	}
	k.refresh(ctx, now)
	k.renew(ctx, now)
	k.audit(ctx, now)
	k.decide(ctx)
}

// refresh reads the platform's list, which also tells of leaving workers.
func (k *Keeper) refresh(ctx context.Context, now time.Time) {
	if now.Sub(k.beatSent) < beatEvery {
		return
	}
	list, err := k.List.List(ctx, "", k.listed)
	if err != nil {
		return
	}
	k.mu.Lock()
	if !list.Unchanged {
		k.directory = list.Instances
		k.listed = list.Version
	}
	directory := k.directory
	k.mu.Unlock()
	for _, in := range directory {
		if in.Role == ports.RoleEntry && in.ID != k.Instance {
			k.Peers.Hint(in.Addr, now)
		}
	}
	if !list.Unchanged {
		k.Racks.Workers(directory)
	}
}

// renew shows in the table that this instance lives.
func (k *Keeper) renew(ctx context.Context, now time.Time) {
	if now.Sub(k.beatSent) < beatEvery {
		return
	}
	k.beatSent = now
	k.beat++
	row := encodeRow(memberRow{Boot: k.Boot, Beat: k.beat, At: clock.Wall().Unix()})
	txn := ports.Txn{Puts: []ports.Put{{Key: memberKey(k.Hall, k.Name()), Value: row}}}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	if _, err := k.Table.Commit(ctx, txn); err != nil {
		return
	}
	fault.At(fault.Renewed)
	k.touch(now)
	k.mu.Lock()
	k.shown = now
	k.mu.Unlock()
}

func (k *Keeper) touch(sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := clock.Now(); now.Sub(k.contact) > MemberLease {
		// Others may have taken racks over while the table was out of reach.
		k.audited = time.Time{}
	}
	k.contact = sent
}

// audit reads the rows of the owned racks and drops those that are another's.
func (k *Keeper) audit(ctx context.Context, now time.Time) {
	k.mu.Lock()
	due := now.Sub(k.audited) > auditEvery
	k.mu.Unlock()
	owned := k.Racks.Owned()
	if !due || len(owned) == 0 {
		return
	}
	rows, err := k.rackRows(ctx, names(owned))
	if err != nil {
		return
	}
	k.mu.Lock()
	k.audited = now
	k.mu.Unlock()
	for rack, row := range rows {
		mine := owned[rack]
		lost := row.owner != k.Name() && row.epoch > mine.Table
		if lost {
			level.Info(k.Log).Log("msg", "rack lost", "rack", rack, "owner", row.owner, "epoch", row.epoch)
			k.Racks.Drop(rack)
		}
	}
}

func names(owned map[string]lease.Epoch) []string {
	out := make([]string, 0, len(owned))
	for r := range owned {
		out = append(out, r)
	}
	sort.Strings(out)
	return out
}

// rackState is a rack's row with its version.
type rackState struct {
	owner   string
	epoch   uint64
	version uint64
}

func (k *Keeper) rackRows(ctx context.Context, racks []string) (map[string]rackState, error) {
	keys := make([]string, len(racks))
	for i, r := range racks {
		keys[i] = RackKey(k.Hall, r)
	}
	sent := clock.Now()
	rows, err := k.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	k.touch(sent)
	out := make(map[string]rackState, len(rows))
	for i, row := range rows {
		r, err := DecodeRack(row.Value)
		if err != nil {
			return nil, err
		}
		out[racks[i]] = rackState{owner: r.Owner, epoch: r.Epoch, version: row.Version}
	}
	return out, nil
}

// racks returns the racks of the hall with their workers, as listed.
func (k *Keeper) racks() map[string][]ports.Instance {
	out := make(map[string][]ports.Instance)
	for _, in := range k.Directory() {
		if in.Role == ports.RoleWorker && in.Hall == k.Hall && in.Rack != "" {
			out[in.Rack] = append(out[in.Rack], in)
		}
	}
	return out
}

// members returns the live instances of the hall that may own racks.
func (k *Keeper) members(now time.Time) []string {
	var out []string
	if !k.isStopping() {
		out = append(out, k.Instance)
	}
	for _, p := range k.Peers.Live(k.Hall, now) {
		if !p.Leaving {
			out = append(out, p.Instance)
		}
	}
	return out
}

// decide takes over, hands over and drops racks.
func (k *Keeper) decide(ctx context.Context) {
	if k.isStopping() {
		return
	}
	now := clock.Now()
	racks := k.racks()
	claims := k.claims(now)
	present := make(map[string]string, len(claims))
	for r, c := range claims {
		present[r] = c.Owner
	}
	var all []string
	for r := range racks {
		all = append(all, r)
	}
	target := Assign(all, k.members(now), present)
	var unclaimed []string
	for _, r := range all {
		if _, claimed := claims[r]; !claimed {
			unclaimed = append(unclaimed, r)
		}
	}
	k.takeOver(ctx, unclaimed, target, racks)
	k.confirm(ctx, racks)
	k.level(ctx, target)
}

// claims returns the owners of the racks of the hall, this instance included.
// It drops a rack that a peer owns at a higher epoch.
func (k *Keeper) claims(now time.Time) map[string]Claim {
	claims := k.Peers.Claims(k.Hall, now)
	for r, e := range k.Racks.Owned() {
		if c, ok := claims[r]; ok && e.Less(c.Epoch) {
			level.Info(k.Log).Log("msg", "rack lost", "rack", r, "owner", c.Owner, "epoch", c.Epoch)
			k.Racks.Drop(r)
			continue
		}
		claims[r] = Claim{Owner: k.Instance, Epoch: e}
	}
	for r, c := range claims {
		k.last[r] = c
	}
	return claims
}

func (k *Keeper) isStopping() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopping
}
