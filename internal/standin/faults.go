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

// Faults are the faults that can be injected into one test double.
type Faults struct {
	// Down drops every request without an answer.
	Down bool `json:"down"`
	// DelayMS delays every request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// PerSecond is the rate above which requests are refused; 0 means no limit.
	PerSecond float64 `json:"per_second"`
	// LoseEvery = n drops the response of every n-th request after it took
	// effect; 0 drops none.
	LoseEvery int `json:"lose_every"`
	// CutEvery = n truncates the answer in every n-th response; 0 truncates none.
	CutEvery int `json:"cut_every"`
	// CrossEvery = n puts the id of another task into the answer of every n-th
	// response; 0 changes none.
	CrossEvery int `json:"cross_every"`
	// ClockRate is the speed of a worker's clock relative to that of the
	// machine; 0 is the same as 1.
	ClockRate float64 `json:"clock_rate"`
}

// faultInjector holds the Faults of one test double and decides which requests
// they affect.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	count   int
}

func (s *faultInjector) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter = nil
	if f.PerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(f.PerSecond), max(1, int(f.PerSecond/10)))
	}
}

// onMachineClock converts a duration on this test double's clock to one on the
// clock of the machine.
func (s *faultInjector) onMachineClock(length time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ClockRate == 0 {
		return length
	}
	return time.Duration(float64(length) / s.faults.ClockRate)
}

// faultPlan holds the faults of one request.
type faultPlan struct {
	down, limited, lose, cut, cross bool
	delay                           time.Duration
}

func (s *faultInjector) nextPlan() faultPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	return faultPlan{
		down:    s.faults.Down,
		limited: s.limiter != nil && !s.limiter.Allow(),
		lose:    isNth(s.count, s.faults.LoseEvery),
		cut:     isNth(s.count, s.faults.CutEvery),
		cross:   isNth(s.count, s.faults.CrossEvery),
		delay:   time.Duration(s.faults.DelayMS) * time.Millisecond,
	}
}

func isNth(count, n int) bool { return n > 0 && count%n == 0 }

// wrap applies the faults to the requests to h.
func (s *faultInjector) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := s.nextPlan()
		time.Sleep(p.delay)
		switch {
		case p.down:
			abort()
		case p.limited:
			refuse(w, kind.New(kind.RateLimited, "over the rate"))
		case p.lose:
			h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			abort()
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// abort closes the connection without a response.
func abort() { panic(http.ErrAbortHandler) }

// discardWriter is a http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (s *discardWriter) Header() http.Header         { return s.header }
func (s *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (s *discardWriter) WriteHeader(int)             {}

func (s *faultInjector) faultsHandler(w http.ResponseWriter, r *http.Request) {
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
