// SPDX-License-Identifier: Apache-2.0

package commit

import (
	"context"
	"slices"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

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
