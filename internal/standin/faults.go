// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Faults are the switches of one stand-in.
type Faults struct {
	// Down drops every request without an answer.
	Down bool `json:"down"`
	// DelayMS holds every request back, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// PerSecond refuses requests over this rate; 0 refuses none.
	PerSecond float64 `json:"per_second"`
	// LoseEvery drops the answer of every so many requests after they took
	// effect; 0 drops none.
	LoseEvery int `json:"lose_every"`
	// CutEvery cuts every so many answers short; 0 cuts none.
	CutEvery int `json:"cut_every"`
	// CrossEvery gives every so many starts the answer of another; 0 none.
	CrossEvery int `json:"cross_every"`
	// ClockRate is the speed of a worker's clock; 0 and 1 are the machine's.
	ClockRate float64 `json:"clock_rate"`
}

// switches guards the Faults of one stand-in.
type switches struct {
	mu      sync.Mutex
	now     Faults
	limiter *rate.Limiter
	count   int
}

func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = f
	s.limiter = nil
	if f.PerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(f.PerSecond), max(1, int(f.PerSecond/10)))
	}
}

// lasting returns how long a length on this stand-in's clock takes on the
// machine's.
func (s *switches) lasting(length time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.ClockRate == 0 {
		return length
	}
	return time.Duration(float64(length) / s.now.ClockRate)
}

// plan is what befalls one request.
type plan struct {
	down, limited, lose, cut, cross bool
	delay                           time.Duration
}

func (s *switches) next() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	return plan{
		down:    s.now.Down,
		limited: s.limiter != nil && !s.limiter.Allow(),
		lose:    every(s.count, s.now.LoseEvery),
		cut:     every(s.count, s.now.CutEvery),
		cross:   every(s.count, s.now.CrossEvery),
		delay:   time.Duration(s.now.DelayMS) * time.Millisecond,
	}
}

func every(count, n int) bool { return n > 0 && count%n == 0 }

// wrap lets the faults befall the requests to h.
func (s *switches) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := s.next()
		time.Sleep(p.delay)
		switch {
		case p.down:
			abort()
		case p.limited:
			refuse(w, kind.New(kind.RateLimited, "over the rate"))
		case p.lose:
			h.ServeHTTP(&sink{header: http.Header{}}, r)
			abort()
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// abort ends the request without an answer.
func abort() { panic(http.ErrAbortHandler) }

// sink takes an answer that nobody gets.
type sink struct{ header http.Header }

func (s *sink) Header() http.Header         { return s.header }
func (s *sink) Write(b []byte) (int, error) { return len(b), nil }
func (s *sink) WriteHeader(int)             {}

func (s *switches) handler(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	s.set(f)
	writeJSON(w, f)
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		refuse(w, kind.Wrap(kind.BadRequest, err, "body"))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, err error) {
	e := kind.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Kind.Row().Status)
	p := ports.Problem{Kind: e.Kind.String(), Detail: e.Detail}
	var higher *ports.HigherEpoch
	if errors.As(err, &higher) {
		p.Epoch = higher.Epoch
	}
	_ = json.NewEncoder(w).Encode(p)
}
