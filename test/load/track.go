// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dewpass.org/internal/client"
	"dewpass.org/job"
	"dewpass.org/kind"
)

// Tracker sends work while failures are brought about, keeps what was said of
// each request, and in the end holds it against what the workers wrote down.
type Tracker struct {
	// Clients are those of all instances; each request goes to one of them.
	Clients []*client.Client
	// Seed makes the choices the same in every run.
	Seed uint64

	mu   sync.Mutex
	rng  *rand.Rand
	said []Said
	wg   sync.WaitGroup
}

// Said is what dewpass said of one request.
type Said struct {
	Item    Item
	ID      string
	Outcome string
	Kind    kind.Kind
	Err     error
	// Took is how long the answer took.
	Took time.Duration
}

// What may be said of a request.
const (
	Whole    = "whole"
	Accepted = "accepted"
	NotRun   = "not_run"
	Unknown  = "unknown"
	Wrong    = "wrong"
	Failed   = "ran"
)

func (t *Tracker) pick() *client.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rng == nil {
		t.rng = rand.New(rand.NewPCG(t.Seed, t.Seed))
	}
	return t.Clients[t.rng.IntN(len(t.Clients))]
}

// Send sends a stream for the given length.
func (t *Tracker) Send(ctx context.Context, s Stream, length time.Duration) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / s.PerSecond))
		defer ticker.Stop()
		end := time.Now().Add(length)
		for time.Now().Before(end) && ctx.Err() == nil {
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				t.one(ctx, s)
			}()
			<-ticker.C
		}
	}()
}

// Wait waits until all that was sent is answered.
func (t *Tracker) Wait() []Said {
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.said
}

func (t *Tracker) one(ctx context.Context, s Stream) {
	it := NewItem(s.Workload, s.Runs)
	it.Payload.SaveMS, it.Payload.Bytes = s.Save.Milliseconds(), s.Bytes
	it.FirstTry = true
	if !s.Once && !s.Job {
		it.Key = ""
	}
	said := t.try(ctx, it, s.Job)
	// A caller that hears nothing certain of a keyed request asks again at
	// another instance, with the same key.
	for i := 0; i < retries && it.Key != "" && said.Outcome == Unknown && said.ID == ""; i++ {
		time.Sleep(retryAfter)
		it.FirstTry = false
		said = t.try(ctx, it, s.Job)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.said = append(t.said, said)
}

const (
	retries    = 20
	retryAfter = 500 * time.Millisecond
)

func (t *Tracker) try(ctx context.Context, it Item, isJob bool) Said {
	c := t.pick()
	began := time.Now()
	said := Said{Item: it}
	if isJob {
		row, err := Submit(ctx, c, it)
		said.ID, said.Err, said.Outcome = row.ID, err, Accepted
	} else {
		ans, err := Call(ctx, c, it)
		said.ID, said.Err, said.Outcome = ans.ID, err, Whole
	}
	said.Took = time.Since(began)
	if said.Err != nil {
		said.judge()
	}
	return said
}

func (s *Said) judge() {
	if errors.Is(s.Err, ErrWrong) {
		s.Outcome = Wrong
		return
	}
	e := kind.Of(s.Err)
	s.Kind, s.ID = e.Kind, e.ID
	s.Outcome = e.Outcome.String()
}

// Verify holds what was said against the starts that the workers wrote down,
// by the callers' own tags, and returns every contradiction. It waits until
// jobs that were accepted are over, and asks again for what was unknown.
func Verify(ctx context.Context, c *client.Client, said []Said, starts func(tag string) int) []string {
	var mu sync.Mutex
	var wrong []string
	var wg sync.WaitGroup
	gate := make(chan struct{}, 32)
	for _, s := range said {
		wg.Add(1)
		gate <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-gate }()
			if fault := verify(ctx, c, s, starts); fault != "" {
				mu.Lock()
				wrong = append(wrong, fmt.Sprintf("%s %s %s: %s (%v)", s.Item.Workload, s.ID, s.Outcome, fault, s.Err))
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return wrong
}

func verify(ctx context.Context, c *client.Client, s Said, starts func(string) int) string {
	tag := s.Item.Payload.Tag
	switch s.Outcome {
	case Wrong:
		return "not the whole answer to its own request"
	case NotRun:
		if n := starts(tag); n != 0 {
			return fmt.Sprintf("said not_run, but started %d times", n)
		}
	case Whole:
		if n := starts(tag); n < 1 {
			return "answered, but never started"
		}
	case Accepted, Unknown, Failed:
		return verifyLater(ctx, c, s, starts)
	}
	return ""
}

// verifyLater asks for what became of work whose fate was open.
func verifyLater(ctx context.Context, c *client.Client, s Said, starts func(string) int) string {
	if s.ID == "" || (s.Outcome == Unknown && s.Item.Key == "") {
		// Repeatable calls have no row; nothing was promised of them.
		return ""
	}
	row, err := Await(ctx, c, s.Item, s.ID)
	if err != nil && s.Outcome == Unknown && kind.Is(err, kind.NotFound) {
		return ""
	}
	n := starts(s.Item.Payload.Tag)
	switch {
	case err != nil:
		return "lost: " + err.Error()
	case row.State == job.Done && n < 1:
		return "done, but never started"
	case row.State == job.Refused && n != 0:
		return "refused, but started"
	case s.Outcome == Accepted && row.State != job.Done:
		return "accepted, but " + string(row.State) + ": " + row.Why
	}
	return ""
}
