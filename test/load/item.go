// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"dewpass.org/front"
	"dewpass.org/internal/client"
	"dewpass.org/internal/standin"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Item is one request, for a call or a job.
type Item struct {
	Workload string
	Job      bool
	Once     bool
	Account  string
	Key      string
	Payload  standin.Payload
	// FirstTry tells dewpass that the request was not sent before.
	FirstTry bool
	// Deadline is set by the caller; with 0 that of the tree applies.
	Deadline time.Duration
}

// NewItem returns an item with its own tag and its own key; callers clear the key
// of requests that may be repeated.
func NewItem(workload string, ran time.Duration) Item {
	tag := ulid.Make().String()
	return Item{
		Workload: workload, Account: "shop-" + tag[20:], Key: "key-" + tag,
		Payload: standin.Payload{MS: ran.Milliseconds(), Tag: tag},
	}
}

// requestBody is the JSON body of a request.
type requestBody struct {
	Workload   string          `json:"workload"`
	Account    string          `json:"shop"`
	Key        string          `json:"key,omitempty"`
	Once       bool            `json:"once,omitempty"`
	FirstTry   bool            `json:"first_try,omitempty"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
	Payload    json.RawMessage `json:"payload"`
}

func (it *Item) body() (requestBody, error) {
	raw, err := json.Marshal(it.Payload)
	return requestBody{
		Workload: it.Workload, Account: it.Account, Key: it.Key, Once: it.Once,
		FirstTry: it.FirstTry, DeadlineMS: it.Deadline.Milliseconds(), Payload: raw,
	}, err
}

// ErrWrong marks an answer that is incomplete or belongs to another request.
var ErrWrong = errors.New("wrong answer")

// Call makes a call and checks its answer.
func Call(ctx context.Context, c *client.Client, it Item) (front.Answer, error) {
	var ans front.Answer
	b, err := it.body()
	if err != nil {
		return ans, err
	}
	if err := c.Do(ctx, http.MethodPost, "/v1/calls", b, &ans); err != nil {
		return ans, err
	}
	return ans, checkAnswer(it, b.Payload, ans.ID, ans.Digest, int(ans.Length), ans.Answer)
}

// Submit submits a job and returns its row.
func Submit(ctx context.Context, c *client.Client, it Item) (job.Job, error) {
	var row job.Job
	b, err := it.body()
	if err != nil {
		return row, err
	}
	err = c.Do(ctx, http.MethodPost, "/v1/jobs", b, &row)
	return row, err
}

// Get returns the row of a job.
func Get(ctx context.Context, c *client.Client, id string) (job.Job, error) {
	return get(ctx, c, id, "")
}

func get(ctx context.Context, c *client.Client, id, query string) (job.Job, error) {
	var row job.Job
	err := c.Do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+query, nil, &row)
	return row, err
}

const pollInterval = 100 * time.Millisecond

// Await polls a job until it is over or its outcome is unknown, and checks its answer
// if it is done.
func Await(ctx context.Context, c *client.Client, it Item, id string) (job.Job, error) {
	for {
		row, err := get(ctx, c, id, "?wait=5s")
		if kind.Is(err, kind.NotFound) {
			return row, err
		}
		if err == nil && (row.State.Final() || row.State == job.Unknown) {
			return row, checkJob(it, row)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return row, errors.Errorf("job %s is %q: %v", id, row.State, err)
		}
	}
}

func checkJob(it Item, row job.Job) error {
	if row.State != job.Done {
		return nil
	}
	b, err := it.body()
	if err != nil {
		return err
	}
	return checkAnswer(it, b.Payload, row.ID, row.Answer.Digest, row.Answer.Length, row.Answer.Body)
}

func checkAnswer(it Item, payload []byte, id, digest string, length int, answer []byte) error {
	if length != len(answer) || digest != ports.Digest(answer) {
		return errors.Wrap(ErrWrong, "length or digest does not match the answer")
	}
	var got standin.Body
	if err := json.Unmarshal(answer, &got); err != nil {
		return errors.Wrap(ErrWrong, err.Error())
	}
	want := standin.Body{Task: id, Account: it.Account, Sum: ports.Digest(payload), Filler: standin.Filler(id, it.Payload.Bytes)}
	if got != want {
		return errors.Wrap(ErrWrong, fmt.Sprintf("got %+v, want %+v", got, want))
	}
	return nil
}
