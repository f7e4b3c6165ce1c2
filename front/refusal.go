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
	// maxRefusals bounds the refusals held in memory while the table cannot be
	// written. Beyond it, the outcome of a refused request is unknown.
	maxRefusals    = 10000
	refusalTimeout = time.Second
	flushInterval  = time.Second
	// maxRefusalsPerHello bounds the refusals in one hello.
	maxRefusalsPerHello = 64
	// writtenRetention is longer than any peer still announces a refusal that has
	// been written.
	writtenRetention = 5 * time.Minute
)

// refusals holds the requests with a key that were refused while the table could not
// be written.
type refusals struct {
	mu sync.Mutex
	// pending maps a refused key to the digest of its request.
	pending map[refusedKey]string
	// written holds the refusals that this instance has written, with the time, since
	// peers may still announce them.
	written map[refusedKey]time.Time
}

// refusedKey identifies a refused request.
type refusedKey struct{ account, key string }

// add records a refusal. It returns false if the limit is reached.
func (s *refusals) add(r refusedKey, digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = make(map[refusedKey]string)
	}
	if _, ok := s.written[r]; ok {
		return true
	}
	if len(s.pending) >= maxRefusals {
		return false
	}
	s.pending[r] = digest
	return true
}

// markWritten records that a refusal is in the table.
func (s *refusals) markWritten(r refusedKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, r)
	if s.written == nil {
		s.written = make(map[refusedKey]time.Time)
	}
	s.written[r] = now
	for old, at := range s.written {
		if now.Sub(at) > writtenRetention {
			delete(s.written, old)
		}
	}
}

// check returns an error for a request whose key was refused.
func (s *refusals) check(req *request) error {
	if req.Key == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pending[refusedKey{req.Account, req.Key}]; ok {
		return kind.New(kind.Cancelled, "this key was refused before")
	}
	return nil
}

// first returns up to n pending refusals, in no particular order.
func (s *refusals) first(n int) []*wire.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.Refusal
	for r, digest := range s.pending {
		if len(out) == n {
			break
		}
		out = append(out, &wire.Refusal{Account: r.account, Key: r.key, Digest: digest})
	}
	return out
}

// Refusals returns pending refusals for a hello to peers.
func (f *Front) Refusals() []*wire.Refusal { return f.refusals.first(maxRefusalsPerHello) }

// AddRefusals records the refusals from a peer's hello. The first instance that
// reaches the table writes them.
func (f *Front) AddRefusals(list []*wire.Refusal) {
	for _, r := range list {
		f.refusals.add(refusedKey{r.Account, r.Key}, r.Digest)
	}
}

// settleKeyed decides the answer to a request with a key that got no result. It
// returns the row of an earlier request with the key if there is one, or else the
// error to answer with. The error says not_run only if the key was closed.
func (f *Front) settleKeyed(ctx context.Context, req *request, cause error) (job.Job, error) {
	e := kind.Of(cause)
	if e.Outcome != kind.NotRun {
		return job.Job{}, cause
	}
	digest := job.RequestDigest(req.Workload, req.Payload)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalTimeout)
	defer cancel()
	_, err := f.Journal.Commit(ctx, f.closeKeyChange(req, digest, e.Kind.String()))
	switch {
	case err == nil:
		return job.Job{}, cause
	case kind.Is(err, kind.Conflict):
		row, found, findErr := f.findByKey(ctx, req, digest)
		if !found && findErr == nil {
			findErr = kind.Wrap(e.Kind, cause, "and the key has expired").WithUnknownOutcome("")
		}
		return row, findErr
	case req.FirstTry && !kind.Is(cause, kind.Conflict) && kind.Is(err, kind.Unavailable) && f.refusals.add(refusedKey{req.Account, req.Key}, digest):
		return job.Job{}, cause
	}
	unknown := kind.Wrap(e.Kind, cause, "and the table cannot be read for earlier requests with the key")
	unknown.RetryAfter = e.RetryAfter
	return job.Job{}, unknown.WithUnknownOutcome("")
}

// closeKeyChange returns the change that closes a key until the retention time of
// keys is over.
func (f *Front) closeKeyChange(req *request, digest, why string) commit.Change {
	key := job.RequestKeyRowKey(req.Account, req.Key)
	value := job.Encode(job.RequestKey{Digest: digest, Refused: true, Why: why})
	keep := tree.DefaultKeep
	if w := f.Tree.Current().Workloads[req.Workload]; w != nil {
		keep = w.Keep
	}
	e := job.Expiry{Hall: f.Hall, At: clock.Wall().Add(keep), Account: req.Account, Key: req.Key}
	return commit.Change{
		Checks: []ports.Check{{Key: key}},
		Puts:   []ports.Put{{Key: key, Value: value}, e.Put()},
	}
}

// findByKey returns the row of the first request with the key, or false if the key is
// not in the table.
func (f *Front) findByKey(ctx context.Context, req *request, digest string) (job.Job, bool, error) {
	rows, err := f.Table.Get(ctx, job.RequestKeyRowKey(req.Account, req.Key))
	if err != nil {
		return job.Job{}, false, kind.Wrap(kind.Of(err).Kind, err, "cannot look up earlier requests with the key").WithUnknownOutcome("")
	}
	if rows[0].Version == 0 {
		return job.Job{}, false, nil
	}
	key, err := job.DecodeRequestKey(rows[0].Value)
	if err != nil {
		return job.Job{}, false, err
	}
	switch {
	case key.Digest != digest:
		return job.Job{}, false, kind.At(kind.KeyReused, "/key", req.Key)
	case key.Refused:
		return job.Job{}, false, kind.New(kind.Cancelled, "this key was refused before: "+key.Why)
	}
	row, err := f.findJob(ctx, key.ID)
	if err != nil {
		return job.Job{}, false, kind.Of(err).WithUnknownOutcome(key.ID)
	}
	return row, true, nil
}

// FlushRefusals writes pending refusals to the table until ctx ends.
func (f *Front) FlushRefusals(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.flushOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// flushOnce writes a batch of pending refusals.
func (f *Front) flushOnce(ctx context.Context) {
	if f.CutOff() {
		return
	}
	for _, r := range f.refusals.first(maxRefusalsPerHello) {
		req := &request{Account: r.Account, Key: r.Key}
		ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
		_, err := f.Journal.Commit(ctx, f.closeKeyChange(req, r.Digest, "refused while the table was out of reach"))
		cancel()
		var conflict *commit.Conflict
		if err != nil && !errors.As(err, &conflict) {
			return
		}
		if err != nil && !allRefused(conflict) {
			level.Warn(f.Log).Log("msg", "refused key turned out to be in use", "account", r.Account, "key", r.Key)
		}
		f.refusals.markWritten(refusedKey{r.Account, r.Key}, time.Now())
	}
}

// allRefused reports whether the rows that a commit conflicts with are refusals as well.
func allRefused(c *commit.Conflict) bool {
	for _, r := range c.Rows {
		if key, err := job.DecodeRequestKey(r.Value); err != nil || !key.Refused {
			return false
		}
	}
	return true
}
