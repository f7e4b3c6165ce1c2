// SPDX-License-Identifier: Apache-2.0

//go:build !faults

package fault

import "net/http"

// At marks a step of the program at which tests can inject a failure.
func At(Point) {}

// AtTask is like At, for a step of one task: a rule may be limited to the task's worker and client account.
func AtTask(p Point, worker, account string) {}

// Link returns an error if a test has cut the link to addr.
func Link(string) error { return nil }

// Reply returns an error if a test drops the replies from addr.
func Reply(string) error { return nil }

// Handler returns the handler that sets the fault rules, which is nil in this binary.
func Handler() http.Handler { return nil }
