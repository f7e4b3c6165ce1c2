// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/commit"
	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

const (
	rescueRole     = "rescue"
	rescueInterval = 2 * time.Second
	scanPageSize   = 200
)

// absence records when the member rows of a hall were last seen to change.
type absence struct {
	rows  map[string]uint64
	since time.Time
}

// rescue moves the jobs of halls that are declared lost, or that have been absent
// for as long as the rule of the job's workload says. One instance of each hall
// does it. If several halls try, the version check on the job's row lets only one
// succeed.
func (e *Entry) rescue(ctx context.Context) {
	t := time.NewTicker(rescueInterval)
	defer t.Stop()
	absences := make(map[string]*absence)
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		if !e.ready() || e.coordinator.CutOff(now) || !e.isLeaderOfOwners(rescueRole, now) {
			clear(absences)
			continue
		}
		for h, racks := range e.otherHalls() {
			if err := e.rescueHall(ctx, h, racks, absences); err != nil {
				level.Debug(e.kit.Log).Log("msg", "jobs of another hall not checked", "of", h, "err", err)
			}
		}
	}
}

// otherHalls returns the racks of every other hall, as listed.
func (e *Entry) otherHalls() map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, in := range e.coordinator.Directory() {
		if in.Role != ports.RoleWorker || in.Hall == e.settings.Hall {
			continue
		}
		if out[in.Hall] == nil {
			out[in.Hall] = make(map[string]bool)
		}
		out[in.Hall][in.Rack] = true
	}
	return out
}

// rescueHall moves the jobs of a hall that may be moved.
func (e *Entry) rescueHall(ctx context.Context, h string, racks map[string]bool, absences map[string]*absence) error {
	c := e.register.Current()
	lost := c.Lost[h]
	if len(e.peers.Live(h, clock.Now())) > 0 && !lost {
		// A peer there sends hellos: the hall is connected and manages its own jobs.
		delete(absences, h)
		return nil
	}
	absentTime, err := e.absentFor(ctx, h, absences)
	if err != nil {
		return err
	}
	for rack := range racks {
		if err := e.rescueRack(ctx, c, h, rack, absentTime, lost); err != nil {
			return err
		}
	}
	return nil
}

// absentFor returns how long no instance of a hall has written its member row, by
// this instance's clock.
func (e *Entry) absentFor(ctx context.Context, h string, absences map[string]*absence) (time.Duration, error) {
	now := clock.Now()
	rows, err := e.platform.Scan(ctx, hall.MemberPrefix(h), "", scanPageSize)
	if err != nil {
		return 0, err
	}
	seen := make(map[string]uint64, len(rows))
	for _, r := range rows {
		seen[r.Key] = r.Version
	}
	a := absences[h]
	if a == nil || changed(a.rows, seen) {
		absences[h] = &absence{rows: seen, since: clock.Now()}
		return 0, nil
	}
	return now.Sub(a.since), nil
}

// changed reports whether a row is new or has a new version.
func changed(before, now map[string]uint64) bool {
	for key, version := range now {
		if before[key] != version {
			return true
		}
	}
	return false
}

// rescueRack moves the unfinished jobs of a rack that may be moved.
func (e *Entry) rescueRack(ctx context.Context, c *tree.Compiled, h, rack string, absentTime time.Duration, lost bool) error {
	index, err := e.platform.Scan(ctx, job.IndexPrefix(rack), "", scanPageSize)
	if err != nil || len(index) == 0 {
		return err
	}
	keys := make([]string, len(index))
	for i, row := range index {
		keys[i] = job.RowKey(job.IDFromIndexKey(rack, row.Key))
	}
	rows, err := e.platform.Get(ctx, keys...)
	if err != nil {
		return err
	}
	for _, row := range rows {
		j, err := job.Decode(row.Value)
		if err != nil || row.Version == 0 || j.State.Final() || j.Hall != h {
			continue
		}
		w := c.Workloads[j.Workload]
		if w == nil || !lost && !mayMove(w, absentTime, time.Duration(e.settings.TaskLease)) {
			continue
		}
		if err := e.moveJob(ctx, j, row.Version, w); err != nil {
			return err
		}
	}
	return nil
}

// mayMove reports whether the job's own hall has certainly stopped it by now. A
// hall that is cut off stops its movable jobs before MoveAfter is over, and workers
// stop tasks whose lease is not renewed.
func mayMove(w *tree.Workload, absentTime, taskLease time.Duration) bool {
	return w.CutOff == tree.CutOffMove && absentTime > w.MoveAfter+lease.Margin(w.MoveAfter)+2*taskLease
}

// moveJob moves a job to a rack of this hall. A job that must not be repeated and
// may already have been sent to a worker is set to unknown instead.
func (e *Entry) moveJob(ctx context.Context, j job.Job, version uint64, w *tree.Workload) error {
	old := j
	if j.Repeat == ports.RepeatNever && j.State != job.Queued {
		if j.State == job.Unknown {
			return nil
		}
		j.State, j.Why = job.Unknown, "its hall is lost"
	} else {
		rack, ok := e.front.BestOwnRack(w)
		if !ok {
			return nil
		}
		j.Hall, j.Rack = e.settings.Hall, rack
		j.State, j.Worker, j.Incarnation = job.Queued, "", ""
		j.Attempt++
	}
	next, err := e.journal.Commit(ctx, moveChange(old, j, version))
	if err != nil {
		return err
	}
	level.Info(e.kit.Log).Log("msg", "job moved", "job", j.ID, "from", old.Hall, "rack", j.Rack, "state", j.State)
	e.owner.AddMovedJob(ctx, j, next)
	return nil
}

// moveChange returns the change that writes the moved job and its entry in the
// index of its rack.
func moveChange(old, j job.Job, version uint64) commit.Change {
	c := commit.Change{
		Checks: []ports.Check{{Key: job.RowKey(j.ID), Version: version}},
		Puts:   []ports.Put{{Key: job.RowKey(j.ID), Value: job.Encode(j)}},
	}
	if old.Rack != j.Rack {
		c.Puts = append(c.Puts,
			ports.Put{Key: job.IndexKey(old.Rack, j.ID), Delete: true},
			ports.Put{Key: job.IndexKey(j.Rack, j.ID), Value: []byte("{}")})
	}
	return c
}
