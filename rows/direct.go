// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
)

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
