// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/retry"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

const (
	// acceptTimeout limits the time for storing a submitted job.
	acceptTimeout = 2200 * time.Millisecond
	// acceptCheckInterval is how long the write of a job may go unanswered before the store is
	// asked whether it has the job.
	acceptCheckInterval = 150 * time.Millisecond
	// acceptCheckTimeout limits that check, in the same proportion as for a cell lease, so that the
	// write is sent again on another connection well within acceptTimeout.
	acceptCheckTimeout = 4 * acceptCheckInterval
	acceptRetryPause   = 60 * time.Millisecond
	// awaitInterval is how often a caller that waits for the store checks again: a few milliseconds
	// of the quarter of a second that it waits.
	awaitInterval = 10 * time.Millisecond
	// notifyTimeout limits the attempts to notify the owner of a cell; later the owner finds the
	// job in the store itself.
	notifyTimeout        = 4 * time.Second
	notifyAttemptTimeout = 400 * time.Millisecond
	notifyRetryPause     = 80 * time.Millisecond
)

// Submit stores a job and notifies the owner of its cell. It also returns nil if the job was stored
// before. Errors are of kind Unavailable (the job was not accepted and never runs), QueueFull (the
// same, because of the work that waits before it; see admit), KeyReused (the id belongs to another
// client account), Cancelled (the account has cancelled the job before the store had it), BadRequest
// (the job is larger than the store takes) or Lost (not known whether it was accepted). Submit needs
// the store but no owner: a job that is submitted while its cell changes owners waits in the store.
func (n *Instance) Submit(ctx context.Context, spec *flow.Spec) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if !n.awaitStore(ctx) {
		return n.refuse(spec, "store", "the store is not reached")
	}
	cell, owner := n.chooseCell(spec)
	if cell == "" {
		return n.refuse(spec, "division", "the cells are not known yet")
	}
	if err := n.admit(ctx, cell, spec); err != nil {
		return err
	}
	n.members.addSentWork(owner, spec.EstimatedWork().Milliseconds())
	begun := clock.Now()
	spec.AcceptedMS = clock.Wall().UnixMilli()
	spec.Hall = n.startHall(cell, spec.ID)
	spec.Shares = n.runnableIn(n.division.sharedWith(spec, cell), spec)
	k, err := n.storeJob(ctx, cell, spec)
	if err != nil {
		level.Info(n.kit.Log).Log("event", "not_kept", "job", spec.ID, "cell", cell, "err", err, "last", true)
		n.kit.Scope.Counter("jobs_not_kept_total").Inc(1)
		return err
	}
	if err := n.checkSameAccount(ctx, spec, k); err != nil {
		return err
	}
	level.Info(n.kit.Log).Log("event", "accepted", "job", spec.ID, "queue", spec.Queue, "account", spec.Account, "config", n.config.Version(), "cell", k.cells[0], "cells", len(k.cells), "fresh", k.fresh, "version", k.ver, "took_ms", clock.Since(begun).Milliseconds())
	n.kit.Scope.Counter("jobs_accepted_total").Inc(1)
	n.kit.Scope.Histogram("accept_seconds", telemetry.LatencyBuckets()).RecordDuration(clock.Since(begun))
	n.jobCells.setStored(spec.ID, k)
	// The same write may have been sent twice, and this answer may be that of the second one:
	// the owner is notified in any case.
	go n.notifyOwners(k, spec)
	return nil
}

// checkSameAccount returns an error, of kind KeyReused, if the job that the store has under the id of
// spec is known to belong to another client account. If that cannot be read where keys are needed,
// the error is of kind Lost: an acceptance would confirm the job to another account.
func (n *Instance) checkSameAccount(ctx context.Context, spec *flow.Spec, k storedJob) error {
	if k.written {
		return nil
	}
	other, err := n.belongsToOtherAccount(ctx, spec, k.access)
	switch {
	case other:
		level.Info(n.kit.Log).Log("event", "refused", "job", spec.ID, "account", spec.Account, "why", "the id belongs to another client account", "last", true)
		return kind.New(kind.KeyReused, "the id belongs to a job of another client account")
	case err != nil && !k.access.Known() && n.keyNeeded(spec.Account):
		level.Info(n.kit.Log).Log("event", "not_kept", "job", spec.ID, "account", spec.Account, "err", err, "last", true)
		return kind.Wrap(kind.Lost, err, "the account of the job with this id").WithUnknownOutcome(spec.ID)
	}
	return nil
}

// belongsToOtherAccount reports whether a job that is stored under the id of spec is known to belong
// to another client account. Its home row names the account also after its end. The specification
// is read if the home row does not say, or says that all accounts may use the job.
func (n *Instance) belongsToOtherAccount(ctx context.Context, spec *flow.Spec, access driver.Access) (bool, error) {
	if access.Exclusive() {
		return !access.Permits(spec.Account), nil
	}
	row, err := n.readJobRow(ctx, driver.SpecKey(spec.ID))
	if err != nil || row.Ver == 0 {
		return false, err
	}
	kept, err := flow.DecodeSpec(row.Value)
	return err == nil && kept.Account != "" && kept.Account != spec.Account, nil
}

// notifyOwners sends a job, as the store has it, to the owners of its cells. Another write of the
// same job may have won, with another start hall: if the owner got this one, it would start tasks
// where the next owner does not look for them.
func (n *Instance) notifyOwners(k storedJob, spec *flow.Spec) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if !k.written {
		row, err := n.readJobRow(ctx, driver.SpecKey(spec.ID))
		if err != nil || row.Ver == 0 {
			// The job has ended, or its owner finds it by itself.
			return
		}
		if spec, err = flow.DecodeSpec(row.Value); err != nil {
			level.Error(n.kit.Log).Log("event", "bad_spec", "job", row.Name, "err", err)
			return
		}
	}
	var wg sync.WaitGroup
	for _, cell := range k.cells {
		wg.Go(func() { n.notifyOwner(ctx, cell, k.ver, spec) })
	}
	wg.Wait()
}

// awaitStore waits a moment for the store to be reachable, and reports whether it is.
func (n *Instance) awaitStore(ctx context.Context) bool {
	if n.storeClient.Reachable() {
		return true
	}
	others := n.waitingCallers.Add(1) - 1
	defer n.waitingCallers.Add(-1)
	by, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, retry.Wait(clock.Until(by), int(others)))
	defer cancel()
	for ctx.Err() == nil && !n.leaving.Load() {
		if n.storeClient.Reachable() {
			return true
		}
		sleep(ctx, awaitInterval)
	}
	return n.storeClient.Reachable()
}

// refuse logs and counts a job that is not accepted, and returns the error for its caller.
func (n *Instance) refuse(spec *flow.Spec, reason, why string) error {
	level.Info(n.kit.Log).Log("event", "refused", "job", spec.ID, "queue", spec.Queue, "why", why, "last", true)
	n.countRefused(spec.Queue, reason)
	return kind.New(kind.Unavailable, why).WithRetryAfter(n.retryAfter(spec.ID))
}

// countRefused counts a job that is not accepted.
func (n *Instance) countRefused(queue, reason string) {
	n.kit.Scope.Tagged(map[string]string{"queue": queue, "reason": reason}).Counter("jobs_refused_total").Inc(1)
}

// retryAfter returns after what time a caller that is refused now should retry. id spreads the
// retries of several callers.
func (n *Instance) retryAfter(id string) time.Duration {
	return retry.Delay(n.storeClient.Silence(), id)
}

// chooseCell returns a cell with little load for a job and the name of its owner, or a cell chosen by
// hash while no owner is heard. The owner is "" if it is this instance or not known. The cell is ""
// while the cells are not known.
func (n *Instance) chooseCell(spec *flow.Spec) (cell, owner string) {
	if p := n.candidates(n.capacityJob(spec)); len(p) > 0 {
		c := drawCandidate(p, spec.ID)
		return c.Cell, c.Owner
	}
	return n.division.hashCell(spec.ID), ""
}

// startHall returns the hall in which a job may start at once, without further checks. It is drawn
// with a probability in proportion to the room that the cell has free in each hall. While the
// cell's owner is not heard it is the own hall, which is certainly not cut off.
func (n *Instance) startHall(cell, id string) string {
	if d := n.ownDriver(cell); d != nil {
		load := d.Load()
		return cmp.Or(drawHall(hallRooms(load), id), n.settings.Hall)
	}
	now := clock.Now()
	for _, o := range n.members.cells(now) {
		if o.cell.Name == cell && now.Sub(o.heardAt) < hallRoomTTL {
			return cmp.Or(drawHall(o.cell.Halls, id), n.settings.Hall)
		}
	}
	return n.settings.Hall
}

// hallRoomTTL is how long an owner's report of the free room of its halls is used.
const hallRoomTTL = 450 * time.Millisecond

// drawHall draws a hall by a hash of id, each with a probability in proportion to its free room.
func drawHall(halls []*wire.HallRoom, id string) string {
	var sum int64
	for _, h := range halls {
		sum += h.Free
	}
	if sum <= 0 {
		return ""
	}
	at := int64(hash32(id)) % sum
	for _, h := range halls {
		if at -= h.Free; at < 0 {
			return h.Name
		}
	}
	return ""
}

// notifyOwner sends a job to the owner of a cell until that has it or ctx ends.
func (n *Instance) notifyOwner(ctx context.Context, cell string, ver uint64, spec *flow.Spec) {
	raw := flow.EncodeSpec(spec)
	for ctx.Err() == nil {
		err := n.notifyOwnerOnce(ctx, cell, ver, spec, raw)
		if err == nil || kind.Is(err, kind.Conflict) {
			// The owner has it, or has moved it to another cell since.
			return
		}
		sleep(ctx, notifyRetryPause)
	}
	level.Warn(n.kit.Log).Log("event", "owner_not_told", "job", spec.ID, "cell", cell)
}

func (n *Instance) notifyOwnerOnce(ctx context.Context, cell string, ver uint64, spec *flow.Spec, raw []byte) error {
	if d := n.ownDriver(cell); d != nil {
		return d.Adopt(spec, ver)
	}
	o := n.members.owner(cell, clock.Now())
	if o == nil {
		return kind.New(kind.Unavailable, "no owner of the cell is known")
	}
	ctx, cancel := context.WithTimeout(ctx, notifyAttemptTimeout)
	defer cancel()
	_, err := n.dialer.Do(ctx, o.addr, &wire.Request{Body: &wire.Request_SubmitJob{
		SubmitJob: &wire.JobSubmit{Cell: cell, Spec: raw, Ver: ver},
	}})
	return err
}
