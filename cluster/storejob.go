// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"

	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

// storedJob is the result of storing a job: the cells that run it, its home cell first; who may use
// it, if its home row says; the version at which the store took it; whether it may be new; and
// whether this write is known to have stored it.
type storedJob struct {
	cells   []string
	access  driver.Access
	ver     uint64
	fresh   bool
	written bool
}

// submission is a job that is being stored.
type submission struct {
	spec *flow.Spec
	home rows.Key
	tx   rows.Tx
	// uncertain means that an attempt without an answer may have stored the job, or may yet.
	uncertain bool
}

// newSubmission returns a submission of a job to a cell, on the condition that no cell has it.
func (n *Instance) newSubmission(cell string, spec *flow.Spec) *submission {
	spec.Cell = cell
	s := &submission{spec: spec, home: driver.HomeKey(spec.ID)}
	s.tx = rows.Tx{
		Expect: []rows.Check{{Key: s.home}},
		Put: []rows.Row{
			{Key: s.home, Value: n.homeValue(spec)},
			{Key: driver.SpecKey(spec.ID), Value: flow.Encode(spec)},
		},
	}
	return s
}

// storeJob writes a job on the condition that no cell has it.
func (n *Instance) storeJob(ctx context.Context, cell string, spec *flow.Spec) (storedJob, error) {
	s := n.newSubmission(cell, spec)
	for {
		res, err := n.sendJobTx(ctx, s.home, s.tx)
		if err == nil {
			if k, done, err := s.answered(res); done || err != nil {
				return k, err
			}
		} else if err := n.notAnswered(s, err); err != nil {
			return storedJob{}, err
		}
		sleep(ctx, acceptRetryPause)
		if ctx.Err() != nil && !s.uncertain {
			return storedJob{}, kind.New(kind.Unavailable, "the store accepts no writes at present").WithRetryAfter(n.retryAfter(spec.ID))
		}
		if ctx.Err() != nil {
			return storedJob{}, kind.New(kind.Lost, "the store has not answered").WithUnknownOutcome(spec.ID)
		}
	}
}

// answered applies the store's answer, and reports whether the job is stored. If it neither is nor can be
// stored there is an error; otherwise the write has to be sent again.
func (s *submission) answered(res rows.Result) (k storedJob, done bool, err error) {
	if !res.Refused {
		return storedJob{cells: s.spec.Cells(), access: driver.HomeAccess(s.tx.Put[0].Value), ver: res.Ver, fresh: true, written: true}, true, nil
	}
	row := rowIn(res, s.home)
	w := driver.HomeWithdrawal(row.Value)
	switch {
	case w.Includes(s.spec.Account):
		return k, false, kind.New(kind.Cancelled, "the job was cancelled before it was accepted")
	case w.Any():
		// Another client account has cancelled an id that it did not get accepted.
		s.tx.Expect = []rows.Check{{Key: s.home, Ver: row.Ver}}
		s.tx.Remove = []rows.Key{driver.EndedKey(s.spec.ID)}
		return k, false, nil
	}
	// Some cell has the job, by this write or by an earlier one.
	return withStoredCells(row, storedJob{cells: s.spec.Cells(), fresh: s.uncertain}), true, nil
}

// notAnswered applies an error of the write, and returns an error if another attempt would be in vain or
// would only make the caller wait.
func (n *Instance) notAnswered(s *submission, err error) error {
	switch {
	case kind.Is(err, kind.BadRequest):
		return kind.New(kind.BadRequest, "the job is larger than the store takes")
	case !kind.Is(err, kind.Unavailable):
		s.uncertain = true
		if !n.storeClient.Reachable() {
			return kind.Of(err).WithUnknownOutcome(s.spec.ID)
		}
	case n.storeClient.Reachable():
	case s.uncertain:
		// An earlier attempt may have stored the job. Waiting here tells the caller nothing.
		return kind.New(kind.Lost, "the store is not reached any more").WithUnknownOutcome(s.spec.ID)
	default:
		return kind.Of(err).WithRetryAfter(n.retryAfter(s.spec.ID))
	}
	return nil
}

// withStoredCells completes k from the home row of a job that was stored before.
func withStoredCells(row rows.Row, k storedJob) storedJob {
	if cells := driver.HomeCells(row.Value); len(cells) > 0 {
		k.cells, k.access, k.ver = cells, driver.HomeAccess(row.Value), row.Ver
	}
	return k
}

// rowIn returns a row as a refused write shows it; its version is 0 if it is not there.
func rowIn(res rows.Result, key rows.Key) rows.Row {
	for _, row := range res.Rows {
		if row.Key == key {
			return row
		}
	}
	return rows.Row{Key: key}
}

// sendJobTx sends the write once. While there is no answer it checks whether the job is stored.
func (n *Instance) sendJobTx(ctx context.Context, home rows.Key, t rows.Tx) (rows.Result, error) {
	send := rows.WriteAttempt{
		Store: n.storeClient, Tx: t, Interval: acceptCheckInterval, Timeout: n.storeClient.ResendDelay(),
		Lookup: func(ctx context.Context) (rows.Result, bool, error) {
			return n.checkJobStored(ctx, home, t.Expect[0].Ver)
		},
	}
	res, _, err := send.Send(ctx)
	return res, err
}

// checkJobStored asks the store for a job, and reports whether it is pointless to wait longer for
// the answer of the write that stores it if the home row has a version.
func (n *Instance) checkJobStored(ctx context.Context, home rows.Key, ver uint64) (rows.Result, bool, error) {
	if !n.storeClient.Reachable() {
		return rows.Result{}, true, kind.New(kind.Lost, "the store is not reached any more")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptCheckTimeout)
	defer cancel()
	page, err := n.storeClient.Get(ctx, rows.KeyRange(home))
	if err == nil && page.First().Ver > ver {
		return rows.Result{Refused: true, Rows: page.Rows}, true, nil
	}
	return rows.Result{}, false, nil
}
