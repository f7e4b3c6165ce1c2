// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"sync"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Local is a Table without the network, for focused tests: it implements
// ports.Table, and Before and After bring failures about at each commit.
type Local struct {
	*Table
	mu sync.Mutex
	// Before may refuse a commit before it takes effect.
	Before func(ports.Txn) error
	// After may lose the answer of a commit that took effect.
	After func(ports.Txn) error
	// Reading may refuse reads.
	Reading func() error
}

// NewLocal returns an empty table.
func NewLocal() *Local { return &Local{Table: NewTable()} }

// Set changes the failures while the table is in use.
func (l *Local) Set(f func(*Local)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *Local) hooks() (before, after func(ports.Txn) error, reading func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Before, l.After, l.Reading
}

func (l *Local) read(ctx context.Context) error {
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
	if err := l.read(ctx); err != nil {
		return nil, err
	}
	return l.Table.Get(keys...), nil
}

// Scan implements ports.Table.
func (l *Local) Scan(ctx context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	if err := l.read(ctx); err != nil {
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
