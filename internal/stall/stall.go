// SPDX-License-Identifier: Apache-2.0

package stall

import (
	"context"
	"io"
	"sync"
	"time"
)

// Limits bounds how long a call may go without progress, and how long it may take in all.
type Limits struct {
	// FirstByte bounds the wait for the first byte of the answer, Gap that for each further one.
	FirstByte, Gap time.Duration
	// Total bounds the whole time of the call, so that a call that receives a few bytes now and
	// then ends too.
	Total time.Duration
}

// contextKey is the key of the watchdog in the context of a call.
type contextKey struct{}

// watchdog is the timer that cancels one call.
type watchdog struct {
	limits     Limits
	onProgress func()

	mu    sync.Mutex
	timer *time.Timer
}

// Context returns a context that is cancelled, with the cause context.DeadlineExceeded, when
// a call makes no progress within its limits. onProgress is called on each progress; it may
// be nil.
func Context(parent context.Context, l Limits, onProgress func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeoutCause(parent, l.Total, context.DeadlineExceeded)
	ctx, stop := context.WithCancelCause(ctx)
	w := &watchdog{limits: l, onProgress: onProgress}
	w.timer = time.AfterFunc(l.FirstByte, func() { stop(context.DeadlineExceeded) })
	return context.WithValue(ctx, contextKey{}, w), func() {
		w.timer.Stop()
		stop(context.Canceled)
		cancel()
	}
}

// Progress reports progress of the call of ctx. It does nothing if ctx does not come from Context.
func Progress(ctx context.Context) {
	w, ok := ctx.Value(contextKey{}).(*watchdog)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.timer.Stop() {
		w.timer.Reset(w.limits.Gap)
	}
	w.mu.Unlock()
	if w.onProgress != nil {
		w.onProgress()
	}
}

// Reader returns a reader that reads from r and reports each non-empty read as progress of
// the call of ctx.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &progressReader{ctx, r} }

type progressReader struct {
	ctx context.Context
	r   io.Reader
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Progress(r.ctx)
	}
	return n, err
}
