// SPDX-License-Identifier: Apache-2.0

package commit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"dewpass.org/internal/uid"
	"dewpass.org/kind"
	"dewpass.org/ports"
)

const (
	// maxBatchRequests is the highest number of changes in one transaction.
	maxBatchRequests = 256
	// retryInterval is the interval between attempts while the table does not answer.
	retryInterval = 100 * time.Millisecond
	keyPrefix     = "journal/"
)

// Change is a set of rows that are written atomically, if all checks hold.
type Change struct {
	Checks []ports.Check
	Puts   []ports.Put
}

// Journal collects changes and commits them in batches. Make one with New and
// start it with Run.
type Journal struct {
	// TableUnavailable reports whether the table has been unreachable for the other parts of
	// this instance for so long that a change with a deadline is refused without
	// being sent. If it is nil, no change is refused for that reason. Set it
	// before Run.
	TableUnavailable func() bool

	table ports.Table
	key   string
	wake  chan struct{}

	mu            sync.Mutex
	pending       []*request
	lastTxnFailed bool

	// version is the version of the journal's own row.
	version uint64
}

type result struct {
	version uint64
	err     error
}

// request is a change that waits to be committed or is being committed.
type request struct {
	ctx    context.Context
	change Change
	result chan result
}

// hasDeadline reports whether the caller waits for the change with a deadline.
func (it *request) hasDeadline() bool {
	_, ok := it.ctx.Deadline()
	return ok
}

// New returns a journal for an instance in a hall. start identifies the start
// of the process and must be unique to each one.
func New(table ports.Table, hall, start string) *Journal {
	return &Journal{
		table: table,
		key:   Prefix(hall) + start,
		wake:  make(chan struct{}, 1),
	}
}

// Prefix returns the key prefix of the own rows of a hall's journals.
func Prefix(hall string) string { return keyPrefix + hall + "/" }

// LastWrite returns when a journal last wrote a transaction. row is the value of the
// journal's own row: a nonce that contains the time.
func LastWrite(row []byte) (time.Time, bool) {
	nonce, err := ulid.ParseStrict(string(row))
	if err != nil {
		return time.Time{}, false
	}
	return nonce.Timestamp(), true
}

// Conflict is the cause of an error of kind Conflict. Rows holds the current
// state of the rows whose checks failed.
type Conflict struct {
	Rows []ports.Row
}

// Error lists the keys of the rows.
func (c *Conflict) Error() string {
	s := "rows changed:"
	for _, r := range c.Rows {
		s += " " + r.Key
	}
	return s
}

// Commit writes a change and returns the version of its rows. The error is of
// kind Conflict if a check failed, Unavailable if the change certainly was not
// and will not be written, and Lost if that is not known.
func (j *Journal) Commit(ctx context.Context, c Change) (uint64, error) {
	it := &request{ctx: ctx, change: c, result: make(chan result, 1)}
	if !j.enqueue(it) {
		return 0, kind.New(kind.Unavailable, "the table does not answer")
	}
	select {
	case r := <-it.result:
		return r.version, r.err
	case <-ctx.Done():
		return 0, j.abandon(it)
	}
}

// enqueue adds a change to those that wait for the next transaction. While the
// table does not answer, it refuses a change with a deadline and returns false.
func (j *Journal) enqueue(it *request) bool {
	away := j.TableUnavailable != nil && j.TableUnavailable()
	j.mu.Lock()
	defer j.mu.Unlock()
	if (away || j.lastTxnFailed) && it.hasDeadline() {
		return false
	}
	j.pending = append(j.pending, it)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return true
}

// abandon is called when the caller of Commit no longer waits. A change that
// has not been sent yet is removed, so that it is certainly not written.
func (j *Journal) abandon(it *request) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, p := range j.pending {
		if p == it {
			j.pending = slices.Delete(j.pending, i, i+1)
			return kind.Wrap(kind.Unavailable, it.ctx.Err(), "the table did not answer in time")
		}
	}
	return kind.Wrap(kind.Lost, it.ctx.Err(), "the table's answer was lost")
}

// Failing reports whether the last transaction failed without an answer.
func (j *Journal) Failing() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastTxnFailed
}

func (j *Journal) setLastTxnFailed(failing bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastTxnFailed = failing
}

// Run commits changes until ctx ends. Changes that are pending then are not sent;
// Commit returns when the contexts of their callers end.
func (j *Journal) Run(ctx context.Context) {
	for {
		batch := j.nextBatch()
		if len(batch) > 0 {
			j.commitBatch(ctx, batch)
		} else {
			j.waitForRequests(ctx)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// waitForRequests waits for changes. While the table does not answer, it probes
// the table at intervals, because changes with a deadline are refused until the
// table answers again.
func (j *Journal) waitForRequests(ctx context.Context) {
	var probe <-chan time.Time
	if j.Failing() {
		probe = time.After(retryInterval)
	}
	select {
	case <-j.wake:
	case <-probe:
		if _, err := j.table.Get(ctx, j.key); err == nil {
			j.setLastTxnFailed(false)
		}
	case <-ctx.Done():
	}
}

// nextBatch removes the changes of the next transaction from the pending ones.
// Two changes that write the same row never share a transaction.
func (j *Journal) nextBatch() []*request {
	j.mu.Lock()
	defer j.mu.Unlock()
	touched := make(map[string]bool)
	var batch, rest []*request
	for _, it := range j.pending {
		if len(batch) < maxBatchRequests && it.disjointFrom(touched) {
			it.addKeysTo(touched)
			batch = append(batch, it)
		} else {
			rest = append(rest, it)
		}
	}
	j.pending = rest
	return batch
}

// disjointFrom reports whether the change writes none of the given keys.
func (it *request) disjointFrom(touched map[string]bool) bool {
	for _, p := range it.change.Puts {
		if touched[p.Key] {
			return false
		}
	}
	return true
}

// addKeysTo adds the keys that the change writes to the given set.
func (it *request) addKeysTo(touched map[string]bool) {
	for _, p := range it.change.Puts {
		touched[p.Key] = true
	}
}

// commitBatch commits a batch. It returns once each of its changes has a result.
func (j *Journal) commitBatch(ctx context.Context, batch []*request) {
	for len(batch) > 0 {
		res, err := j.writeTxn(ctx, batch, uid.New())
		switch {
		case err == nil && len(res.Failed) == 0:
			finishAll(batch, result{version: res.Version})
			return
		case err == nil:
			batch = j.rejectFailed(batch, res.Failed)
		case kind.Is(err, kind.Lost) || !waitRetryInterval(ctx):
			finishAll(batch, result{err: err})
			return
		default:
			batch = rejectWithDeadline(batch, err)
		}
	}
}

// rejectWithDeadline fails the changes whose callers have a deadline or have
// gone with err, which says that they were not written, and returns the others.
func rejectWithDeadline(batch []*request, err error) []*request {
	kept := batch[:0:0]
	for _, it := range batch {
		if it.hasDeadline() || it.ctx.Err() != nil {
			it.result <- result{err: err}
			continue
		}
		kept = append(kept, it)
	}
	return kept
}

func finishAll(batch []*request, r result) {
	for _, it := range batch {
		it.result <- r
	}
}

// writeTxn sends one transaction. If the reply is lost, it sends the same
// transaction again until the outcome is known; no other transaction may be
// sent before that.
func (j *Journal) writeTxn(ctx context.Context, batch []*request, nonce string) (ports.Commit, error) {
	txn := j.buildTxn(batch, nonce)
	res, err := j.table.Commit(ctx, txn)
	for kind.Is(err, kind.Lost) {
		j.setLastTxnFailed(true)
		row, readErr := j.readBack(ctx)
		if readErr != nil {
			return ports.Commit{}, readErr
		}
		if string(row.Value) == nonce {
			return j.recordVersion(ports.Commit{Version: row.Version}), nil
		}
		res, err = j.resend(ctx, txn)
	}
	j.setLastTxnFailed(err != nil)
	if row := j.ownRow(res.Failed); row != nil && string(row.Value) == nonce {
		return j.recordVersion(ports.Commit{Version: row.Version}), nil
	}
	return j.recordVersion(res), err
}

// resend sends again a transaction whose outcome is unknown. An error of
// another kind than Lost says nothing about the earlier copy, so resend repeats
// until the table answers or the reply is lost again.
func (j *Journal) resend(ctx context.Context, txn ports.Txn) (ports.Commit, error) {
	for {
		res, err := j.table.Commit(ctx, txn)
		if err == nil || kind.Is(err, kind.Lost) {
			return res, err
		}
		if !waitRetryInterval(ctx) {
			return ports.Commit{}, kind.Wrap(kind.Lost, ctx.Err(), "the table's answer was lost")
		}
	}
}

// ownRow returns the journal's own row among the rows whose checks failed, or
// nil.
func (j *Journal) ownRow(failed []ports.Row) *ports.Row {
	for i := range failed {
		if failed[i].Key == j.key {
			return &failed[i]
		}
	}
	return nil
}

// waitRetryInterval waits for retryInterval. It returns false if ctx ends first.
func waitRetryInterval(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// recordVersion stores the version of the journal's own row if res is a
// committed transaction, and returns res.
func (j *Journal) recordVersion(res ports.Commit) ports.Commit {
	if res.Version > 0 && len(res.Failed) == 0 {
		j.version = res.Version
	}
	return res
}

// readBack reads the journal's own row, repeating until the table answers.
// Nothing is written before that.
func (j *Journal) readBack(ctx context.Context) (ports.Row, error) {
	for {
		rows, err := j.table.Get(ctx, j.key)
		if err == nil {
			return rows[0], nil
		}
		if !waitRetryInterval(ctx) {
			return ports.Row{}, kind.Wrap(kind.Lost, ctx.Err(), "the table's answer was lost")
		}
	}
}

func (j *Journal) buildTxn(batch []*request, nonce string) ports.Txn {
	txn := ports.Txn{
		Checks: []ports.Check{{Key: j.key, Version: j.version}},
		Puts:   []ports.Put{{Key: j.key, Value: []byte(nonce)}},
	}
	seen := make(map[ports.Check]bool)
	for _, it := range batch {
		for _, c := range it.change.Checks {
			if !seen[c] {
				seen[c] = true
				txn.Checks = append(txn.Checks, c)
			}
		}
		txn.Puts = append(txn.Puts, it.change.Puts...)
	}
	return txn
}

// rejectFailed fails the changes whose checks failed with a Conflict, and
// returns the others.
func (j *Journal) rejectFailed(batch []*request, failed []ports.Row) []*request {
	now := make(map[string]ports.Row, len(failed))
	for _, r := range failed {
		now[r.Key] = r
		if r.Key == j.key {
			j.version = r.Version
		}
	}
	kept := batch[:0:0]
	for _, it := range batch {
		if rows := it.failedChecks(now); len(rows) > 0 {
			it.result <- result{err: kind.Wrap(kind.Conflict, &Conflict{Rows: rows}, "")}
			continue
		}
		kept = append(kept, it)
	}
	return kept
}

// failedChecks returns the rows that differ from what the change expects.
func (it *request) failedChecks(now map[string]ports.Row) []ports.Row {
	var rows []ports.Row
	for _, c := range it.change.Checks {
		if r, ok := now[c.Key]; ok && r.Version != c.Version {
			rows = append(rows, r)
		}
	}
	return rows
}
