// SPDX-License-Identifier: Apache-2.0

//go:build faults

package fault

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
)

var table struct {
	mu    sync.Mutex
	rules []Rule
}

const exitCode = 86

// At is a step of the program at which tests may bring a failure about.
func At(p Point) { AtTask(p, "", "") }

// AtTask is At for a step of one task: a rule may name its worker and its shop.
func AtTask(p Point, worker, shop string) {
	meant := func(r *Rule) bool {
		return r.Point == p && strings.HasPrefix(worker, r.Worker) && (r.Shop == "" || r.Shop == shop)
	}
	if r, ok := match(meant); ok {
		apply(r)
	}
}

// Link returns an error if tests have cut the link to an address.
func Link(addr string) error {
	r, ok := match(func(r *Rule) bool { return r.Addr != "" && strings.Contains(addr, r.Addr) })
	if !ok {
		return nil
	}
	apply(r)
	if r.Cut {
		return kind.New(kind.Unavailable, "the link to "+addr+" is cut by a test")
	}
	return nil
}

// Reply returns an error if tests lose what comes back from an address.
func Reply(addr string) error {
	r, ok := match(func(r *Rule) bool { return r.Deaf && strings.Contains(addr, r.Addr) })
	if !ok || r.Addr == "" {
		return nil
	}
	return kind.New(kind.Lost, "the answer of "+addr+" is lost by a test")
}

// match finds the rule and counts its uses: a rule on a point is used once.
func match(f func(*Rule) bool) (Rule, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for i := range table.rules {
		r := &table.rules[i]
		if !f(r) {
			continue
		}
		if r.Skip > 0 {
			r.Skip--
			return Rule{}, false
		}
		hit := *r
		if r.Point != "" {
			table.rules = append(table.rules[:i], table.rules[i+1:]...)
		}
		return hit, true
	}
	return Rule{}, false
}

const stopTakes = 100 * time.Millisecond

func apply(r Rule) {
	time.Sleep(time.Duration(r.DelayMS) * time.Millisecond)
	if r.Stop {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		// The signal may reach this thread a moment after the call returns; the
		// step must not go on before it.
		time.Sleep(stopTakes)
	}
	if r.Exit {
		os.Exit(exitCode)
	}
}

// rate returns the speed of the clock that the rules ask for.
func rate(rules []Rule) float64 {
	for _, r := range rules {
		if r.Rate > 0 {
			return r.Rate
		}
	}
	return 1
}

// Handler changes the table of faults: PUT replaces it, GET returns the rules
// that are left.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			table.mu.Lock()
			defer table.mu.Unlock()
			_ = json.NewEncoder(w).Encode(table.rules)
			return
		}
		var rules []Rule
		if err := json.NewDecoder(r.Body).Decode(&rules); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		table.mu.Lock()
		defer table.mu.Unlock()
		table.rules = rules
		clock.SetRate(rate(rules))
	})
}
