// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/wire"
)

// observedRow is the member row of an unresponsive owner: its version and when
// this instance first saw that version.
type observedRow struct {
	version uint64
	since   time.Time
}

// takeOver tries to own racks that no live instance claims: those that are
// assigned to this instance, and those whose row already names it, even if they
// are assigned to another instance by now. While this instance lives, nobody else
// may take a rack that was handed to it.
func (k *Coordinator) takeOver(ctx context.Context, unclaimed []string, target map[string]string, racks map[string][]ports.Instance) {
	if len(unclaimed) == 0 {
		return
	}
	sort.Strings(unclaimed)
	rows, err := k.rackRows(ctx, unclaimed)
	if err != nil {
		k.takeWithoutTable(k.assignedHere(unclaimed, target), racks)
		return
	}
	members, err := k.memberVersions(ctx, rows)
	if err != nil {
		return
	}
	for _, r := range unclaimed {
		row := rows[r]
		switch {
		case row.owner != k.Name() && target[r] != k.Instance:
		case row.owner == k.Name():
			k.adopt(r, lease.Epoch{Table: row.epoch}, row.version, racks[r])
		case row.owner == "" || k.lapsed(row.owner, members[row.owner]) || k.givenUp(r, row.owner):
			k.claimRack(ctx, r, row, members[row.owner], racks[r])
		}
	}
}

// assignedHere returns the racks that are assigned to this instance.
func (k *Coordinator) assignedHere(racks []string, target map[string]string) []string {
	var out []string
	for _, r := range racks {
		if target[r] == k.Instance {
			out = append(out, r)
		}
	}
	return out
}

// memberVersions returns the versions of the member rows of the owners, 0 for an
// owner without one.
func (k *Coordinator) memberVersions(ctx context.Context, rows map[string]versionedRackRow) (map[string]uint64, error) {
	set := make(map[string]bool)
	for _, row := range rows {
		if row.owner != "" && row.owner != k.Name() {
			set[row.owner] = true
		}
	}
	if len(set) == 0 {
		return nil, nil
	}
	owners := sortedKeys(set)
	keys := make([]string, len(owners))
	for i, o := range owners {
		keys[i] = memberKey(k.Hall, o)
	}
	found, err := k.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	out := make(map[string]uint64, len(owners))
	for i, row := range found {
		out[owners[i]] = row.Version
	}
	return out, nil
}

// lapsed reports whether the member row of an owner has not changed for the
// length of its lease. A missing row counts as lapsed: its owner has left.
func (k *Coordinator) lapsed(owner string, version uint64) bool {
	now := clock.Now()
	if version == 0 {
		return true
	}
	w, ok := k.memberRows[owner]
	if !ok || w.version != version {
		k.memberRows[owner] = observedRow{version: version, since: now}
		return false
	}
	return now.Sub(w.since) > MemberLease+lease.Margin(MemberLease)
}

// claimRack writes this instance into the row of a rack. The check on the member
// row of the previous owner makes the commit fail if that owner has sent a heartbeat
// meanwhile.
func (k *Coordinator) claimRack(ctx context.Context, rack string, row versionedRackRow, member uint64, workers []ports.Instance) {
	next := RackRow{Owner: k.Name(), Epoch: row.epoch + 1}
	txn := ports.Txn{
		Checks: []ports.Check{{Key: RackKey(k.Hall, rack), Version: row.version}},
		Puts:   []ports.Put{{Key: RackKey(k.Hall, rack), Value: encodeRow(next)}},
	}
	if row.owner != "" {
		key := memberKey(k.Hall, row.owner)
		txn.Checks = append(txn.Checks, ports.Check{Key: key, Version: member})
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := k.Table.Commit(ctx, txn)
	if err != nil || len(res.Failed) > 0 {
		// If the commit succeeded but its answer was lost, the next step finds it in the row.
		return
	}
	fault.At(fault.LeaseTaken)
	level.Info(k.Log).Log("msg", "rack taken", "rack", rack, "epoch", next.Epoch, "before", row.owner)
	k.adopt(rack, lease.Epoch{Table: next.Epoch}, res.Version, workers)
}

// adopt starts to own a rack; version is that of its row, 0 if it was not written.
func (k *Coordinator) adopt(rack string, epoch lease.Epoch, version uint64, workers []ports.Instance) {
	k.rowVersions[rack] = version
	k.Racks.Adopt(rack, epoch, version, workers)
}

// takeWithoutTable takes racks over when the table has been unreachable for some
// time. The workers protect the previous owner: they accept a new one only once its
// lease has expired.
func (k *Coordinator) takeWithoutTable(wanted []string, racks map[string][]ports.Instance) {
	if !k.CutOff(clock.Now()) {
		return
	}
	for _, r := range wanted {
		before, ok := k.lastClaims[r]
		if !ok {
			continue
		}
		level.Warn(k.Log).Log("msg", "rack taken without the table", "rack", r, "before", before.Owner)
		k.adopt(r, before.Epoch.NextLocal(), 0, racks[r])
	}
}

// recordLocalTakeovers writes the racks that were taken over without the table into
// it once it is reachable. Until then their rows still name the previous owner.
func (k *Coordinator) recordLocalTakeovers(ctx context.Context, racks map[string][]ports.Instance) {
	var local []string
	for r := range k.Racks.Owned() {
		if k.rowVersions[r] == 0 {
			local = append(local, r)
		}
	}
	if len(local) == 0 || k.CutOff(clock.Now()) {
		return
	}
	own := make(map[string]string, len(local))
	for _, r := range local {
		own[r] = k.Instance
	}
	k.takeOver(ctx, local, own, racks)
}

// givenUp reports whether a rack that this instance owns was given up by the owner that its
// row still names: that boot of the owner is live and no longer claims the rack. Without this
// check, an owner that was only paused while the table was unreachable sends heartbeats again
// and never lapses, so the row is never updated and the rack accepts no jobs for as long as
// the owner lives.
func (k *Coordinator) givenUp(rack, owner string) bool {
	if _, owned := k.Racks.Owned()[rack]; !owned {
		return false
	}
	for _, p := range k.Peers.Live(k.Hall, clock.Now()) {
		if OwnerName(p.Instance, p.Boot) == owner {
			return !slices.ContainsFunc(p.Racks, func(r *wire.Rack) bool { return r.Rack == rack })
		}
	}
	return false
}
