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
	page = 100
	// atOnce bounds the removals that wait for one transaction of the journal.
	atOnce = 32
	// instanceKeep is how long the rows of an instance stay after their last
	// use. It is longer than regions are apart.
	instanceKeep = 24 * time.Hour
)

// Journal commits changes; see commit.Journal.
type Journal interface {
	Commit(ctx context.Context, c commit.Change) (uint64, error)
}

// Sweeper removes the rows of one hall that are due. Fill in all fields.
type Sweeper struct {
	Hall    string
	Table   ports.Table
	Objects ports.Objects
	Journal Journal
}

// Jobs removes the jobs and keys that are due at a time, and returns how many
// expiry rows are settled. It ends when none is due, or with the first error of
// the platform; what is left is for the next pass.
func (s *Sweeper) Jobs(ctx context.Context, now time.Time) (int, error) {
	total := 0
	for {
		due, err := s.due(ctx, now)
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

// due returns the first page of expiry rows that are due.
func (s *Sweeper) due(ctx context.Context, now time.Time) ([]ports.Row, error) {
	rows, err := s.Table.Scan(ctx, job.ExpiryPrefix(s.Hall), "", page)
	if err != nil {
		return nil, err
	}
	limit := job.ExpiryBefore(s.Hall, now)
	for i, r := range rows {
		if r.Key >= limit {
			return rows[:i], nil
		}
	}
	return rows, nil
}

// removeAll removes what a page of expiry rows names, and returns how many of
// them are gone. Those whose rows changed meanwhile stay for the next pass.
func (s *Sweeper) removeAll(ctx context.Context, due []ports.Row, now time.Time) (int, error) {
	var group errgroup.Group
	group.SetLimit(atOnce)
	gone := make([]bool, len(due))
	for i, row := range due {
		group.Go(func() error {
			err := s.remove(ctx, row, now)
			gone[i] = err == nil
			if kind.Is(err, kind.Conflict) {
				return nil
			}
			return err
		})
	}
	err := group.Wait()
	n := 0
	for _, ok := range gone {
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
	rows, err := s.Table.Get(ctx, job.RowKey(e.ID), job.KeyRow(e.Shop, e.Key))
	if err != nil {
		return err
	}
	var c commit.Change
	drop(&c, row)
	if err := s.dropJob(ctx, &c, e, rows[0], now); err != nil {
		return err
	}
	if keyOf(e, rows[1]) {
		drop(&c, rows[1])
	}
	_, err = s.Journal.Commit(ctx, c)
	return err
}

// drop adds the removal of a row as it was read.
func drop(c *commit.Change, row ports.Row) {
	c.Checks = append(c.Checks, ports.Check{Key: row.Key, Version: row.Version})
	c.Puts = append(c.Puts, ports.Put{Key: row.Key, Delete: true})
}

// dropJob adds the removal of a job that is over and due, and removes its
// objects.
func (s *Sweeper) dropJob(ctx context.Context, c *commit.Change, e job.Expiry, row ports.Row, now time.Time) error {
	if e.ID == "" || row.Version == 0 {
		return nil
	}
	j, err := job.Decode(row.Value)
	if err != nil {
		return err
	}
	if !j.State.Over() || j.Expires == nil || j.Expires.After(now) {
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
	drop(c, row)
	return nil
}

// keyOf reports whether the row of a request key is the one that an expiry
// speaks of.
func keyOf(e job.Expiry, row ports.Row) bool {
	if e.Key == "" || row.Version == 0 {
		return false
	}
	k, err := job.DecodeKey(row.Value)
	if err != nil {
		return false
	}
	return k.ID == e.ID && (e.ID != "" || k.Refused)
}

// Instances removes the rows of instances that were not used for a day, and
// returns how many.
func (s *Sweeper) Instances(ctx context.Context, now time.Time) (int, error) {
	members, err := s.old(ctx, hall.MemberPrefix(s.Hall), hall.MemberSeen, now)
	if err != nil {
		return 0, err
	}
	journals, err := s.old(ctx, commit.Prefix(s.Hall), commit.Used, now)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, row := range append(members, journals...) {
		var c commit.Change
		drop(&c, row)
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

// old returns the rows with a prefix that were last used more than a day ago.
// A row that does not tell is left alone.
func (s *Sweeper) old(ctx context.Context, prefix string, used func([]byte) (time.Time, bool), now time.Time) ([]ports.Row, error) {
	var out []ports.Row
	after := ""
	for {
		rows, err := s.Table.Scan(ctx, prefix, after, page)
		if err != nil || len(rows) == 0 {
			return out, err
		}
		for _, row := range rows {
			if at, ok := used(row.Value); ok && now.Sub(at) > instanceKeep {
				out = append(out, row)
			}
		}
		after = rows[len(rows)-1].Key
	}
}
