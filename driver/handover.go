// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

const (
	// leaseEndsName is the name of the row with the leases that an owner was still waiting for when it
	// handed its cell over.
	leaseEndsName = "lease-ends"
	// maxLeaseEnds limits the workers that the row names, so that it fits the store's size limit. The
	// next owner waits for a whole lease of each worker that is not named.
	maxLeaseEnds = 400
)

// leaseEnds says for how long the leases of workers may last that do not answer. The times count from
// some moment before the cell was released, and so no later than from when the next owner took it,
// whatever the clocks of the two show.
type leaseEnds struct {
	// Epoch is that of the owner that wrote the row. Only the owner of the next epoch may use it:
	// leases may have been given since by an owner between the two.
	Epoch uint64 `json:"epoch"`
	// LeftMS holds the remaining times by worker, in milliseconds.
	LeftMS map[string]int64 `json:"left_ms"`
}

func (d *Driver) leaseEndsKey() rows.Key {
	return rows.Key{Table: claim.Table, Part: d.Name, Name: leaseEndsName}
}

// Handover returns what is to be written together with the release of the cell: when the leases of the
// workers end that do not answer. Without it each owner in a row of planned restarts waits for whole
// leases again before it starts the tasks of such a worker elsewhere. The driver has to be frozen, so
// that it gives no more leases.
func (d *Driver) Handover() rows.Tx {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	ends := leaseEnds{Epoch: d.Claim.Epoch(), LeftMS: make(map[string]int64)}
	for _, l := range d.links {
		if len(ends.LeftMS) == maxLeaseEnds {
			break
		}
		switch {
		case !d.mayRun(l):
			// The worker list in the store may still name it.
			ends.LeftMS[l.id] = 0
		case !l.attached:
			ends.LeftMS[l.id] = max(l.leasesEnd.Sub(now), 0).Milliseconds() + 1
		}
	}
	if len(ends.LeftMS) == 0 {
		return rows.Tx{}
	}
	level.Info(d.Log).Log("event", "lease_ends_handed_over", "cell", d.Name, "epoch", ends.Epoch, "workers", len(ends.LeftMS))
	return rows.Tx{Put: []rows.Row{{Key: d.leaseEndsKey(), Value: flow.Encode(ends)}}}
}

// restoreLeaseEnds applies the lease ends that the former owner handed over. The lock is held.
func (d *Driver) restoreLeaseEnds(all []rows.Row) {
	for _, row := range all {
		var ends leaseEnds
		if err := json.Unmarshal(row.Value, &ends); err != nil {
			level.Error(d.Log).Log("event", "bad_worker_list", "row", row.Name, "err", err)
			continue
		}
		if ends.Epoch+1 != d.Claim.Epoch() {
			continue
		}
		for id, ms := range ends.LeftMS {
			if l := d.links[id]; l != nil {
				l.leasesEnd = d.startedAt.Add(slowClockDuration(time.Duration(ms) * time.Millisecond))
			}
		}
	}
}
