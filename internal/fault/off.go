// SPDX-License-Identifier: Apache-2.0

//go:build !faults

package fault

import "net/http"

// At is a step of the program at which tests may bring a failure about.
func At(Point) {}

// AtTask is At for a step of one task: a rule may name its worker and its shop.
func AtTask(p Point, worker, shop string) {}

// Link returns an error if tests have cut the link to an address.
func Link(string) error { return nil }

// Reply returns an error if tests lose what comes back from an address.
func Reply(string) error { return nil }

// Handler changes the table of faults; there is none in this binary.
func Handler() http.Handler { return nil }
