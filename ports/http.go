// SPDX-License-Identifier: Apache-2.0

package ports

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dewpass.org/internal/body"
	"dewpass.org/internal/fault"
	"dewpass.org/internal/pool"
	"dewpass.org/kind"
	"dewpass.org/lease"
)

const (
	maxResponseBytes = 8 << 20
	callTimeout      = 2 * time.Second
	dialTimeout      = time.Second
	// idleConnTimeout is how long an idle connection is kept open.
	idleConnTimeout = 30 * time.Second
	// bufferSize is large enough for most messages.
	bufferSize = 2 << 10
	// maxIdlePerHost is enough for the calls of one instance to one service.
	maxIdlePerHost = 16
)

// Client is an HTTP client of the platform. It implements Table, Objects and
// Instances. Each call times out after two seconds at the latest.
type Client struct {
	base      string
	http      http.RoundTripper
	table     *callLimiter
	objects   *callLimiter
	instances *callLimiter
}

// NewClient returns a client of the platform at the URL base, such as
// "http://10.0.0.1:9000".
func NewClient(base string) *Client {
	return &Client{
		base:      base,
		http:      newPool(maxIdlePerHost, 0),
		table:     newCallLimiter("table"),
		objects:   newCallLimiter("objects"),
		instances: newCallLimiter("instances"),
	}
}

func newPool(maxIdle, maxConns int) *pool.Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return pool.New(pool.Options{
		MaxIdlePerAddr: maxIdle, MaxPerAddr: maxConns, Dial: dialer.DialContext, IdleTimeout: idleConnTimeout, BufferSize: bufferSize,
	})
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	q := url.Values{"key": keys}
	var rows []Row
	err := c.call(ctx, c.table.acquire, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows)
	return rows, readError(err)
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, c.table.acquire, http.MethodGet, "/table/scan?"+q.Encode(), nil, &rows)
	return rows, readError(err)
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, t Txn) (Commit, error) {
	var out Commit
	err := c.call(ctx, c.table.acquireForWrite, http.MethodPost, "/table/commit", t, &out)
	return out, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.call(ctx, c.objects.acquire, http.MethodPut, "/objects/"+url.PathEscape(key), json.RawMessage(body), nil)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var body json.RawMessage
	err := c.call(ctx, c.objects.acquire, http.MethodGet, "/objects/"+url.PathEscape(key), nil, &body)
	return body, readError(err)
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	return c.call(ctx, c.objects.acquire, http.MethodDelete, "/objects/"+url.PathEscape(key), nil, nil)
}

// List implements Instances.
func (c *Client) List(ctx context.Context, hall, since string) (Listing, error) {
	q := url.Values{"hall": {hall}, "since": {since}}
	var list Listing
	err := c.call(ctx, c.instances.acquire, http.MethodGet, "/instances?"+q.Encode(), nil, &list)
	return list, readError(err)
}

// acquireFunc is callLimiter.acquire or callLimiter.acquireForWrite.
type acquireFunc func(context.Context) (func(error), error)

func (c *Client) call(ctx context.Context, acquire acquireFunc, method, path string, req, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := fault.Link("platform"); err != nil {
		return err
	}
	done, err := acquire(ctx)
	if err != nil {
		return err
	}
	err = exchange(ctx, c.http, method, c.base+path, req, out)
	if lost := fault.Reply("platform"); lost != nil {
		err = lost
	}
	done(err)
	return err
}

// readError converts the error of a call that changes nothing: a lost reply to
// a read is of kind Unavailable, because the read had no effect.
func readError(err error) error {
	if kind.Is(err, kind.Lost) {
		return kind.Wrap(kind.Unavailable, err, "read failed")
	}
	return err
}

// exchange sends one request and reads the whole response. Its error is of kind
// Unavailable only if the request cannot have been received. It uses the
// transport directly, because the platform uses neither redirects nor cookies.
func exchange(ctx context.Context, rt http.RoundTripper, method, target string, in, out any) error {
	content, err := encodeRequest(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, target, content)
	if err != nil {
		return kind.Wrap(kind.Internal, err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header["User-Agent"] = nil
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	raw, err := body.Read(io.LimitReader(resp.Body, maxResponseBytes), resp.ContentLength)
	if err != nil {
		return kind.Wrap(kind.Lost, err, "response truncated")
	}
	return decodeResponse(resp.StatusCode, raw, out)
}

func encodeRequest(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, kind.Wrap(kind.Internal, err, "encode")
	}
	return bytes.NewReader(raw), nil
}

// sendError distinguishes a connection that could not be made from one that
// broke.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kind.Wrap(kind.Unavailable, err, "not connected")
	}
	return kind.Wrap(kind.Lost, err, "no answer")
}

// Problem is the body of an error response of the platform.
type Problem struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	// Epoch is the epoch that the refusing worker holds.
	Epoch lease.Epoch `json:"epoch"`
}

func decodeResponse(status int, raw []byte, out any) error {
	if status >= http.StatusBadRequest {
		return problemError(status, raw)
	}
	if out == nil || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return kind.Wrap(kind.Lost, err, "response is not valid JSON")
	}
	return nil
}

func problemError(status int, raw []byte) error {
	var p Problem
	if err := json.Unmarshal(raw, &p); err != nil || p.Kind == "" {
		return kind.New(kind.Lost, "status "+strconv.Itoa(status))
	}
	e := kind.New(kind.Parse(p.Kind), p.Detail)
	if p.Epoch != (lease.Epoch{}) {
		e.Cause = &HigherEpoch{Epoch: p.Epoch}
	}
	return e
}

// HigherEpoch is the cause of an error with which a worker refused a command.
// It holds the worker's epoch.
type HigherEpoch struct {
	Epoch lease.Epoch
}

// Error implements error.
func (h *HigherEpoch) Error() string { return "the worker is at epoch " + h.Epoch.String() }
