// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
)

// Attempt sends a write once whose response may be late or lost. Until the response arrives, it
// checks periodically whether the write has taken effect.
type Attempt struct {
	Store Store
	Tx    Tx
	// Look is called at intervals of Every. It returns true once the store shows whether the
	// write took effect.
	Look  func(ctx context.Context) (Result, bool, error)
	Every time.Duration
	// Limit is how long to wait for the write to take effect.
	Limit time.Duration
}

// txAnswer is the store's response to a write.
type txAnswer struct {
	res Result
	err error
}

// Send sends the write. The bool reports whether the result and the error are the store's
// response. Otherwise they were returned by Look, or the error is of kind Lost: the write may
// still take effect later, or never.
func (a Attempt) Send(ctx context.Context) (Result, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan txAnswer, 1)
	go func() {
		res, err := a.Store.Tx(ctx, a.Tx)
		answered <- txAnswer{res, err}
	}()
	begun := clock.Now()
	tick := time.NewTicker(a.Every)
	defer tick.Stop()
	for {
		select {
		case a := <-answered:
			return a.res, true, a.err
		case <-tick.C:
			if res, known, err := a.Look(ctx); known {
				return res, false, err
			}
			if clock.Since(begun) > a.Limit {
				return Result{}, false, kind.New(kind.Lost, "the write has neither a response nor an effect yet")
			}
		}
	}
}
