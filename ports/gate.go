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
	initialRate      = 200
	minRate          = 2
	maxRate          = 5000
	rateIncrement    = 2
	rateBurst        = 64
	breakerThreshold = 5
	breakerPause     = time.Second
)

// callLimiter limits the calls to one service of the platform. Its rate grows
// by a constant while calls succeed and halves when the service answers that
// the rate is too high. After several consecutive failures a circuit breaker
// refuses calls for breakerPause.
type callLimiter struct {
	mu           sync.Mutex
	currentRate  float64
	lastDecrease time.Time
	limiter      *rate.Limiter
	breaker      *gobreaker.TwoStepCircuitBreaker[any]
}

func newCallLimiter(name string) *callLimiter {
	return &callLimiter{
		currentRate: initialRate,
		limiter:     rate.NewLimiter(initialRate, rateBurst),
		breaker: gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
			Name:    name,
			Timeout: breakerPause,
			ReadyToTrip: func(c gobreaker.Counts) bool {
				return c.ConsecutiveFailures >= breakerThreshold
			},
		}),
	}
}

// acquireForWrite is acquire for a call that changes something. It fails unless
// the breaker is closed, so that only reads probe whether the service is back:
// the outcome of a write without a reply is unknown, while a read without one
// does no harm.
func (l *callLimiter) acquireForWrite(ctx context.Context) (func(error), error) {
	if l.breaker.State() != gobreaker.StateClosed {
		return nil, breakerOpenError(gobreaker.ErrOpenState)
	}
	return l.acquire(ctx)
}

func breakerOpenError(cause error) error {
	return kind.Wrap(kind.Unavailable, cause, "circuit breaker open: recent calls to the platform got no answer").WithRetryAfter(breakerPause)
}

// acquire checks the breaker and waits for the rate limit. The caller must call
// the returned function with the error of the call.
func (l *callLimiter) acquire(ctx context.Context) (func(error), error) {
	done, err := l.breaker.Allow()
	if err != nil {
		return nil, breakerOpenError(err)
	}
	if err := l.limiter.Wait(ctx); err != nil {
		done(nil)
		return nil, kind.Wrap(kind.Unavailable, err, "rate limit for calls to the platform: no call possible before the deadline")
	}
	return func(err error) {
		l.adaptRate(err)
		done(outageError(err))
	}, nil
}

// outageError returns err if it means that the service does not answer, else
// nil.
func outageError(err error) error {
	if kind.Is(err, kind.Unavailable) || kind.Is(err, kind.Lost) {
		return err
	}
	return nil
}

func (l *callLimiter) adaptRate(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !kind.Is(err, kind.RateLimited) {
		if err == nil {
			l.currentRate = min(l.currentRate+rateIncrement, maxRate)
			l.limiter.SetLimit(rate.Limit(l.currentRate))
		}
		return
	}
	// Halve at most once a second: the refusals of one burst have the same cause.
	if time.Since(l.lastDecrease) < time.Second {
		return
	}
	l.lastDecrease = time.Now()
	l.currentRate = max(l.currentRate/2, minRate)
	l.limiter.SetLimit(rate.Limit(l.currentRate))
}
