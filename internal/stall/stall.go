// SPDX-License-Identifier: Apache-2.0

package stall

import (
	"context"
	"io"
	"sync"
	"time"
)

// Limits say how long a call may go without progress.
type Limits struct {
	// First is for the first byte of the answer, Gap for each further one.
	First, Gap time.Duration
	// Whole bounds the call, so that a trickle does not hold it for ever.
	Whole time.Duration
}

type key struct{}

// watch is the timer of one call.
type watch struct {
	limits Limits
	moved  func()

	mu    sync.Mutex
	timer *time.Timer
}

// Context returns a context that ends when a call has gone without progress for longer
// than its limits allow. moved is called at each progress; it may be nil.
func Context(parent context.Context, l Limits, moved func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeoutCause(parent, l.Whole, context.DeadlineExceeded)
	ctx, stop := context.WithCancelCause(ctx)
	w := &watch{limits: l, moved: moved}
	w.timer = time.AfterFunc(l.First, func() { stop(context.DeadlineExceeded) })
	return context.WithValue(ctx, key{}, w), func() {
		w.timer.Stop()
		stop(context.Canceled)
		cancel()
	}
}

// Moved says that a call has made progress. It does nothing without Context.
func Moved(ctx context.Context) {
	w, ok := ctx.Value(key{}).(*watch)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.timer.Stop() {
		w.timer.Reset(w.limits.Gap)
	}
	w.mu.Unlock()
	if w.moved != nil {
		w.moved()
	}
}

// Reader returns r with each read that brings something told as progress of a call.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Moved(r.ctx)
	}
	return n, err
}
