// SPDX-License-Identifier: Apache-2.0

package world

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// defaultPolicyTime and defaultPolicyTimePerWorker are how long an answer takes if the options
	// do not say.
	defaultPolicyTime, defaultPolicyTimePerWorker = 10 * time.Millisecond, time.Millisecond
	// maxPolicyWaiting is the number of waiting requests of a caller above which more are refused.
	maxPolicyWaiting = 32
	ticketLife       = 2500 * time.Millisecond
)

// Policy is the test double of the policy service, which decides which workers may run a step.
type Policy struct {
	advice bool
	// An answer takes decide, and each for every worker asked about.
	decide, each time.Duration
	world        *World
	mu           sync.Mutex
	requests     int
}

func newPolicy(w *World, o Options) *Policy {
	return &Policy{
		advice: o.Advice, world: w,
		decide: cmp.Or(o.PolicyTime, defaultPolicyTime), each: cmp.Or(o.PolicyTimePerWorker, defaultPolicyTimePerWorker),
	}
}

func (p *Policy) enabled() bool { return p.advice }

// Requests returns the number of requests so far.
func (p *Policy) Requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

func (p *Policy) countRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
}

// ticketValid reports whether a ticket is valid for a worker: issued for its id, not before its
// process started, and not expired.
func (p *Policy) ticketValid(ticket string, w *Worker) bool {
	id, at, ok := strings.Cut(ticket, "@")
	ms, err := strconv.ParseInt(at, 10, 64)
	given := time.UnixMilli(ms)
	return ok && err == nil && id == w.ID && time.Since(given) < ticketLife && !given.Before(w.started.Truncate(time.Millisecond))
}

// policyQuery is the body of a request to the policy service.
type policyQuery struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

// answer returns the tickets for the workers that may run the step, once the time for that has
// passed.
func (p *Policy) answer(q *policyQuery) map[string]any {
	p.countRequest()
	time.Sleep(p.decide + time.Duration(len(q.Workers))*p.each)
	healthy := [][]string{}
	for _, id := range q.Workers {
		if mayRun(q.Step, p.world.processName(id)) {
			healthy = append(healthy, []string{id, id + "@" + strconv.FormatInt(time.Now().UnixMilli(), 10)})
		}
	}
	return map[string]any{"healthy": healthy, "valid_ms": ticketLife.Milliseconds()}
}

// mayRun reports whether a worker may run a step: a hash of both, true for two of three.
func mayRun(step, worker string) bool {
	sum := 0
	for _, c := range step + worker {
		sum = sum*31 + int(c)
	}
	return sum%3 != 0
}

// policyCaller serves the policy at one address, one request at a time.
type policyCaller struct {
	policy *Policy
	// turn is held while a request is served.
	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
}

// NewPolicyAddr returns another address of the policy service. It serves the requests to different
// addresses side by side, as it does those of different callers.
func (w *World) NewPolicyAddr() (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serve(&policyCaller{policy: w.Policy})
}

// ServeHTTP implements http.Handler.
func (c *policyCaller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q policyQuery
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > maxPolicyWorkers {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !c.enter() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer c.leave()
	c.turn.Lock()
	defer c.turn.Unlock()
	if r.Context().Err() != nil {
		// The caller has given up meanwhile.
		return
	}
	writeJSON(w, http.StatusOK, c.policy.answer(&q))
}

// enter counts a waiting request, unless too many wait already.
func (c *policyCaller) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > maxPolicyWaiting {
		return false
	}
	c.waiting++
	return true
}

func (c *policyCaller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
}
