// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"context"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/wire"
)

// level hands on a rack that another instance should own.
func (k *Keeper) level(ctx context.Context, target map[string]string) {
	now := clock.Now()
	if now.Sub(k.moved) < moveEvery {
		return
	}
	for _, r := range names(k.Racks.Owned()) {
		to := target[r]
		if to == "" || to == k.Instance {
			continue
		}
		k.moved = now
		closing, cancel := context.WithTimeout(ctx, closeTime)
		closed := k.Racks.Close(closing, r)
		cancel()
		if closed {
			k.handOver(ctx, r, to)
		} else {
			k.moved = clock.Now().Add(closePause)
		}
		k.Racks.Open(r)
		return
	}
}

// handOver writes a peer into the row of a rack and tells it.
func (k *Keeper) handOver(ctx context.Context, rack, to string) {
	peer, ok := k.Peers.Get(to)
	version := k.rows[rack]
	epoch, owned := k.Racks.Owned()[rack]
	if !ok || !owned || version == 0 {
		return
	}
	next := RackRow{Owner: OwnerName(peer.Instance, peer.Boot), Epoch: epoch.Table + 1}
	key := RackKey(k.Hall, rack)
	txn := ports.Txn{
		Checks: []ports.Check{{Key: key, Version: version}},
		Puts:   []ports.Put{{Key: key, Value: encodeRow(next)}},
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	res, err := k.Table.Commit(ctx, txn)
	if kind.Is(err, kind.Lost) {
		// The row says who owns the rack; the next audit reads it.
		k.Nudge()
		return
	}
	if err != nil || len(res.Failed) > 0 {
		return
	}
	fault.At(fault.HandedOver)
	level.Info(k.Log).Log("msg", "rack handed over", "rack", rack, "to", to, "epoch", next.Epoch)
	k.Racks.Drop(rack)
	req := &wire.Request{Body: &wire.Request_Handover{Handover: &wire.Handover{Rack: rack, EpochTable: next.Epoch}}}
	if _, err := k.Send.Do(ctx, peer.Addr, req); err != nil {
		level.Warn(k.Log).Log("msg", "handover not delivered", "rack", rack, "to", to, "err", err)
	}
}

// Leave hands all racks on, for a planned stop. Run must have ended. Racks for
// which there is no peer keep their row; the row of this instance is removed,
// so that whoever comes next need not wait.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	now := clock.Now()
	owned := k.Racks.Owned()
	claims := k.Peers.Claims(k.Hall, now)
	present := make(map[string]string)
	all := names(owned)
	for r, c := range claims {
		present[r] = c.Owner
		if _, mine := owned[r]; !mine {
			all = append(all, r)
		}
	}
	target := Assign(all, k.members(now), present)
	closing, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	for _, r := range names(owned) {
		if target[r] == "" {
			continue
		}
		if !k.Racks.Close(closing, r) {
			level.Warn(k.Log).Log("msg", "rack handed over before all that was placed was sent", "rack", r)
		}
		k.handOver(ctx, r, target[r])
	}
	txn := ports.Txn{Puts: []ports.Put{{Key: memberKey(k.Hall, k.Name()), Delete: true}}}
	if _, err := k.Table.Commit(ctx, txn); err != nil {
		level.Warn(k.Log).Log("msg", "member row not removed", "err", err)
	}
}
