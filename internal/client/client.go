// SPDX-License-Identifier: Apache-2.0

// Package client is the HTTP client of an instance, for the command line and for tests.
// Error responses are returned as errors of package kind.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dewpass.org/front"
	"dewpass.org/kind"
)

// Client sends requests to one instance, or to a load balancer in front of several.
type Client struct {
	// Base is the base URL, such as "http://10.0.0.1:8080".
	Base string
	// HTTP is the underlying client; nil means http.DefaultClient.
	HTTP *http.Client
}

// Do sends one request with the JSON of in as its body, if in is not nil, and decodes the
// response into out, if out is not nil.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	raw, err := c.Raw(ctx, method, path, in)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return kind.Wrap(kind.Damaged, err, path)
	}
	return nil
}

// Raw is like Do, but returns the body of the response undecoded.
func (c *Client) Raw(ctx context.Context, method, path string, in any) ([]byte, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, kind.Wrap(kind.BadRequest, err, "encode")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, kind.Wrap(kind.BadRequest, err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, kind.Wrap(kind.Lost, err, "no response")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, kind.Wrap(kind.Lost, err, "response truncated")
	}
	if n := resp.Header.Get("Content-Length"); n != "" && n != strconv.Itoa(len(raw)) {
		return nil, kind.New(kind.Damaged, "response truncated")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, decodeError(resp.StatusCode, raw)
	}
	return raw, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// decodeError returns the error that the body of an error response describes.
func decodeError(status int, raw []byte) error {
	var f front.Failure
	if err := json.Unmarshal(raw, &f); err != nil || f.Kind == "" {
		return kind.New(kind.Damaged, fmt.Sprintf("status %d: %.200s", status, raw))
	}
	e := kind.At(kind.Parse(f.Kind), f.Path, f.Detail)
	e.ID = f.ID
	e.RetryAfter = time.Duration(f.RetryAfterMS) * time.Millisecond
	e.Outcome = parseOutcome(f.Outcome)
	return e
}

// parseOutcome returns the outcome with the name s, kind.Unknown if there is none.
func parseOutcome(s string) kind.Outcome {
	for _, o := range []kind.Outcome{kind.NotRun, kind.Ran} {
		if o.String() == s {
			return o
		}
	}
	return kind.Unknown
}
