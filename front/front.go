// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"dewpass.org/commit"
	"dewpass.org/hall"
	"dewpass.org/internal/fault"
	"dewpass.org/internal/uid"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/telemetry"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

// Owner is the owner of racks within this process.
type Owner interface {
	Call(ctx context.Context, req *wire.Call) (*wire.CallReply, error)
	Submit(ctx context.Context, row job.Job) (job.Job, error)
	Cancel(ctx context.Context, id string) (job.Job, error)
	Job(ctx context.Context, id string) (job.Job, bool)
	Summary() []*wire.Rack
}

// Committer commits changes of rows.
type Committer interface {
	Commit(ctx context.Context, c commit.Change) (uint64, error)
}

// Front serves callers and operators. Set the exported fields, then call
// Handler.
type Front struct {
	Instance string
	Hall     string
	Owner    Owner
	Peers    *hall.Peers
	Send     hall.Sender
	Table    ports.Table
	Objects  ports.Objects
	Journal  Committer
	Tree     *tree.Register
	Store    *tree.Store
	// Confirm returns once the tree in force is known to be the newest one that
	// can be reached. It only takes time after the process was paused.
	Confirm func(ctx context.Context)
	// CutOff reports whether the platform's table has been unreachable for some time.
	CutOff func() bool
	// Ready reports whether this instance can serve callers.
	Ready   func() bool
	Log     log.Logger
	Scope   tally.Scope
	Tracer  trace.Tracer
	Metrics http.Handler
	Pprof   bool

	cache    candidateCache
	rates    rateLimits
	budget   retryBudget
	refusals refusals
	inflight sync.WaitGroup
}

// requestIDHeader is the header with the id of a request.
const requestIDHeader = "X-Request-Id"

// Handler returns the handler for all paths of the front.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/calls", f.wrap("call", f.call)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", f.wrap("submit", f.submit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", f.wrap("jobs", f.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", f.wrap("job", f.job)).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", f.wrap("cancel", f.cancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/tree", f.wrap("tree", f.tree)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tree/log", f.wrap("tree-log", f.treeLog)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tree/edits", f.wrap("tree-edit", f.treeEdit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tree/check", f.wrap("tree-check", f.treeCheck)).Methods(http.MethodPost)
	r.HandleFunc("/v1/workloads", f.wrap("workloads", f.workloads)).Methods(http.MethodGet)
	r.HandleFunc("/v1/workloads/{path:.+}", f.wrap("workload", f.workload)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", f.wrap("status", f.status)).Methods(http.MethodGet)
	r.HandleFunc("/healthz", f.healthz)
	r.HandleFunc("/readyz", f.readyz)
	if f.Metrics != nil {
		r.Handle("/metrics", f.Metrics)
	}
	if f.Pprof {
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	if h := fault.Handler(); h != nil {
		r.Handle("/debug/faults", h)
	}
	r.NotFoundHandler = f.wrap("none", f.notFound)
	r.MethodNotAllowedHandler = f.wrap("none", f.notFound)
	return r
}

// Drain waits until the requests in progress are answered or ctx ends.
func (f *Front) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		f.inflight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// response is the successful result of a handler.
type response struct {
	status int
	body   any
}

// ok returns a response with status 200.
func ok(body any) (*response, error) { return &response{status: http.StatusOK, body: body}, nil }

type handler func(r *http.Request) (*response, error)

// wrap makes an http.HandlerFunc of a handler. It assigns the request its id and
// span, writes the response, logs server errors, and records metrics.
func (f *Front) wrap(name string, h handler) http.HandlerFunc {
	scope := f.Scope.Tagged(map[string]string{"op": name})
	return func(w http.ResponseWriter, r *http.Request) {
		f.inflight.Add(1)
		defer f.inflight.Done()
		began := time.Now()
		id := r.Header.Get(requestIDHeader)
		if id == "" || !isToken(id, 64, "._-") {
			id = uid.New()
		}
		ctx := telemetry.ExtractHTTP(r.Context(), r.Header)
		ctx, span := f.Tracer.Start(ctx, "front."+name)
		span.SetAttributes(attribute.String("dewpass.request", id))
		r = r.WithContext(ctx)
		w.Header().Set(requestIDHeader, id)
		resp, err := h(r)
		telemetry.EndSpan(span, err)
		if err != nil {
			f.writeError(w, id, name, err)
		} else {
			writeJSON(w, resp.status, resp.body)
		}
		scope.Timer("request").Record(time.Since(began))
	}
}

// Failure is the body of an answer that is not a result.
type Failure struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Detail  string `json:"detail,omitempty"`
	Path    string `json:"path,omitempty"`
	// Outcome is "not_run", "unknown" or "ran".
	Outcome string `json:"outcome"`
	// Retry is set if the same request may be sent again.
	Retry bool `json:"retry"`
	// RetryAfterMS is the time after which to retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// ID is the id by which to ask for the outcome later.
	ID      string `json:"id,omitempty"`
	Request string `json:"request"`
}

// defaultRetryAfter applies if an error has no retry time of its own.
const defaultRetryAfter = time.Second

// writeError answers a request with a Failure.
func (f *Front) writeError(w http.ResponseWriter, id, name string, err error) {
	e := kind.Of(err)
	row := e.Kind.Row()
	f.Scope.Tagged(map[string]string{"op": name, "kind": row.Name}).Counter("failures").Inc(1)
	if row.Status >= http.StatusInternalServerError {
		level.Info(f.Log).Log("msg", "request failed", "request", id, "op", name, "kind", row.Name, "outcome", e.Outcome, "err", err)
	}
	after := e.RetryAfter
	if after == 0 {
		after = defaultRetryAfter
	}
	// Jitter keeps callers that were refused together from retrying together.
	after += time.Duration(rand.Int64N(int64(after)/4 + 1))
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	writeJSON(w, row.Status, Failure{
		Kind: row.Name, Message: row.Message, Detail: e.Detail, Path: e.Path,
		Outcome: e.Outcome.String(), Retry: row.Retry && e.Outcome == kind.NotRun,
		RetryAfterMS: after.Milliseconds(), ID: e.ID, Request: id,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"kind":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (f *Front) notFound(r *http.Request) (*response, error) {
	return nil, kind.At(kind.NotFound, r.URL.Path, r.Method)
}

func (f *Front) healthz(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") }

func (f *Front) readyz(w http.ResponseWriter, _ *http.Request) {
	if f.Ready() {
		writeJSON(w, http.StatusOK, "ready")
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, "not ready")
}
