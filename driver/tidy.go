// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"time"

	"dewpass.org/flow"
	"dewpass.org/rows"
)

const (
	// retireAfter is how long the rows of a job stay as they are after its end.
	retireAfter = time.Second
	// tidyEvery spaces the looks for jobs that are over.
	tidyEvery = 500 * time.Millisecond
	// sweepEvery spaces the readings of all jobs that are over, for those of
	// former owners.
	sweepEvery = 10 * time.Minute
)

// chore is what has to be written and removed together to tidy up, in no hurry.
type chore struct {
	put    []rows.Row
	remove []rows.Key
}

// chores returns the next chores and their transaction. There are none while
// writes are slow: one across parts holds up the jobs that are handed in.
func (d *Driver) chores() ([]chore, rows.Tx) {
	n := min(len(d.tidying), choresAtOnce)
	if d.slow() {
		n = 0
	}
	taken := d.tidying[:n:n]
	d.tidying = d.tidying[n:]
	t := rows.Tx{Across: n > 0}
	for _, c := range taken {
		t.Put = append(t.Put, c.put...)
		t.Remove = append(t.Remove, c.remove...)
	}
	return taken, t
}

// tidyUp lets the cell forget what is over. The lock is held.
func (d *Driver) tidyUp(now time.Time) {
	for _, o := range d.cell.Retire(retireAfter, now) {
		e := flow.Ended{State: o.State, AtMS: now.UnixMilli()}
		d.tidying = append(d.tidying, chore{
			put:    []rows.Row{{Key: EndedKey(d.Name, o.ID), Value: flow.Encode(e)}},
			remove: []rows.Key{SpecKey(o.ID), RecordKey(d.Name, o.ID)},
		})
	}
	for _, id := range d.cell.Expire(d.Keep, now) {
		d.forgetEnded(id)
	}
	if len(d.tidying) > 0 {
		poke(d.write)
	}
}

// forgetEnded has the last rows of a job removed. The lock is held.
func (d *Driver) forgetEnded(id string) {
	d.tidying = append(d.tidying, chore{remove: []rows.Key{EndedKey(d.Name, id), HomeKey(id)}})
}

// sweep removes what is left of jobs that ended under former owners.
func (d *Driver) sweep() {
	for d.ctx.Err() == nil {
		d.sleep(sweepEvery)
		all, _, err := rows.All(d.ctx, d.Store, rows.Range{Table: TableEnded, Part: d.Name})
		if err == nil {
			d.sweepAll(all, time.Now())
		}
	}
}

func (d *Driver) sweepAll(all []rows.Row, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range all {
		e, err := flow.DecodeEnded(r.Value)
		if err == nil && now.Sub(time.UnixMilli(e.AtMS)) > d.Keep && !d.cell.Known(r.Name) {
			d.forgetEnded(r.Name)
		}
	}
}
