// SPDX-License-Identifier: Apache-2.0

//go:build !faults

package fault

import "net/http"

// At is a step of the program at which tests may bring a failure about.
func At(Point) {}

// Link returns an error if tests have cut the link to an address.
func Link(string) error { return nil }

// Handler changes the table of faults; there is none in this binary.
func Handler() http.Handler { return nil }
