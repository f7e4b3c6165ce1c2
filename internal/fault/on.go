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

// exitCode is the exit code of a process that a rule ends.
const exitCode = 86

// At marks a step of the program at which tests can inject a failure.
func At(p Point) { AtTask(p, "", "") }

// AtTask is like At, for a step of one task: a rule may be limited to the task's worker and client account.
func AtTask(p Point, worker, account string) {
	matches := func(r *Rule) bool {
		return r.Point == p && strings.HasPrefix(worker, r.Worker) && (r.Account == "" || r.Account == account)
	}
	if r, ok := takeRule(matches); ok {
		apply(r)
	}
}

// Link returns an error if a test has cut the link to addr.
func Link(addr string) error {
	r, ok := takeRule(func(r *Rule) bool { return r.Addr != "" && strings.Contains(addr, r.Addr) })
	if !ok {
		return nil
	}
	apply(r)
	if r.Cut {
		return kind.New(kind.Unavailable, "the link to "+addr+" was cut by a test")
	}
	return nil
}

// Reply returns an error if a test drops the replies from addr.
func Reply(addr string) error {
	r, ok := takeRule(func(r *Rule) bool { return r.Deaf && strings.Contains(addr, r.Addr) })
	if !ok || r.Addr == "" {
		return nil
	}
	return kind.New(kind.Lost, "the reply from "+addr+" was dropped by a test")
}

// takeRule returns the first rule that matches. While that rule still has matches to skip, it
// counts one down and returns false. A rule on a point is removed, so that it applies once.
func takeRule(matches func(*Rule) bool) (Rule, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for i := range table.rules {
		r := &table.rules[i]
		if !matches(r) {
			continue
		}
		if r.Skip > 0 {
			r.Skip--
			return Rule{}, false
		}
		matched := *r
		if r.Point != "" {
			table.rules = append(table.rules[:i], table.rules[i+1:]...)
		}
		return matched, true
	}
	return Rule{}, false
}

// stopDelay is how long a thread waits for a SIGSTOP that its process has sent to itself. The signal
// may arrive shortly after kill returns, and the step must not continue before that.
const stopDelay = 100 * time.Millisecond

func apply(r Rule) {
	time.Sleep(time.Duration(r.DelayMS) * time.Millisecond)
	if r.Stop {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(stopDelay)
	}
	if r.Exit {
		os.Exit(exitCode)
	}
}

// clockRate returns the rate of the clock that the rules set, 1 if they set none.
func clockRate(rules []Rule) float64 {
	for _, r := range rules {
		if r.Rate > 0 {
			return r.Rate
		}
	}
	return 1
}

// Handler returns the handler of the fault rules: PUT replaces them, GET returns those that are left.
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
		clock.SetRate(clockRate(rules))
	})
}
