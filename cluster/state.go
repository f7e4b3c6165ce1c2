// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
)

// State returns the state of a job. Its error is of kind NotFound if there is no such job, or only
// one of another client account.
func (n *Instance) State(ctx context.Context, id string) (flow.State, error) {
	s, from, err := n.jobState(ctx, id)
	if err != nil {
		return "", hideOtherAccount(err)
	}
	if s.Final() && n.endsShown.note(id) {
		level.Info(n.kit.Log).Log("event", "end_shown", "job", id, "state", s, "from", from)
	}
	return s, nil
}

// stateSource is where the state that a caller is shown comes from.
type stateSource string

const (
	fromOwnCell stateSource = "own cell"
	fromOwner   stateSource = "owner of the cell"
	fromStore   stateSource = "store"
)

// jobState is State with the source of the state; its error is of kind Unauthorized for a job of another
// client account.
func (n *Instance) jobState(ctx context.Context, id string) (flow.State, stateSource, error) {
	if s, known, err := n.ownState(ctx, id); known || err != nil {
		return s, fromOwnCell, err
	}
	// The owner is asked first: it knows the job unless that ended long ago.
	likely := n.likelyCell(id)
	if likely != "" {
		if s, err := n.askOwner(ctx, likely, id, false); err == nil {
			return n.combinedState(ctx, id, s, likely, n.jobCells.get(id)), fromOwner, nil
		} else if kind.Is(err, kind.Unauthorized) {
			return "", "", err
		} else if kind.Is(err, kind.NotFound) {
			n.forgetCells(id)
		}
	}
	remembered := n.jobCells.get(id) != nil
	cells, err := n.cellsOf(ctx, id)
	if err != nil {
		return "", "", err
	}
	cell := cells[0]
	if cell != likely && n.ownDriver(cell) == nil {
		if s, err := n.askOwner(ctx, cell, id, false); err == nil || kind.Is(err, kind.Unauthorized) {
			return s, fromOwner, err
		}
	}
	if err := n.authorize(ctx, id); err != nil {
		return "", "", err
	}
	state, err := n.storedState(ctx, cell, id)
	if err == nil && state == flow.Pending && remembered {
		// A job that was deleted after its retention time has neither a record nor an end, like one
		// that has not begun: only the home row tells them apart.
		_, err = n.readCellsOf(ctx, id)
	}
	return state, fromStore, err
}

// ownState returns the state of a job of an own cell, and whether there is one that decides it.
func (n *Instance) ownState(ctx context.Context, id string) (s flow.State, known bool, err error) {
	for name, c := range n.ownCells() {
		s, ok := c.driver.State(id)
		// A cell that ends its part of another cell's job cancels it, however the job has ended.
		if !ok || s.Final() && c.driver.EndsElsewhere(id) {
			continue
		}
		account, checked := config.Caller(ctx)
		if _, err := authorizeInCell(c.driver, id, account, checked); err != nil {
			return "", false, err
		}
		return n.combinedState(ctx, id, s, name, c.driver.Cells(id)), true, nil
	}
	return "", false, nil
}

// combinedState returns the state of a job given the state reported by one of its cells, reporter:
// it is Running if any of its cells says so.
func (n *Instance) combinedState(ctx context.Context, id string, reported flow.State, reporter string, cells []string) flow.State {
	for _, cell := range cells {
		if reported != flow.Pending {
			break
		}
		if cell == reporter {
			continue
		}
		if d := n.ownDriver(cell); d != nil {
			if s, known := d.State(id); known && s == flow.Running {
				return s
			}
			continue
		}
		if s, err := n.askOwner(ctx, cell, id, false); err == nil && s == flow.Running {
			return s
		}
	}
	return reported
}

// storedState returns the state of a job as the store has it.
func (n *Instance) storedState(ctx context.Context, cell, id string) (flow.State, error) {
	record, err := n.readJobRow(ctx, driver.RecordKey(cell, id))
	if err != nil {
		return "", err
	}
	state := flow.Pending
	if record.Ver > 0 {
		rec, err := flow.DecodeRecord(record.Value)
		if err != nil {
			return "", kind.Wrap(kind.Damaged, err, "the job's record")
		}
		state = rec.Shown()
	}
	if state.Final() {
		return state, nil
	}
	// The end may be written in a row of its own, before the record or in place of it.
	ended, err := n.readJobRow(ctx, driver.EndedKey(id))
	switch {
	case err != nil:
		return "", err
	case ended.Ver == 0:
		return state, nil
	}
	e, err := flow.DecodeFinalRecord(ended.Value)
	if err != nil {
		return "", kind.Wrap(kind.Damaged, err, "the end of the job")
	}
	return e.State, nil
}
