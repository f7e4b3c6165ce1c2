// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/telemetry"
)

// The tables of jobs. A job's record is in the part of its cell, which only the cell's owner
// writes. The specification and the home row (which makes the id unique and names the job's cells)
// are in a part chosen by the id, so that jobs submitted at the same time do not wait for each
// other in the store.
const (
	TableSpecs   = "jobs"
	TableRecords = "progress"
	TableHomes   = "homes"
	// TableEnded holds a small row for each job that has ended. The other rows are removed, so that
	// a new owner reads only unfinished jobs.
	TableEnded = "ended"
)

// specParts are the parts of the jobs' own rows: the first digit of the job id.
const specParts = "0123456789abcdef"

func partOf(id string) string { return id[:min(1, len(id))] }

// SpecKey returns the key of a job's specification.
func SpecKey(id string) rows.Key { return rows.Key{Table: TableSpecs, Part: partOf(id), Name: id} }

// HomeKey returns the key of the row that names the cells of a job.
func HomeKey(id string) rows.Key { return rows.Key{Table: TableHomes, Part: partOf(id), Name: id} }

// RecordKey returns the key of a job's record.
func RecordKey(cell, id string) rows.Key {
	return rows.Key{Table: TableRecords, Part: cell, Name: id}
}

// EndedKey returns the key of the row that remains of an ended job.
func EndedKey(id string) rows.Key { return rows.Key{Table: TableEnded, Part: partOf(id), Name: id} }

const (
	// commitInterval is the minimum delay between group commits, so that each covers several
	// changes.
	commitInterval = 18 * time.Millisecond
	// maxSavesPerCommit and maxStalePerCommit limit the records that a group commit writes and
	// removes, so that the transaction stays within rows.MaxEntries.
	maxSavesPerCommit = 64
	maxStalePerCommit = 30
	// renewInterval is how often the cell lease is written if nothing else is.
	renewInterval = 200 * time.Millisecond
)

// commitLoop persists changes in group commits.
func (d *Driver) commitLoop() {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		renew := false
		select {
		case <-d.commitNow:
		case <-tick.C:
			renew = true
		case <-d.ctx.Done():
			return
		}
		if d.commitOnce(renew) {
			tick.Reset(renewInterval)
		}
		d.sleep(commitInterval)
	}
}

// commitGroup is the content of one group commit.
type commitGroup struct {
	saves []cell.Save
	// stale holds the ids of jobs whose records are removed.
	stale      []string
	workerList bool
	// listed holds the workers of the worker list, if it is written.
	listed []workerListEntry
	// lost holds, by hall, the workers of whose runs the last records are written.
	lost map[string][]string
	// quotas are the shares of client accounts' limits that are written.
	quotas []quotaRow
	tx     rows.Tx
}

// collectGroup collects the pending changes, and reports whether there are any. The lock is held.
func (d *Driver) collectGroup() (commitGroup, bool) {
	g := commitGroup{saves: d.cell.Saves(d.refusals.limit())}
	if len(g.saves) == 0 {
		// A job whose record may have been refused is always dirty, unless it was forgotten.
		d.refusals.found()
	}
	searching := d.refusals.searching()
	g.workerList = d.workerListChanged && !searching
	if !d.cell.Dirty() {
		g.lost, d.lostWorkers = d.lostWorkers, nil
	}
	switch {
	case searching:
	case g.workerList:
		g.listed = d.putWorkerList(&g.tx)
		d.workerListChanged = false
	default:
		// The worker list's rows use up the entries reserved for these.
		// A job may have been moved away and back since.
		d.staleRecords = slices.DeleteFunc(d.staleRecords, d.cell.Holds)
		g.stale = d.staleRecords[:min(len(d.staleRecords), maxStalePerCommit-d.putQuotas(&g))]
		d.staleRecords = d.staleRecords[len(g.stale):]
	}
	for _, id := range g.stale {
		g.tx.Remove = append(g.tx.Remove, RecordKey(d.Name, id))
	}
	for _, s := range g.saves {
		g.tx.Put = append(g.tx.Put, rows.Row{Key: RecordKey(d.Name, s.ID), Value: s.Row})
	}
	return g, len(g.saves)+len(g.stale)+len(g.quotas) > 0 || g.workerList
}

// commitOnce writes one group, and an empty one only if renew is set. It reports whether the store
// accepted it.
func (d *Driver) commitOnce(renew bool) bool {
	d.mu.Lock()
	g, found := d.collectGroup()
	if !found && !renew {
		d.cell.Saved(nil, true)
		d.signalPersisted()
		d.mu.Unlock()
		return false
	}
	d.mu.Unlock()
	begun := clock.Now()
	_, err := d.Claim.Commit(d.ctx, g.tx)
	err = d.confirmRefusal(&g, err)
	if kind.Is(err, kind.Fenced) {
		d.leaseLost("another instance holds the cell lease")
	}
	d.Scope.Histogram("write_seconds", telemetry.LatencyBuckets()).RecordDuration(clock.Since(begun))
	d.Scope.Counter("write_rows_total").Inc(int64(len(g.tx.Put)))
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind.Is(err, kind.BadRequest) {
		d.groupRefused(&g)
	}
	d.committed(g, err == nil)
	return err == nil
}

// committed applies the result of a group commit. The lock is held.
func (d *Driver) committed(g commitGroup, ok bool) {
	d.cell.Saved(g.saves, ok)
	d.quotasCommitted(g.quotas, ok)
	notify(d.placeNow)
	if !ok {
		d.staleRecords = slices.Concat(g.stale, d.staleRecords)
		d.workerListChanged = d.workerListChanged || g.workerList
		d.lostWorkers = mergeLost(g.lost, d.lostWorkers)
		return
	}
	d.refusals.accepted(g.jobs())
	if g.workerList {
		d.workersListed(&g)
	}
	d.signalPersisted()
	d.logEnded(g.saves)
	if d.cell.Dirty() || d.cell.QuotasDirty() {
		notify(d.commitNow)
	}
}

// logEnded logs the jobs whose end has been persisted. It is the last log line of each job's life
// cycle.
func (d *Driver) logEnded(saves []cell.Save) {
	for _, s := range saves {
		if s.Record.State.Final() && s.Foreign {
			level.Info(d.Log).Log("event", "share_ended", "job", s.ID, "cell", d.Name, "epoch", d.Claim.Epoch(), "state", s.Record.State, "runs", s.History.Runs)
			continue
		}
		if s.Record.State.Final() {
			if s.History.Began > 0 {
				d.Scope.Histogram("job_began_seconds", telemetry.LatencyBuckets()).RecordDuration(s.History.Began)
			}
			d.Scope.Histogram("job_took_seconds", telemetry.LatencyBuckets()).RecordDuration(s.History.Took)
			d.Scope.Tagged(map[string]string{"state": string(s.Record.State)}).Counter("jobs_ended_total").Inc(1)
			level.Info(d.Log).Log("event", "job_ended", "job", s.ID, "state", s.Record.State, "epoch", d.Claim.Epoch(),
				"began_ms", s.History.Began.Milliseconds(), "took_ms", s.History.Took.Milliseconds(),
				"runs", s.History.Runs, "failed", s.History.Failed, "lost", s.History.Lost, "yields", s.History.Yields, "last", true)
		}
	}
}

// signalPersisted wakes those who wait for changes to be persisted. The lock is held.
func (d *Driver) signalPersisted() {
	close(d.persisted)
	d.persisted = make(chan struct{})
}
