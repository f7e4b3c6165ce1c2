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

// rebalance hands over at most one rack that is assigned to another instance. A
// rack whose placed work cannot be sent in time is kept for now.
func (k *Coordinator) rebalance(ctx context.Context, target map[string]string) {
	now := clock.Now()
	if now.Sub(k.lastMove) < moveInterval {
		return
	}
	for _, r := range sortedNames(k.Racks.Owned()) {
		to := target[r]
		if to == "" || to == k.Instance {
			continue
		}
		k.lastMove = now
		closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
		closed := k.Racks.Close(closeCtx, r)
		cancel()
		if closed {
			k.handOver(ctx, r, to)
		} else {
			k.lastMove = clock.Now().Add(closeRetryDelay)
		}
		k.Racks.Open(r)
		return
	}
}

// handOver writes a peer as the owner into the row of a rack and notifies the peer.
func (k *Coordinator) handOver(ctx context.Context, rack, to string) {
	peer, ok := k.Peers.Get(to)
	version := k.rowVersions[rack]
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
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := k.Table.Commit(ctx, txn)
	if kind.Is(err, kind.Lost) {
		// The commit may have succeeded; the audit reads the row and finds out.
		k.RequestAudit()
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

// Leave hands all racks over for a planned stop. Run must have returned. Racks
// for which there is no peer keep their row. The member row of this instance is
// removed, so that the next owner need not wait for its lease.
func (k *Coordinator) Leave(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	now := clock.Now()
	owned := k.Racks.Owned()
	claims := k.Peers.Claims(k.Hall, now)
	present := make(map[string]string)
	all := sortedNames(owned)
	for r, c := range claims {
		present[r] = c.Owner
		if _, mine := owned[r]; !mine {
			all = append(all, r)
		}
	}
	target := Assign(all, k.members(now), present)
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, r := range sortedNames(owned) {
		if target[r] == "" {
			continue
		}
		if !k.Racks.Close(closeCtx, r) {
			level.Warn(k.Log).Log("msg", "rack handed over with placed work not yet sent", "rack", r)
		}
		k.handOver(ctx, r, target[r])
	}
	txn := ports.Txn{Puts: []ports.Put{{Key: memberKey(k.Hall, k.Name()), Delete: true}}}
	if _, err := k.Table.Commit(ctx, txn); err != nil {
		level.Warn(k.Log).Log("msg", "member row not removed", "err", err)
	}
}
