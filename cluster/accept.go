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
	"dewpass.org/rows"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

const (
	// acceptTime bounds the keeping of a job.
	acceptTime = 2200 * time.Millisecond
	// acceptLook is how long the store may be without an answer before it is
	// asked whether it has the job.
	acceptLook = 150 * time.Millisecond
	// acceptLookTime bounds that question as that for a cell lease is, so that the write is
	// sent again, on another connection, well within acceptTime.
	acceptLookTime = 4 * acceptLook
	acceptRetry    = 60 * time.Millisecond
	// awaitEvery spaces the looks of a caller that waits for the store: a few milliseconds
	// of the quarter of a second that it waits.
	awaitEvery = 10 * time.Millisecond
	// tellTime bounds the telling of a cell's owner; the owner finds the job by
	// itself later.
	tellTime  = 4 * time.Second
	tellOnce  = 400 * time.Millisecond
	tellRetry = 80 * time.Millisecond
)

// Submit keeps a job in the store and tells the owner of its cell. It returns
// nil also if the job was kept before. Errors are of kind Unavailable (not
// taken, and never runs) or Lost. It needs the store and no owner: a job that
// comes while a cell changes hands waits in the store.
func (n *Instance) Submit(ctx context.Context, spec *flow.Spec) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	if !n.awaitStore(ctx) {
		return n.refuse(spec.ID, "the store is not reached")
	}
	cell := n.choose(spec)
	if cell == "" {
		return n.refuse(spec.ID, "the cells are not known yet")
	}
	begun := clock.Now()
	spec.AcceptedMS = clock.Wall().UnixMilli()
	spec.Hall = n.hallFor(cell, spec.ID)
	spec.Shares = n.division.shares(spec, cell)
	k, err := n.keep(ctx, cell, spec)
	if err != nil {
		level.Info(n.kit.Log).Log("event", "not_kept", "job", spec.ID, "cell", cell, "err", err, "last", true)
		n.kit.Scope.Counter("jobs_not_kept_total").Inc(1)
		return err
	}
	if !k.written && n.isForeign(ctx, spec) {
		level.Info(n.kit.Log).Log("event", "refused", "job", spec.ID, "account", spec.Account, "why", "the id is another account's", "last", true)
		return kind.New(kind.KeyReused, "the id belongs to a job of another client account")
	}
	level.Info(n.kit.Log).Log("event", "accepted", "job", spec.ID, "queue", spec.Queue, "account", spec.Account, "config", n.config.Version(), "cell", k.cells[0], "cells", len(k.cells), "fresh", k.fresh, "version", k.ver, "took_ms", clock.Since(begun).Milliseconds())
	n.kit.Scope.Counter("jobs_accepted_total").Inc(1)
	n.kit.Scope.Histogram("accept_seconds", telemetry.Latency()).RecordDuration(clock.Since(begun))
	n.homes.set(spec.ID, k.cells)
	// The same write may have gone two ways, and the answer may be that of the
	// second: the owner is told in any case.
	go n.announce(k, spec)
	return nil
}

// isForeign reports whether the job that the store has under the id of spec is known to be another
// account's.
func (n *Instance) isForeign(ctx context.Context, spec *flow.Spec) bool {
	row, err := n.row(ctx, driver.SpecKey(spec.ID))
	if err != nil || row.Ver == 0 {
		return false
	}
	kept, err := flow.DecodeSpec(row.Value)
	return err == nil && kept.Account != "" && kept.Account != spec.Account
}

// announce tells the owner of a cell of a job as the store has it. Another write may
// have been first, with another hall: were the owner told of this one, it would start
// tasks where the next owner does not look for them.
func (n *Instance) announce(k kept, spec *flow.Spec) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTime)
	defer cancel()
	if !k.written {
		row, err := n.row(ctx, driver.SpecKey(spec.ID))
		if err != nil || row.Ver == 0 {
			// It is over, or its owner finds it by itself.
			return
		}
		if spec, err = flow.DecodeSpec(row.Value); err != nil {
			level.Error(n.kit.Log).Log("event", "bad_spec", "job", row.Name, "err", err)
			return
		}
	}
	var told sync.WaitGroup
	for _, cell := range k.cells {
		told.Go(func() { n.tell(ctx, cell, k.ver, spec) })
	}
	told.Wait()
}

// awaitStore reports whether the store is reached, for which a caller waits for a moment.
func (n *Instance) awaitStore(ctx context.Context) bool {
	if n.storeClient.Reachable() {
		return true
	}
	others := n.waiting.Add(1) - 1
	defer n.waiting.Add(-1)
	by, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, retry.Wait(clock.Until(by), int(others)))
	defer cancel()
	for ctx.Err() == nil && !n.leaving.Load() {
		if n.storeClient.Reachable() {
			return true
		}
		sleep(ctx, awaitEvery)
	}
	return n.storeClient.Reachable()
}

// refuse returns the answer for a job that is not taken.
func (n *Instance) refuse(id, why string) error {
	level.Info(n.kit.Log).Log("event", "refused", "job", id, "why", why, "last", true)
	n.kit.Scope.Counter("jobs_refused_total").Inc(1)
	return kind.New(kind.Unavailable, why).After(n.comeBack(id))
}

// comeBack returns when a caller that is refused now, with a job, should come back.
func (n *Instance) comeBack(id string) time.Duration {
	return retry.After(n.storeClient.Silence(), id)
}

// choose returns the cell for a job: the least loaded one, or one by lot while
// no owner is heard, "" while the cells are not known.
func (n *Instance) choose(spec *flow.Spec) string {
	if p := n.places(spec); len(p) > 0 {
		n.members.sent(p[0].name, spec.Work().Milliseconds())
		return p[0].cell
	}
	return n.division.draw(spec.ID)
}

// hallFor returns the hall in which a job may start without more ado: drawn by the
// room that its cell has free in each, or the own one, which surely is not cut
// off, while the cell's owner is not heard.
func (n *Instance) hallFor(cell, id string) string {
	if d := n.own(cell); d != nil {
		load := d.Load()
		return cmp.Or(drawHall(hallRooms(load), id), n.settings.Hall)
	}
	now := clock.Now()
	for _, o := range n.members.cells(now) {
		if o.cell.Name == cell && now.Sub(o.heard) < hallSilence {
			return cmp.Or(drawHall(o.cell.Halls, id), n.settings.Hall)
		}
	}
	return n.settings.Hall
}

// hallSilence is how long an owner may not have been heard before what it said of
// its halls is not relied on.
const hallSilence = 450 * time.Millisecond

// drawHall draws a hall by lot, each as often as it has free room.
func drawHall(halls []*wire.HallRoom, id string) string {
	var sum int64
	for _, h := range halls {
		sum += h.Free
	}
	if sum <= 0 {
		return ""
	}
	at := int64(draw(id)) % sum
	for _, h := range halls {
		if at -= h.Free; at < 0 {
			return h.Name
		}
	}
	return ""
}

// kept is what became of a job that was handed in: the cells that run it, its own first, the
// version at which the store took it, whether it was new, and whether the store has
// it for certain as this write says.
type kept struct {
	cells   []string
	ver     uint64
	fresh   bool
	written bool
}

// keep writes a job on the condition that no cell has it.
func (n *Instance) keep(ctx context.Context, cell string, spec *flow.Spec) (kept, error) {
	spec.Cell = cell
	home := driver.HomeKey(spec.ID)
	t := rows.Tx{
		Expect: []rows.Check{{Key: home}},
		Put: []rows.Row{
			{Key: home, Value: driver.HomeValue(spec)},
			{Key: driver.SpecKey(spec.ID), Value: flow.Encode(spec)},
		},
	}
	uncertain := false
	for {
		res, err := n.sendKeep(ctx, home, t)
		switch {
		case err == nil && !res.Refused:
			return kept{cells: spec.Cells(), ver: res.Ver, fresh: true, written: true}, nil
		case err == nil:
			// Some cell has it, by this write or by an earlier one.
			return keptBy(res, home, kept{cells: spec.Cells(), fresh: uncertain}), nil
		case !kind.Is(err, kind.Unavailable):
			uncertain = true
			if !n.storeClient.Reachable() {
				return kept{}, kind.Of(err).Uncertain(spec.ID)
			}
		case !uncertain && !n.storeClient.Reachable():
			return kept{}, kind.Of(err).After(n.comeBack(spec.ID))
		}
		sleep(ctx, acceptRetry)
		if ctx.Err() != nil && !uncertain {
			return kept{}, kind.New(kind.Unavailable, "the store takes no writes now").After(n.comeBack(spec.ID))
		}
		if ctx.Err() != nil {
			return kept{}, kind.New(kind.Lost, "the store has not answered").Uncertain(spec.ID)
		}
	}
}

// keptBy completes k by the home of a job that was there before.
func keptBy(res rows.Result, home rows.Key, k kept) kept {
	for _, row := range res.Rows {
		if cells := driver.HomeCells(row.Value); row.Key == home && len(cells) > 0 {
			k.cells, k.ver = cells, row.Ver
		}
	}
	return k
}

// sendKeep sends the write once. While there is no answer it asks whether the
// job is there.
func (n *Instance) sendKeep(ctx context.Context, home rows.Key, t rows.Tx) (rows.Result, error) {
	send := rows.Attempt{
		Store: n.storeClient, Tx: t, Every: acceptLook, Limit: n.storeClient.Patience(),
		Look: func(ctx context.Context) (rows.Result, bool, error) { return n.lookKept(ctx, home) },
	}
	res, _, err := send.Send(ctx)
	return res, err
}

// lookKept asks whether a job is there, and reports whether there is no point in
// waiting for the answer of the write that keeps it.
func (n *Instance) lookKept(ctx context.Context, home rows.Key) (rows.Result, bool, error) {
	if !n.storeClient.Reachable() {
		return rows.Result{}, true, kind.New(kind.Lost, "the store is not reached any more")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptLookTime)
	defer cancel()
	page, err := n.storeClient.Get(ctx, rows.Only(home))
	if err == nil && page.One().Ver > 0 {
		return rows.Result{Refused: true, Rows: page.Rows}, true, nil
	}
	return rows.Result{}, false, nil
}

// tell tells the owner of a cell of a job until it has heard, or ctx ends.
func (n *Instance) tell(ctx context.Context, cell string, ver uint64, spec *flow.Spec) {
	raw := flow.Encode(spec)
	for ctx.Err() == nil {
		if n.tellOnce(ctx, cell, ver, spec, raw) == nil {
			return
		}
		sleep(ctx, tellRetry)
	}
	level.Warn(n.kit.Log).Log("event", "owner_not_told", "job", spec.ID, "cell", cell)
}

func (n *Instance) tellOnce(ctx context.Context, cell string, ver uint64, spec *flow.Spec, raw []byte) error {
	if d := n.own(cell); d != nil {
		return d.Adopt(spec, ver)
	}
	o := n.members.owner(cell, clock.Now())
	if o == nil {
		return kind.New(kind.Unavailable, "the cell's owner is not heard")
	}
	ctx, cancel := context.WithTimeout(ctx, tellOnce)
	defer cancel()
	_, err := n.dialer.Do(ctx, o.addr, &wire.Request{Body: &wire.Request_SubmitJob{
		SubmitJob: &wire.JobSubmit{Cell: cell, Spec: raw, Ver: ver},
	}})
	return err
}
