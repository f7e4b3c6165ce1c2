// SPDX-License-Identifier: Apache-2.0

package ports

import (
	"context"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"dewpass.org/kind"
)

const (
	startRate    = 200
	minRate      = 2
	maxRate      = 5000
	rateStep     = 2
	rateBurst    = 64
	breakAfter   = 5
	breakerPause = time.Second
)

// gate paces the calls to one service of the platform: its rate grows by
// addition while calls succeed and halves when the service says that it is
// too fast, and a breaker refuses calls for a moment after a row of failures.
type gate struct {
	mu      sync.Mutex
	limit   float64
	cut     time.Time
	limiter *rate.Limiter
	breaker *gobreaker.TwoStepCircuitBreaker[any]
}

func newGate(name string) *gate {
	return &gate{
		limit:   startRate,
		limiter: rate.NewLimiter(startRate, rateBurst),
		breaker: gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
			Name:    name,
			Timeout: breakerPause,
			ReadyToTrip: func(c gobreaker.Counts) bool {
				return c.ConsecutiveFailures >= breakAfter
			},
		}),
	}
}

// enterWrite is enter for a call that changes something. It never is the one
// by which the breaker finds out whether the service is back: the fate of a
// write that gets no answer is unknown, and a read that gets none harms nobody.
func (g *gate) enterWrite(ctx context.Context) (func(error), error) {
	if g.breaker.State() != gobreaker.StateClosed {
		return nil, silent(gobreaker.ErrOpenState)
	}
	return g.enter(ctx)
}

func silent(cause error) error {
	return kind.Wrap(kind.Unavailable, cause, "the platform did not answer of late").After(breakerPause)
}

// enter waits for the rate and the breaker. The function it returns must be
// called with the error of the call.
func (g *gate) enter(ctx context.Context) (func(error), error) {
	done, err := g.breaker.Allow()
	if err != nil {
		return nil, silent(err)
	}
	if err := g.limiter.Wait(ctx); err != nil {
		done(nil)
		return nil, kind.Wrap(kind.Unavailable, err, "the platform's rate limit leaves no room before the deadline")
	}
	return func(err error) {
		g.adapt(err)
		done(outage(err))
	}, nil
}

// outage returns err if it speaks of a service that does not answer.
func outage(err error) error {
	if kind.Is(err, kind.Unavailable) || kind.Is(err, kind.Lost) {
		return err
	}
	return nil
}

func (g *gate) adapt(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !kind.Is(err, kind.RateLimited) {
		if err == nil {
			g.limit = min(g.limit+rateStep, maxRate)
			g.limiter.SetLimit(rate.Limit(g.limit))
		}
		return
	}
	// One cut a second: the answers of one burst speak of the same excess.
	if time.Since(g.cut) < time.Second {
		return
	}
	g.cut = time.Now()
	g.limit = max(g.limit/2, minRate)
	g.limiter.SetLimit(rate.Limit(g.limit))
}
