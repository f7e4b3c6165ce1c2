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

// watch is the row of a silent owner as first seen.
type watch struct {
	version uint64
	since   time.Time
}

// takeOver tries to own racks that nobody live claims: those that should be
// this instance's, and those that were handed to it, whoever should own them by
// now. Nobody else may take what was handed to an instance that lives.
func (k *Keeper) takeOver(ctx context.Context, unclaimed []string, target map[string]string, racks map[string][]ports.Instance) {
	if len(unclaimed) == 0 {
		return
	}
	sort.Strings(unclaimed)
	rows, err := k.rackRows(ctx, unclaimed)
	if err != nil {
		k.takeLocally(k.mine(unclaimed, target), racks)
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
			k.claim(ctx, r, row, members[row.owner], racks[r])
		}
	}
}

// mine returns the racks that should be this instance's.
func (k *Keeper) mine(racks []string, target map[string]string) []string {
	var out []string
	for _, r := range racks {
		if target[r] == k.Instance {
			out = append(out, r)
		}
	}
	return out
}

// memberVersions returns the versions of the rows of the owners; 0 for those
// that have none.
func (k *Keeper) memberVersions(ctx context.Context, rows map[string]rackState) (map[string]uint64, error) {
	set := make(map[string]bool)
	for _, row := range rows {
		if row.owner != "" && row.owner != k.Name() {
			set[row.owner] = true
		}
	}
	if len(set) == 0 {
		return nil, nil
	}
	owners := sorted(set)
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

// lapsed reports whether the row of an owner has not changed for the length of
// its lease. A row that is gone has lapsed: its owner took its leave.
func (k *Keeper) lapsed(owner string, version uint64) bool {
	now := clock.Now()
	if version == 0 {
		return true
	}
	w, ok := k.watched[owner]
	if !ok || w.version != version {
		k.watched[owner] = watch{version: version, since: now}
		return false
	}
	return now.Sub(w.since) > MemberLease+lease.Margin(MemberLease)
}

// claim writes this instance into the row of a rack. The check on the row of
// the last owner makes it fail if that owner has shown itself meanwhile.
func (k *Keeper) claim(ctx context.Context, rack string, row rackState, member uint64, workers []ports.Instance) {
	next := RackRow{Owner: k.Name(), Epoch: row.epoch + 1}
	txn := ports.Txn{
		Checks: []ports.Check{{Key: RackKey(k.Hall, rack), Version: row.version}},
		Puts:   []ports.Put{{Key: RackKey(k.Hall, rack), Value: encodeRow(next)}},
	}
	if row.owner != "" {
		key := memberKey(k.Hall, row.owner)
		txn.Checks = append(txn.Checks, ports.Check{Key: key, Version: member})
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	res, err := k.Table.Commit(ctx, txn)
	if err != nil || len(res.Failed) > 0 {
		// A lost answer shows in the row, which the next step reads.
		return
	}
	fault.At(fault.LeaseTaken)
	level.Info(k.Log).Log("msg", "rack taken", "rack", rack, "epoch", next.Epoch, "before", row.owner)
	k.adopt(rack, lease.Epoch{Table: next.Epoch}, res.Version, workers)
}

func (k *Keeper) adopt(rack string, epoch lease.Epoch, version uint64, workers []ports.Instance) {
	k.rows[rack] = version
	k.Racks.Adopt(rack, epoch, version, workers)
}

// takeLocally takes racks over without the table, when it has not answered for
// some time. The workers decide: they accept a new owner only once the control
// of the last one has lapsed.
func (k *Keeper) takeLocally(wanted []string, racks map[string][]ports.Instance) {
	if !k.CutOff(clock.Now()) {
		return
	}
	for _, r := range wanted {
		before, ok := k.last[r]
		if !ok {
			continue
		}
		level.Warn(k.Log).Log("msg", "rack taken without the table", "rack", r, "before", before.Owner)
		k.adopt(r, before.Epoch.NextLocal(), 0, racks[r])
	}
}

// confirm writes down the racks that were taken without the table once it is
// back. Until then their row still names the last owner.
func (k *Keeper) confirm(ctx context.Context, racks map[string][]ports.Instance) {
	var local []string
	for r := range k.Racks.Owned() {
		if k.rows[r] == 0 {
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

// givenUp reports whether a rack that is owned here, but not by its row, was given up by
// the owner that the row names: that start of it is live and claims the rack no more.
// Without this, an owner that was only paused while the table was away shows itself in
// the table again, never lapses, and the rack takes no jobs for as long as it lives.
func (k *Keeper) givenUp(rack, owner string) bool {
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
