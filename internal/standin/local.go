// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"sync"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Local is an in-process Table for unit tests: it implements ports.Table, and
// hooks inject failures into commits and reads.
type Local struct {
	*Table
	mu sync.Mutex
	// BeforeCommit is called before each commit; with an error the commit fails
	// without effect.
	BeforeCommit func(ports.Txn) error
	// AfterCommit is called after each commit took effect; with an error the caller
	// gets that error in place of the result.
	AfterCommit func(ports.Txn) error
	// BeforeRead is called before each read; with an error the read fails.
	BeforeRead func() error
	// AfterGet is called with the keys between a Get of rows and its answer.
	AfterGet func(keys []string)
}

// NewLocal returns an empty table.
func NewLocal() *Local { return &Local{Table: NewTable()} }

// Set changes the hooks while the table is in use.
func (l *Local) Set(f func(*Local)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *Local) hooks() (before, after func(ports.Txn) error, reading func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.BeforeCommit, l.AfterCommit, l.BeforeRead
}

// readError returns the error with which a read has to fail, if any.
func (l *Local) readError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return kind.Wrap(kind.Unavailable, err, "read")
	}
	if _, _, reading := l.hooks(); reading != nil {
		return reading()
	}
	return nil
}

// Get implements ports.Table.
func (l *Local) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	if err := l.readError(ctx); err != nil {
		return nil, err
	}
	rows := l.Table.Get(keys...)
	l.mu.Lock()
	after := l.AfterGet
	l.mu.Unlock()
	if after != nil {
		after(keys)
	}
	return rows, nil
}

// Scan implements ports.Table.
func (l *Local) Scan(ctx context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	if err := l.readError(ctx); err != nil {
		return nil, err
	}
	return l.Table.Scan(prefix, after, limit), nil
}

// Commit implements ports.Table.
func (l *Local) Commit(ctx context.Context, t ports.Txn) (ports.Commit, error) {
	if err := ctx.Err(); err != nil {
		return ports.Commit{}, kind.Wrap(kind.Unavailable, err, "commit")
	}
	before, after, _ := l.hooks()
	if before != nil {
		if err := before(t); err != nil {
			return ports.Commit{}, err
		}
	}
	res := l.Table.Commit(t)
	if after != nil {
		if err := after(t); err != nil {
			return ports.Commit{}, err
		}
	}
	return res, nil
}
