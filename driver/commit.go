// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/telemetry"
)

// The tables of jobs. The record of a job is in the part of its cell, which the
// cell's owner alone writes. A job itself and its home, which makes its id
// unique and says which cell has it, are in a part by the id, so that jobs that
// come at the same time do not wait for each other at the store.
const (
	TableSpecs   = "jobs"
	TableRecords = "progress"
	TableHomes   = "homes"
	// TableEnded holds what is left of jobs that are over. Their other rows are
	// removed, so that a new owner reads no more than what is still to do.
	TableEnded = "ended"
)

// specParts are the parts of jobs: the first digit of their ids.
const specParts = "0123456789abcdef"

func partOf(id string) string { return id[:min(1, len(id))] }

// SpecKey returns the key of a job.
func SpecKey(id string) rows.Key { return rows.Key{Table: TableSpecs, Part: partOf(id), Name: id} }

// HomeKey returns the key of the row that says which cell has a job.
func HomeKey(id string) rows.Key { return rows.Key{Table: TableHomes, Part: partOf(id), Name: id} }

// RecordKey returns the key of the record of a job.
func RecordKey(cell, id string) rows.Key {
	return rows.Key{Table: TableRecords, Part: cell, Name: id}
}

// EndedKey returns the key of what is left of a job that is over.
func EndedKey(id string) rows.Key { return rows.Key{Table: TableEnded, Part: partOf(id), Name: id} }

const (
	// commitGap spaces group commits, so that each carries what came meanwhile.
	commitGap = 18 * time.Millisecond
	// savesAtOnce and staleAtOnce bound the records that a group commit writes and
	// removes, so that all stay within rows.MaxEntries.
	savesAtOnce = 64
	staleAtOnce = 30
	// renewEvery is how long the cell lease may go without being written.
	renewEvery = 200 * time.Millisecond
)

// commitLoop writes what is to be kept, in groups.
func (d *Driver) commitLoop() {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		renew := false
		select {
		case <-d.write:
		case <-tick.C:
			renew = true
		case <-d.ctx.Done():
			return
		}
		if d.commitOnce(renew) {
			tick.Reset(renewEvery)
		}
		d.sleep(commitGap)
	}
}

// group is what one group commit writes.
type group struct {
	saves []cell.Save
	// stale names the jobs whose records are removed.
	stale      []string
	workerList bool
	tx         rows.Tx
}

// gather takes what there is to write. It reports whether there is anything. The
// lock is held.
func (d *Driver) gather() (group, bool) {
	g := group{saves: d.cell.Saves(savesAtOnce), workerList: d.workerListChanged}
	if g.workerList {
		d.putWorkerList(&g.tx)
		d.workerListChanged = false
	} else {
		// The rows of a worker list take the place of these.
		g.stale = d.stale[:min(len(d.stale), staleAtOnce)]
		d.stale = d.stale[len(g.stale):]
	}
	for _, id := range g.stale {
		g.tx.Remove = append(g.tx.Remove, RecordKey(d.Name, id))
	}
	for _, s := range g.saves {
		g.tx.Put = append(g.tx.Put, rows.Row{Key: RecordKey(d.Name, s.ID), Value: flow.Encode(s.Record)})
	}
	return g, len(g.saves)+len(g.stale) > 0 || g.workerList
}

// commitOnce writes one group, an empty one if renew is set, and reports whether
// the store has taken it.
func (d *Driver) commitOnce(renew bool) bool {
	d.mu.Lock()
	g, found := d.gather()
	if !found && !renew {
		d.cell.Saved(nil, true)
		d.announce()
		d.mu.Unlock()
		return false
	}
	d.mu.Unlock()
	begun := clock.Now()
	_, err := d.Claim.Commit(d.ctx, g.tx)
	if kind.Is(err, kind.Fenced) {
		d.lost("the cell's lease has another owner")
	}
	d.Scope.Histogram("write_seconds", telemetry.Latency()).RecordDuration(clock.Since(begun))
	d.Scope.Counter("write_rows_total").Inc(int64(len(g.tx.Put)))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.committed(g, err == nil)
	return err == nil
}

// committed takes in whether the store has taken a group. The lock is held.
func (d *Driver) committed(g group, ok bool) {
	d.cell.Saved(g.saves, ok)
	notify(d.wake)
	if !ok {
		d.stale = slices.Concat(g.stale, d.stale)
		d.workerListChanged = d.workerListChanged || g.workerList
		return
	}
	d.announce()
	d.logEnded(g.saves)
	if d.cell.Dirty() {
		notify(d.write)
	}
}

// logEnded logs the jobs that are over and kept: the last word on each.
func (d *Driver) logEnded(saves []cell.Save) {
	for _, s := range saves {
		if s.Record.State.Final() && s.Foreign {
			level.Info(d.Log).Log("event", "share_ended", "job", s.ID, "cell", d.Name, "epoch", d.Claim.Epoch(), "state", s.Record.State, "runs", s.Story.Runs)
			continue
		}
		if s.Record.State.Final() {
			if s.Story.Began > 0 {
				d.Scope.Histogram("job_began_seconds", telemetry.Latency()).RecordDuration(s.Story.Began)
			}
			d.Scope.Histogram("job_took_seconds", telemetry.Latency()).RecordDuration(s.Story.Took)
			d.Scope.Tagged(map[string]string{"state": string(s.Record.State)}).Counter("jobs_ended_total").Inc(1)
			level.Info(d.Log).Log("event", "job_ended", "job", s.ID, "state", s.Record.State, "epoch", d.Claim.Epoch(),
				"began_ms", s.Story.Began.Milliseconds(), "took_ms", s.Story.Took.Milliseconds(),
				"runs", s.Story.Runs, "failed", s.Story.Failed, "lost", s.Story.Lost, "yields", s.Story.Yields, "last", true)
		}
	}
}

// announce tells those who wait that something was kept. The lock is held.
func (d *Driver) announce() {
	close(d.kept)
	d.kept = make(chan struct{})
}
