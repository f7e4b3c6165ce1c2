// SPDX-License-Identifier: Apache-2.0

package kind

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kind is an error code from a closed list.
type Kind uint8

// The kinds. New ones are appended, not inserted, to keep the exit codes of the
// command-line interface stable.
const (
	Internal Kind = iota
	BadRequest
	TooLarge
	ContentType
	UnknownWorkload
	NotFound
	Conflict
	KeyReused
	Unauthorized
	RateLimited
	QueueFull
	Deadline
	NoCapacity
	CutOff
	Stopping
	Fenced
	Leaving
	Lost
	Cancelled
	BadSettings
	BadTree
	Unavailable
	Damaged
	TaskFailed
	numKinds
)

// Outcome says whether the requested work ran.
type Outcome uint8

const (
	// NotRun means that the work did not run and never will because of this
	// request.
	NotRun Outcome = iota
	// Unknown means that the work may have run. Its state can be queried by its ID
	// later.
	Unknown
	// Ran means that the work ran to its end and failed with this error.
	Ran
)

// String returns the name of o as used in responses.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Row holds the properties of one Kind.
type Row struct {
	Name    string
	Status  int
	Message string
	// Retry is true if the caller may send the same request again.
	Retry bool
	// Outcome is the default outcome of an Error of this Kind.
	Outcome Outcome
	// Exit is the exit code of the command-line interface.
	Exit int
}

var table = [numKinds]Row{
	Internal:        {"internal", http.StatusInternalServerError, "the instance failed inside", true, Unknown, 1},
	BadRequest:      {"bad_request", http.StatusBadRequest, "the request is not valid", false, NotRun, 2},
	TooLarge:        {"too_large", http.StatusRequestEntityTooLarge, "the request is larger than allowed", false, NotRun, 2},
	ContentType:     {"content_type", http.StatusUnsupportedMediaType, "the content type must be application/json", false, NotRun, 2},
	UnknownWorkload: {"unknown_workload", http.StatusNotFound, "the tree has no such workload", false, NotRun, 3},
	NotFound:        {"not_found", http.StatusNotFound, "nothing has this id", false, NotRun, 3},
	Conflict:        {"conflict", http.StatusConflict, "another change came first", false, NotRun, 4},
	KeyReused:       {"key_reused", http.StatusConflict, "the request key belongs to a different request", false, NotRun, 4},
	Unauthorized:    {"unauthorized", http.StatusUnauthorized, "the caller is not allowed to do this", false, NotRun, 5},
	RateLimited:     {"rate_limited", http.StatusTooManyRequests, "the team is over its rate", true, NotRun, 6},
	QueueFull:       {"queue_full", http.StatusServiceUnavailable, "the queue is full", true, NotRun, 6},
	Deadline:        {"deadline", http.StatusGatewayTimeout, "the work cannot start before its deadline", true, NotRun, 7},
	NoCapacity:      {"no_capacity", http.StatusServiceUnavailable, "no worker has room", true, NotRun, 6},
	CutOff:          {"cut_off", http.StatusServiceUnavailable, "the platform cannot be reached, and this work must be recorded first", true, NotRun, 8},
	Stopping:        {"stopping", http.StatusServiceUnavailable, "the instance is stopping", true, NotRun, 6},
	Fenced:          {"fenced", http.StatusServiceUnavailable, "another instance owns the rack now", true, NotRun, 6},
	Leaving:         {"leaving", http.StatusServiceUnavailable, "the endpoint is leaving", true, NotRun, 6},
	Lost:            {"lost", http.StatusGatewayTimeout, "the answer was lost on its way", false, Unknown, 9},
	Cancelled:       {"cancelled", http.StatusConflict, "the work was cancelled", false, NotRun, 10},
	BadSettings:     {"bad_settings", http.StatusBadRequest, "the settings are not valid", false, NotRun, 2},
	BadTree:         {"bad_tree", http.StatusBadRequest, "the tree is not valid", false, NotRun, 2},
	Unavailable:     {"unavailable", http.StatusServiceUnavailable, "the other side cannot be reached", true, NotRun, 8},
	Damaged:         {"damaged", http.StatusBadGateway, "the answer did not arrive whole", false, Unknown, 9},
	TaskFailed:      {"task_failed", http.StatusUnprocessableEntity, "the task ran and failed", false, Ran, 11},
}

// Row returns the properties of k.
func (k Kind) Row() Row {
	if k >= numKinds {
		return table[Internal]
	}
	return table[k]
}

// String returns the name of k as used in responses.
func (k Kind) String() string { return k.Row().Name }

// Parse returns the Kind with the given name, or Internal if there is none.
func Parse(name string) Kind {
	for k := range table {
		if table[k].Name == name {
			return Kind(k)
		}
	}
	return Internal
}

// All returns every Kind in order.
func All() []Kind {
	all := make([]Kind, numKinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Error is an error with a Kind. Make one with New, Wrap or At. The zero value
// is an Internal error with outcome NotRun.
type Error struct {
	Kind Kind
	// Detail describes this particular error.
	Detail string
	// Path is the location of the fault in the caller's input, "" if there is none.
	Path string
	// Outcome says whether the work was run.
	Outcome Outcome
	// RetryAfter is the delay after which the caller should retry. If it is 0, the
	// code that writes the response chooses one.
	RetryAfter time.Duration
	// ID is the ID by which the work can be queried later, "" if there is none.
	ID string
	// Cause is the wrapped error, or nil.
	Cause error
}

// New returns an error of kind k with the default outcome of that kind.
func New(k Kind, detail string) *Error {
	return &Error{Kind: k, Detail: detail, Outcome: k.Row().Outcome}
}

// Wrap returns an error of kind k that wraps cause.
func Wrap(k Kind, cause error, detail string) *Error {
	e := New(k, detail)
	e.Cause = cause
	return e
}

// At returns an error of kind k about the input at path.
func At(k Kind, path, detail string) *Error {
	e := New(k, detail)
	e.Path = path
	return e
}

// Error returns the kind, path, detail and cause on one line.
func (e *Error) Error() string {
	s := e.Kind.String()
	if e.Path != "" {
		s += " at " + e.Path
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithUnknownOutcome sets the outcome to Unknown and the ID by which the work can be
// queried later, and returns e.
func (e *Error) WithUnknownOutcome(id string) *Error {
	e.Outcome = Unknown
	e.ID = id
	return e
}

// Of returns the Error in err's chain. If there is none, it wraps err: the end of
// a context becomes Lost, anything else Internal. Both have outcome Unknown,
// because it is not known how far the work got.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return Wrap(Lost, err, "")
	}
	return Wrap(Internal, err, "")
}

// Is reports whether err is an error of kind k.
func Is(err error, k Kind) bool {
	return err != nil && Of(err).Kind == k
}
