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
	// maxBatch bounds the changes in one transaction.
	maxBatch = 256
	// retryPause is the wait between tries while the table does not answer.
	retryPause = 100 * time.Millisecond
	keyPrefix  = "journal/"
)

// Change is a set of rows that are written together or not at all.
type Change struct {
	Checks []ports.Check
	Puts   []ports.Put
}

// Journal gathers changes and commits them. Make one with New and run it with
// Run.
type Journal struct {
	// Away reports whether the table has not answered others of this instance
	// for so long that a change that cannot wait is refused without being
	// sent; nil is never. Set it before Run.
	Away func() bool

	table ports.Table
	key   string
	wake  chan struct{}

	mu      sync.Mutex
	pending []*item
	failing bool

	// version is the version of the journal's own row.
	version uint64
}

type result struct {
	version uint64
	err     error
}

type item struct {
	ctx    context.Context
	change Change
	done   chan result
}

// bounded reports whether somebody waits for the change with a deadline.
func (it *item) bounded() bool {
	_, ok := it.ctx.Deadline()
	return ok
}

// New returns a journal of an instance of a hall. start names one start of the
// instance and must be new for each.
func New(table ports.Table, hall, start string) *Journal {
	return &Journal{
		table: table,
		key:   Prefix(hall) + start,
		wake:  make(chan struct{}, 1),
	}
}

// Prefix returns the start of the keys of the own rows of a hall's journals.
func Prefix(hall string) string { return keyPrefix + hall + "/" }

// Used returns when a journal last wrote a transaction, from the value of its
// own row: the nonce there carries its time.
func Used(row []byte) (time.Time, bool) {
	nonce, err := ulid.ParseStrict(string(row))
	if err != nil {
		return time.Time{}, false
	}
	return nonce.Timestamp(), true
}

// Conflict is the cause of an error of kind Conflict: the rows as they stand.
type Conflict struct {
	Rows []ports.Row
}

// Error returns the keys of the rows.
func (c *Conflict) Error() string {
	s := "rows changed:"
	for _, r := range c.Rows {
		s += " " + r.Key
	}
	return s
}

// Commit writes a change and returns the version of its rows. Its errors are
// of kind Conflict, of kind Unavailable when the change surely was not and
// will not be written, or of kind Lost when that is not known.
func (j *Journal) Commit(ctx context.Context, c Change) (uint64, error) {
	it := &item{ctx: ctx, change: c, done: make(chan result, 1)}
	if !j.enqueue(it) {
		return 0, kind.New(kind.Unavailable, "the table does not answer")
	}
	select {
	case r := <-it.done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, j.abandon(it)
	}
}

// enqueue adds a change for the next transaction. While the table does not
// answer, a change that cannot wait for long is refused at once.
func (j *Journal) enqueue(it *item) bool {
	away := j.Away != nil && j.Away()
	j.mu.Lock()
	defer j.mu.Unlock()
	if (away || j.failing) && it.bounded() {
		return false
	}
	j.pending = append(j.pending, it)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return true
}

// abandon gives a change up that nobody waits for any more. What is still
// pending was not sent and is taken out.
func (j *Journal) abandon(it *item) error {
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

// Failing reports whether the last transaction got no answer.
func (j *Journal) Failing() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failing
}

func (j *Journal) setFailing(failing bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failing = failing
}

// Run commits changes until ctx ends. Changes that are left then fail.
func (j *Journal) Run(ctx context.Context) {
	for {
		batch := j.take()
		if len(batch) > 0 {
			j.commit(ctx, batch)
		} else {
			j.idle(ctx)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// idle waits for changes. While the table does not answer, it asks it again
// and again: changes that cannot wait are refused until it does.
func (j *Journal) idle(ctx context.Context) {
	var probe <-chan time.Time
	if j.Failing() {
		probe = time.After(retryPause)
	}
	select {
	case <-j.wake:
	case <-probe:
		if _, err := j.table.Get(ctx, j.key); err == nil {
			j.setFailing(false)
		}
	case <-ctx.Done():
	}
}

// take removes the changes for the next transaction. Two changes that touch
// the same row do not go into one.
func (j *Journal) take() []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	touched := make(map[string]bool)
	var batch, rest []*item
	for _, it := range j.pending {
		if len(batch) < maxBatch && it.free(touched) {
			it.touch(touched)
			batch = append(batch, it)
		} else {
			rest = append(rest, it)
		}
	}
	j.pending = rest
	return batch
}

func (it *item) free(touched map[string]bool) bool {
	for _, p := range it.change.Puts {
		if touched[p.Key] {
			return false
		}
	}
	return true
}

func (it *item) touch(touched map[string]bool) {
	for _, p := range it.change.Puts {
		touched[p.Key] = true
	}
}

// commit writes a batch. It returns when each change in it has its result.
func (j *Journal) commit(ctx context.Context, batch []*item) {
	for len(batch) > 0 {
		res, err := j.write(ctx, batch, uid.New())
		switch {
		case err == nil && len(res.Failed) == 0:
			finish(batch, result{version: res.Version})
			return
		case err == nil:
			batch = j.sortOut(batch, res.Failed)
		case kind.Is(err, kind.Lost) || !pause(ctx):
			finish(batch, result{err: err})
			return
		default:
			batch = keepPatient(batch, err)
		}
	}
}

// keepPatient answers the changes that cannot wait with err, which says that
// they were not written, and returns the others.
func keepPatient(batch []*item, err error) []*item {
	kept := batch[:0:0]
	for _, it := range batch {
		if it.bounded() || it.ctx.Err() != nil {
			it.done <- result{err: err}
			continue
		}
		kept = append(kept, it)
	}
	return kept
}

func finish(batch []*item, r result) {
	for _, it := range batch {
		it.done <- r
	}
}

// write sends one transaction. Once an answer of it was lost, the same
// transaction is sent again until it is known what became of it: only then may
// another one follow.
func (j *Journal) write(ctx context.Context, batch []*item, nonce string) (ports.Commit, error) {
	txn := j.txn(batch, nonce)
	res, err := j.table.Commit(ctx, txn)
	for kind.Is(err, kind.Lost) {
		j.setFailing(true)
		row, gone := j.readBack(ctx)
		if gone != nil {
			return ports.Commit{}, gone
		}
		if string(row.Value) == nonce {
			return j.settled(ports.Commit{Version: row.Version}), nil
		}
		res, err = j.resend(ctx, txn)
	}
	j.setFailing(err != nil)
	if row := j.own(res.Failed); row != nil && string(row.Value) == nonce {
		return j.settled(ports.Commit{Version: row.Version}), nil
	}
	return j.settled(res), err
}

// resend sends a transaction whose fate is open once more. While it cannot be
// sent, its fate stays open.
func (j *Journal) resend(ctx context.Context, txn ports.Txn) (ports.Commit, error) {
	for {
		res, err := j.table.Commit(ctx, txn)
		if err == nil || kind.Is(err, kind.Lost) {
			return res, err
		}
		if !pause(ctx) {
			return ports.Commit{}, kind.Wrap(kind.Lost, ctx.Err(), "the table's answer was lost")
		}
	}
}

// own returns the journal's own row among those whose checks failed, or nil.
func (j *Journal) own(failed []ports.Row) *ports.Row {
	for i := range failed {
		if failed[i].Key == j.key {
			return &failed[i]
		}
	}
	return nil
}

// pause waits a moment and reports whether ctx still goes on.
func pause(ctx context.Context) bool {
	select {
	case <-time.After(retryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// settled remembers the version of the journal's own row.
func (j *Journal) settled(res ports.Commit) ports.Commit {
	if res.Version > 0 && len(res.Failed) == 0 {
		j.version = res.Version
	}
	return res
}

// readBack reads the journal's own row until the table answers. Nothing else
// is written before that.
func (j *Journal) readBack(ctx context.Context) (ports.Row, error) {
	for {
		rows, err := j.table.Get(ctx, j.key)
		if err == nil {
			return rows[0], nil
		}
		if !pause(ctx) {
			return ports.Row{}, kind.Wrap(kind.Lost, ctx.Err(), "the table's answer was lost")
		}
	}
}

func (j *Journal) txn(batch []*item, nonce string) ports.Txn {
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

// sortOut answers the changes whose checks failed and returns the others.
func (j *Journal) sortOut(batch []*item, failed []ports.Row) []*item {
	now := make(map[string]ports.Row, len(failed))
	for _, r := range failed {
		now[r.Key] = r
		if r.Key == j.key {
			j.version = r.Version
		}
	}
	kept := batch[:0:0]
	for _, it := range batch {
		if rows := it.failed(now); len(rows) > 0 {
			it.done <- result{err: kind.Wrap(kind.Conflict, &Conflict{Rows: rows}, "")}
			continue
		}
		kept = append(kept, it)
	}
	return kept
}

func (it *item) failed(now map[string]ports.Row) []ports.Row {
	var rows []ports.Row
	for _, c := range it.change.Checks {
		if r, ok := now[c.Key]; ok && r.Version != c.Version {
			rows = append(rows, r)
		}
	}
	return rows
}
