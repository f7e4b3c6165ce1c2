// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"sync/atomic"
	"time"

	"dewpass.org/internal/stall"
	"dewpass.org/kind"
)

// routeResult is the result of a call over one route, direct or through a peer.
type routeResult struct {
	err error
	// deliver stores the response in the caller's variables.
	deliver func()
}

// do sends a call directly, and also through a peer if the response takes too long or the store
// is down; if it is known to be down, the peer is tried first. The first successful response is
// used. A write whose response was lost is not sent again, because only the caller can find out
// whether it took effect.
func (c *Client) do(ctx context.Context, limit time.Duration, direct func(context.Context) (func(), error), call RelayedCall, deliver func(*RelayedAnswer), write bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan routeResult, 2)
	var receiving atomic.Bool
	callStore := func() {
		var done func()
		err := c.callDirect(ctx, limit, func() { receiving.Store(true) }, func(ctx context.Context) (err error) {
			done, err = direct(ctx)
			return err
		})
		results <- routeResult{err, done}
	}
	callPeer := func() {
		a, err := c.callViaPeer(ctx, call)
		results <- routeResult{err, func() { deliver(a) }}
	}
	directDown := c.isDirectDown()
	first, second := callStore, callPeer
	if directDown {
		first, second = callPeer, callStore
	}
	go first()
	pending, hedged := 1, false
	hedge := time.NewTimer(c.hedgeDelay(call, directDown))
	defer hedge.Stop()
	var callErr error
	for {
		select {
		case o := <-results:
			pending--
			if o.err == nil {
				stall.Progress(ctx)
				o.deliver()
				return nil
			}
			if kind.Is(o.err, kind.BadRequest) {
				// The store would refuse it over the other route as well.
				return o.err
			}
			if callErr == nil || !kind.Is(o.err, kind.Unavailable) {
				callErr = o.err
			}
			if hedged && pending == 0 {
				return callErr
			}
			if !hedged && write && kind.Is(o.err, kind.Lost) {
				return callErr
			}
		case <-hedge.C:
			if receiving.Load() {
				// A second copy through a peer would only compete for the link.
				continue
			}
		}
		if !hedged && ctx.Err() == nil {
			hedged = true
			pending++
			go second()
		}
		if pending == 0 {
			return callErr
		}
	}
}

// hedgeDelay returns how long to wait for the first route before the call is also sent over the
// other one.
func (c *Client) hedgeDelay(call RelayedCall, directDown bool) time.Duration {
	if directDown || call.Feed != nil {
		return directTimeout + relayTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(minHedgeDelay, hedgeLatencyFactor*c.latency)
}
