// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
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

// RelayedCall is a call to the store that is sent through a peer. Exactly one field is set.
type RelayedCall struct {
	Tx   *Tx        `json:"tx,omitempty"`
	Get  *Range     `json:"get,omitempty"`
	Feed *FeedQuery `json:"feed,omitempty"`
}

// RelayedAnswer is the response to a RelayedCall.
type RelayedAnswer struct {
	Result *Result `json:"result,omitempty"`
	Page   *Page   `json:"page,omitempty"`
}

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

// NotePeerAnswer records that the store answered a peer at the given time, through which calls can
// be relayed.
func (c *Client) NotePeerAnswer(at time.Time) {
	c.mu.Lock()
	if at.After(c.lastRelayed) {
		c.lastRelayed = at
	}
	c.mu.Unlock()
	c.reportChange()
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

// DirectOnly returns a Store that never uses a peer, for calls whose result peers can provide
// more cheaply than by relaying. progress is called for each received part of a response; it
// may be nil.
func (c *Client) DirectOnly(progress func()) Store { return directOnly{c, progress} }

type directOnly struct {
	client   *Client
	progress func()
}

func (n directOnly) Tx(ctx context.Context, t Tx) (res Result, err error) {
	err = n.client.callDirect(ctx, directTimeout, n.progress, func(ctx context.Context) error {
		res, err = n.client.Direct.Tx(ctx, t)
		return err
	})
	return res, err
}

func (n directOnly) Get(ctx context.Context, r Range) (page Page, err error) {
	err = n.client.callDirect(ctx, directTimeout, n.progress, func(ctx context.Context) error {
		page, err = n.client.Direct.Get(ctx, r)
		return err
	})
	return page, err
}

func (n directOnly) Feed(ctx context.Context, s FeedQuery) (page Page, err error) {
	err = n.client.callDirect(ctx, directTimeout+s.Wait, n.progress, func(ctx context.Context) error {
		page, err = n.client.Direct.Feed(ctx, s)
		return err
	})
	return page, err
}

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

// RelayedWithin reports whether a peer has relayed a response of the store within the given time.
func (c *Client) RelayedWithin(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now().Sub(c.lastRelayed) < within
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

func (c *Client) callViaPeer(ctx context.Context, call RelayedCall) (*RelayedAnswer, error) {
	if c.Relay == nil {
		return nil, kind.New(kind.Unavailable, "no peer to reach the store through")
	}
	raw, err := json.Marshal(call)
	if err != nil {
		return nil, kind.Wrap(kind.Internal, err, "encode call to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := c.Relay(ctx, raw)
	switch {
	case kind.Is(err, kind.BadRequest):
		// A peer of another version may refuse what the store would accept.
		return nil, kind.Wrap(kind.Unavailable, err, "relayed call to the store")
	case err != nil:
		return nil, err
	}
	var a RelayedAnswer
	if err := json.Unmarshal(reply, &a); err != nil || (a.Page == nil) == (a.Result == nil) || (call.Tx == nil) == (a.Page == nil) {
		return nil, kind.New(kind.Damaged, "a peer relayed an invalid response of the store")
	}
	c.mu.Lock()
	c.lastRelayed = c.Now()
	c.mu.Unlock()
	c.reportChange()
	return &a, nil
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

// ServeRelayed carries out a call that a peer sent. It calls the store directly and never
// relays the call again.
func (c *Client) ServeRelayed(ctx context.Context, raw []byte) ([]byte, error) {
	var call RelayedCall
	if err := json.Unmarshal(raw, &call); err != nil {
		return nil, kind.Wrap(kind.BadRequest, err, "decode call to the store")
	}
	var a RelayedAnswer
	// The peer may cancel its call early, which must not count as a failure of the store,
	// so the call has its own deadline.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), relayTimeout)
	defer cancel()
	err := c.callDirect(ctx, relayTimeout, nil, func(ctx context.Context) error {
		switch {
		case call.Tx != nil:
			res, err := c.Direct.Tx(ctx, *call.Tx)
			a.Result = &res
			return err
		case call.Get != nil:
			page, err := c.Direct.Get(ctx, *call.Get)
			a.Page = &page
			return err
		case call.Feed != nil:
			page, err := c.Direct.Feed(ctx, *call.Feed)
			a.Page = &page
			return err
		}
		return kind.New(kind.BadRequest, "empty call to the store")
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(a)
}
