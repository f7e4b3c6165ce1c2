// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

// A job that several cells share belongs to one of them, its home, which writes its end. The
// others run their tasks, each with a record of its own, until the job's row is gone: it goes
// with the end.

// sharesEvery spaces the looks whether jobs of other cells are over. Whoever cancels a job tells
// all of its cells; this is for the case that it is lost on the way.
const sharesEvery = 3 * time.Second

// HomeValue returns what the row at HomeKey says of a job: its cells, its own first.
func HomeValue(spec *flow.Spec) []byte { return []byte(strings.Join(spec.Cells(), " ")) }

// HomeCells reads such a row.
func HomeCells(value []byte) []string { return strings.Fields(string(value)) }

// runs reports whether the cell runs tasks of a job.
func (d *Driver) runs(spec *flow.Spec) bool {
	_, ok := spec.Share(d.Name)
	return ok
}

// followShares has this cell's part of jobs of other cells end with them.
func (d *Driver) followShares() {
	for d.ctx.Err() == nil {
		d.sleep(sharesEvery)
		d.mu.Lock()
		foreign := d.cell.Foreign()
		d.mu.Unlock()
		for _, id := range foreign {
			page, err := d.Store.Get(d.ctx, rows.Only(SpecKey(id)))
			if err == nil && page.One().Ver == 0 {
				d.shareOver(id)
			}
		}
	}
}

// shareOver takes in that a job of another cell is over.
func (d *Driver) shareOver(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, _ := d.cell.State(id); !s.Final() {
		level.Info(d.Log).Log("event", "share_orphaned", "job", id, "cell", d.Name, "epoch", d.Claim.Epoch(), "state", string(s))
	}
	d.cell.Cancel(id, clock.Now())
	d.cell.Archived(id)
	notify(d.wake)
	notify(d.write)
}

// Cells returns the cells that run tasks of a job that this one has, its own first.
func (d *Driver) Cells(id string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.Cells(id)
}

// own returns those of the jobs that this cell writes the ends of.
func own(all []cell.Over) []cell.Over {
	var out []cell.Over
	for _, o := range all {
		if !o.Foreign {
			out = append(out, o)
		}
	}
	return out
}
