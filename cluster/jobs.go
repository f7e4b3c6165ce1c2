// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"dewpass.org/config"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

// askTimeout limits the time for the owner of a cell to answer.
const askTimeout = 700 * time.Millisecond

// likelyCell returns the cell, owned by another instance, that has a job if any has: the one that
// was seen to have it, or the only cell. It returns "" if that is not known.
func (n *Instance) likelyCell(id string) string {
	cell := ""
	if cells := n.jobCells.get(id); len(cells) > 0 {
		cell = cells[0]
	} else if names := n.division.cells(); len(names) == 1 {
		cell = names[0]
	}
	if n.ownDriver(cell) != nil {
		return ""
	}
	return cell
}

// cellsOf returns the cells that run a job, its home cell first.
func (n *Instance) cellsOf(ctx context.Context, id string) ([]string, error) {
	if cells := n.jobCells.get(id); cells != nil {
		return cells, nil
	}
	return n.readCellsOf(ctx, id)
}

// forgetCells forgets which cells run a job, since the owner of one does not know the job: it may have
// moved to another cell.
func (n *Instance) forgetCells(id string) {
	if n.division.several() {
		n.jobCells.drop(id)
	}
}

// readCellsOf reads from the store which cells run a job.
func (n *Instance) readCellsOf(ctx context.Context, id string) ([]string, error) {
	row, err := n.readJobRow(ctx, driver.HomeKey(id))
	if err != nil {
		return nil, err
	}
	cells := driver.HomeCells(row.Value)
	switch {
	case row.Ver == 0, driver.HomeWithdrawal(row.Value).Any():
		n.jobCells.drop(id)
		return nil, kind.New(kind.NotFound, "no job has this id")
	case len(cells) == 0:
		return nil, kind.New(kind.Damaged, "the job's home row names no cell")
	}
	n.jobCells.setRow(id, cells, driver.HomeAccess(row.Value))
	return cells, nil
}

// askOwner asks the owner of a cell for a job's state, or to cancel the job.
func (n *Instance) askOwner(ctx context.Context, cell, id string, cancelJob bool) (flow.State, error) {
	o := n.members.owner(cell, clock.Now())
	if o == nil {
		return "", kind.New(kind.Unavailable, "no owner of the cell is known").WithRetryAfter(n.retryAfter(id))
	}
	limit := askTimeout
	if cancelJob {
		limit = cancelTimeout
	}
	account, checked := config.Caller(ctx)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := n.dialer.Do(ctx, o.addr, &wire.Request{Body: &wire.Request_AskJob{
		AskJob: &wire.JobAsk{Cell: cell, Id: id, Cancel: cancelJob, Account: account, Checked: checked},
	}})
	if err == nil && !cancelJob {
		err = n.authorizeAnswer(ctx, id, reply.GetJobState())
	}
	if err != nil {
		return "", err
	}
	return flow.State(reply.GetJobState().GetState()), nil
}

// readJobRow reads a row of a job; its version is 0 if there is none. A row that cannot be decoded is an
// error of kind Damaged. It fails at once while the store is known to be unreachable.
func (n *Instance) readJobRow(ctx context.Context, key rows.Key) (rows.Row, error) {
	if n.storeClient.KnownUnreachable() {
		return rows.Row{}, kind.New(kind.Unavailable, "the store is not reached").WithRetryAfter(n.retryAfter(key.Name))
	}
	page, err := n.storeClient.Get(ctx, rows.KeyRange(key))
	if err != nil {
		return rows.Row{}, kind.Wrap(kind.Unavailable, err, "the job's row in "+key.Table).WithRetryAfter(n.retryAfter(key.Name))
	}
	if len(page.BadRows) > 0 {
		return rows.Row{}, kind.New(kind.Damaged, "the job's row in "+key.Table+" cannot be decoded: "+page.BadRows[0].Reason)
	}
	return page.First(), nil
}

// Pending returns how many accepted jobs of a queue have not begun.
func (n *Instance) Pending(queue string) int {
	sum := 0
	known := make(map[string]bool)
	for name, c := range n.ownCells() {
		if !c.driver.Ready() {
			continue
		}
		known[name] = true
		l := c.driver.Load()
		sum += l.Pending[queue]
	}
	return sum + n.members.pending(queue, clock.Now(), func(cell string) bool { return known[cell] })
}
