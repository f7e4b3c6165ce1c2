// SPDX-License-Identifier: Apache-2.0

package rows

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"dewpass.org/kind"
)

const (
	// directTime bounds a call to the store, carriedTime one by a peer.
	directTime  = 1500 * time.Millisecond
	carriedTime = 1200 * time.Millisecond
	// shun is how long the store is left alone after it turned a call away,
	// while a peer can go there.
	shun = 400 * time.Millisecond
	// fresh is how long an answer shows that the store can be reached.
	fresh = 900 * time.Millisecond
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

// Door is a Store that goes by a peer while the store cannot be reached
// directly. Its fields must be set before use.
type Door struct {
	Direct Store
	// Carry sends a call by a peer that reaches the store; nil is never. Its
	// error is of kind Unavailable if there is none.
	Carry func(ctx context.Context, call []byte) ([]byte, error)
	Now   func() time.Time
	// Changed is told when the store becomes reachable or stops being so.
	Changed func(direct, reachable bool)

	mu       sync.Mutex
	shunned  time.Time
	direct   time.Time
	carried  time.Time
	wasState [2]bool
}

// DirectOK reports whether the store answers this instance itself.
func (d *Door) DirectOK() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Now().Sub(d.direct) < fresh
}

// Reachable reports whether the store answers, directly or by a peer.
func (d *Door) Reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	return now.Sub(d.direct) < fresh || now.Sub(d.carried) < fresh
}

// Tx implements Store.
func (d *Door) Tx(ctx context.Context, t Tx) (Result, error) {
	var out Result
	err := d.do(ctx, directTime, func(ctx context.Context) (err error) {
		out, err = d.Direct.Tx(ctx, t)
		return err
	}, Call{Tx: &t}, func(a *Answer) { out = *a.Result }, true)
	return out, err
}

// Get implements Store.
func (d *Door) Get(ctx context.Context, r Range) (Page, error) {
	var out Page
	err := d.do(ctx, directTime, func(ctx context.Context) (err error) {
		out, err = d.Direct.Get(ctx, r)
		return err
	}, Call{Get: &r}, func(a *Answer) { out = *a.Page }, false)
	return out, err
}

// Feed implements Store.
func (d *Door) Feed(ctx context.Context, s Since) (Page, error) {
	var out Page
	err := d.do(ctx, directTime+s.Wait, func(ctx context.Context) (err error) {
		out, err = d.Direct.Feed(ctx, s)
		return err
	}, Call{Feed: &s}, func(a *Answer) { out = *a.Page }, false)
	return out, err
}

// do tries the store itself and then a peer. A write whose answer was lost is
// not sent again here: only its sender can tell what became of it.
func (d *Door) do(ctx context.Context, limit time.Duration, direct func(context.Context) error, call Call, take func(*Answer), write bool) error {
	var err error
	if !d.isShunned() {
		if err = d.try(ctx, limit, direct); err == nil {
			return nil
		}
		if write && kind.Is(err, kind.Lost) {
			return err
		}
	}
	if ctx.Err() != nil {
		return kind.Wrap(kind.Lost, ctx.Err(), "store")
	}
	carryErr := d.carry(ctx, call, take)
	if carryErr == nil || (write && kind.Is(carryErr, kind.Lost)) {
		return carryErr
	}
	if err != nil {
		return err
	}
	return d.try(ctx, limit, direct)
}

func (d *Door) isShunned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Now().Before(d.shunned)
}

func (d *Door) try(ctx context.Context, limit time.Duration, direct func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := direct(ctx)
	d.mu.Lock()
	switch {
	case err == nil:
		d.direct = d.Now()
		d.shunned = time.Time{}
	case kind.Is(err, kind.Unavailable) || kind.Is(err, kind.Lost):
		d.shunned = d.Now().Add(shun)
	}
	d.mu.Unlock()
	d.report()
	return err
}

func (d *Door) carry(ctx context.Context, call Call, take func(*Answer)) error {
	if d.Carry == nil {
		return kind.New(kind.Unavailable, "no peer reaches the store")
	}
	raw, err := json.Marshal(call)
	if err != nil {
		return kind.Wrap(kind.Internal, err, "call to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, carriedTime)
	defer cancel()
	back, err := d.Carry(ctx, raw)
	if err != nil {
		return err
	}
	var a Answer
	if err := json.Unmarshal(back, &a); err != nil || (a.Page == nil) == (a.Result == nil) {
		return kind.New(kind.Damaged, "a peer's answer for the store")
	}
	take(&a)
	d.mu.Lock()
	d.carried = d.Now()
	d.mu.Unlock()
	d.report()
	return nil
}

// report tells of a change once.
func (d *Door) report() {
	now := [2]bool{d.DirectOK(), d.Reachable()}
	d.mu.Lock()
	changed := now != d.wasState
	d.wasState = now
	d.mu.Unlock()
	if changed && d.Changed != nil {
		d.Changed(now[0], now[1])
	}
}

// Serve carries out a call that a peer sent, directly and never by a third.
func (d *Door) Serve(ctx context.Context, raw []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(raw, &call); err != nil {
		return nil, kind.Wrap(kind.BadRequest, err, "call to the store")
	}
	var a Answer
	err := d.try(ctx, carriedTime, func(ctx context.Context) error {
		switch {
		case call.Tx != nil:
			res, err := d.Direct.Tx(ctx, *call.Tx)
			a.Result = &res
			return err
		case call.Get != nil:
			page, err := d.Direct.Get(ctx, *call.Get)
			a.Page = &page
			return err
		case call.Feed != nil:
			page, err := d.Direct.Feed(ctx, *call.Feed)
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
