// SPDX-License-Identifier: Apache-2.0

package commit

import (
	"context"
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
