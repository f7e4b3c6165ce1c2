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

// Tracker sends requests while failures are injected and keeps the response to each,
// for Verify to compare with the record of the workers.
type Tracker struct {
	// Clients are the clients of all instances; each request uses a random one.
	Clients []*client.Client
	// Seed makes the random choices reproducible.
	Seed uint64

	mu        sync.Mutex
	rng       *rand.Rand
	responses []Response
	wg        sync.WaitGroup
}

// Response is the final response of dewpass to one request.
type Response struct {
	Item    Item
	ID      string
	Outcome string
	Kind    kind.Kind
	Err     error
	// Took is the time to the response.
	Took time.Duration
}

// Outcomes of a request: those of kind.Outcome, and those of responses without an
// error (Answered for a call, Accepted for a job) or with a wrong answer.
const (
	Answered = "whole"
	Accepted = "accepted"
	NotRun   = "not_run"
	Unknown  = "unknown"
	Wrong    = "wrong"
	Ran      = "ran"
)

func (t *Tracker) pick() *client.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rng == nil {
		t.rng = rand.New(rand.NewPCG(t.Seed, t.Seed))
	}
	return t.Clients[t.rng.IntN(len(t.Clients))]
}

// Send starts to send a stream for the given length.
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
				t.sendOne(ctx, s)
			}()
			<-ticker.C
		}
	}()
}

// Wait waits until every request has its final response, and returns them.
func (t *Tracker) Wait() []Response {
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.responses
}

func (t *Tracker) sendOne(ctx context.Context, s Stream) {
	it := NewItem(s.Workload, s.Runs)
	it.Payload.SaveMS, it.Payload.Bytes = s.Save.Milliseconds(), s.Bytes
	it.FirstTry = true
	if !s.Once && !s.Job {
		it.Key = ""
	}
	resp := t.attempt(ctx, it, s.Job)
	// The caller retries a keyed request whose outcome is unknown with the same
	// key, maybe at another instance.
	for i := 0; i < maxRetries && it.Key != "" && resp.Outcome == Unknown && resp.ID == ""; i++ {
		time.Sleep(retryDelay)
		it.FirstTry = false
		resp = t.attempt(ctx, it, s.Job)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses = append(t.responses, resp)
}

const (
	maxRetries = 20
	retryDelay = 500 * time.Millisecond
)

func (t *Tracker) attempt(ctx context.Context, it Item, isJob bool) Response {
	c := t.pick()
	began := time.Now()
	resp := Response{Item: it}
	if isJob {
		row, err := Submit(ctx, c, it)
		resp.ID, resp.Err, resp.Outcome = row.ID, err, Accepted
	} else {
		ans, err := Call(ctx, c, it)
		resp.ID, resp.Err, resp.Outcome = ans.ID, err, Answered
	}
	resp.Took = time.Since(began)
	if resp.Err != nil {
		resp.classify()
	}
	return resp
}

// classify sets the outcome of a request from its error.
func (s *Response) classify() {
	if errors.Is(s.Err, ErrWrong) {
		s.Outcome = Wrong
		return
	}
	e := kind.Of(s.Err)
	s.Kind, s.ID = e.Kind, e.ID
	s.Outcome = e.Outcome.String()
}

// Verify compares the responses with the starts that the workers recorded, by the
// callers' own tags, and returns every contradiction. It waits until accepted jobs
// are over, and looks up requests whose outcome was unknown.
func Verify(ctx context.Context, c *client.Client, responses []Response, starts func(tag string) int) []string {
	var mu sync.Mutex
	var wrong []string
	var wg sync.WaitGroup
	slots := make(chan struct{}, 32)
	for _, s := range responses {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
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

func verify(ctx context.Context, c *client.Client, s Response, starts func(string) int) string {
	tag := s.Item.Payload.Tag
	switch s.Outcome {
	case Wrong:
		return "the answer is incomplete or belongs to another request"
	case NotRun:
		if n := starts(tag); n != 0 {
			return fmt.Sprintf("reported as not_run, but started %d times", n)
		}
	case Answered:
		if n := starts(tag); n < 1 {
			return "answered, but never started"
		}
	case Accepted, Unknown, Ran:
		return verifyEnd(ctx, c, s, starts)
	}
	return ""
}

// verifyEnd verifies a request whose response did not tell its end: it waits for
// the end and compares that with the starts.
func verifyEnd(ctx context.Context, c *client.Client, s Response, starts func(string) int) string {
	if s.ID == "" || (s.Outcome == Unknown && s.Item.Key == "") {
		// Repeatable calls have no row, and nothing is guaranteed for them.
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
