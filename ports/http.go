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
	maxAnswer   = 8 << 20
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	// unusedTime is for how long a connection stays open that is not used.
	unusedTime = 30 * time.Second
	// bufferSize holds most messages whole.
	bufferSize = 2 << 10
	// idlePerHost is enough for the calls of one instance to one service.
	idlePerHost = 16
)

// Client speaks the platform's protocol. It serves Table, Objects and
// Instances. Its calls end after two seconds at the latest.
type Client struct {
	base    string
	http    http.RoundTripper
	table   *gate
	objects *gate
	list    *gate
}

// NewClient returns a client of the platform at base, such as
// "http://10.0.0.1:9000".
func NewClient(base string) *Client {
	return &Client{
		base:    base,
		http:    newPool(idlePerHost, 0),
		table:   newGate("table"),
		objects: newGate("objects"),
		list:    newGate("instances"),
	}
}

func newPool(idle, most int) *pool.Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return pool.New(pool.Options{
		Idle: idle, Most: most, Dial: dialer.DialContext, Unused: unusedTime, Buffer: bufferSize,
	})
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	q := url.Values{"key": keys}
	var rows []Row
	err := c.call(ctx, c.table.enter, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows)
	return rows, read(err)
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, c.table.enter, http.MethodGet, "/table/scan?"+q.Encode(), nil, &rows)
	return rows, read(err)
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, t Txn) (Commit, error) {
	var out Commit
	err := c.call(ctx, c.table.enterWrite, http.MethodPost, "/table/commit", t, &out)
	return out, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.call(ctx, c.objects.enter, http.MethodPut, "/objects/"+url.PathEscape(key), json.RawMessage(body), nil)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var body json.RawMessage
	err := c.call(ctx, c.objects.enter, http.MethodGet, "/objects/"+url.PathEscape(key), nil, &body)
	return body, read(err)
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	return c.call(ctx, c.objects.enter, http.MethodDelete, "/objects/"+url.PathEscape(key), nil, nil)
}

// List implements Instances.
func (c *Client) List(ctx context.Context, hall, since string) (Listing, error) {
	q := url.Values{"hall": {hall}, "since": {since}}
	var list Listing
	err := c.call(ctx, c.list.enter, http.MethodGet, "/instances?"+q.Encode(), nil, &list)
	return list, read(err)
}

// enter passes a call through a gate; see gate.enter.
type enter func(context.Context) (func(error), error)

func (c *Client) call(ctx context.Context, in enter, method, path string, req, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := fault.Link("platform"); err != nil {
		return err
	}
	done, err := in(ctx)
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

// read turns an error of a call that changes nothing into one that says so.
func read(err error) error {
	if kind.Is(err, kind.Lost) {
		return kind.Wrap(kind.Unavailable, err, "read failed")
	}
	return err
}

// exchange sends one request and reads its whole answer. An error is of kind
// Unavailable only if the request cannot have been received. It works on the
// transport itself: redirects and cookies are none of the platform's.
func exchange(ctx context.Context, rt http.RoundTripper, method, target string, in, out any) error {
	content, err := encode(in)
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
	raw, err := body.Read(io.LimitReader(resp.Body, maxAnswer), resp.ContentLength)
	if err != nil {
		return kind.Wrap(kind.Lost, err, "answer cut short")
	}
	return decode(resp.StatusCode, raw, out)
}

func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, kind.Wrap(kind.Internal, err, "encode")
	}
	return bytes.NewReader(raw), nil
}

// sendError tells a connection that was never made from one that broke.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kind.Wrap(kind.Unavailable, err, "not connected")
	}
	return kind.Wrap(kind.Lost, err, "no answer")
}

// Problem is the body of the platform's refusals.
type Problem struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	// Epoch is the epoch that a worker holds, in its refusals.
	Epoch lease.Epoch `json:"epoch"`
}

func decode(status int, raw []byte, out any) error {
	if status >= http.StatusBadRequest {
		return problem(status, raw)
	}
	if out == nil || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return kind.Wrap(kind.Lost, err, "answer is damaged")
	}
	return nil
}

func problem(status int, raw []byte) error {
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

// HigherEpoch is the cause of a worker's refusal: the epoch that it holds.
type HigherEpoch struct {
	Epoch lease.Epoch
}

// Error returns the epoch.
func (h *HigherEpoch) Error() string { return "the worker is at epoch " + h.Epoch.String() }
