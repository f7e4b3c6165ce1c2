// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
)

// Attempt is one sending of a write whose answer may be late or lost. While there is
// none, the store is asked whether the write is there.
type Attempt struct {
	Store Store
	Tx    Tx
	// Look is called every Every. It returns true once the store shows what became
	// of the write.
	Look  func(ctx context.Context) (Result, bool, error)
	Every time.Duration
	// Limit is after how long a write that is not there is given up.
	Limit time.Duration
}

// answer is what the store said to a write.
type answer struct {
	res Result
	err error
}

// Send sends the write. The bool reports whether the result and the error are the
// store's own answer; if not, they are what Look returned, or the error is of kind
// Lost: the write may take effect later, or never.
func (a Attempt) Send(ctx context.Context) (Result, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan answer, 1)
	go func() {
		res, err := a.Store.Tx(ctx, a.Tx)
		answered <- answer{res, err}
	}()
	begun := clock.Now()
	tick := time.NewTicker(a.Every)
	defer tick.Stop()
	for {
		select {
		case s := <-answered:
			return s.res, true, s.err
		case <-tick.C:
			if res, known, err := a.Look(ctx); known {
				return res, false, err
			}
			if clock.Since(begun) > a.Limit {
				return Result{}, false, kind.New(kind.Lost, "the write is not there and has no answer")
			}
		}
	}
}
