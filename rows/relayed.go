// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"encoding/json"
	"time"

	"dewpass.org/kind"
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

// RelayedWithin reports whether a peer has relayed a response of the store within the given time.
func (c *Client) RelayedWithin(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now().Sub(c.lastRelayed) < within
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
