// SPDX-License-Identifier: Apache-2.0

package ports

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"dewpass.org/internal/fault"
	"dewpass.org/internal/pool"
	"dewpass.org/kind"
)

const (
	// ConnsPerOwner is the number of a worker's connections that one owner uses.
	// The rest is left for the next owner during a handover.
	ConnsPerOwner    = 24
	commandTimeout   = 2 * time.Second
	maxIdlePerWorker = 4
)

// Workers makes clients of workers. The clients share one connection pool.
type Workers struct {
	http *pool.Pool
}

// NewWorkers returns a Workers with an empty connection pool.
func NewWorkers() *Workers {
	return &Workers{http: newPool(maxIdlePerWorker, ConnsPerOwner)}
}

// At returns a client of the worker at an address such as "10.0.0.7:7000".
func (w *Workers) At(addr string) Worker {
	return &worker{base: "http://" + addr, http: w.http}
}

// Close closes the idle connections.
func (w *Workers) Close() { w.http.CloseIdleConnections() }

type worker struct {
	base string
	http *pool.Pool
}

// StartRequest is the body of a start request.
type StartRequest struct {
	Command
	Task    Task  `json:"task"`
	LeaseMS int64 `json:"lease_ms"`
}

// JoinRequest is the body of a join request.
type JoinRequest struct {
	Command
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
}

// ActRequest is the body of an action request.
type ActRequest struct {
	Command
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Action  Action `json:"action"`
}

// AckRequest is the body of an acknowledgement.
type AckRequest struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
}

func (w *worker) post(ctx context.Context, path string, in, out any) error {
	err := exchange(ctx, w.http, http.MethodPost, w.base+path, in, out)
	if lost := fault.Reply(w.base); lost != nil {
		return lost
	}
	return err
}

// Attach implements Worker.
func (w *worker) Attach(ctx context.Context, c Command) (AttachReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var out AttachReply
	err := w.post(ctx, "/v1/attach", c, &out)
	return out, err
}

// Start implements Worker.
func (w *worker) Start(ctx context.Context, c Command, t Task, leaseDuration time.Duration) (TaskReport, error) {
	if !t.Call {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, commandTimeout)
		defer cancel()
	}
	var out TaskReport
	err := w.post(ctx, "/v1/start", StartRequest{Command: c, Task: t, LeaseMS: leaseDuration.Milliseconds()}, &out)
	return out, err
}

// Join implements Worker.
func (w *worker) Join(ctx context.Context, c Command, id string, attempt uint32) (TaskReport, error) {
	var out TaskReport
	err := w.post(ctx, "/v1/join", JoinRequest{Command: c, ID: id, Attempt: attempt}, &out)
	return out, err
}

// Watch implements Worker.
func (w *worker) Watch(ctx context.Context, r WatchRequest) (WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.HoldMS)*time.Millisecond+commandTimeout)
	defer cancel()
	var out WatchReply
	err := w.post(ctx, "/v1/watch", r, &out)
	return out, err
}

// Act implements Worker.
func (w *worker) Act(ctx context.Context, c Command, id string, attempt uint32, a Action) (TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var out TaskReport
	err := w.post(ctx, "/v1/act", ActRequest{Command: c, ID: id, Attempt: attempt, Action: a}, &out)
	return out, err
}

// Ack implements Worker.
func (w *worker) Ack(ctx context.Context, id string, attempt uint32) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return w.post(ctx, "/v1/ack", AckRequest{ID: id, Attempt: attempt}, nil)
}

// Digest returns the hexadecimal SHA-256 digest of a body, as in Answer.Digest.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Verify returns nil if a is the complete answer to the given attempt, and an
// error of kind Damaged if it is truncated or belongs to another attempt.
func (a *Answer) Verify(id string, attempt uint32) error {
	switch {
	case a == nil:
		return kind.New(kind.Damaged, "no answer in the report")
	case a.ID != id || a.Attempt != attempt:
		return kind.New(kind.Damaged, "the answer is for another task or attempt: "+a.ID)
	case a.Length != len(a.Body):
		return kind.New(kind.Damaged, "answer truncated")
	case a.Digest != Digest(a.Body):
		return kind.New(kind.Damaged, "the answer does not match its digest")
	}
	return nil
}
