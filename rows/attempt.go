// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
)

// WriteAttempt sends a write once whose response may be late or lost. Until the response
// arrives, it checks periodically whether the write has taken effect.
type WriteAttempt struct {
	Store Store
	Tx    Tx
	// Lookup is called at every Interval. It returns true once the store shows whether the
	// write took effect.
	Lookup   func(ctx context.Context) (Result, bool, error)
	Interval time.Duration
	// Timeout is how long to wait for the write to take effect.
	Timeout time.Duration
}

// txAnswer is the store's response to a write.
type txAnswer struct {
	res Result
	err error
}

// Send sends the write. The bool reports whether the result and the error are the store's
// response. Otherwise they were returned by Lookup, or the error is of kind Lost: the write may
// still take effect later, or never.
func (a WriteAttempt) Send(ctx context.Context) (Result, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan txAnswer, 1)
	go func() {
		res, err := a.Store.Tx(ctx, a.Tx)
		answered <- txAnswer{res, err}
	}()
	begun := clock.Now()
	tick := time.NewTicker(a.Interval)
	defer tick.Stop()
	for {
		select {
		case a := <-answered:
			return a.res, true, a.err
		case <-tick.C:
			if res, known, err := a.Lookup(ctx); known {
				return res, false, err
			}
			if clock.Since(begun) > a.Timeout {
				return Result{}, false, kind.New(kind.Lost, "the write has neither a response nor an effect yet")
			}
		}
	}
}
