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
	// directTime is how long the store may go without a first byte of its answer, or
	// without a further one; carriedTime bounds a call by a peer, and probeTime one
	// that only shows whether the store answers.
	directTime  = 1500 * time.Millisecond
	carriedTime = 1200 * time.Millisecond
	probeTime   = time.Second
	// wholeTime bounds an answer that comes in: the largest, of 8 MB, takes 7 s over
	// 10 Mbit/s.
	wholeTime = 30 * time.Second
	// hedgeLeast is how long the store may be without an answer before the same
	// call goes by a peer, or hedgeTimes as long as answers take of late. What a
	// transaction rests on is in it, so that it takes effect once.
	hedgeLeast = 120 * time.Millisecond
	hedgeTimes = 4
	// patienceLeast is how long a write is waited for at least.
	patienceLeast = 250 * time.Millisecond
	// fresh is how long an answer shows that the store can be reached.
	fresh = 900 * time.Millisecond
	// tookShare is the weight of a new answer in how long answers take, in
	// eighths.
	tookShare = 1
)

// Call is a call to the store on its way by a peer. One of its fields is set.
type Call struct {
	Tx   *Tx    `json:"tx,omitempty"`
	Get  *Range `json:"get,omitempty"`
	Feed *Since `json:"feed,omitempty"`
}

// Answer is the answer to a Call.
type Answer struct {
	Result *Result `json:"result,omitempty"`
	Page   *Page   `json:"page,omitempty"`
}

// Client is a Store that goes by a peer while the store cannot be reached
// directly. Its fields must be set before use.
type Client struct {
	Direct Store
	// Carry sends a call by a peer that reaches the store; nil is never. Its
	// error is of kind Unavailable if there is none.
	Carry func(ctx context.Context, call []byte) ([]byte, error)
	Now   func() time.Time
	// Changed is told when the store becomes reachable or stops being so.
	Changed func(direct, reachable bool)

	mu sync.Mutex
	// away says that the store did not answer this instance: calls go by a peer first.
	// Any answer of the store itself ends that.
	away bool
	// took is how long the store takes to begin an answer, of late.
	took time.Duration
	// lastDirect is when something last came of the store itself, and lastCarried when a
	// peer last brought an answer.
	lastDirect, lastCarried time.Time
	wasState                [2]bool
}

// DirectOK reports whether the store answers this instance itself.
func (c *Client) DirectOK() bool { return c.Answered(fresh) }

// Answered reports whether the store has answered this instance itself within a time.
func (c *Client) Answered(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now().Sub(c.lastDirect) < within
}

// Reachable reports whether the store answers, directly or by a peer.
func (c *Client) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	return now.Sub(c.lastDirect) < fresh || now.Sub(c.lastCarried) < fresh
}

// Silence returns for how long nothing has come of the store, directly or by a peer; 0
// before anything has.
func (c *Client) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastDirect
	if c.lastCarried.After(last) {
		last = c.lastCarried
	}
	if last.IsZero() {
		return 0
	}
	return c.Now().Sub(last)
}

// KnownAway reports whether calls have shown that the store is not reached, in any way.
func (c *Client) KnownAway() bool { return c.isAway() && !c.Reachable() }

// Tx implements Store.
func (c *Client) Tx(ctx context.Context, t Tx) (Result, error) {
	var out Result
	err := c.do(ctx, directTime, func(ctx context.Context) (func(), error) {
		got, err := c.Direct.Tx(ctx, t)
		return func() { out = got }, err
	}, Call{Tx: &t}, func(a *Answer) { out = *a.Result }, true)
	return out, err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, r Range) (Page, error) {
	var out Page
	err := c.do(ctx, directTime, func(ctx context.Context) (func(), error) {
		got, err := c.Direct.Get(ctx, r)
		return func() { out = got }, err
	}, Call{Get: &r}, func(a *Answer) { out = *a.Page }, false)
	return out, err
}

// Feed implements Store.
func (c *Client) Feed(ctx context.Context, s Since) (Page, error) {
	var out Page
	err := c.do(ctx, directTime+s.Wait, func(ctx context.Context) (func(), error) {
		got, err := c.Direct.Feed(ctx, s)
		return func() { out = got }, err
	}, Call{Feed: &s}, func(a *Answer) { out = *a.Page }, false)
	return out, err
}

// DirectOnly returns the store as this instance reaches it itself, never by a peer. It is
// for what a peer can pass on in a better way than by carrying the call. progress is told
// of each part of an answer that comes in; it may be nil.
func (c *Client) DirectOnly(progress func()) Store { return directOnly{c, progress} }

type directOnly struct {
	client   *Client
	progress func()
}

func (n directOnly) Tx(ctx context.Context, t Tx) (res Result, err error) {
	err = n.client.try(ctx, directTime, n.progress, func(ctx context.Context) error {
		res, err = n.client.Direct.Tx(ctx, t)
		return err
	})
	return res, err
}

func (n directOnly) Get(ctx context.Context, r Range) (page Page, err error) {
	err = n.client.try(ctx, directTime, n.progress, func(ctx context.Context) error {
		page, err = n.client.Direct.Get(ctx, r)
		return err
	})
	return page, err
}

func (n directOnly) Feed(ctx context.Context, s Since) (page Page, err error) {
	err = n.client.try(ctx, directTime+s.Wait, n.progress, func(ctx context.Context) error {
		page, err = n.client.Direct.Feed(ctx, s)
		return err
	})
	return page, err
}

// outcome is what became of one way of a call.
type outcome struct {
	err error
	// take puts the answer where the caller finds it.
	take func()
}

// do sends a call to the store itself, and by a peer if that takes too long or
// the store is away. The first answer counts. A write whose answer was lost is
// not sent again: only its sender can tell what became of it.
func (c *Client) do(ctx context.Context, limit time.Duration, direct func(context.Context) (func(), error), call Call, take func(*Answer), write bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan outcome, 2)
	var arriving atomic.Bool
	byStore := func() {
		var done func()
		err := c.try(ctx, limit, func() { arriving.Store(true) }, func(ctx context.Context) (err error) {
			done, err = direct(ctx)
			return err
		})
		answers <- outcome{err, done}
	}
	byPeer := func() {
		a, err := c.carry(ctx, call)
		answers <- outcome{err, func() { take(a) }}
	}
	away := c.isAway()
	first, second := byStore, byPeer
	if away {
		first, second = byPeer, byStore
	}
	go first()
	open, hedged := 1, false
	hedge := time.NewTimer(c.hedgeAfter(call, away))
	defer hedge.Stop()
	var lost error
	for {
		select {
		case o := <-answers:
			open--
			if o.err == nil {
				stall.Moved(ctx)
				o.take()
				return nil
			}
			if lost == nil || !kind.Is(o.err, kind.Unavailable) {
				lost = o.err
			}
			if hedged && open == 0 {
				return lost
			}
			if !hedged && write && kind.Is(o.err, kind.Lost) {
				return lost
			}
		case <-hedge.C:
			if arriving.Load() {
				// The same answer by a peer would only take from the link.
				continue
			}
		}
		if !hedged && ctx.Err() == nil {
			hedged = true
			open++
			go second()
		}
		if open == 0 {
			return lost
		}
	}
}

// hedgeAfter returns how long a call may be without an answer before it goes the
// other way as well.
func (c *Client) hedgeAfter(call Call, away bool) time.Duration {
	if away || call.Feed != nil {
		return directTime + carriedTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(hedgeLeast, hedgeTimes*c.took)
}

// Patience returns after how long a write that is not there should be sent again:
// its answer may be lost, and it may take effect seconds later or never.
func (c *Client) Patience() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(patienceLeast, hedgeTimes*c.took), directTime)
}

func (c *Client) isAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away
}

// Probe asks the store itself, whatever became of earlier calls.
func (c *Client) Probe(ctx context.Context, r Range) (Page, error) {
	var page Page
	err := c.try(ctx, probeTime, nil, func(ctx context.Context) (err error) {
		page, err = c.Direct.Get(ctx, r)
		return err
	})
	return page, err
}

// ProbePeer asks the store by a peer. While the store turns this instance away that alone
// shows whether calls can go on: between two requests of clients there may be none.
func (c *Client) ProbePeer(ctx context.Context, r Range) (Page, error) {
	a, err := c.carry(ctx, Call{Get: &r})
	if err != nil {
		return Page{}, err
	}
	return *a.Page, nil
}

// Carried reports whether a peer has brought an answer of the store within a time.
func (c *Client) Carried(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now().Sub(c.lastCarried) < within
}

// try sends a call to the store itself. firstByte is how long its answer may take to
// begin; one that comes in is waited for, however large it is. progress is told of each
// part of the answer; it may be nil.
func (c *Client) try(ctx context.Context, firstByte time.Duration, progress func(), direct func(context.Context) error) error {
	begun := c.Now()
	var latency time.Duration
	limits := stall.Limits{First: firstByte, Gap: directTime, Whole: wholeTime}
	caller := ctx
	ctx, cancel := stall.Context(ctx, limits, func() {
		// The caller may bound the silence more closely.
		stall.Moved(caller)
		heard := c.heardDirect()
		if latency == 0 {
			latency = heard.Sub(begun)
		}
		if progress != nil {
			progress()
		}
	})
	defer cancel()
	err := direct(ctx)
	if firstByte > directTime {
		// A wait for a change says nothing of how fast the store is.
		latency = 0
	} else if latency == 0 {
		latency = c.Now().Sub(begun)
	}
	c.tried(begun, latency, err)
	c.report()
	return err
}

// heardDirect notes that something has come of the store itself.
func (c *Client) heardDirect() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDirect = c.Now()
	return c.lastDirect
}

// tried takes in how a call to the store itself has ended. latency is 0 if it says nothing
// of the store.
func (c *Client) tried(begun time.Time, latency time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.lastDirect = c.Now()
		c.away = false
		if latency > 0 {
			c.took += (latency - c.took) * tookShare / 8
		}
	case c.lastDirect.Before(begun) && (kind.Is(err, kind.Unavailable) || kind.Is(err, kind.Lost)):
		// Nothing has come since the call was begun, of this answer or another: one
		// connection that has gone silent says nothing of the store.
		c.away = true
	}
}

func (c *Client) carry(ctx context.Context, call Call) (*Answer, error) {
	if c.Carry == nil {
		return nil, kind.New(kind.Unavailable, "no peer reaches the store")
	}
	raw, err := json.Marshal(call)
	if err != nil {
		return nil, kind.Wrap(kind.Internal, err, "call to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, carriedTime)
	defer cancel()
	back, err := c.Carry(ctx, raw)
	if err != nil {
		return nil, err
	}
	var a Answer
	if err := json.Unmarshal(back, &a); err != nil || (a.Page == nil) == (a.Result == nil) || (call.Tx == nil) == (a.Page == nil) {
		return nil, kind.New(kind.Damaged, "a peer's answer for the store")
	}
	c.mu.Lock()
	c.lastCarried = c.Now()
	c.mu.Unlock()
	c.report()
	return &a, nil
}

// report tells of a change once.
func (c *Client) report() {
	now := [2]bool{c.DirectOK(), c.Reachable()}
	c.mu.Lock()
	changed := now != c.wasState
	c.wasState = now
	c.mu.Unlock()
	if changed && c.Changed != nil {
		c.Changed(now[0], now[1])
	}
}

// Serve carries out a call that a peer sent, directly and never by a third.
func (c *Client) Serve(ctx context.Context, raw []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(raw, &call); err != nil {
		return nil, kind.Wrap(kind.BadRequest, err, "call to the store")
	}
	var a Answer
	// The answer to a call that is given up early says nothing of the store: its end is
	// that of its own limit.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), carriedTime)
	defer cancel()
	err := c.try(ctx, carriedTime, nil, func(ctx context.Context) error {
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
