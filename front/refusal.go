// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/commit"
	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const (
	// maxRefusals bounds the refusals that are remembered while the table
	// cannot be written. Beyond it the outcome is unknown.
	maxRefusals = 10000
	refuseTime  = time.Second
	flushEvery  = time.Second
	// spreadMost bounds the refusals in one hello.
	spreadMost = 64
	// keepWritten is longer than any peer tells of a refusal that is written.
	keepWritten = 5 * time.Minute
)

// refusals are the keyed requests that were refused while the table could not
// be written.
type refusals struct {
	mu  sync.Mutex
	set map[refusal]string
	// written holds those that this instance has written, and when, because
	// peers may still tell of them.
	written map[refusal]time.Time
}

type refusal struct{ shop, key string }

func (s *refusals) add(r refusal, digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = make(map[refusal]string)
	}
	if _, ok := s.written[r]; ok {
		return true
	}
	if len(s.set) >= maxRefusals {
		return false
	}
	s.set[r] = digest
	return true
}

// wrote notes that a refusal is in the table.
func (s *refusals) wrote(r refusal, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, r)
	if s.written == nil {
		s.written = make(map[refusal]time.Time)
	}
	s.written[r] = now
	for old, at := range s.written {
		if now.Sub(at) > keepWritten {
			delete(s.written, old)
		}
	}
}

// check refuses a request whose key was refused before.
func (s *refusals) check(req *request) error {
	if req.Key == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.set[refusal{req.Shop, req.Key}]; ok {
		return kind.New(kind.Cancelled, "this key was refused before")
	}
	return nil
}

// some returns up to n refusals.
func (s *refusals) some(n int) []*wire.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.Refusal
	for r, digest := range s.set {
		if len(out) == n {
			break
		}
		out = append(out, &wire.Refusal{Shop: r.shop, Key: r.key, Digest: digest})
	}
	return out
}

// Refusals returns what peers are told of refusals that are not written yet.
func (f *Front) Refusals() []*wire.Refusal { return f.refusals.some(spreadMost) }

// HeardRefusals takes in the refusals of a peer. They are written by whoever
// reaches the table first.
func (f *Front) HeardRefusals(list []*wire.Refusal) {
	for _, r := range list {
		f.refusals.add(refusal{r.Shop, r.Key}, r.Digest)
	}
}

// settleKeyed decides what may be said of a keyed request that got no result.
// It returns the row of an earlier try if there is one, or the error to
// answer. The error says not_run only if the key was closed.
func (f *Front) settleKeyed(ctx context.Context, req *request, cause error) (job.Job, error) {
	e := kind.Of(cause)
	if e.Outcome != kind.NotRun {
		return job.Job{}, cause
	}
	digest := job.RequestDigest(req.Workload, req.Payload)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refuseTime)
	defer cancel()
	_, err := f.Journal.Commit(ctx, f.closing(req, digest, e.Kind.String()))
	switch {
	case err == nil:
		return job.Job{}, cause
	case kind.Is(err, kind.Conflict):
		return f.earlier(ctx, req, digest, cause)
	case req.FirstTry && kind.Is(err, kind.Unavailable) && f.refusals.add(refusal{req.Shop, req.Key}, digest):
		return job.Job{}, cause
	}
	unknown := kind.Wrap(e.Kind, cause, "and the table cannot be asked about earlier tries")
	unknown.RetryAfter = e.RetryAfter
	return job.Job{}, unknown.Uncertain("")
}

// closing is the change that closes a key, for as long as keys are kept.
func (f *Front) closing(req *request, digest, why string) commit.Change {
	key := job.KeyRow(req.Shop, req.Key)
	value := job.Encode(job.Key{Digest: digest, Refused: true, Why: why})
	keep := tree.DefaultKeep
	if w := f.Tree.Now().Workloads[req.Workload]; w != nil {
		keep = w.Keep
	}
	e := job.Expiry{Hall: f.Hall, At: clock.Wall().Add(keep), Shop: req.Shop, Key: req.Key}
	return commit.Change{
		Checks: []ports.Check{{Key: key}},
		Puts:   []ports.Put{{Key: key, Value: value}, e.Put()},
	}
}

// earlier returns the row of the request that first came with the key.
func (f *Front) earlier(ctx context.Context, req *request, digest string, cause error) (job.Job, error) {
	rows, err := f.Table.Get(ctx, job.KeyRow(req.Shop, req.Key))
	if err != nil {
		return job.Job{}, kind.Wrap(kind.Of(err).Kind, err, "earlier tries cannot be asked for").Uncertain("")
	}
	if rows[0].Version == 0 {
		return job.Job{}, cause
	}
	key, err := job.DecodeKey(rows[0].Value)
	if err != nil {
		return job.Job{}, err
	}
	switch {
	case key.Digest != digest:
		return job.Job{}, kind.At(kind.KeyReused, "/key", req.Key)
	case key.Refused:
		return job.Job{}, kind.New(kind.Cancelled, "this key was refused before: "+key.Why)
	}
	return f.find(ctx, key.ID)
}

// Flush writes the remembered refusals until ctx ends.
func (f *Front) Flush(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Front) flush(ctx context.Context) {
	if f.CutOff() {
		return
	}
	for _, r := range f.refusals.some(spreadMost) {
		req := &request{Shop: r.Shop, Key: r.Key}
		ctx, cancel := context.WithTimeout(ctx, refuseTime)
		_, err := f.Journal.Commit(ctx, f.closing(req, r.Digest, "refused while the table was out of reach"))
		cancel()
		var conflict *commit.Conflict
		if err != nil && !errors.As(err, &conflict) {
			return
		}
		if err != nil && !refusedRow(conflict) {
			level.Warn(f.Log).Log("msg", "key was in use after all", "shop", r.Shop, "key", r.Key)
		}
		f.refusals.wrote(refusal{r.Shop, r.Key}, time.Now())
	}
}

// refusedRow reports whether the row that came first is a refusal as well.
func refusedRow(c *commit.Conflict) bool {
	for _, r := range c.Rows {
		if key, err := job.DecodeKey(r.Value); err != nil || !key.Refused {
			return false
		}
	}
	return true
}
