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

// Intervals and timeouts of ownership. See docs/design/ownership.md for how they relate.
const (
	stepInterval = 250 * time.Millisecond
	// heartbeatInterval is how often an instance rewrites its member row.
	heartbeatInterval = time.Second
	// MemberLease is how long the member row of an instance must stay unchanged
	// before its racks are taken over.
	MemberLease = 3 * time.Second
	// auditInterval is how often an owner reads the rows of its racks when
	// nothing suggests that they have changed.
	auditInterval = 30 * time.Second
	// cutOffAfter is how long the table must have been unreachable before
	// instances take racks over without it.
	cutOffAfter = 3 * time.Second
	// moveInterval is the least time between handovers that only balance the load.
	moveInterval = time.Second
	pauseLimit   = time.Second
	tableTimeout = 2 * time.Second
	// closeTimeout bounds the wait for work placed on a rack that is being handed
	// over to be sent. It is well below MemberLease, which continues to run meanwhile.
	closeTimeout = time.Second
	// closeRetryDelay is the wait after a rack could not be closed. Without it, a
	// slow table would keep racks closed most of the time.
	closeRetryDelay = 10 * time.Second
)

// Racks holds the racks that this instance owns. A Coordinator calls it when
// ownership changes.
type Racks interface {
	// Adopt starts to own a rack under an epoch; row is the version of its
	// row. A rack that is owned already is attached again under the new epoch.
	Adopt(rack string, epoch lease.Epoch, row uint64, workers []ports.Instance)
	// Close stops new work on a rack and waits until the work already placed there
	// has been sent. It returns false if ctx ends first.
	Close(ctx context.Context, rack string) bool
	// Open admits new work again on a closed rack that is kept.
	Open(rack string)
	// Drop gives up the ownership of a rack.
	Drop(rack string)
	// Owned returns the epochs of the racks that are owned.
	Owned() map[string]lease.Epoch
	// SetWorkers passes on the platform's list of instances, with the workers of the hall.
	SetWorkers(list []ports.Instance)
}

// Sender sends a message to a peer.
type Sender interface {
	Do(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// Coordinator decides which racks an instance owns. Set the exported fields, call
// Init, then Run.
type Coordinator struct {
	Instance string
	Boot     string
	Hall     string
	Table    ports.Table
	List     ports.Instances
	Peers    *Peers
	Racks    Racks
	Send     Sender
	Log      log.Logger

	mu sync.Mutex
	// directory is the last known list of instances, directoryVersion its version.
	directory        []ports.Instance
	directoryVersion string
	// rowVersions holds the table version of the row of each owned rack, 0 for a
	// rack that was taken over without the table.
	rowVersions map[string]uint64
	// memberRows holds the member rows of unresponsive owners, by owner name.
	memberRows map[string]observedRow
	// lastClaims holds the last known owner of each rack.
	lastClaims    map[string]Claim
	heartbeat     uint64
	lastHeartbeat time.Time
	// lastContact is when the last answered request to the table was sent.
	lastContact time.Time
	// lastRenewal is when the last heartbeat that reached the table was sent.
	lastRenewal time.Time
	lastAudit   time.Time
	// lastMove is when a rack was last handed over to balance the load.
	lastMove time.Time
	stopping bool
	// pauseGuard detects pauses of this process.
	pauseGuard lease.PauseDetector
	wake       chan struct{}
}

// Name returns the owner name of this instance and boot. It changes with each
// start of the process.
func (k *Coordinator) Name() string { return OwnerName(k.Instance, k.Boot) }

// OwnerName returns the name under which an instance owns racks during one boot.
func OwnerName(instance, boot string) string { return instance + "@" + boot }

// Init prepares k for use.
func (k *Coordinator) Init() {
	k.rowVersions = make(map[string]uint64)
	k.memberRows = make(map[string]observedRow)
	k.lastClaims = make(map[string]Claim)
	k.pauseGuard.Limit = pauseLimit
	k.wake = make(chan struct{}, 1)
}

// Run takes over and hands over racks until ctx ends.
func (k *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		k.step(ctx)
		select {
		case <-t.C:
		case <-k.wake:
		case <-ctx.Done():
			return
		}
	}
}

// RequestAudit makes the Coordinator read the rows of its racks at once, for
// example after a peer has handed a rack over or a worker has rejected this
// instance's epoch.
func (k *Coordinator) RequestAudit() {
	k.mu.Lock()
	k.lastAudit = time.Time{}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// LastRenewal returns when the last heartbeat that reached the table was sent.
// Other instances start to count this one's lease no earlier than that.
func (k *Coordinator) LastRenewal() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastRenewal
}

// CutOff reports whether the table has been unreachable for longer than
// cutOffAfter.
func (k *Coordinator) CutOff(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.lastContact) > cutOffAfter
}

// Directory returns the last known list of instances.
func (k *Coordinator) Directory() []ports.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.directory
}

// Offer sets the list of instances to one from a peer if none has been read from
// the platform yet.
func (k *Coordinator) Offer(list []ports.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.directory) == 0 {
		k.directory = list
	}
}

// step performs one round: list, heartbeat, audit, reconciliation.
func (k *Coordinator) step(ctx context.Context) {
	now := clock.Now()
	if k.pauseGuard.Tick(now) {
		level.Warn(k.Log).Log("msg", "this process was paused", "action", "reading the rows of its racks again")
		k.mu.Lock()
		k.lastAudit = time.Time{}
		k.mu.Unlock()
	}
	k.refreshDirectory(ctx, now)
	k.renewMemberRow(ctx, now)
	k.audit(ctx, now)
	k.reconcile(ctx)
}

// refreshDirectory reads the platform's list of instances, which also marks
// leaving workers.
func (k *Coordinator) refreshDirectory(ctx context.Context, now time.Time) {
	if now.Sub(k.lastHeartbeat) < heartbeatInterval {
		return
	}
	list, err := k.List.List(ctx, "", k.directoryVersion)
	if err != nil {
		return
	}
	k.mu.Lock()
	if !list.Unchanged {
		k.directory = list.Instances
		k.directoryVersion = list.Version
	}
	directory := k.directory
	k.mu.Unlock()
	for _, in := range directory {
		if in.Role == ports.RoleEntry && in.ID != k.Instance {
			k.Peers.AddAddr(in.Addr, now)
		}
	}
	if !list.Unchanged {
		k.Racks.SetWorkers(directory)
	}
}

// renewMemberRow writes a heartbeat into the member row of this instance.
func (k *Coordinator) renewMemberRow(ctx context.Context, now time.Time) {
	if now.Sub(k.lastHeartbeat) < heartbeatInterval {
		return
	}
	k.lastHeartbeat = now
	k.heartbeat++
	row := encodeRow(memberRow{Boot: k.Boot, Beat: k.heartbeat, At: clock.Wall().Unix()})
	txn := ports.Txn{Puts: []ports.Put{{Key: memberKey(k.Hall, k.Name()), Value: row}}}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if _, err := k.Table.Commit(ctx, txn); err != nil {
		return
	}
	fault.At(fault.Renewed)
	k.recordContact(now)
	k.mu.Lock()
	k.lastRenewal = now
	k.mu.Unlock()
}

// recordContact records that the table answered a request that was sent at the
// given time.
func (k *Coordinator) recordContact(sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := clock.Now(); now.Sub(k.lastContact) > MemberLease {
		// Others may have taken racks over while the table was unreachable.
		k.lastAudit = time.Time{}
	}
	k.lastContact = sent
}

// audit reads the rows of the owned racks and drops those that now belong to
// another instance.
func (k *Coordinator) audit(ctx context.Context, now time.Time) {
	k.mu.Lock()
	due := now.Sub(k.lastAudit) > auditInterval
	k.mu.Unlock()
	owned := k.Racks.Owned()
	if !due || len(owned) == 0 {
		return
	}
	rows, err := k.rackRows(ctx, sortedNames(owned))
	if err != nil {
		return
	}
	k.mu.Lock()
	k.lastAudit = now
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

func sortedNames(owned map[string]lease.Epoch) []string {
	out := make([]string, 0, len(owned))
	for r := range owned {
		out = append(out, r)
	}
	sort.Strings(out)
	return out
}

// versionedRackRow is the row of a rack with its version in the table.
type versionedRackRow struct {
	owner   string
	epoch   uint64
	version uint64
}

// rackRows reads the rows of racks, by rack.
func (k *Coordinator) rackRows(ctx context.Context, racks []string) (map[string]versionedRackRow, error) {
	keys := make([]string, len(racks))
	for i, r := range racks {
		keys[i] = RackKey(k.Hall, r)
	}
	sent := clock.Now()
	rows, err := k.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	k.recordContact(sent)
	out := make(map[string]versionedRackRow, len(rows))
	for i, row := range rows {
		r, err := DecodeRack(row.Value)
		if err != nil {
			return nil, err
		}
		out[racks[i]] = versionedRackRow{owner: r.Owner, epoch: r.Epoch, version: row.Version}
	}
	return out, nil
}

// workersByRack returns the workers of each rack of the hall, as listed.
func (k *Coordinator) workersByRack() map[string][]ports.Instance {
	out := make(map[string][]ports.Instance)
	for _, in := range k.Directory() {
		if in.Role == ports.RoleWorker && in.Hall == k.Hall && in.Rack != "" {
			out[in.Rack] = append(out[in.Rack], in)
		}
	}
	return out
}

// members returns the live instances of the hall that may own racks.
func (k *Coordinator) members(now time.Time) []string {
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

// reconcile takes over, hands over and drops racks to reach the assignment.
func (k *Coordinator) reconcile(ctx context.Context) {
	if k.isStopping() {
		return
	}
	now := clock.Now()
	racks := k.workersByRack()
	claims := k.currentClaims(now)
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
	k.recordLocalTakeovers(ctx, racks)
	k.rebalance(ctx, target)
}

// currentClaims returns the owners of the racks of the hall, this instance
// included. It drops a rack that a peer owns under a higher epoch.
func (k *Coordinator) currentClaims(now time.Time) map[string]Claim {
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
		k.lastClaims[r] = c
	}
	return claims
}

func (k *Coordinator) isStopping() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopping
}
