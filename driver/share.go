// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

// A job that several cells share belongs to one of them, its home cell, which writes its end. The
// other cells run their tasks, each with its own record, until the job's specification is removed,
// which happens when the end is written.

// sharesInterval is the interval between checks whether jobs of other cells have ended. A
// cancellation is sent to all cells of the job; the check covers the case that this message is
// lost.
const sharesInterval = 3 * time.Second

// runsTasksOf reports whether this cell runs tasks of a job.
func (d *Driver) runsTasksOf(spec *flow.Spec) bool {
	_, ok := spec.Share(d.Name)
	return ok
}

// watchShares ends this cell's part of other cells' jobs when those jobs have ended.
func (d *Driver) watchShares() {
	for d.ctx.Err() == nil {
		d.sleep(sharesInterval)
		d.endSharesOver()
	}
}

// endSharesOver ends this cell's part of the jobs that have ended.
func (d *Driver) endSharesOver() {
	d.mu.Lock()
	foreign := d.cell.Foreign()
	d.mu.Unlock()
	for _, id := range foreign {
		page, err := d.Store.Get(d.ctx, rows.KeyRange(SpecKey(id)))
		// A row that cannot be decoded is there: the job has not ended.
		if err == nil && len(page.Rows)+len(page.BadRows) == 0 {
			d.endShare(id)
		}
	}
}

// endShare ends this cell's part of a job of another cell.
func (d *Driver) endShare(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, _ := d.cell.State(id); !s.Final() {
		level.Info(d.Log).Log("event", "share_orphaned", "job", id, "cell", d.Name, "epoch", d.Claim.Epoch(), "state", string(s))
	}
	d.cell.Cancel(id, clock.Now())
	d.cell.Archived(id)
	notify(d.placeNow)
	notify(d.commitNow)
}

// Cells returns the cells that run tasks of a job that this cell has, the home cell first.
func (d *Driver) Cells(id string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.Cells(id)
}

// EndsElsewhere reports whether another cell decides how a job ends.
func (d *Driver) EndsElsewhere(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.EndsElsewhere(id)
}

// ownJobs returns the jobs whose end this cell writes.
func ownJobs(all []cell.EndedJob) []cell.EndedJob {
	var out []cell.EndedJob
	for _, o := range all {
		if !o.Foreign {
			out = append(out, o)
		}
	}
	return out
}
