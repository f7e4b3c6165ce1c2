// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"sync"
	"time"

	"dewpass.org/internal/stall"
	"dewpass.org/kind"
)

const (
	// directTimeout bounds how long the store may take to begin its response, and each
	// pause within the response.
	directTimeout = 1500 * time.Millisecond
	// relayTimeout bounds a call through a peer.
	relayTimeout = 1200 * time.Millisecond
	// probeTimeout bounds a call that only checks whether the store answers.
	probeTimeout = time.Second
	// maxTransferTime bounds the transfer of a response: the largest, of 8 MB, takes 7 s
	// over 10 Mbit/s.
	maxTransferTime = 30 * time.Second
	// The same call is also sent through a peer once the store has not answered for
	// minHedgeDelay, or hedgeLatencyFactor times its recent latency if that is longer. A
	// transaction contains its preconditions, so it takes effect only once.
	minHedgeDelay      = 120 * time.Millisecond
	hedgeLatencyFactor = 4
	// minResendDelay is the shortest time to wait for the response to a write before it
	// is sent again.
	minResendDelay = 250 * time.Millisecond
	// reachableWindow is how long after a response the store counts as reachable.
	reachableWindow = 900 * time.Millisecond
	// latencyWeight is the weight of a new measurement in the average latency, in eighths.
	latencyWeight = 1
)

// Client is a Store that calls the store directly, and through a peer while the store does not
// answer this instance. The exported fields must be set before use.
type Client struct {
	Direct Store
	// Relay sends an encoded call to a peer that reaches the store; nil disables relaying. The
	// error is of kind Unavailable if there is no such peer.
	Relay func(ctx context.Context, call []byte) ([]byte, error)
	Now   func() time.Time
	// OnChange is called when the store becomes reachable or unreachable, directly or at all.
	OnChange func(direct, reachable bool)

	mu sync.Mutex
	// directDown says that the store did not answer this instance, so that calls go through a
	// peer first. Any direct response clears it.
	directDown bool
	// latency is the average time until the store begins its response.
	latency time.Duration
	// lastDirect is when data was last received from the store directly, and lastRelayed
	// when a peer last relayed a response.
	lastDirect, lastRelayed time.Time
	lastReported            [2]bool
}

// DirectlyReachable reports whether the store currently answers this instance directly.
func (c *Client) DirectlyReachable() bool { return c.AnsweredDirectly(reachableWindow) }

// AnsweredDirectly reports whether the store has answered this instance directly within the
// given time.
func (c *Client) AnsweredDirectly(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now().Sub(c.lastDirect) < within
}

// LastDirectAnswer returns when data was last received from the store directly, zero if never.
func (c *Client) LastDirectAnswer() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastDirect
}

// DirectFailed reports whether the last direct call that showed anything had no answer.
func (c *Client) DirectFailed() bool { return c.isDirectDown() }

// Reachable reports whether the store currently answers, directly or through a peer.
func (c *Client) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	return now.Sub(c.lastDirect) < reachableWindow || now.Sub(c.lastRelayed) < reachableWindow
}

// Silence returns the time since the last data from the store, direct or relayed; 0 before any
// data was received.
func (c *Client) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastDirect
	if c.lastRelayed.After(last) {
		last = c.lastRelayed
	}
	if last.IsZero() {
		return 0
	}
	return c.Now().Sub(last)
}

// KnownUnreachable reports whether calls have shown that the store cannot be reached, neither
// directly nor through a peer.
func (c *Client) KnownUnreachable() bool { return c.isDirectDown() && !c.Reachable() }

// Tx implements Store.
func (c *Client) Tx(ctx context.Context, t Tx) (Result, error) {
	var out Result
	err := c.do(ctx, directTimeout, func(ctx context.Context) (func(), error) {
		got, err := c.Direct.Tx(ctx, t)
		return func() { out = got }, err
	}, RelayedCall{Tx: &t}, func(a *RelayedAnswer) { out = *a.Result }, true)
	return out, err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, r Range) (Page, error) {
	var out Page
	err := c.do(ctx, directTimeout, func(ctx context.Context) (func(), error) {
		got, err := c.Direct.Get(ctx, r)
		return func() { out = got }, err
	}, RelayedCall{Get: &r}, func(a *RelayedAnswer) { out = *a.Page }, false)
	return out, err
}

// Feed implements Store.
func (c *Client) Feed(ctx context.Context, s FeedQuery) (Page, error) {
	var out Page
	err := c.do(ctx, directTimeout+s.Wait, func(ctx context.Context) (func(), error) {
		got, err := c.Direct.Feed(ctx, s)
		return func() { out = got }, err
	}, RelayedCall{Feed: &s}, func(a *RelayedAnswer) { out = *a.Page }, false)
	return out, err
}

// ResendDelay returns how long to wait for a write to appear before sending it again: its
// response may have been lost, and it may take effect seconds later or never.
func (c *Client) ResendDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(minResendDelay, hedgeLatencyFactor*c.latency), directTimeout)
}

func (c *Client) isDirectDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directDown
}

// Probe calls the store directly, even if it is known to be down.
func (c *Client) Probe(ctx context.Context, r Range) (Page, error) {
	var page Page
	err := c.callDirect(ctx, probeTimeout, nil, func(ctx context.Context) (err error) {
		page, err = c.Direct.Get(ctx, r)
		return err
	})
	return page, err
}

// ProbeViaPeer calls the store through a peer. While the store does not answer this instance
// directly, only this shows that calls still succeed: there may be long pauses between client
// requests.
func (c *Client) ProbeViaPeer(ctx context.Context, r Range) (Page, error) {
	a, err := c.callViaPeer(ctx, RelayedCall{Get: &r})
	if err != nil {
		return Page{}, err
	}
	return *a.Page, nil
}

// callDirect calls the store directly. firstByte bounds the time until the response begins;
// once it does, it may take up to maxTransferTime. progress is called for each received part of
// the response; it may be nil.
func (c *Client) callDirect(ctx context.Context, firstByte time.Duration, progress func(), direct func(context.Context) error) error {
	begun := c.Now()
	var latency time.Duration
	limits := stall.Limits{FirstByte: firstByte, Gap: directTimeout, Total: maxTransferTime}
	caller := ctx
	ctx, cancel := stall.Context(ctx, limits, func() {
		// The caller's context may have a tighter stall limit.
		stall.Progress(caller)
		receivedAt := c.noteDirectData()
		if latency == 0 {
			latency = receivedAt.Sub(begun)
		}
		if progress != nil {
			progress()
		}
	})
	defer cancel()
	err := direct(ctx)
	if firstByte > directTimeout {
		// The time spent waiting for a change is not latency.
		latency = 0
	} else if latency == 0 {
		latency = c.Now().Sub(begun)
	}
	c.recordDirectResult(begun, latency, err)
	c.reportChange()
	return err
}

// noteDirectData records that data was received from the store directly, and returns the time.
func (c *Client) noteDirectData() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDirect = c.Now()
	return c.lastDirect
}

// recordDirectResult records the result of a direct call. latency is 0 if it was not measured.
func (c *Client) recordDirectResult(begun time.Time, latency time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.lastDirect = c.Now()
		c.directDown = false
		if latency > 0 {
			c.latency += (latency - c.latency) * latencyWeight / 8
		}
	case c.lastDirect.Before(begun) && (kind.Is(err, kind.Unavailable) || kind.Is(err, kind.Lost)):
		// No data was received on any connection since the call began. A single
		// stalled connection does not mean that the store is down.
		c.directDown = true
	}
}

// reportChange calls OnChange if the reachability has changed since the last call. A store that was
// not called for a while counts as it did at the last call.
func (c *Client) reportChange() {
	reachable := c.Reachable()
	c.mu.Lock()
	now := [2]bool{!c.directDown && !c.lastDirect.IsZero(), reachable}
	changed := now != c.lastReported
	c.lastReported = now
	c.mu.Unlock()
	if changed && c.OnChange != nil {
		c.OnChange(now[0], now[1])
	}
}
