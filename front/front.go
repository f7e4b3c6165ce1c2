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

// Owner is the owner within the same process.
type Owner interface {
	Call(ctx context.Context, req *wire.Call) (*wire.CallReply, error)
	Submit(ctx context.Context, row job.Job) (job.Job, error)
	Cancel(id string) (job.Job, error)
	Job(ctx context.Context, id string) (job.Job, bool)
	Summary() []*wire.Rack
}

// Committer writes rows.
type Committer interface {
	Commit(ctx context.Context, c commit.Change) (uint64, error)
}

// Front answers callers and operators. Fill in the exported fields, then call
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
	// Confirm returns once the tree in force is known to be the newest that
	// can be asked for; it costs nothing unless the process was paused.
	Confirm func(ctx context.Context)
	// CutOff reports whether the platform's table has not answered of late.
	CutOff func() bool
	// Ready reports whether callers may be sent here.
	Ready   func() bool
	Log     log.Logger
	Scope   tally.Scope
	Tracer  trace.Tracer
	Metrics http.Handler
	Pprof   bool

	view     view
	limits   limits
	budget   budget
	refusals refusals
	inflight sync.WaitGroup
}

// requestID names the header that carries a request's id.
const requestID = "X-Request-Id"

// Handler returns the handler of all that the front serves.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/calls", f.answer("call", f.call)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", f.answer("submit", f.submit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", f.answer("jobs", f.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", f.answer("job", f.job)).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", f.answer("cancel", f.cancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/tree", f.answer("tree", f.tree)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tree/log", f.answer("tree-log", f.treeLog)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tree/edits", f.answer("tree-edit", f.treeEdit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tree/check", f.answer("tree-check", f.treeCheck)).Methods(http.MethodPost)
	r.HandleFunc("/v1/workloads", f.answer("workloads", f.workloads)).Methods(http.MethodGet)
	r.HandleFunc("/v1/workloads/{path:.+}", f.answer("workload", f.workload)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", f.answer("status", f.status)).Methods(http.MethodGet)
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
	r.NotFoundHandler = f.answer("none", f.nothing)
	r.MethodNotAllowedHandler = f.answer("none", f.nothing)
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

// response is what a handler answers when there is no error.
type response struct {
	status int
	body   any
}

func ok(body any) (*response, error) { return &response{status: http.StatusOK, body: body}, nil }

type handler func(r *http.Request) (*response, error)

// answer turns a handler into one of net/http: it gives the request its id and
// span, and writes the answer, the metrics and the log line.
func (f *Front) answer(name string, h handler) http.HandlerFunc {
	scope := f.Scope.Tagged(map[string]string{"op": name})
	return func(w http.ResponseWriter, r *http.Request) {
		f.inflight.Add(1)
		defer f.inflight.Done()
		began := time.Now()
		id := r.Header.Get(requestID)
		if id == "" || !word(id, 64, "._-") {
			id = uid.New()
		}
		ctx := telemetry.ExtractHTTP(r.Context(), r.Header)
		ctx, span := f.Tracer.Start(ctx, "front."+name)
		span.SetAttributes(attribute.String("dewpass.request", id))
		r = r.WithContext(ctx)
		w.Header().Set(requestID, id)
		resp, err := h(r)
		telemetry.Fail(span, err)
		if err != nil {
			f.fail(w, id, name, err)
		} else {
			write(w, resp.status, resp.body)
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
	// Retry says whether the same request may be sent again.
	Retry bool `json:"retry"`
	// RetryAfterMS is when to come back.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// ID is the id to ask for later.
	ID      string `json:"id,omitempty"`
	Request string `json:"request"`
}

// defaultRetryAfter is told where nothing better is known.
const defaultRetryAfter = time.Second

func (f *Front) fail(w http.ResponseWriter, id, name string, err error) {
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
	// Callers that were refused together should not come back together.
	after += time.Duration(rand.Int64N(int64(after)/4 + 1))
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	write(w, row.Status, Failure{
		Kind: row.Name, Message: row.Message, Detail: e.Detail, Path: e.Path,
		Outcome: e.Outcome.String(), Retry: row.Retry && e.Outcome == kind.NotRun,
		RetryAfterMS: after.Milliseconds(), ID: e.ID, Request: id,
	})
}

func write(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"kind":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (f *Front) nothing(r *http.Request) (*response, error) {
	return nil, kind.At(kind.NotFound, r.URL.Path, r.Method)
}

func (f *Front) healthz(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, "ok") }

func (f *Front) readyz(w http.ResponseWriter, _ *http.Request) {
	if f.Ready() {
		write(w, http.StatusOK, "ready")
		return
	}
	write(w, http.StatusServiceUnavailable, "not ready")
}
