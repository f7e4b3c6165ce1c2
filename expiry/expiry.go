// SPDX-License-Identifier: Apache-2.0

package expiry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dewpass.org/commit"
	"dewpass.org/hall"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
)

const (
	pageRows = 100
	// maxConcurrentRemovals bounds the removals that wait for one transaction of the journal.
	maxConcurrentRemovals = 32
	// instanceRetention is how long the rows of an instance are kept after their last use. It
	// is longer than regions may be separated.
	instanceRetention = 24 * time.Hour
)

// Journal commits changes; see commit.Journal.
type Journal interface {
	Commit(ctx context.Context, c commit.Change) (uint64, error)
}

// Sweeper removes the expired rows of one hall. All fields must be set.
type Sweeper struct {
	Hall    string
	Table   ports.Table
	Objects ports.Objects
	Journal Journal
}

// SweepJobs removes the jobs and request keys that have expired at the time now, and returns how
// many expiry rows were removed. It stops when none is left, or with the first error of the
// platform; the next pass continues.
func (s *Sweeper) SweepJobs(ctx context.Context, now time.Time) (int, error) {
	total := 0
	for {
		due, err := s.dueRows(ctx, now)
		if err != nil || len(due) == 0 {
			return total, err
		}
		n, err := s.removeAll(ctx, due, now)
		total += n
		if err != nil || n == 0 {
			return total, err
		}
	}
}

// dueRows returns the first page of expiry rows that are due.
func (s *Sweeper) dueRows(ctx context.Context, now time.Time) ([]ports.Row, error) {
	rows, err := s.Table.Scan(ctx, job.ExpiryPrefix(s.Hall), "", pageRows)
	if err != nil {
		return nil, err
	}
	limit := job.ExpiryBound(s.Hall, now)
	for i, r := range rows {
		if r.Key >= limit {
			return rows[:i], nil
		}
	}
	return rows, nil
}

// removeAll removes what a page of expiry rows names, and returns how many of them were
// removed. Those whose rows were changed concurrently are left for the next pass.
func (s *Sweeper) removeAll(ctx context.Context, due []ports.Row, now time.Time) (int, error) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentRemovals)
	removed := make([]bool, len(due))
	for i, row := range due {
		group.Go(func() error {
			err := s.remove(ctx, row, now)
			removed[i] = err == nil
			if kind.Is(err, kind.Conflict) {
				return nil
			}
			return err
		})
	}
	err := group.Wait()
	n := 0
	for _, ok := range removed {
		if ok {
			n++
		}
	}
	return n, err
}

func (s *Sweeper) remove(ctx context.Context, row ports.Row, now time.Time) error {
	e, err := job.DecodeExpiry(row.Value)
	if err != nil {
		return err
	}
	rows, err := s.Table.Get(ctx, job.RowKey(e.ID), job.RequestKeyRowKey(e.Account, e.Key))
	if err != nil {
		return err
	}
	var c commit.Change
	addRemoval(&c, row)
	if err := s.addJobRemoval(ctx, &c, e, rows[0], now); err != nil {
		return err
	}
	if keyMatches(e, rows[1]) {
		addRemoval(&c, rows[1])
	}
	_, err = s.Journal.Commit(ctx, c)
	return err
}

// addRemoval adds the removal of a row to c, on condition that it has not changed since it was
// read.
func addRemoval(c *commit.Change, row ports.Row) {
	c.Checks = append(c.Checks, ports.Check{Key: row.Key, Version: row.Version})
	c.Puts = append(c.Puts, ports.Put{Key: row.Key, Delete: true})
}

// addJobRemoval deletes the objects of a job that has ended and expired, and adds the removal
// of its row to c.
func (s *Sweeper) addJobRemoval(ctx context.Context, c *commit.Change, e job.Expiry, row ports.Row, now time.Time) error {
	if e.ID == "" || row.Version == 0 {
		return nil
	}
	j, err := job.Decode(row.Value)
	if err != nil {
		return err
	}
	if !j.State.Final() || j.Expires == nil || j.Expires.After(now) {
		return nil
	}
	for _, object := range []string{j.AnswerObject, j.Checkpoint} {
		if object == "" {
			continue
		}
		if err := s.Objects.DeleteObject(ctx, object); err != nil {
			return err
		}
	}
	addRemoval(c, row)
	return nil
}

// keyMatches reports whether the row of a request key is the one that an expiry row refers to.
func keyMatches(e job.Expiry, row ports.Row) bool {
	if e.Key == "" || row.Version == 0 {
		return false
	}
	k, err := job.DecodeRequestKey(row.Value)
	if err != nil {
		return false
	}
	return k.ID == e.ID && (e.ID != "" || k.Refused)
}

// SweepInstances removes the rows of instances that were not used for instanceRetention, and
// returns how many were removed.
func (s *Sweeper) SweepInstances(ctx context.Context, now time.Time) (int, error) {
	members, err := s.unusedRows(ctx, hall.MemberPrefix(s.Hall), hall.HeartbeatTime, now)
	if err != nil {
		return 0, err
	}
	journals, err := s.unusedRows(ctx, commit.Prefix(s.Hall), commit.LastWrite, now)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, row := range append(members, journals...) {
		var c commit.Change
		addRemoval(&c, row)
		_, err := s.Journal.Commit(ctx, c)
		switch {
		case err == nil:
			removed++
		case !kind.Is(err, kind.Conflict):
			return removed, err
		}
	}
	return removed, nil
}

// unusedRows returns the rows with a prefix that were last used more than instanceRetention
// ago. A row whose last use is unknown is not returned.
func (s *Sweeper) unusedRows(ctx context.Context, prefix string, used func([]byte) (time.Time, bool), now time.Time) ([]ports.Row, error) {
	var out []ports.Row
	after := ""
	for {
		rows, err := s.Table.Scan(ctx, prefix, after, pageRows)
		if err != nil || len(rows) == 0 {
			return out, err
		}
		for _, row := range rows {
			if at, ok := used(row.Value); ok && now.Sub(at) > instanceRetention {
				out = append(out, row)
			}
		}
		after = rows[len(rows)-1].Key
	}
}
